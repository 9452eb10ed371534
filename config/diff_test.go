package config_test

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/config/configtest"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// TestDiffOfEqualIsEmpty checks that the order of named objects is not reported as a
// difference.
func TestDiffOfEqualIsEmpty(t *testing.T) {
	is := is.New(t)
	old, new := configtest.Valid(), configtest.Valid()
	slices.Reverse(new.Workspaces)
	is.Equal(len(config.Diff(old, new)), 0)
}

// TestDiffDescribesChanges compares the sentences for additions, removals and changes, and
// their order.
func TestDiffDescribesChanges(t *testing.T) {
	is := is.New(t)
	old, new := configtest.Valid(), configtest.Valid()
	new.Deployment = "test-2"
	new.Pools[0].Model = &v1.ModelState{Version: "2"}
	new.Pools[1].Rules = new.Pools[1].Rules[:1]
	new.Targets[0].Name = "engine-0"
	new.Workspaces[0].Share = 20
	new.Workspaces[1].TokenSha256 = [][]byte{{1, 2, 3, 4, 5}}
	new.Limits = &v1.Limits{RetryBudgetPercent: 60}
	var got []string
	for _, change := range config.Diff(old, new) {
		got = append(got, change.String())
	}
	is.Equal(got, []string{
		`deployment: value changes from "test" to "test-2"`,
		`pool desk: rules changes from [{method: "GET", idempotent: true}, {method: "POST", path prefix: "/jobs"}] to [{method: "GET", idempotent: true}]`,
		`pool model: model changes from unset to {version: "2"}`,
		`target engine-0 is added`,
		`target engine-1 is removed`,
		`workspace large: token sha256 changes from [96854d0c...] to [01020304...]`,
		`workspace small: share changes from 1 to 20`,
		`limits: value changes from unset to {retry budget percent: 60}`,
	})
}

// TestDiffOfNestedMessages checks that a message that both configurations have is compared
// field by field.
func TestDiffOfNestedMessages(t *testing.T) {
	is := is.New(t)
	old, new := configtest.Valid(), configtest.Valid()
	old.Pools[0].Model = &v1.ModelState{Version: "1"}
	new.Pools[0].Model = &v1.ModelState{Version: "2"}
	old.Limits = &v1.Limits{RetryBudgetPercent: 60}
	new.Limits = &v1.Limits{RetryBudgetPercent: 90}
	changes := config.Diff(old, new)
	is.Equal(len(changes), 2)
	is.Equal(changes[0], config.Change{Kind: config.Changed, Object: "pool", Name: "model", Field: "model version", Old: `"1"`, New: `"2"`})
	is.Equal(changes[1].String(), "limits: retry budget percent changes from 60 to 90")
}
