package configcheck

import (
	"fmt"
	"slices"
	"strings"

	"github.com/chiveseam/chiveseam/internal/jsontree"
	"github.com/chiveseam/chiveseam/routing"
)

// workspaces reports workspaces without keys and keys that name no workspace for certain.
func (c *checker) workspaces() {
	at := c.config.WorkspacesAt
	switch {
	case !at.Set:
		c.warn(at.Position, "no workspaces: requests need no key")
	case len(c.config.Workspaces) == 0:
		c.error(at.Position, "the list of workspaces is empty: no key is accepted")
	}
	holders, names := make(map[KeyDigest]*Workspace), make(map[string]*Workspace)
	for i := range c.config.Workspaces {
		w := &c.config.Workspaces[i]
		if w.Name.Value == "" {
			c.error(w.Name.Position, "no name")
		} else if other, ok := names[w.Name.Value]; ok {
			c.warn(w.Name.Position, "%s has the same name: they are one workspace", other.Path)
		} else {
			names[w.Name.Value] = w
		}
		if len(w.Keys) == 0 {
			c.error(w.KeysAt, "no API key: no request can belong to the workspace")
		}
		for _, key := range w.Keys {
			c.key(w, key, holders)
		}
	}
}

// key reports a key that is empty or that an earlier workspace holds.
func (c *checker) key(w *Workspace, key Field[KeyDigest], holders map[KeyDigest]*Workspace) {
	if key.Value == DigestKey("") {
		c.error(key.Position, "the API key is empty: requests without a key would belong to the workspace")
		return
	}
	other, held := holders[key.Value]
	switch {
	case !held:
		holders[key.Value] = w
	case other.Name.Value == w.Name.Value:
		c.warn(key.Position, "the API key %v is stated twice for the workspace", key.Value)
	default:
		c.error(key.Position, "the API key %v is also that of workspace %s, %s", key.Value, jsontree.Quote(other.Name.Value), other.Path)
	}
}

// regionSet is a list of regions with an index. Targets are in no region "".
type regionSet struct {
	list routing.Regions
	set  map[string]bool
}

func newRegionSet(list routing.Regions) *regionSet {
	s := &regionSet{list, make(map[string]bool, len(list))}
	for _, region := range list {
		if region != "" {
			s.set[region] = true
		}
	}
	return s
}

// meets reports whether a region of both sets satisfies keep.
func (s *regionSet) meets(other *regionSet, keep func(string) bool) bool {
	if len(s.set) > len(other.set) {
		s, other = other, s
	}
	for region := range s.set {
		if other.set[region] && keep(region) {
			return true
		}
	}
	return false
}

// maxRegionSteps bounds the comparison of the regions of routes with those of workspaces. It is
// enough for 1,400 routes and 1,000 workspaces with ten regions each.
const maxRegionSteps = 14_000_000

// maxNamedWorkspaces is the number of workspaces that one finding names.
const maxNamedWorkspaces = 3

// regions reports allowed regions that leave no targets.
func (c *checker) regions() {
	known := make(map[string]bool)
	for _, region := range c.options.ZoneRegions {
		known[region] = region != ""
	}
	keep := func(region string) bool { return c.options.ZoneRegions == nil || known[region] }
	// Workspaces of one name have all their regions in common.
	merged := make(map[string]routing.Regions)
	var order []*Workspace
	for i := range c.config.Workspaces {
		w := &c.config.Workspaces[i]
		if c.allowed(w.Regions, keep) == nil {
			continue
		}
		if _, ok := merged[w.Name.Value]; !ok {
			order = append(order, w)
		}
		merged[w.Name.Value] = merged[w.Name.Value].And(w.Regions.Value)
	}
	unrestricted := slices.ContainsFunc(c.config.Workspaces, func(w Workspace) bool {
		return w.Regions.Value == nil && merged[w.Name.Value] == nil
	})
	sets := make([]*regionSet, len(order))
	for i, w := range order {
		sets[i] = newRegionSet(merged[w.Name.Value])
		if len(sets[i].set) == 0 {
			c.error(w.Regions.Position, "the workspaces of this name allow no region in common")
		}
	}
	// refused counts the routes that have no region in common with a workspace.
	refused := make([]int, len(order))
	steps := 0
	for i := range c.config.Routes {
		r := &c.config.Routes[i]
		set := c.allowed(r.Regions, keep)
		if set == nil {
			continue
		}
		var without []string
		for j, w := range order {
			if steps += 1 + min(len(set.set), len(sets[j].set)); steps > maxRegionSteps {
				c.warn(r.Regions.Position, "too many regions: from here on they are not compared with those of workspaces")
				return
			}
			if !set.meets(sets[j], keep) {
				without = append(without, w.Name.Value)
				refused[j]++
			}
		}
		all := len(without) == len(order) && !unrestricted && !r.Anonymous.Value
		c.disjoint(r, without, all)
	}
	for j, w := range order {
		if n := refused[j]; n > 0 && n == len(c.config.Routes) {
			c.error(w.Regions.Position, "the workspace and all routes allow no region in common")
		}
	}
}

// allowed reports a list that leaves no zone. It returns the set of its regions, nil if the list
// restricts nothing or leaves nothing.
func (c *checker) allowed(f Field[routing.Regions], keep func(string) bool) *regionSet {
	if f.Value == nil {
		return nil
	}
	set := newRegionSet(f.Value)
	if !set.meets(set, keep) {
		c.error(f.Position, "the allowed regions leave no zone: %s", regionNames(f.Value))
		return nil
	}
	for _, region := range f.Value {
		if region == "" || !keep(region) {
			c.warn(f.Position, "no zone is in the allowed region %s", jsontree.Quote(region))
			break
		}
	}
	return set
}

// disjoint reports workspaces whose regions have none in common with a route. It is an error if no
// workspace is left.
func (c *checker) disjoint(r *Route, workspaces []string, all bool) {
	if len(workspaces) == 0 {
		return
	}
	severity, effect := Warning, "their requests to the route are refused"
	if all {
		severity, effect = Error, "no workspace is left for the route"
	}
	names := make([]string, 0, maxNamedWorkspaces)
	for _, name := range workspaces[:min(len(workspaces), maxNamedWorkspaces)] {
		names = append(names, jsontree.Quote(name))
	}
	text := strings.Join(names, ", ")
	if more := len(workspaces) - maxNamedWorkspaces; more > 0 {
		text += fmt.Sprintf(" and %d more", more)
	}
	c.add(severity, r.Regions.Position, "the route and the workspaces %s allow no region in common: %s", text, effect)
}

// regionNames returns a list of regions for a message.
func regionNames(list routing.Regions) string {
	const named = 5
	names := make([]string, 0, named)
	for _, region := range list[:min(len(list), named)] {
		names = append(names, jsontree.Quote(region))
	}
	if len(list) > named {
		names = append(names, "...")
	}
	return strings.Join(names, ", ")
}
