package compose

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/fleet"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/quarantine"
	"github.com/chiveseam/chiveseam/requestkey"
	"github.com/chiveseam/chiveseam/retry"
	"github.com/chiveseam/chiveseam/rollout"
)

const (
	// lameDuckDuration is how long a stopping router still accepts calls, and
	// listRemovalTimeout bounds its wait for an instance list without it. It checks for
	// each step of the stop at drainPollInterval. The daemon's planned stop
	// (router/stop.go) uses the same values.
	lameDuckDuration   = 2 * time.Second
	listRemovalTimeout = 3 * time.Second
	drainPollInterval  = 50 * time.Millisecond
	// resetDelay is the time from the end of a process until the other routers see that
	// their connections to it are closed.
	resetDelay = 10 * time.Millisecond
)

// Router is one incarnation of a router. It connects the packages that make the decisions
// with each other and with the simulated network.
type Router struct {
	sim      *Simulation
	member   requestkey.Member
	zone     string
	instance *v1.Instance
	rng      *rand.Rand
	// clockOffset is the time of the router's clock minus the true time.
	clockOffset time.Duration
	alive       bool
	paused      bool
	// backlog holds the events that were due while the router was paused.
	backlog []func()

	view              *fleet.View
	tracker           *rollout.Tracker
	ledger            *requestkey.Ledger
	quarantineTracker *quarantine.Tracker
	budget            *retry.Budget
	// accepted is the configuration in force, nil before the first one.
	accepted *config.Accepted
	readers  []*platformReader
	// keyViewsFrom holds the names of the peers whose key views have arrived.
	keyViewsFrom  map[string]bool
	broker        *broker
	schedulerHost *schedulerHost

	// open holds the calls that were sent to this router and have not ended.
	open map[*Call]bool
	// executing is the number of requests in progress, including those that other routers
	// forwarded.
	executing int
	// stopping is set when a planned stop begins, refusesCalls lameDuckDuration later.
	stopping     bool
	refusesCalls bool
	checkState   checkState
}

// newRouter returns a router that has not started. Its clock has a random error.
func newRouter(sim *Simulation, name, zone string, incarnation uint64) *Router {
	r := &Router{
		sim:    sim,
		member: requestkey.Member{Name: name, Incarnation: incarnation},
		zone:   zone,
		alive:  true,
		rng:    rand.New(rand.NewPCG(sim.rng.Uint64(), 2)),
		instance: &v1.Instance{
			Name: name, Incarnation: incarnation, Zone: zone, PeerAddress: name, State: v1.InstanceState_LIVE,
		},
		keyViewsFrom: map[string]bool{},
		open:         map[*Call]bool{},
		checkState:   newCheckState(),
	}
	clockError := int64(requestkey.DefaultClockError)
	r.clockOffset = time.Duration(r.rng.Int64N(2*clockError+1) - clockError)
	r.view = fleet.New(r.instance, fleet.DefaultOptions())
	r.tracker = rollout.New(rollout.DefaultOptions(), config.Accept, r.rng)
	r.quarantineTracker = quarantine.New(name, quarantine.Options{})
	r.broker = newBroker(r)
	r.schedulerHost = newSchedulerHost(r)
	ledger, err := requestkey.New(r.member, sim.opts.Keys)
	if err != nil {
		sim.fail("create ledger: %v", err)
	}
	r.ledger = ledger
	return r
}

// start begins the router's periodic work.
func (r *Router) start() {
	r.budget = retry.NewBudget(r.now(),
		retry.BudgetOptions{Percent: retryPercent, Burst: retryBurst, FloorPerSec: retryFloor})
	r.checkState.started = r.sim.now
	r.readers = []*platformReader{r.newConfigReader(), r.newListReader()}
	r.tick()
}

// now returns the time by the router's clock.
func (r *Router) now() time.Time { return r.sim.now.Add(r.clockOffset) }

// tick runs the periodic work of a router and schedules the next tick.
func (r *Router) tick() {
	r.controlTick()
	r.broker.expireDemands()
	r.schedulerHost.tick()
	r.sim.after(r, tickInterval, r.tick)
}

// ready returns whether the router may serve.
func (r *Router) ready() bool {
	return r.tracker.State() == rollout.StateReady
}

// peer returns the latest incarnation of a router.
func (sim *Simulation) peer(name string) *Router {
	i := slices.IndexFunc(sim.Routers, func(r *Router) bool { return r.member.Name == name })
	return sim.Routers[i]
}

// Crash ends the router's process and closes all its connections. Its open calls end
// without a code.
func (r *Router) Crash() {
	if !r.alive {
		return
	}
	r.alive = false
	r.sim.lastDisruption = r.sim.now
	for _, call := range r.openCalls() {
		call.finish(Result{Code: v1.Code_CODE_UNSPECIFIED, Ran: v1.Ran_UNKNOWN})
	}
	for _, other := range r.sim.Routers {
		r.sim.after(other, resetDelay, func() { other.peerExited(r) })
	}
	r.sim.Platform.instancesChanged()
}

// openCalls returns the open calls in the order in which they were sent.
func (r *Router) openCalls() []*Call {
	return slices.SortedFunc(maps.Keys(r.open), func(a, b *Call) int { return cmp.Compare(a.number, b.number) })
}

// peerExited closes the scheduling links from and to a process that has ended, if the
// network connects the two routers.
func (r *Router) peerExited(exited *Router) {
	if !r.sim.connected(r.zone, exited.zone) {
		return
	}
	r.broker.peerExited(exited.member)
	r.schedulerHost.close(exited.poolRouter())
}

// Restart starts the next incarnation of a router that has ended. It has none of the
// state of earlier incarnations.
func (r *Router) Restart() {
	if r.alive || r.sim.peer(r.member.Name) != r {
		return
	}
	next := newRouter(r.sim, r.member.Name, r.zone, r.member.Incarnation+1)
	r.sim.Routers[slices.Index(r.sim.Routers, r)] = next
	r.sim.lastDisruption = r.sim.now
	next.start()
	r.sim.Platform.instancesChanged()
}

// Pause suspends the process, as SIGSTOP does.
func (r *Router) Pause() {
	r.paused = true
	r.sim.lastDisruption = r.sim.now
}

// Resume continues a paused process, which then runs the events that were due meanwhile.
func (r *Router) Resume() {
	if !r.paused {
		return
	}
	r.paused = false
	r.sim.lastDisruption = r.sim.now
	r.checkState.reset()
	r.checkState.resumed = r.sim.now
	backlog := r.backlog
	r.backlog = nil
	for _, run := range backlog {
		r.sim.after(r, 0, run)
	}
}

// Alive returns whether the process runs; it may be paused.
func (r *Router) Alive() bool { return r.alive }

// Stopping returns whether a planned stop has begun.
func (r *Router) Stopping() bool { return r.stopping }

// Stop begins a planned stop. It does nothing if the router is stopping, paused or has
// ended.
func (r *Router) Stop() {
	if r.stopping || !r.alive || r.paused {
		return
	}
	r.stopping = true
	r.sim.Stats.Stops++
	r.view.Stop(r.now())
	r.fleetChanged()
	r.exchangeWithDuePeers()
	r.sim.Platform.instancesChanged()
	r.sim.after(r, lameDuckDuration, func() {
		r.refusesCalls = true
		r.ledger.Stop()
		r.drain()
	})
}

// drain waits until no request is in progress and then for the removal from the list.
func (r *Router) drain() {
	if r.executing > 0 || len(r.open) > 0 {
		r.sim.after(r, drainPollInterval, r.drain)
		return
	}
	r.awaitListRemoval(r.sim.now.Add(listRemovalTimeout))
}

// awaitListRemoval waits, at most until the deadline, for an instance list without this
// router and then hands its keys over.
func (r *Router) awaitListRemoval(deadline time.Time) {
	if r.listed() && r.sim.now.Before(deadline) {
		r.sim.after(r, drainPollInterval, func() { r.awaitListRemoval(deadline) })
		return
	}
	r.handOver()
}

// listed returns whether the instance list in force shows this incarnation as live.
func (r *Router) listed() bool {
	lists := r.view.History(r.now())
	return len(lists) > 0 && lists[len(lists)-1].Routers[r.member.Name] == r.member.Incarnation
}
