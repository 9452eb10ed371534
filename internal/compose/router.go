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
	// lameDuckTime, unlistedTime and drainPoll are those of the daemon's stop.
	lameDuckTime = 2 * time.Second
	unlistedTime = 3 * time.Second
	drainPoll    = 50 * time.Millisecond
	// resetDelay is how soon others see that a process has ended.
	resetDelay = 10 * time.Millisecond
)

// Router is one incarnation of a router: the decision packages and the glue
// between them.
type Router struct {
	w        *World
	member   requestkey.Member
	zone     string
	instance *v1.Instance
	rng      *rand.Rand
	// offset is the error of its clock.
	offset  time.Duration
	alive   bool
	paused  bool
	backlog []func()

	view    *fleet.View
	tracker *rollout.Tracker
	ledger  *requestkey.Ledger
	book    *quarantine.Tracker
	budget  *retry.Budget
	// accepted is the configuration in force.
	accepted *config.Accepted
	readers  []*reading
	asked    map[string]bool
	broker   *broker
	host     *host

	// open holds the calls that came to this router.
	open map[*Call]bool
	// working counts the requests in execution, forwarded ones too.
	working  int
	stopping bool
	refusing bool
	watch    watch
}

// newRouter returns a router that has not started.
func newRouter(w *World, name, zone string, incarnation uint64) *Router {
	r := &Router{
		w:      w,
		member: requestkey.Member{Name: name, Incarnation: incarnation},
		zone:   zone,
		alive:  true,
		rng:    rand.New(rand.NewPCG(w.rng.Uint64(), 2)),
		instance: &v1.Instance{
			Name: name, Incarnation: incarnation, Zone: zone, PeerAddress: name, State: v1.InstanceState_LIVE,
		},
		asked: map[string]bool{},
		open:  map[*Call]bool{},
		watch: newWatch(),
	}
	clockError := int64(requestkey.DefaultClockError)
	r.offset = time.Duration(r.rng.Int64N(2*clockError+1) - clockError)
	r.view = fleet.New(r.instance, fleet.DefaultOptions())
	r.tracker = rollout.New(rollout.DefaultOptions(), config.Accept, r.rng)
	r.book = quarantine.New(name, quarantine.Options{})
	r.broker = newBroker(r)
	r.host = newHost(r)
	ledger, err := requestkey.New(r.member, w.opts.Keys)
	if err != nil {
		w.fail("%v", err)
	}
	r.ledger = ledger
	return r
}

// start begins the router's periodic work.
func (r *Router) start() {
	r.budget = retry.NewBudget(r.now(), retry.BudgetOptions{Percent: retryPercent, Burst: retryBurst, FloorPerSec: retryFloor})
	r.watch.started = r.w.now
	r.readers = []*reading{r.configReading(), r.listReading()}
	r.tick()
}

// now returns the time by the router's clock.
func (r *Router) now() time.Time { return r.w.now.Add(r.offset) }

func (r *Router) tick() {
	r.controlTick()
	r.broker.sweep()
	r.host.tick()
	r.w.after(r, tickInterval, r.tick)
}

func (r *Router) ready() bool {
	return r.tracker.State() == rollout.StateReady
}

// peer returns the present incarnation of a router.
func (w *World) peer(name string) *Router {
	i := slices.IndexFunc(w.Routers, func(r *Router) bool { return r.member.Name == name })
	return w.Routers[i]
}

// Crash ends the router's process and breaks its callers' connections.
func (r *Router) Crash() {
	if !r.alive {
		return
	}
	r.alive = false
	r.w.troubleAt = r.w.now
	for _, call := range r.openCalls() {
		call.end(Final{Code: v1.Code_CODE_UNSPECIFIED, Ran: v1.Ran_UNKNOWN})
	}
	for _, other := range r.w.Routers {
		r.w.after(other, resetDelay, func() { other.peerEnded(r) })
	}
	r.w.Platform.changed()
}

// openCalls returns the open calls in the order in which they came.
func (r *Router) openCalls() []*Call {
	return slices.SortedFunc(maps.Keys(r.open), func(a, b *Call) int { return cmp.Compare(a.number, b.number) })
}

// peerEnded closes the streams to a process that has ended.
func (r *Router) peerEnded(gone *Router) {
	if !r.w.connected(r.zone, gone.zone) {
		return
	}
	r.broker.peerEnded(gone.member)
	r.host.close(gone.poolRouter())
}

// Restart starts the next incarnation of a router that has ended, without
// memory.
func (r *Router) Restart() {
	if r.alive || r.w.peer(r.member.Name) != r {
		return
	}
	next := newRouter(r.w, r.member.Name, r.zone, r.member.Incarnation+1)
	r.w.Routers[slices.Index(r.w.Routers, r)] = next
	r.w.troubleAt = r.w.now
	next.start()
	r.w.Platform.changed()
}

// Pause stops the process without its knowledge.
func (r *Router) Pause() {
	r.paused = true
	r.w.troubleAt = r.w.now
}

// Resume lets a paused process go on with all that came meanwhile.
func (r *Router) Resume() {
	if !r.paused {
		return
	}
	r.paused = false
	r.w.troubleAt = r.w.now
	r.watch.reset()
	r.watch.resumed = r.w.now
	backlog := r.backlog
	r.backlog = nil
	for _, run := range backlog {
		r.w.after(r, 0, run)
	}
}

// Alive returns whether the process runs; it may be paused.
func (r *Router) Alive() bool { return r.alive }

// Stopping returns whether a planned stop has begun.
func (r *Router) Stopping() bool { return r.stopping }

// Stop begins a planned stop.
func (r *Router) Stop() {
	if r.stopping || !r.alive || r.paused {
		return
	}
	r.stopping = true
	r.w.Stats.Stops++
	r.view.Stop(r.now())
	r.fleetChanged()
	r.exchangeDue()
	r.w.Platform.changed()
	r.w.after(r, lameDuckTime, func() {
		r.refusing = true
		r.ledger.Stop()
		r.drain()
	})
}

// drain waits for the requests in progress.
func (r *Router) drain() {
	if r.working > 0 || len(r.open) > 0 {
		r.w.after(r, drainPoll, r.drain)
		return
	}
	r.awaitUnlisted(r.w.now.Add(unlistedTime))
}

func (r *Router) awaitUnlisted(deadline time.Time) {
	if r.listed() && r.w.now.Before(deadline) {
		r.w.after(r, drainPoll, func() { r.awaitUnlisted(deadline) })
		return
	}
	r.handOver()
}

// listed reports whether the list in force has this router as live.
func (r *Router) listed() bool {
	lists := r.view.History(r.now())
	return len(lists) > 0 && lists[len(lists)-1].Routers[r.member.Name] == r.member.Incarnation
}
