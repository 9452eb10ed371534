package routing

import "slices"

// Regions are the regions in which a request may be sent to targets. nil allows all regions and targets
// without a known region, an empty list allows nothing.
type Regions []string

// Allow reports whether a target in a region may get the request; "" is not known.
func (r Regions) Allow(region string) bool {
	return r == nil || region != "" && slices.Contains(r, region)
}

// And returns the regions that both allow.
func (r Regions) And(other Regions) Regions {
	switch {
	case r == nil:
		return other
	case other == nil:
		return r
	}
	both := Regions{}
	for _, region := range r {
		if slices.Contains(other, region) {
			both = append(both, region)
		}
	}
	return both
}

// AllowedRegions returns the regions that both a route and a workspace allow.
func (t *Table) AllowedRegions(r *Route, workspace string) Regions {
	return r.AllowedRegions.And(t.WorkspaceRegions[workspace])
}
