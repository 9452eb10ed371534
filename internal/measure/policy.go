package measure

import (
	"time"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/pool"
)

// stepper decides which demand gets which slot. pool.Scheduler is one.
type stepper interface {
	Step(now time.Time, event pool.Event) []pool.Action
}

// Policy is a way to assign slots.
type Policy int

// The policies that are compared.
const (
	// Fair is pool.Scheduler over all routers.
	Fair Policy = iota
	// Split is a pool.Scheduler for each router alone, with an equal part of
	// the slots of each target.
	Split
	// FIFO serves in the order of arrival.
	FIFO
	// RoundRobin serves one request of each workspace in turn.
	RoundRobin
)

// Policies lists all policies.
var Policies = []Policy{Fair, Split, FIFO, RoundRobin}

// String returns the name of the policy in tables.
func (p Policy) String() string {
	return [...]string{"pool.Scheduler", "(a) equal split", "(b) one FIFO", "(c) round robin"}[p]
}

// newStepper returns an empty decision core.
func (p Policy) newStepper(d *Deployment, seed uint64) stepper {
	switch p {
	case FIFO:
		return newBaseline(&fifoOrder{})
	case RoundRobin:
		return newBaseline(&turnOrder{queues: map[config.ID][]pool.Demand{}})
	default:
		return pool.New(pool.Options{InitialCost: d.InitialCost, HoldTime: holdTime, SettleTime: settleTime, MaxSpares: maxSpares, Seed: seed})
	}
}

// order holds waiting demands. take returns the first for which usable is true.
type order interface {
	push(d pool.Demand)
	take(usable func(pool.Demand) bool) (pool.Demand, bool)
}

// baseline grants the slots of all targets in a fixed order of demands. It
// knows no failures.
type baseline struct {
	order      order
	targets    []pool.Target
	free       map[config.ID]int
	dataCentre map[config.ID]string
	running    map[pool.DemandID]config.ID
}

func newBaseline(o order) *baseline {
	return &baseline{
		order:      o,
		free:       map[config.ID]int{},
		dataCentre: map[config.ID]string{},
		running:    map[pool.DemandID]config.ID{},
	}
}

// Step implements stepper.
func (b *baseline) Step(_ time.Time, event pool.Event) []pool.Action {
	switch e := event.(type) {
	case pool.TargetsChanged:
		b.targets = e.Targets
		for _, t := range e.Targets {
			b.free[t.ID] = t.Slots
		}
	case pool.WorkspacesChanged:
		for _, w := range e.Workspaces {
			b.dataCentre[w.ID] = w.DataCentre
		}
	case pool.Demand:
		b.order.push(e)
	case pool.Done:
		b.free[b.running[e.ID]]++
		delete(b.running, e.ID)
	}
	return b.grant()
}

func (b *baseline) grant() []pool.Action {
	var actions []pool.Action
	for {
		d, ok := b.order.take(func(d pool.Demand) bool { return b.choose(d) != nil })
		if !ok {
			return actions
		}
		t := b.choose(d)
		b.free[t.ID]--
		b.running[d.ID] = t.ID
		actions = append(actions, pool.Grant{ID: d.ID, Target: t.ID})
	}
}

// choose returns the fastest target with a free slot for the demand, or nil.
func (b *baseline) choose(d pool.Demand) *pool.Target {
	var best *pool.Target
	side := b.dataCentre[d.Workspace]
	for i := range b.targets {
		t := &b.targets[i]
		if b.free[t.ID] == 0 || (side != "" && side != t.DataCentre) {
			continue
		}
		if best == nil || t.Speed > best.Speed {
			best = t
		}
	}
	return best
}

// fifoOrder is the order of arrival.
type fifoOrder struct{ queue []pool.Demand }

func (o *fifoOrder) push(d pool.Demand) { o.queue = append(o.queue, d) }

func (o *fifoOrder) take(usable func(pool.Demand) bool) (pool.Demand, bool) {
	return takeFirst(&o.queue, usable)
}

// takeFirst removes the first usable demand. Demands that no free slot may
// serve are passed over.
func takeFirst(queue *[]pool.Demand, usable func(pool.Demand) bool) (pool.Demand, bool) {
	refused := map[config.ID]bool{}
	for i, d := range *queue {
		if refused[d.Workspace] {
			continue
		}
		if !usable(d) {
			refused[d.Workspace] = true
			continue
		}
		*queue = append((*queue)[:i], (*queue)[i+1:]...)
		return d, true
	}
	return pool.Demand{}, false
}

// turnOrder takes one demand of each workspace in turn.
type turnOrder struct {
	queues map[config.ID][]pool.Demand
	turns  []config.ID
	next   int
}

func (o *turnOrder) push(d pool.Demand) {
	if _, known := o.queues[d.Workspace]; !known {
		o.turns = append(o.turns, d.Workspace)
	}
	o.queues[d.Workspace] = append(o.queues[d.Workspace], d)
}

func (o *turnOrder) take(usable func(pool.Demand) bool) (pool.Demand, bool) {
	for range o.turns {
		id := o.turns[o.next]
		o.next = (o.next + 1) % len(o.turns)
		queue := o.queues[id]
		d, ok := takeFirst(&queue, usable)
		o.queues[id] = queue
		if ok {
			return d, true
		}
	}
	return pool.Demand{}, false
}
