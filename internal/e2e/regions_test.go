package e2e

import (
	"net/http"
	"sync/atomic"
	"testing"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const (
	// regionSlots of each target are fewer than the callers of the first region,
	// so that calls wait.
	regionSlots = 1
	// movedCalls is the number of calls that have to reach the other region.
	movedCalls = 10
)

// regions is a deployment of two regions of a router, an engine and a service
// each. Only callers of the first region call services, so that each call that
// reaches the service of the second one has moved.
type regions struct {
	*cluster
	t     *testing.T
	moved *atomic.Int64
	// loads holds the callers of each region.
	loads [2]*schedulerLoad
}

func newRegions(t *testing.T) *regions {
	s := size{routers: 2, zones: 2, engines: 2, services: 2, relays: true}
	c := newCluster(t, s, func(c *v1.Configuration) {
		c.Zones[1].Region = "second"
		for _, target := range c.Targets {
			target.Slots = regionSlots
		}
	})
	r := &regions{cluster: c, t: t, moved: &atomic.Int64{}}
	r.countMoved(c.services[1])
	for i, callers := range []int{loadCallers, 2} {
		r.loads[i] = startRegionLoad(t, c.routers[i:i+1], callers)
	}
	r.loads[0].callJobs(t, loadCallers)
	return r
}

// countMoved counts the calls that reach the target.
func (r *regions) countMoved(g *target) {
	next := g.handler
	g.stop()
	g.handler = http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if operationOf(request) != "" {
			r.moved.Add(1)
		}
		next.ServeHTTP(w, request)
	})
	g.start(r.t)
}

// startRegionLoad starts callers of engines.
func startRegionLoad(t *testing.T, routers []*router, callers int) *schedulerLoad {
	l := &schedulerLoad{routers: routers, workspace: "small", done: make(chan struct{}), refused: map[outcome]int{}}
	l.callAll(callers, func(r *router) { l.stream(t, r) })
	return l
}

// callJobs adds callers of services.
func (l *schedulerLoad) callJobs(t *testing.T, callers int) {
	l.callAll(callers, func(r *router) { l.job(t, r) })
}

func (l *schedulerLoad) callAll(callers int, call func(*router)) {
	for i := range callers {
		entry := l.routers[i%len(l.routers)]
		l.wg.Go(func() {
			for !l.stopped() {
				call(entry)
			}
		})
	}
}

func (r *regions) awaitMoved() {
	r.t.Helper()
	want := r.moved.Load() + movedCalls
	await(r.t, "calls reach the other region", func() bool { return r.moved.Load() >= want }, r.poolStatus)
}

// poolStatus returns what each router schedules.
func (r *regions) poolStatus() any {
	pools := map[string][]*v1.PoolStatus{}
	for _, router := range r.routers {
		pools[router.name] = router.status().GetPools()
	}
	return pools
}

// awaitReach waits until a router reaches as many routers as given.
func (r *regions) awaitReach(router *router, count int) {
	r.t.Helper()
	var peers []string
	await(r.t, router.name+" sees who can be reached", func() bool {
		peers = router.status().GetPeers()
		return len(peers) == count
	}, func() any { return peers })
}

// stopAll ends the load. Each call had a final answer, none is left in doubt,
// and no operation ran twice.
func (r *regions) stopAll() {
	r.t.Helper()
	for _, l := range r.loads {
		l.stop(r.t)
	}
	if doubles := r.ledger.Report().Doubles; len(doubles) > 0 {
		r.t.Errorf("ran more than once: %v", doubles)
	}
}

// TestRegionsServeThroughACut cuts two unevenly loaded regions off from each
// other, twice: each goes on with its own targets, and work moves again
// afterwards.
func TestRegionsServeThroughACut(t *testing.T) {
	t.Parallel()
	r := newRegions(t)
	r.awaitMoved()
	for range 2 {
		r.setCut(true)
		for i, router := range r.routers {
			r.awaitReach(router, 1)
			r.loads[i].awaitMore(t, loadCallers)
		}
		r.setCut(false)
		for _, router := range r.routers {
			r.awaitReach(router, len(r.routers))
		}
		r.awaitMoved()
	}
	r.stopAll()
}

func (r *regions) setCut(cut bool) {
	for _, router := range r.routers {
		router.relay.setCut(cut)
	}
}

// TestRegionIsLostUnderLoad kills the router of a region that takes work of the
// other one, and starts it again without memory.
func TestRegionIsLostUnderLoad(t *testing.T) {
	t.Parallel()
	r := newRegions(t)
	r.awaitMoved()
	r.loads[1].stop(t)
	r.routers[1].kill()
	r.awaitReach(r.routers[0], 1)
	r.loads[0].awaitMore(t, 4*loadCallers)
	r.routers[1].restart()
	r.routers[1].awaitReady()
	r.awaitReach(r.routers[0], len(r.routers))
	r.loads[1] = startRegionLoad(t, r.routers[1:], 2)
	r.awaitMoved()
	r.stopAll()
}
