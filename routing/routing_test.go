package routing_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chiveseam/chiveseam/routing"
)

func table(workspaces map[string]string, routes ...*routing.Route) *routing.Table {
	return routing.NewTable(1, routes, nil, routing.Limits{}, workspaces)
}

func TestMatchPrefersLongestPrefixOfHost(t *testing.T) {
	is := is.New(t)
	long := &routing.Route{Host: "A.example", Prefix: "/x/y/"}
	short := &routing.Route{Host: "a.example", Prefix: "/x/"}
	other := &routing.Route{Host: "b.example", Prefix: "/x/y/z/"}
	tab := table(nil, short, other, long)
	for path, want := range map[string]*routing.Route{"/x/y/z/1": long, "/x/yy": short, "/x/": short} {
		got, ok := tab.Match("a.example:8080", path)
		is.True(ok)
		is.Equal(got, want)
	}
	for _, path := range []string{"/x", "/", "/X/y/"} {
		_, ok := tab.Match("a.example", path)
		is.True(!ok)
	}
}

func TestWorkspaceOfAKey(t *testing.T) {
	is := is.New(t)
	keyed, anonymous := &routing.Route{}, &routing.Route{Anonymous: true}
	tab := table(map[string]string{"k": "shop"})
	name, ok := tab.Workspace(keyed, "k")
	is.True(ok)
	is.Equal(name, "shop")
	_, ok = tab.Workspace(keyed, "")
	is.True(!ok)
	name, ok = tab.Workspace(anonymous, "unknown")
	is.True(ok)
	is.Equal(name, "")
	_, ok = table(nil).Workspace(keyed, "")
	is.True(ok)
}

func TestPickFollowsWeightsAndUsability(t *testing.T) {
	is := is.New(t)
	r := &routing.Route{Services: []routing.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}}
	all := func(string) bool { return true }
	is.Equal(r.Pick(0.89, all), "a")
	is.Equal(r.Pick(0.91, all), "b")
	is.Equal(r.Pick(0.1, func(s string) bool { return s == "b" }), "b")
	is.Equal(r.Pick(0.1, func(string) bool { return false }), "a")
}

// A service with weight 0 is never picked, whatever number is drawn.
func TestPickSkipsServicesWithoutWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		w := rapid.Float64Range(0.001, 100).Draw(t, "weight")
		r := &routing.Route{Services: []routing.WeightedService{{Service: "a", Weight: w}, {Service: "none"}, {Service: "b", Weight: w}}}
		got := r.Pick(rapid.Float64Range(0, 0.999999).Draw(t, "draw"), func(string) bool { return true })
		is.True(got == "a" || got == "b")
	})
}

func TestLaterReportsSupersede(t *testing.T) {
	is := is.New(t)
	old := routing.Target{StartedUnixMs: 5, Sequence: 9}
	is.True(routing.Target{StartedUnixMs: 5, Sequence: 10}.Supersedes(old))
	is.True(routing.Target{StartedUnixMs: 6, Sequence: 1}.Supersedes(old))
	is.True(!routing.Target{StartedUnixMs: 5, Sequence: 8}.Supersedes(old))
	is.True(!routing.Target{StartedUnixMs: 4, Sequence: 20}.Supersedes(old))
}
