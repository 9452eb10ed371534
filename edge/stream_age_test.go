package edge

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/placement"
	"github.com/chiveseam/chiveseam/routing"
	"github.com/chiveseam/chiveseam/streams"
)

// ageTable returns a table with one resumable route for each prefix and timeout.
func ageTable(version uint64, timeouts map[string]time.Duration) *routing.Table {
	var routes []*routing.Route
	for prefix, timeout := range timeouts {
		routes = append(routes, &routing.Route{
			Host: "h.example", Prefix: prefix, Timeout: timeout, RetryPolicy: routing.Resumable,
			Services: []routing.WeightedService{{Service: "s", Weight: 1}},
		})
	}
	return routing.NewTable(version, routes, nil, routing.Limits{}, nil)
}

// Guards against ORDER: after the timeout of a route was lowered, or its paths came to a route with a lower one, streams
// that had begun under the longer one passed as too old to be of an earlier version.
func TestStreamsMayBeAsOldAsTheTimeoutUnderWhichTheyBegan(t *testing.T) {
	const long, short = 20 * time.Second, 2 * time.Second
	for _, c := range []struct {
		name string
		next map[string]time.Duration
		path string
	}{
		{"lowered", map[string]time.Duration{"/a/": short}, "/a/"},
		{"longer prefix", map[string]time.Duration{"/a/": long, "/a/b/": short}, "/a/b/"},
		{"shorter prefix", map[string]time.Duration{"/": short}, "/a/"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			now := time.Now()
			f.edge.applyTable(ageTable(10, map[string]time.Duration{"/a/": long}), Revision{})
			f.edge.applyTable(ageTable(11, c.next), Revision{})
			f.edge.applyTable(ageTable(12, c.next), Revision{})
			f.edge.mu.Lock()
			defer f.edge.mu.Unlock()
			f.edge.origins = streams.New(now)
			f.edge.origins.ReadAll(now.Add(-10*time.Second), Revision{Number: 1})
			f.edge.origins.SeeVersion(placement.Hash("s"), 1)
			route, ok := f.edge.table.Load().Match("h.example", c.path)
			is.True(ok)
			is.True(f.edge.mayHaveSeveralVersions(route)) // a stream may be 20 s old
		})
	}
}

// A longer timeout of the past counts for no longer than streams last that began under it, however often the
// configuration changes, and only for the paths that had it.
func TestPastTimeoutsAreForgotten(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	var ages streamAges
	table := ageTable(1, map[string]time.Duration{"/a/": 20 * time.Second, "/c/": 10 * time.Second})
	ages.replaceTable(now, nil, table)
	next := ageTable(2, map[string]time.Duration{"/a/": 5 * time.Second, "/c/": 10 * time.Second})
	ages.replaceTable(now, table, next)
	a, _ := next.Match("h.example", "/a/")
	other, _ := next.Match("h.example", "/c/")
	began := now
	for ; now.Before(began.Add(30 * time.Second)); now = now.Add(time.Second) {
		want := 6 * time.Second
		if now.Before(began.Add(23 * time.Second)) {
			want = 21 * time.Second
		}
		is.Equal(ages.of(now, a), want)
		is.Equal(ages.of(now, other), 11*time.Second)
		ages.replaceTable(now, next, next)
	}
	is.Equal(len(ages.past), 0)
}
