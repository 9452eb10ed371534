package e2e

import (
	"net/http"
	"sync/atomic"
	"testing"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const (
	// regionSlots is the number of slots of each target: fewer than the callers of
	// the first region, so that calls wait.
	regionSlots = 1
	// awaitedCrossRegionCalls is the number of calls for which
	// awaitCrossRegionCalls waits.
	awaitedCrossRegionCalls = 10
)

// regionPair is a deployment of two regions, each with one router, one engine and
// one service. Only callers of the first region send requests to services, so that
// each request that reaches the service of the second region crossed the regions.
type regionPair struct {
	*cluster
	t *testing.T
	// crossRegionCalls counts the requests at the second region's service.
	crossRegionCalls *atomic.Int64
	// loads holds the load of each region.
	loads [2]*schedulerLoad
}

// newRegionPair starts the deployment and its load: more callers in the first region
// than its targets have slots, and two in the second.
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

// countCrossRegionCalls restarts the target with a handler that counts requests in
// crossRegionCalls.
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

// startEngineLoad starts callers that send streams until stop is called.
func startEngineLoad(t *testing.T, routers []*router, callers int) *schedulerLoad {
	l := &schedulerLoad{routers: routers, workspace: "small", done: make(chan struct{}), refused: map[outcome]int{}}
	l.startCallers(callers, func(r *router) { l.stream(t, r) })
	return l
}

// startServiceCallers adds callers that send service requests.
func (l *schedulerLoad) startServiceCallers(t *testing.T, callers int) {
	l.startCallers(callers, func(r *router) { l.job(t, r) })
}

// startCallers starts callers, spread over the routers of the load, that repeat call
// until the load stops.
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

// awaitCrossRegionCalls waits until awaitedCrossRegionCalls further requests have
// crossed from the first region to the second.
func (r *regionPair) awaitCrossRegionCalls() {
	r.t.Helper()
	want := r.crossRegionCalls.Load() + awaitedCrossRegionCalls
	await(r.t, "calls reach the other region", func() bool { return r.crossRegionCalls.Load() >= want }, r.poolStatus)
}

// poolStatus returns the pools that each router schedules, by the router's name.
func (r *regionPair) poolStatus() any {
	pools := map[string][]*v1.PoolStatus{}
	for _, router := range r.routers {
		pools[router.name] = router.status().GetPools()
	}
	return pools
}

// awaitReachableRouters waits until the router reaches count routers, itself
// included.
func (r *regionPair) awaitReachableRouters(router *router, count int) {
	r.t.Helper()
	var peers []string
	await(r.t, router.name+" reaches the expected number of routers", func() bool {
		peers = router.status().GetPeers()
		return len(peers) == count
	}, func() any { return peers })
}

// stopLoads ends the load of both regions. It fails the test if a call got no final
// answer or one that leaves open whether it ran, or if an operation ran twice.
func (r *regionPair) stopLoads() {
	r.t.Helper()
	for _, l := range r.loads {
		l.stop(r.t)
	}
	if doubles := r.ledger.Report().Doubles; len(doubles) > 0 {
		r.t.Errorf("ran more than once: %v", doubles)
	}
}

// TestRegionsServeDuringPartition guards against a region that stops serving when a
// network partition separates it from the other one. The regions are unevenly
// loaded. Twice, the test partitions them and ends the partition: during it each
// region serves with its own targets, and afterwards requests cross regions again.
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

// setPartitioned begins or ends a network partition between the routers.
func (r *regionPair) setPartitioned(partitioned bool) {
	for _, router := range r.routers {
		router.relay.setPartitioned(partitioned)
	}
}

// TestRegionIsLostUnderLoad guards against lost requests when a region fails that
// serves requests of the other one: its router is killed and later restarted as a
// new incarnation with empty state. The other region must go on serving, and
// requests must cross regions again after the restart.
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
