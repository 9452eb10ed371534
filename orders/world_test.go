package orders_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/config/configtest"
	"github.com/chiveseam/chiveseam/orders"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const (
	tick        = 200 * time.Millisecond
	settleTime  = time.Second
	maxPause    = 2 * time.Second
	maxDelay    = 10 * time.Second
	loadTime    = 3 * time.Second
	weightBytes = 10 << 10
	storeRate   = 5 << 10
)

var start = time.Unix(1_800_000_000, 0)

// faults is what may go wrong in a world.
type faults struct {
	lost, doubled, late float64
	// cuts gives routers different views; pauses, routerRestarts and
	// engineRestarts are chances for each second.
	cuts                                   bool
	pauses, routerRestarts, engineRestarts float64
	// olderState lets engines restart with the version of any revision.
	olderState bool
	staleness  time.Duration
	failing    int
	// loads is the limit of the weight store.
	loads uint32
}

// engine is a model of an engine with its queue of orders.
type engine struct {
	name      string
	checks    bool
	fails     bool
	state     orders.State
	queue     []delivery
	running   *delivery
	runsUntil time.Time
	reload    bool
	// newest is the version loaded last since the start.
	newest string
}

// delivery is an order on its way.
type delivery struct {
	order orders.SendOrder
	from  *router
	// ended is set once the sender has its answer. It is shared by the copies
	// of an order.
	ended *bool
}

// router is a sender with its own view.
type router struct {
	name   string
	sender *orders.Sender
	plan   *orders.Plan
	view   []orders.Router
	// last is the latest tick and ticked its time.
	last   orders.Tick
	ticked time.Time
	// heldFrom is the start of the role and zero without it.
	heldFrom time.Time
	paused   time.Time
	inbox    []orders.Event
	reports  map[string]orders.State
	admits   []time.Time
	gone     bool
}

// world joins routers and engines in virtual time.
type world struct {
	now    time.Time
	rng    *rand.Rand
	faults faults
	plans  []*orders.Plan
	// versions holds the versions of the plans in their order.
	versions []string
	routers  []*router
	engines  []*engine
	timers   map[int64][]func()
	starts   uint64
	orders   int
	// agreed is set when only one sender's orders change an engine and none
	// arrives late, so that the bound of rolling reloads is exact.
	agreed bool
	// broken is the first violation of an invariant.
	broken string
}

func newPlan(revision uint64, engines int, loads uint32) *orders.Plan {
	return newPlanOf(revision, engines, loads, func(*v1.Configuration) {})
}

func newPlanOf(revision uint64, engines int, loads uint32, change func(*v1.Configuration)) *orders.Plan {
	c := configtest.Valid()
	c.WeightStore = &v1.WeightStore{MaxConcurrentLoads: loads, BytesPerSecond: storeRate}
	c.Pools[0].Model = &v1.ModelState{Version: version(revision), WeightBytes: weightBytes, Adapters: []string{"legal", "print"}}
	c.Targets = c.Targets[1:]
	for i := range engines {
		c.Targets = append(c.Targets, &v1.Target{
			Name: engineName(i), Pool: configtest.EnginePool, Zone: configtest.Zone, Slots: 4,
			Address: fmt.Sprintf("127.0.0.1:%d", 7100+i), ChecksFencing: i%2 == 0, SpeedPercent: 100,
			Role: []string{"mixed", "prefill"}[revision%2],
		})
	}
	change(c)
	payload, err := proto.Marshal(c)
	if err != nil {
		panic(err)
	}
	accepted, err := config.Accept(revision, payload)
	if err != nil {
		panic(err)
	}
	plan, err := orders.NewPlan(accepted)
	if err != nil {
		panic(err)
	}
	return plan
}

func version(revision uint64) string { return fmt.Sprintf("v%d", revision) }
func engineName(i int) string        { return fmt.Sprintf("engine-%d", i) }

func newWorld(seed uint64, f faults, routers, engines, revisions int) *world {
	w := &world{agreed: !f.cuts && !f.olderState && f.late == 0 && f.doubled == 0, now: start, rng: rand.New(rand.NewPCG(seed, 1)), faults: f, timers: map[int64][]func(){}}
	for i := range revisions {
		w.plans = append(w.plans, newPlan(uint64(i+1), engines, f.loads))
		w.versions = append(w.versions, version(uint64(i+1)))
	}
	for i := range engines {
		w.engines = append(w.engines, &engine{name: engineName(i), checks: i%2 == 0, fails: i < f.failing})
	}
	for i := range routers {
		w.routers = append(w.routers, w.newRouter(fmt.Sprintf("router-%d", i)))
	}
	w.setViews(func(a, b int) bool { return true })
	return w
}

func (w *world) newRouter(name string) *router {
	w.starts++
	opts := orders.Options{Settle: settleTime, MaxPause: maxPause, OrderTimeout: 20 * time.Second, MaxDelay: maxDelay, Seed: w.starts}
	return &router{name: name, sender: orders.New(name, opts), reports: map[string]orders.State{}}
}

func (w *world) setViews(sees func(a, b int) bool) {
	for i, r := range w.routers {
		r.view = nil
		for j, other := range w.routers {
			if i == j || sees(i, j) {
				r.view = append(r.view, orders.Router{Name: other.name, Region: configtest.Region})
			}
		}
	}
}

func (w *world) chance(p float64) bool { return w.rng.Float64() < p }

func (w *world) after(d time.Duration, f func()) {
	at := int64((w.now.Sub(start) + d) / tick)
	at = max(at, int64(w.now.Sub(start)/tick)+1)
	w.timers[at] = append(w.timers[at], f)
}

// run advances the time until done returns true or the time is over.
func (w *world) run(d time.Duration, done func() bool) bool {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(tick)
		at := int64(w.now.Sub(start) / tick)
		due := w.timers[at]
		delete(w.timers, at)
		for _, f := range due {
			f()
		}
		for _, e := range w.engines {
			w.stepEngine(e)
		}
		for _, r := range w.routers {
			w.stepRouter(r)
		}
		w.checkLoads()
		if done() || w.broken != "" {
			return w.broken == ""
		}
	}
	return false
}

// stepRouter delivers what waits before the tick, as a process that wakes up
// from a pause may do.
func (w *world) stepRouter(r *router) {
	if w.now.Before(r.paused) {
		return
	}
	inbox := r.inbox
	r.inbox = nil
	for _, event := range inbox {
		if q, ok := event.(orders.QueryEnded); ok && q.Outcome == orders.Done {
			r.reports[q.Target] = q.State
		}
		if o, ok := event.(orders.OrderEnded); ok && o.Outcome == orders.Done {
			r.reports[o.Target] = o.State
		}
		w.do(r, r.sender.Step(w.now, event))
	}
	switch {
	case !owns(r.name, r.view) || r.plan == nil:
		r.heldFrom = time.Time{}
	case r.heldFrom.IsZero() || w.now.Sub(r.ticked) > maxPause:
		r.heldFrom = w.now
	}
	r.ticked = w.now
	r.last = orders.Tick{Plan: r.plan, Routers: r.view}
	w.do(r, r.sender.Step(w.now, r.last))
}

func (w *world) do(r *router, actions []orders.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case orders.QueryState:
			w.query(r, a)
		case orders.SendOrder:
			w.checkSend(r, a)
			w.send(r, a)
		}
	}
}

func (w *world) query(r *router, q orders.QueryState) {
	e := w.engine(q.Target)
	if w.chance(w.faults.lost) {
		return
	}
	w.after(w.delay(), func() {
		state := e.state
		state.Adapters = slices.Clone(state.Adapters)
		w.after(w.delay(), func() {
			w.tell(r, orders.QueryEnded{Target: q.Target, Attempt: q.Attempt, Outcome: orders.Done, State: state})
		})
	})
}

func (w *world) delay() time.Duration { return time.Duration(w.rng.IntN(3)) * tick }

func (w *world) tell(r *router, event orders.Event) {
	if !r.gone {
		r.inbox = append(r.inbox, event)
	}
}

func (w *world) send(r *router, o orders.SendOrder) {
	w.orders++
	e := w.engine(o.Target)
	d := delivery{order: o, from: r, ended: new(bool)}
	switch {
	case w.chance(w.faults.lost):
		w.after(tick, func() { w.answer(d, orders.Unknown, orders.State{}) })
	case w.chance(w.faults.late):
		w.after(tick, func() { w.answer(d, orders.Unknown, orders.State{}) })
		w.after(time.Duration(w.rng.IntN(30))*time.Second, func() { e.queue = append(e.queue, d) })
	default:
		w.after(w.delay(), func() { e.queue = append(e.queue, d) })
	}
	if w.chance(w.faults.doubled) {
		w.after(time.Duration(w.rng.IntN(10))*time.Second, func() { e.queue = append(e.queue, d) })
	}
}

// answer tells a sender how its order ended, once.
func (w *world) answer(d delivery, outcome orders.Outcome, state orders.State) {
	if *d.ended {
		return
	}
	if outcome != orders.Unknown && w.chance(w.faults.lost) {
		outcome = orders.Unknown
	}
	*d.ended = true
	w.tell(d.from, orders.OrderEnded{Target: d.order.Target, Attempt: d.order.Attempt, Outcome: outcome, State: state})
}

func (w *world) engine(name string) *engine {
	i := slices.IndexFunc(w.engines, func(e *engine) bool { return e.name == name })
	return w.engines[i]
}

// stepEngine carries out orders one at a time.
func (w *world) stepEngine(e *engine) {
	if e.running != nil && !w.now.Before(e.runsUntil) {
		w.finish(e)
	}
	for e.running == nil && len(e.queue) > 0 {
		d := e.queue[0]
		e.queue = e.queue[1:]
		order := d.order.Order
		if e.checks && order.Fencing < e.state.Fencing {
			w.answer(d, orders.Refused, orders.State{})
			continue
		}
		e.state.Fencing = max(e.state.Fencing, order.Fencing)
		e.running = &d
		e.runsUntil = w.now
		e.reload = order.Kind == orders.LoadModel && e.state.Version != ""
		if order.Kind != orders.SetRole {
			e.runsUntil = w.now.Add(loadTime)
			return
		}
		w.finish(e)
	}
}

func (w *world) finish(e *engine) {
	d := *e.running
	e.running = nil
	order := d.order.Order
	if e.fails && order.Kind != orders.SetRole {
		w.answer(d, orders.Failed, orders.State{})
		return
	}
	w.checkApply(e, order)
	switch order.Kind {
	case orders.LoadModel:
		e.state.Version = order.Version
		e.state.Adapters = nil
	case orders.LoadAdapter:
		e.state.Adapters = append(slices.Clone(e.state.Adapters), order.Adapter)
	case orders.SetRole:
		e.state.Role = order.Role
	}
	w.answer(d, orders.Done, e.state)
}

// restart empties an engine, or gives it the state of an older revision.
func (w *world) restart(e *engine) {
	if e.running != nil {
		w.answer(*e.running, orders.Unknown, orders.State{})
	}
	e.running, e.queue = nil, nil
	e.state = orders.State{}
	e.newest = ""
	if w.faults.olderState {
		e.state.Version = version(uint64(w.rng.IntN(len(w.plans))) + 1)
	}
}
