package placement_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/placement"
	"github.com/chiveseam/chiveseam/routing"
)

// Guards against refusals that do not tell why no target could get the request: each target counts
// under the first of its reasons.
func TestRefusalCountsIneligibleTargets(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := placement.New(placement.Options{Router: "r"})
	for _, id := range []string{"draining", "leaving", "paused", "version", "excluded"} {
		b.SetTarget(routing.Target{ID: id, Service: "desk", Slots: 4, Draining: id == "draining", Version: map[string]string{"version": "v2"}[id]})
	}
	b.SetLeaving(now, routing.Target{ID: "leaving"})
	b.Pause(now, routing.Target{ID: "draining"}, time.Second)
	b.Pause(now, routing.Target{ID: "paused"}, 3*time.Second)
	d := plainDemand()
	d.Version = placement.VersionHash("")
	d.Excluded = func(target string) bool { return target == "excluded" }
	_, err := b.Choose(now, d)
	var refusal *placement.Refusal
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.Ineligible.String(), "draining:1,leaving:1,paused:1,other_version:1,excluded:1")
	is.Equal(refusal.RetryAfter, 3*time.Second)
}
