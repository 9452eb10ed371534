package routing_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chiveseam/chiveseam/routing"
)

// Guards against a request that reaches a region that its route or its workspace does not allow, and against
// restrictions where neither names a region.
func TestRouteAndWorkspaceBothRestrictRegions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lists := rapid.OneOf(rapid.Just([]string(nil)), rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"", "north", "south", "east"}), 1, 3, rapid.ID))
		route := &routing.Route{AllowedRegions: lists.Draw(t, "route")}
		table := &routing.Table{WorkspaceRegions: map[string]routing.Regions{"shop": lists.Draw(t, "workspace")}}
		allowed := table.AllowedRegions(route, "shop")
		for _, region := range []string{"", "north", "south", "east", "west"} {
			want := route.AllowedRegions.Allow(region) && table.WorkspaceRegions["shop"].Allow(region)
			if allowed.Allow(region) != want {
				t.Fatalf("%q: %v", region, !want)
			}
		}
		other := table.AllowedRegions(route, "press")
		if (other == nil) != (route.AllowedRegions == nil) {
			t.Fatalf("another workspace: %v", other)
		}
	})
	is := is.New(t)
	is.True(routing.Regions(nil).Allow(""))
	is.True(!routing.Regions{""}.Allow("")) // a region that is not known
}
