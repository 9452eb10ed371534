package placement

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/chiveseam/chiveseam/ratelimit"
)

const (
	// rememberRouter is the time for which a silent router keeps its part of rate limits: it may be cut
	// off from this one and still reach the targets.
	rememberRouter = time.Minute
	// demandHalfLife is the half-life of requests in the measured demand.
	demandHalfLife = 500 * time.Millisecond
	// evenPart is the part of each rate limit that the routers divide evenly, for callers that move;
	// the rest is divided by demand.
	evenPart = 0.1
	// maxDemand bounds the demand that a router can report, in requests per second.
	maxDemand = 1e9
)

// fleet holds the routers that divide rate limits between them, each with the demand that it reported
// last: all routers divide by the same figures. It is unrelated to package fleet, the membership of
// chiveseam-router.
type fleet struct {
	self string
	// routers holds the other routers by name.
	routers map[string]knownRouter
	// part is this router's part of each limit.
	part ratelimit.Part
	// owner is this router's part of what cold targets take; nil if the routers have changed since it
	// was computed. grownAt is when a router was last added; zero if none was heard yet.
	owner   *ratelimit.Candidates
	grownAt time.Time
	// demand is the demand that this router reported last. recent is the decayed number of its
	// requests as of countedAt.
	demand    float64
	recent    float64
	countedAt time.Time
}

// knownRouter is another router: when it last reported, and the demand that it reported.
type knownRouter struct {
	heard  time.Time
	demand float64
}

func newFleet(self string) fleet {
	return fleet{self: self, routers: make(map[string]knownRouter), part: ratelimit.Whole()}
}

// countRequest counts a request that came to this router.
func (f *fleet) countRequest(now time.Time) {
	f.age(now)
	f.recent++
}

func (f *fleet) age(now time.Time) {
	f.recent *= decay(now.Sub(f.countedAt), demandHalfLife)
	f.countedAt = now
}

// reportDemand returns the demand for a report of this router, and divides the limits anew.
func (f *fleet) reportDemand(now time.Time) float64 {
	f.age(now)
	f.demand = f.recent * math.Ln2 / demandHalfLife.Seconds()
	f.divide()
	return f.demand
}

// recordReport records a report of a router. Reports without loads state no demand; one that is no number
// or out of bounds is ignored.
func (f *fleet) recordReport(now time.Time, router string, demand float64, stated bool) {
	r, known := f.routers[router]
	r.heard = now
	if stated && demand >= 0 && demand <= maxDemand {
		r.demand = demand
	}
	f.routers[router] = r
	if !known {
		f.owner, f.grownAt = nil, now
		f.divide()
	}
}

// remove removes a router that has stopped.
func (f *fleet) remove(router string) {
	delete(f.routers, router)
	f.owner = nil
}

// forgetSilent removes the routers that have been silent for rememberRouter.
func (f *fleet) forgetSilent(now time.Time) {
	for router, r := range f.routers {
		if now.Sub(r.heard) > rememberRouter {
			f.remove(router)
		}
	}
}

// candidates returns this router's part of what cold targets take. It does not depend on demands, of which
// routers have different views for a while.
func (f *fleet) candidates() *ratelimit.Candidates {
	if f.owner == nil {
		f.owner = ratelimit.NewCandidates(f.self, slices.Collect(maps.Keys(f.routers)))
	}
	return f.owner
}

// divide computes the part of this router. Parts follow each other in the order of the routers' names.
func (f *fleet) divide() {
	total := f.demand
	for _, r := range f.routers {
		total += r.demand
	}
	even := 1 / float64(len(f.routers)+1)
	width := func(demand float64) float64 {
		if total == 0 {
			return even
		}
		return evenPart*even + (1-evenPart)*demand/total
	}
	from := 0.0
	for name, r := range f.routers {
		if name < f.self {
			from += width(r.demand)
		}
	}
	f.part = ratelimit.PartOf(from, min(from+width(f.demand), 1))
}
