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
	// awaitedCrossRegionCalls is the number of calls that have to reach the other region.
	awaitedCrossRegionCalls = 10
)

// regionPair is a deployment of two regionPair of a router, an engine and a service
// each. Only callers of the first region call services, so that each call that
// reaches the service of the second one has moved.
type regionPair struct {
	*cluster
	t                *testing.T
	crossRegionCalls *atomic.Int64
	// loads holds the callers of each region.
	loads [2]*schedulerLoad
}

func newRegionPair(t *testing.T) *regionPair {
	s := clusterSize{routers: 2, zones: 2, engines: 2, services: 2, relays: true}
	c := newCluster(t, s, func(c *v1.Configuration) {
		c.Zones[1].Region = "second"
		for _, target := range c.Targets {
			target.Slots = regionSlots
		}
	})
	r := &regionPair{cluster: c, t: t, crossRegionCalls: &atomic.Int64{}}
	r.countCrossRegionCalls(c.services[1])
	for i, callers := range []int{loadCallers, 2} {
		r.loads[i] = startEngineLoad(t, c.routers[i:i+1], callers)
	}
	r.loads[0].startServiceCallers(t, loadCallers)
	return r
}

// countCrossRegionCalls counts the calls that reach the target.
func (r *regionPair) countCrossRegionCalls(g *target) {
	next := g.handler
	g.stop()
	g.handler = http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if operationOf(request) != "" {
			r.crossRegionCalls.Add(1)
		}
		next.ServeHTTP(w, request)
	})
	g.start(r.t)
}

// startEngineLoad starts callers of engines.
func startEngineLoad(t *testing.T, routers []*router, callers int) *schedulerLoad {
	l := &schedulerLoad{routers: routers, workspace: "small", done: make(chan struct{}), refused: map[outcome]int{}}
	l.startCallers(callers, func(r *router) { l.stream(t, r) })
	return l
}

// startServiceCallers adds callers of services.
func (l *schedulerLoad) startServiceCallers(t *testing.T, callers int) {
	l.startCallers(callers, func(r *router) { l.job(t, r) })
}

func (l *schedulerLoad) startCallers(callers int, call func(*router)) {
	for i := range callers {
		entry := l.routers[i%len(l.routers)]
		l.wg.Go(func() {
			for !l.stopped() {
				call(entry)
			}
		})
	}
}

func (r *regionPair) awaitCrossRegionCalls() {
	r.t.Helper()
	want := r.crossRegionCalls.Load() + awaitedCrossRegionCalls
	await(r.t, "calls reach the other region", func() bool { return r.crossRegionCalls.Load() >= want }, r.poolStatus)
}

// poolStatus returns what each router schedules.
func (r *regionPair) poolStatus() any {
	pools := map[string][]*v1.PoolStatus{}
	for _, router := range r.routers {
		pools[router.name] = router.status().GetPools()
	}
	return pools
}

// awaitReachableRouters waits until a router reaches as many routers as given.
func (r *regionPair) awaitReachableRouters(router *router, count int) {
	r.t.Helper()
	var peers []string
	await(r.t, router.name+" sees who can be reached", func() bool {
		peers = router.status().GetPeers()
		return len(peers) == count
	}, func() any { return peers })
}

// stopLoads ends the load. Each call had a final answer, none is left in doubt,
// and no operation ran twice.
func (r *regionPair) stopLoads() {
	r.t.Helper()
	for _, l := range r.loads {
		l.stop(r.t)
	}
	if doubles := r.ledger.Report().Doubles; len(doubles) > 0 {
		r.t.Errorf("ran more than once: %v", doubles)
	}
}

// TestRegionsServeDuringPartition cuts two unevenly loaded regions off from each
// other, twice: each goes on with its own targets, and work moves again
// afterwards.
func TestRegionsServeDuringPartition(t *testing.T) {
	t.Parallel()
	r := newRegionPair(t)
	r.awaitCrossRegionCalls()
	for range 2 {
		r.setPartitioned(true)
		for i, router := range r.routers {
			r.awaitReachableRouters(router, 1)
			r.loads[i].awaitMore(t, loadCallers)
		}
		r.setPartitioned(false)
		for _, router := range r.routers {
			r.awaitReachableRouters(router, len(r.routers))
		}
		r.awaitCrossRegionCalls()
	}
	r.stopLoads()
}

func (r *regionPair) setPartitioned(partitioned bool) {
	for _, router := range r.routers {
		router.relay.setPartitioned(partitioned)
	}
}

// TestRegionIsLostUnderLoad kills the router of a region that takes work of the
// other one, and starts it again without memory.
func TestRegionIsLostUnderLoad(t *testing.T) {
	t.Parallel()
	r := newRegionPair(t)
	r.awaitCrossRegionCalls()
	r.loads[1].stop(t)
	r.routers[1].kill()
	r.awaitReachableRouters(r.routers[0], 1)
	r.loads[0].awaitMore(t, 4*loadCallers)
	r.routers[1].restart()
	r.routers[1].awaitReady()
	r.awaitReachableRouters(r.routers[0], len(r.routers))
	r.loads[1] = startEngineLoad(t, r.routers[1:], 2)
	r.awaitCrossRegionCalls()
	r.stopLoads()
}
