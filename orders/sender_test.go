package orders_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chiveseam/chiveseam/config/configtest"
	_ "github.com/chiveseam/chiveseam/internal/fixedseed"
	"github.com/chiveseam/chiveseam/orders"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/rendezvous"
)

func (w *world) fail(format string, args ...any) {
	if w.broken == "" {
		w.broken = w.now.Sub(start).String() + ": " + fmt.Sprintf(format, args...)
	}
}

func owns(name string, view []orders.Router) bool {
	var names []string
	for _, r := range view {
		names = append(names, r.Name)
	}
	owner, _ := rendezvous.Owner("orders/"+configtest.Region, names)
	return owner == name
}

// checkSend checks an order against what its sender knows.
func (w *world) checkSend(r *router, o orders.SendOrder) {
	if !owns(r.name, r.last.Routers) {
		w.fail("%s sends without the role", r.name)
	}
	if w.now.Sub(r.heldFrom) < settleTime {
		w.fail("%s sends %v after it gained the role", r.name, w.now.Sub(r.heldFrom))
	}
	if w.now.Sub(r.ticked) > maxPause {
		w.fail("%s sends with a view of %v ago", r.name, w.now.Sub(r.ticked))
	}
	if reported := r.reports[o.Target].Fencing.Revision(); reported > r.last.Plan.Revision {
		w.fail("%s sends an order of revision %d to %s, which reported %d", r.name, r.last.Plan.Revision, o.Target, reported)
	}
	if o.Order.Fencing.Revision() != r.last.Plan.Revision {
		w.fail("number %d is not of revision %d", o.Order.Fencing, r.last.Plan.Revision)
	}
	if o.Order.Kind != orders.SetRole {
		w.checkRate(r)
	}
}

// checkRate checks that a sender admits at most one load beyond the rate.
func (w *world) checkRate(r *router) {
	r.admits = append(r.admits, w.now)
	for i, from := range r.admits {
		bytes := (len(r.admits) - i) * weightBytes
		if float64(bytes) > w.now.Sub(from).Seconds()*storeRate+weightBytes {
			w.fail("%s admits %d bytes in %v", r.name, bytes, w.now.Sub(from))
		}
	}
}

// checkApply checks that the model of an engine that checks numbers never goes
// back to that of an older revision.
func (w *world) checkApply(e *engine, order orders.Order) {
	if order.Kind != orders.LoadModel || !e.checks {
		return
	}
	if slices.Index(w.versions, order.Version) < slices.Index(w.versions, e.newest) {
		w.fail("%s goes back from %s to %s", e.name, e.newest, order.Version)
	}
	e.newest = order.Version
}

// checkLoads checks the limit of the weight store and the rolling reload for
// each sender. Copies and late orders that run after their sender was told of
// the end are left out.
func (w *world) checkLoads() {
	loads, reloads := map[*router]int{}, map[*router]int{}
	for _, e := range w.engines {
		if e.running == nil || *e.running.ended {
			continue
		}
		if e.running.order.Order.Kind != orders.SetRole {
			loads[e.running.from]++
		}
		if e.reload {
			reloads[e.running.from]++
		}
	}
	limit := max(1, len(w.engines)*orders.DefaultOptions().MaxUnavailablePercent/100)
	for r, count := range loads {
		if count > int(w.faults.loads) {
			w.fail("%d loads of %s at a time", count, r.name)
		}
		if reloads[r] > limit && w.agreed {
			w.fail("%d engines reloaded at a time by %s", reloads[r], r.name)
		}
	}
}

// disturb draws the faults of one second.
func (w *world) disturb() {
	for i, r := range w.routers {
		switch {
		case w.chance(w.faults.pauses):
			r.paused = w.now.Add(time.Duration(w.rng.IntN(30)) * time.Second)
		case w.chance(w.faults.routerRestarts):
			r.gone = true
			plan, view := r.plan, r.view
			w.routers[i] = w.newRouter(r.name)
			w.routers[i].plan, w.routers[i].view = plan, view
		}
	}
	for _, e := range w.engines {
		if w.chance(w.faults.engineRestarts) {
			w.restart(e)
		}
	}
	if w.faults.cuts && w.chance(0.1) {
		border := w.rng.IntN(len(w.routers) + 1)
		w.setViews(func(a, b int) bool { return (a < border) == (b < border) })
	}
}

// publish lets each router learn each revision within the staleness.
func (w *world) publish(every time.Duration) {
	for i, plan := range w.plans {
		for slot := range w.routers {
			at := time.Duration(i) * every
			if w.faults.staleness > 0 {
				at += time.Duration(w.rng.Int64N(int64(w.faults.staleness)))
			}
			w.after(at, func() { w.learn(slot, plan) })
		}
	}
}

func (w *world) learn(slot int, plan *orders.Plan) {
	if r := w.routers[slot]; r.plan == nil || r.plan.Revision < plan.Revision {
		r.plan = plan
	}
}

// settle ends the faults.
func (w *world) settle() {
	newest := w.plans[len(w.plans)-1]
	failing := w.faults.failing
	w.faults = faults{failing: failing, loads: w.faults.loads}
	for i, r := range w.routers {
		r.paused = time.Time{}
		w.learn(i, newest)
	}
	w.setViews(func(a, b int) bool { return true })
}

// converged reports whether all engines that do not fail are as desired.
func (w *world) converged() bool {
	for _, desired := range w.plans[len(w.plans)-1].Engines {
		e := w.engine(desired.Name)
		for _, adapter := range desired.Adapters {
			if !e.fails && !slices.Contains(e.state.Adapters, adapter) {
				return false
			}
		}
		if !e.fails && (e.state.Version != desired.Version || e.state.Role != desired.Role) {
			return false
		}
	}
	return true
}

const (
	faultyTime = 120 * time.Second
	// strayTime is the time after which no late order is on its way.
	strayTime = 60 * time.Second
	calmTime  = 10 * time.Minute
)

func (w *world) disturbFor(d time.Duration) bool {
	ok := true
	for range int(d / time.Second) {
		w.disturb()
		w.run(time.Second, func() bool { return false })
		ok = ok && w.broken == ""
	}
	return ok
}

// TestConvergesAfterFaults draws worlds with any mixture of faults.
func TestConvergesAfterFaults(t *testing.T) {
	var longest time.Duration
	var worlds, sent int
	rapid.Check(t, func(t *rapid.T) {
		f := faults{
			lost:           rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(t, "lost"),
			doubled:        rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "doubled"),
			late:           rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "late"),
			cuts:           rapid.Bool().Draw(t, "cuts"),
			pauses:         rapid.SampledFrom([]float64{0, 0.02}).Draw(t, "pauses"),
			routerRestarts: rapid.SampledFrom([]float64{0, 0.02}).Draw(t, "routerRestarts"),
			engineRestarts: rapid.SampledFrom([]float64{0, 0.01}).Draw(t, "engineRestarts"),
			olderState:     rapid.Bool().Draw(t, "olderState"),
			staleness:      rapid.SampledFrom([]time.Duration{0, time.Minute}).Draw(t, "staleness"),
			failing:        rapid.IntRange(0, 1).Draw(t, "failing"),
			loads:          rapid.Uint32Range(1, 3).Draw(t, "loads"),
		}
		w := newWorld(rapid.Uint64().Draw(t, "seed"), f, 4, rapid.IntRange(2, 9).Draw(t, "engines"), 3)
		w.publish(faultyTime / 4)
		w.disturbFor(faultyTime)
		w.settle()
		from, last := w.now, w.now
		w.run(strayTime, func() bool {
			if !w.converged() {
				last = w.now
			}
			return false
		})
		if w.broken == "" && !w.converged() {
			if !w.run(calmTime, w.converged) {
				w.fail("not converged")
			}
			last = w.now
		}
		if w.broken != "" {
			t.Fatal(w.broken)
		}
		longest = max(longest, last.Sub(from))
		worlds++
		sent += w.orders
	})
	is.New(t).True(sent > worlds)
	t.Logf("%d worlds, %d orders, longest time to converge %v", worlds, sent, longest)
}

// TestWeightStoreAcrossHandover checks the rate over all senders while the role
// moves between routers whose views agree.
func TestWeightStoreAcrossHandover(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), faults{lost: 0.1, engineRestarts: 0.02, loads: 2}, 4, 9, 3)
		w.publish(faultyTime / 4)
		for range 6 {
			out := w.rng.IntN(len(w.routers))
			w.setViews(func(_, b int) bool { return b != out })
			w.routers[out].view = nil
			w.disturbFor(faultyTime / 6)
		}
		var all []time.Time
		for _, r := range w.routers {
			all = append(all, r.admits...)
		}
		slices.SortFunc(all, time.Time.Compare)
		shared := &router{name: "the fleet"}
		for _, at := range all {
			w.now = at
			w.checkRate(shared)
			shared.admits[len(shared.admits)-1] = at
		}
		if w.broken != "" {
			t.Fatal(w.broken)
		}
	})
}

// TestNumbersFenceDoubledOrders checks that the orders of one revision have
// ascending numbers, so that a doubled load cannot undo a later one.
func TestNumbersFenceDoubledOrders(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, faults{doubled: 1, loads: 1}, 1, 1, 1)
	w.publish(time.Second)
	is.True(w.run(calmTime, w.converged))
	state := w.engines[0].state
	is.Equal(state.Fencing.Sequence(), uint64(3)) // role, version, two adapters
	is.True(!w.run(strayTime, func() bool { return !w.converged() }))
	is.Equal(w.broken, "")
}

// TestFailingEngineYields checks that an engine whose loads fail leaves the
// only permitted load to the others, and that its delays grow.
func TestFailingEngineYields(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, faults{failing: 1, loads: 1}, 1, 6, 1)
	w.publish(time.Second)
	tries := 0
	var last *delivery
	count := func() {
		if running := w.engines[0].running; running != nil && running != last {
			last = running
			tries++
		}
	}
	is.True(w.run(calmTime, func() bool { count(); return w.converged() }))
	is.True(tries <= 2)
	w.run(calmTime, func() bool { count(); return false })
	// The mean time between two loads is at least that of a load and half of
	// the longest delay.
	is.True(tries < int(calmTime/(loadTime+maxDelay/2)*5/4))
}

// TestOverlappingQueryIsRepeated checks that a query that overlaps the end of
// an order does not bring the state before the order back.
func TestOverlappingQueryIsRepeated(t *testing.T) {
	is := is.New(t)
	sender := orders.New("router-0", orders.Options{Settle: time.Second})
	now := start
	plan := newPlanOf(1, 1, 1, func(c *v1.Configuration) { c.Pools[0].Model = nil })
	view := orders.Tick{Plan: plan, Routers: []orders.Router{{Name: "router-0", Region: configtest.Region}}}
	step := func(event orders.Event) []orders.Action {
		now = now.Add(time.Second)
		sender.Step(now, view)
		return sender.Step(now, event)
	}
	first := sender.Step(now, view)[0].(orders.QueryState)
	order := step(orders.QueryEnded{Target: first.Target, Attempt: first.Attempt, Outcome: orders.Done})[0].(orders.SendOrder)
	is.Equal(order.Order.Kind, orders.SetRole)
	second := sender.Step(now, view)
	for ; len(second) == 0; second = sender.Step(now, view) {
		now = now.Add(time.Second)
	}
	query := second[0].(orders.QueryState)
	state := orders.State{Role: order.Order.Role, Fencing: order.Order.Fencing}
	step(orders.OrderEnded{Target: order.Target, Attempt: order.Attempt, Outcome: orders.Done, State: state})
	for _, action := range step(orders.QueryEnded{Target: query.Target, Attempt: query.Attempt, Outcome: orders.Done}) {
		send, ok := action.(orders.SendOrder)
		is.True(!ok || send.Order.Kind != orders.SetRole)
	}
}

// TestHoldsBackFailingVersion checks that a version that fails everywhere is
// tried on two engines of a serving pool and no more.
func TestHoldsBackFailingVersion(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, faults{loads: 3}, 1, 8, 2)
	w.publish(calmTime)
	is.True(!w.run(calmTime-time.Second, func() bool { return false }))
	for _, e := range w.engines {
		is.Equal(e.state.Version, version(1))
		e.fails = true
	}
	tried := map[string]bool{}
	w.run(calmTime, func() bool {
		for _, e := range w.engines {
			if e.running != nil && e.running.order.Order.Kind == orders.LoadModel {
				tried[e.name] = true
			}
		}
		return false
	})
	is.Equal(len(tried), 2)
	is.Equal(w.routers[0].sender.Status().HeldBack, 6)
}

// TestFailedDialsHoldNothingBack checks that orders that reached no engine are
// no evidence against their version: it is tried on all engines that can be
// reached, however many were not.
func TestFailedDialsHoldNothingBack(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, faults{loads: 1}, 1, 8, 1)
	sender := w.routers[0].sender
	now := start
	view := orders.Tick{Plan: w.plans[0], Routers: []orders.Router{{Name: "router-0", Region: configtest.Region}}}
	state := orders.State{Version: version(0), Role: w.plans[0].Engines[0].Role}
	dialed := map[string]bool{}
	for now.Sub(start) < calmTime {
		now = now.Add(time.Second)
		actions := sender.Step(now, view)
		for len(actions) > 0 {
			var result orders.Event
			switch a := actions[0].(type) {
			case orders.QueryState:
				result = orders.QueryEnded{Target: a.Target, Attempt: a.Attempt, Outcome: orders.Done, State: state}
			case orders.SendOrder:
				is.Equal(a.Order.Kind, orders.LoadModel)
				dialed[a.Target] = true
				result = orders.OrderEnded{Target: a.Target, Attempt: a.Attempt, Outcome: orders.NotSent}
			}
			actions = append(actions[1:], sender.Step(now, result)...)
		}
	}
	is.Equal(len(dialed), len(w.engines))
	is.Equal(sender.Status().HeldBack, 0)
}

// TestShardsDivideLimits checks that the parts of the shards add up to the
// limits and that no shard is without a load.
func TestShardsDivideLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		loads := rapid.Uint32Range(1, 9).Draw(t, "loads")
		regions := rapid.IntRange(1, 9).Draw(t, "regions")
		plan := newPlanOf(1, regions, loads, func(c *v1.Configuration) {
			for i := range regions {
				c.Zones = append(c.Zones, &v1.Zone{Name: fmt.Sprintf("zone-%d", i), Region: fmt.Sprintf("region-%d", i)})
				c.Targets[i+1].Zone = c.Zones[i+1].Name
			}
		})
		var sumLoads uint32
		var sumRate uint64
		for _, shard := range plan.Shards {
			is.True(shard.MaxLoads > 0)
			sumLoads += shard.MaxLoads
			sumRate += shard.BytesPerSecond
		}
		is.Equal(sumLoads, loads)
		is.Equal(sumRate, uint64(storeRate))
		for _, e := range plan.Engines {
			is.True(slices.Contains(plan.Shards[e.Shard].Regions, e.Region))
		}
	})
}
