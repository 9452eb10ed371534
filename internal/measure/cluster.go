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
	// grantHoldTime is the daemon's default of the setting grant-hold.
	grantHoldTime = time.Second
	maxSpares     = 4
	// settleTime is that of the daemon.
	settleTime = 100 * time.Millisecond
	// counterInterval is how often counters go to the next routers in rank.
	counterInterval = time.Second
	successors      = 2
	tickInterval    = 50 * time.Millisecond
	// peerLostAfter is how long a peer is silent before it counts as lost.
	peerLostAfter = 2 * time.Second
	// dialTimeout is how long an attempt at an unreachable target takes.
	dialTimeout = time.Second
	// requestLostAfter is the silence after which a running request is lost.
	requestLostAfter = 10 * time.Second
)

// cluster is a deployment in virtual time.
type cluster struct {
	clock
	rng        *rand.Rand
	deployment *Deployment
	policy     Policy
	// shards is the number of shards of the pool; zero has no dealer.
	shards int
	// dealOptions are the settings of its dealer.
	dealOptions deal.Options
	latency     time.Duration
	// replicateToRouters is set if schedulers give their counters to routers.
	replicateToRouters bool
	seed               uint64
	routers            []*router
	hosts              []*host
	engines            map[config.ID]*engine
	workspaceIndex     map[config.ID]int
	meter              *meter
	// rateSpread is the standard deviation of the logarithm of a request's rate.
	rateSpread float64
	rateRNG    *rand.Rand
	// partitionedZones are cut off from the other zones.
	partitionedZones map[string]bool
	// exchange is set if regions swap counters and tie demands. partitioned is
	// set while schedulers know that the regions are cut off.
	exchange, partitioned bool
	// regions is empty if one scheduler serves all targets.
	regions []*region
}

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

// startSchedulers starts the schedulers of the policy and joins the routers.
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

// splitTargets returns the targets with the part of the slots of router i. The
// slots that are left over after an equal division go to the routers in turn.
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

// host runs a scheduler on a router.
type host struct {
	cluster   *cluster
	scheduler scheduler
	zone      string
	latency   time.Duration
	alive     bool
	// region is nil if one scheduler serves all targets.
	region *region
	// charges follows what the scheduler charged, for the bound.
	charges *chargeMeter
	// replicated holds the counters as last sent.
	replicated map[config.ID]pool.Counter
}

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

func (h *host) newScheduler() scheduler {
	if h.cluster.shards > 0 {
		return newSharded(h)
	}
	return h.cluster.policy.newScheduler(h.cluster.deployment, h.cluster.seed)
}

func (h *host) tick() {
	if h.alive {
		h.step(pool.Tick{})
		h.cluster.after(tickInterval, h.tick)
	}
}

// replicateCounters gives the counters to the routers next in rank.
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

// countersToSend returns the counters as last sent, those that countersToSend by the step
// anew.
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

// localRouters returns the routers of the scheduler's region.
func (h *host) localRouters() []*router {
	if h.region == nil {
		return h.cluster.routers
	}
	return h.region.routers()
}

// delay is the time that a message from or to a router takes.
func (h *host) delay(r *router) time.Duration {
	if h.region != nil && !h.region.has(r.zone) {
		return regionLatency
	}
	return h.latency
}

// sendToScheduler delivers an event of a router after the latency.
func (h *host) sendToScheduler(r *router, event pool.Event) {
	h.cluster.after(h.delay(r), func() {
		if h.alive && h.cluster.reachable(r.zone, h.zone) {
			h.step(event)
		}
	})
}

// sendToRouter delivers something to a router after the latency.
func (h *host) sendToRouter(r *router, fn func()) {
	h.cluster.after(h.delay(r), func() {
		if h.cluster.reachable(r.zone, h.zone) {
			fn()
		}
	})
}

func (h *host) step(event pool.Event) {
	h.charges.recordEvent(event)
	for _, action := range h.scheduler.Step(h.cluster.wallTime(), event) {
		h.route(action)
	}
}

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

func (c *cluster) routerOf(id pool.DemandID) *router { return c.routerNamed(id.Router.Name) }

func (c *cluster) routerNamed(name string) *router {
	for _, r := range c.routers {
		if r.id.Name == name {
			return r
		}
	}
	panic(fmt.Sprintf("measure: no router %q", name))
}
