package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/deal"
	"github.com/chiveseam/chiveseam/pool"
)

const (
	routerCount = 6
	// grantHoldTime is the router's default of the setting grant-hold.
	grantHoldTime = time.Second
	// maxSpares is passed to pool.Options.
	maxSpares = 4
	// settleTime is passed to pool.Options. The router uses the same value.
	settleTime = 100 * time.Millisecond
	// counterInterval is the time between two transmissions of a scheduler's counters to
	// its successors, which are the routers that follow it in rank.
	counterInterval = time.Second
	// successors is the number of routers that receive the counters.
	successors = 2
	// tickInterval is the time between two pool.Tick events.
	tickInterval = 50 * time.Millisecond
	// peerLostAfter is the silence after which a router or scheduler counts as lost. It is
	// the default of the setting peer-suspect-after.
	peerLostAfter = 2 * time.Second
	// dialTimeout is the time until an attempt to reach an unreachable target fails. It is
	// the default of the setting dial-timeout.
	dialTimeout = time.Second
	// requestLostAfter is the silence of a target after which a running request counts as
	// lost. It is the default of the setting between-tokens-timeout.
	requestLostAfter = 10 * time.Second
)

// cluster simulates the routers, schedulers and targets of a deployment in virtual time.
type cluster struct {
	clock
	rng        *rand.Rand
	deployment *Deployment
	policy     Policy
	// shards is the number of shards of the pool. Zero runs one scheduler and no dealer.
	shards int
	// dealOptions are the settings of the pool's dealer and holders.
	dealOptions deal.Options
	// latency is the time that a message between a router and a scheduler takes. If they
	// are in different regions, regionLatency applies instead.
	latency time.Duration
	// replicateToRouters makes schedulers send their counters to their successors, which
	// bring them to a new scheduler.
	replicateToRouters bool
	// seed is that of the latest scheduler; each new scheduler takes the next number.
	seed    uint64
	routers []*router
	// hosts holds the schedulers that were started, also those that have ended.
	hosts   []*host
	engines map[config.ID]*engine
	// workspaceIndex holds the index of each workspace in deployment.Workspaces.
	workspaceIndex map[config.ID]int
	meter          *meter
	// rateSpread is the standard deviation of the logarithm of a request's rate, for
	// which rateRNG draws the random numbers.
	rateSpread float64
	rateRNG    *rand.Rand
	// partitionedZones are the zones that reach each other but not the other zones.
	partitionedZones map[string]bool
	// exchange makes the schedulers of regions exchange counters and tie demands.
	// partitioned is set while the schedulers know that the regions do not reach each
	// other.
	exchange, partitioned bool
	// regions is empty if one scheduler serves all targets.
	regions []*region
}

// newCluster starts the schedulers of the scenario's policy and joins the routers to them.
func newCluster(d *Deployment, s scenario, seed uint64, latency time.Duration) *cluster {
	c := &cluster{
		rng:                rand.New(rand.NewPCG(seed, 1)),
		deployment:         d,
		policy:             s.policy,
		shards:             s.shards,
		dealOptions:        s.deal,
		latency:            latency,
		replicateToRouters: true,
		seed:               seed,
		engines:            map[config.ID]*engine{},
		workspaceIndex:     map[config.ID]int{},
		meter:              newMeter(d),
		rateRNG:            rand.New(rand.NewPCG(seed, 5)),
	}
	for i, w := range d.Workspaces {
		c.workspaceIndex[w.ID] = i
	}
	for _, t := range d.Targets {
		c.engines[t.ID] = &engine{Target: t, cluster: c}
	}
	for i := range routerCount {
		c.routers = append(c.routers, newRouter(c, i))
	}
	c.startSchedulers()
	return c
}

// startSchedulers starts the schedulers of the policy and joins the routers to them.
func (c *cluster) startSchedulers() {
	if c.policy != Split {
		h := c.newHost(c.deployment.Targets, c.routers[0].zone, c.latency)
		for _, r := range c.routers {
			r.joinScheduler(h)
		}
		return
	}
	for i, r := range c.routers {
		r.joinScheduler(c.newHost(c.splitTargets(i), r.zone, 0))
	}
}

// splitTargets returns all targets with the slots that router i has under the policy Split.
// The slots that remain after an equal division go to the routers in turn.
func (c *cluster) splitTargets(i int) []pool.Target {
	var targets []pool.Target
	offset := 0
	for _, t := range c.deployment.Targets {
		rest := t.Slots % routerCount
		extra := 0
		if (i-offset+routerCount)%routerCount < rest {
			extra = 1
		}
		offset = (offset + rest) % routerCount
		t.Slots = t.Slots/routerCount + extra
		targets = append(targets, t)
	}
	return targets
}

// reachable tells whether messages pass between two zones.
func (c *cluster) reachable(a, b string) bool {
	return c.partitionedZones[a] == c.partitionedZones[b]
}

// host runs the scheduler of a pool, or those of the pool's shards, on a router.
type host struct {
	cluster   *cluster
	scheduler scheduler
	// zone is the zone of the router that runs the scheduler.
	zone string
	// latency is the time that a message between a router of the region and the
	// scheduler takes.
	latency time.Duration
	// alive is false after the scheduler has ended.
	alive bool
	// region is nil if one scheduler serves all targets.
	region *region
	// charges repeats the scheduler's charges to find the terms of the bound on the gap.
	charges *chargeMeter
	// replicated holds the counters as they were last sent to the successors.
	replicated map[config.ID]pool.Counter
}

// newHost starts a scheduler with the targets and all workspaces, without routers.
func (c *cluster) newHost(targets []pool.Target, zone string, latency time.Duration) *host {
	c.seed++
	h := &host{
		cluster: c, zone: zone, latency: latency, alive: true, charges: newChargeMeter(c),
		replicated: map[config.ID]pool.Counter{},
	}
	h.scheduler = h.newScheduler()
	c.hosts = append(c.hosts, h)
	h.step(pool.WorkspacesChanged{Workspaces: c.deployment.Workspaces})
	h.step(pool.TargetsChanged{Targets: targets})
	c.after(tickInterval, h.tick)
	c.after(counterInterval, h.replicateCounters)
	return h
}

// newScheduler returns the scheduler of the cluster's policy, or the schedulers of its
// shards.
func (h *host) newScheduler() scheduler {
	if h.cluster.shards > 0 {
		return newShardedScheduler(h)
	}
	return h.cluster.policy.newScheduler(h.cluster.deployment, h.cluster.seed)
}

// tick steps the scheduler in each tick interval while it is alive.
func (h *host) tick() {
	if h.alive {
		h.step(pool.Tick{})
		h.cluster.after(tickInterval, h.tick)
	}
}

// replicateCounters sends the counters to the successors in each counter interval.
func (h *host) replicateCounters() {
	poolScheduler, ok := h.scheduler.(*pool.Scheduler)
	if !h.alive || !ok || !h.cluster.replicateToRouters {
		return
	}
	counters := h.countersToSend(poolScheduler)
	local := h.localRouters()
	for _, r := range local[1:min(1+successors, len(local))] {
		h.sendToRouter(r, func() { r.counters = counters })
	}
	h.cluster.after(counterInterval, h.replicateCounters)
}

// countersToSend returns the counters as the successors have to know them. A counter is
// updated when it differs from the value last sent by at least the scheduler's counter step.
func (h *host) countersToSend(scheduler *pool.Scheduler) []pool.Counter {
	counters := scheduler.Counters()
	for i, c := range counters {
		sent, ok := h.replicated[c.Workspace]
		if ok && !c.Differs(sent, scheduler.CounterStep()) {
			counters[i] = sent
			continue
		}
		h.replicated[c.Workspace] = c
	}
	return counters
}

// localRouters returns the routers of the scheduler's region, or all routers if there are no
// regions.
func (h *host) localRouters() []*router {
	if h.region == nil {
		return h.cluster.routers
	}
	return h.region.routers()
}

// delay returns the time that a message between the router and the scheduler takes.
func (h *host) delay(r *router) time.Duration {
	if h.region != nil && !h.region.has(r.zone) {
		return regionLatency
	}
	return h.latency
}

// sendToScheduler delivers an event of the router to the scheduler after the delay. It is
// dropped if the scheduler has ended or is unreachable by then.
func (h *host) sendToScheduler(r *router, event pool.Event) {
	h.cluster.after(h.delay(r), func() {
		if h.alive && h.cluster.reachable(r.zone, h.zone) {
			h.step(event)
		}
	})
}

// sendToRouter runs fn after the delay, as the handling of a message from the scheduler to
// the router. It does not run if the router is unreachable by then.
func (h *host) sendToRouter(r *router, fn func()) {
	h.cluster.after(h.delay(r), func() {
		if h.cluster.reachable(r.zone, h.zone) {
			fn()
		}
	})
}

// step passes an event to the scheduler and carries out the resulting actions.
func (h *host) step(event pool.Event) {
	h.charges.recordEvent(event)
	for _, action := range h.scheduler.Step(h.cluster.wallTime(), event) {
		h.route(action)
	}
}

// route sends an action to the router that it is for. Spare slots are returned unused,
// since the routers of a cluster use none.
func (h *host) route(action pool.Action) {
	switch a := action.(type) {
	case pool.Grant:
		r := h.cluster.routerOf(a.ID)
		h.charges.recordGrant(r, a)
		h.sendToRouter(r, func() { r.handleGrant(h, a) })
	case pool.Refuse:
		r := h.cluster.routerOf(a.ID)
		h.sendToRouter(r, func() { r.handleRefusal(h, a) })
	case pool.Tie:
		r := h.cluster.routerOf(a.ID)
		h.sendToRouter(r, func() { r.tieDemand(h, a) })
	case pool.HandSpare:
		r := h.cluster.routerNamed(a.Router.Name)
		h.sendToScheduler(r, pool.SpareReturned{Router: a.Router, Spare: a.Spare})
	}
}

// routerOf returns the router that sent a demand.
func (c *cluster) routerOf(id pool.DemandID) *router { return c.routerNamed(id.Router.Name) }

// routerNamed returns the router with the name. It panics if there is none.
func (c *cluster) routerNamed(name string) *router {
	for _, r := range c.routers {
		if r.id.Name == name {
			return r
		}
	}
	panic(fmt.Sprintf("measure: no router %q", name))
}
