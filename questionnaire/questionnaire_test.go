package questionnaire

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/chiveseam/chiveseam/config"
	_ "github.com/chiveseam/chiveseam/internal/fixedseed"
)

// example returns the questionnaire of an example deployment.
func example(t testing.TB, name string) []byte {
	t.Helper()
	answers, err := os.ReadFile(filepath.Join("..", "examples", name+".yaml"))
	if err != nil {
		t.Fatal(err)
	}
	return answers
}

// The examples must give a valid configuration, the same bytes at each generation.
func TestExamples(t *testing.T) {
	tests := []struct{ name, workspace, engines, services, firstEngine string }{
		{"siam-broadsheet", "retail-chain", "proof-assistant", "order-desk", "127.0.0.1:7100"},
		{"atlas-sous-bois", "parents", "season-planner", "booking", "127.0.0.1:7300"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c, err := Generate(example(t, test.name))
			is.NoErr(err)
			payload, err := proto.MarshalOptions{Deterministic: true}.Marshal(c)
			is.NoErr(err)
			accepted, err := config.Accept(1, payload)
			is.NoErr(err)
			is.Equal(len(c.Zones), 4)
			is.Equal(len(c.Workspaces), 16)
			is.Equal(len(accepted.TargetsOf(test.engines)), 10)
			is.Equal(len(accepted.TargetsOf(test.services)), 4)
			is.Equal(accepted.TargetsOf(test.engines)[0].Address, test.firstEngine)
			w, ok := accepted.WorkspaceByToken("token-" + test.workspace)
			is.True(ok)
			is.Equal(w.Name, test.workspace)
			again, err := Generate(example(t, test.name))
			is.NoErr(err)
			repeated, err := proto.MarshalOptions{Deterministic: true}.Marshal(again)
			is.NoErr(err)
			is.True(bytes.Equal(payload, repeated))
		})
	}
}

// Each case replaces one answer of a valid questionnaire. The error must name the path and the line
// of the answer that has to be corrected, also if the fault is only found in the configuration.
func TestErrorsNameTheAnswer(t *testing.T) {
	tests := []struct {
		old, new string
		want     Error
	}{
		{"share: 40", "share: 0", Error{Field: "workspaces[0].share", Value: "0", Allowed: "1 to 1000000"}},
		{"share: 40", "share: many", Error{Field: "workspaces[0].share", Value: "many", Allowed: allowedNumber}},
		{"share: 40", "shares: 40", Error{Field: "workspaces[0].shares", Value: "shares"}},
		{"share: 40", "share: [40]", Error{Field: "workspaces[0].share", Allowed: allowedNumber}},
		{"start: 10s", "start: 1ms", Error{Field: "deadlines[0].start", Value: "1ms", Allowed: "10 to 86400000 ms"}},
		{"start: 10s", "start: soon", Error{Field: "deadlines[0].start", Value: "soon"}},
		{"body: 8MiB", "body: 8GiB", Error{Field: "limits.body", Value: "8GiB", Allowed: "0, or 1024 to 1073741824 bytes"}},
		{"call: POST /jobs, repeatable: false", "call: POST /jobs", Error{Field: "services[0].calls[1].repeatable", Allowed: allowedFlag}},
		{"call: POST /jobs", "call: BOOK /jobs", Error{Field: "services[0].calls[1].call", Value: "BOOK"}},
		{"zone: zone-b, count: 3", "zone: zone-x, count: 3", Error{Field: "engines[0].targets[2].zone", Value: "zone-x", Allowed: "the name of a zone"}},
		{"count: 3", "count: 0", Error{Field: "engines[0].targets[2].count", Value: "0", Allowed: "1 to 10000"}},
		{"127.0.0.1:7103", "127.0.0.1:65535", Error{Field: "engines[0].targets[2].first_address", Value: "127.0.0.1:65535"}},
		{"127.0.0.1:7103", "127.0.0.1:7101", Error{Field: "engines[0].targets[2].first_address", Value: "127.0.0.1:7101"}},
		{"127.0.0.1:7103", "engine-3:80", Error{Field: "engines[0].targets[2].first_address", Value: "engine-3:80"}},
		{"resumes: false", "resumes: maybe", Error{Field: "engines[0].targets[1].resumes", Value: "maybe", Allowed: allowedFlag}},
		{"output_token: 4", "output_token: 0", Error{Field: "engines[0].cost.output_token", Value: "0", Allowed: "1 to 1000"}},
		{"model: {version: \"2026-11\"", "shards: 1000\n    model: {version: \"2026-11\"", Error{Field: "engines[0].shards", Value: "1000", Allowed: "0 to 128"}},
		{"queue: {requests: 200", "queue: {requests: 0", Error{Field: "queue.requests", Value: "0", Allowed: "1 to 1000000"}},
		{"data_centre: dc-2\n", "data_centre: dc-3\n", Error{Field: "workspaces[13].data_centre", Value: "dc-3"}},
		{"token_digest: ", "token_digest: 00", Error{Field: "workspaces[0].token_digest[0]", Allowed: "a SHA-256 digest of 32 bytes"}},
		{"weight_store: {loads_at_once: 2, rate: 500MB}", "", Error{Field: "weight_store.max_concurrent_loads", Value: "0"}},
	}
	for _, test := range tests {
		t.Run(test.new, func(t *testing.T) {
			is := is.New(t)
			before, after, found := strings.Cut(string(example(t, "siam-broadsheet")), test.old)
			is.True(found)
			_, err := Generate([]byte(before + test.new + after))
			var errs Errors
			is.True(errors.As(err, &errs))
			at := slices.IndexFunc(errs, func(e Error) bool { return e.Field == test.want.Field })
			is.True(at >= 0)
			got := errs[at]
			if test.new != "" {
				is.Equal(got.Line, strings.Count(before, "\n")+1)
			}
			if test.want.Value != "" {
				is.Equal(got.Value, test.want.Value)
			}
			if test.want.Allowed != "" {
				is.Equal(got.Allowed, test.want.Allowed)
			}
		})
	}
}

// Generate reports all invalid answers together, in the order of their lines.
func TestInvalidAnswersAreReportedTogether(t *testing.T) {
	is := is.New(t)
	text := string(example(t, "siam-broadsheet"))
	text = strings.Replace(text, "share: 40", "share: 0", 1)
	text = strings.Replace(text, "start: 10s", "start: soon", 1)
	text = strings.Replace(text, "limits:", "limit:", 1)
	_, err := Generate([]byte(text))
	var errs Errors
	is.True(errors.As(err, &errs))
	is.Equal(len(errs), 3)
	is.Equal(errs[0].Field, "deadlines[0].start")
	is.Equal(errs[1].Field, "workspaces[0].share")
	is.Equal(errs[2].Field, "limit")
}

// Documents that are not YAML, or not a mapping of answers, give Errors with a line.
func TestNotAQuestionnaire(t *testing.T) {
	for _, text := range []string{"", "# nothing", "- a", "a: [", "text", "a: 1\n---\nb: 2", "zones: &z []"} {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			_, err := Generate([]byte(text))
			var errs Errors
			is.True(errors.As(err, &errs))
			is.True(errs[0].Line > 0)
		})
	}
}

// A questionnaire with lines that are cut off at random places, some with syntax appended, gives
// either a valid configuration or Errors that point to its lines. It must not give an invalid
// configuration, another error or a panic.
func TestDamagedAnswers(t *testing.T) {
	lines := strings.Split(string(example(t, "siam-broadsheet")), "\n")
	rapid.Check(t, func(t *rapid.T) {
		damaged := append([]string{}, lines...)
		for range rapid.IntRange(1, 3).Draw(t, "faults") {
			i := rapid.IntRange(0, len(damaged)-1).Draw(t, "line")
			cut := rapid.IntRange(0, len(damaged[i])).Draw(t, "cut")
			damaged[i] = damaged[i][:cut] + rapid.SampledFrom([]string{"", "0", ": ", "x: {", "]"}).Draw(t, "insert")
		}
		c, err := Generate([]byte(strings.Join(damaged, "\n")))
		if err == nil {
			if errs := config.Validate(c); len(errs) > 0 {
				t.Fatal(errs)
			}
			return
		}
		var errs Errors
		if !errors.As(err, &errs) {
			t.Fatalf("%T: %v", err, err)
		}
		for _, invalid := range errs {
			if invalid.Line < 1 || invalid.Line > len(lines) || invalid.Allowed == "" {
				t.Fatalf("%+v", invalid)
			}
		}
	})
}
