package measure

import (
	"time"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/pool"
)

// scheduler decides which demand gets which slot. pool.Scheduler is one.
type scheduler interface {
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

// newScheduler returns an empty decision core.
func (p Policy) newScheduler(d *Deployment, seed uint64) scheduler {
	switch p {
	case FIFO:
		return newBaseline(&fifoQueue{})
	case RoundRobin:
		return newBaseline(&roundRobinQueue{queues: map[config.ID][]pool.Demand{}})
	default:
		return pool.New(pool.Options{InitialCost: d.InitialCost, HoldTime: grantHoldTime, SettleTime: settleTime, MaxSpares: maxSpares, Seed: seed})
	}
}

// demandQueue holds waiting demands. take returns the first for which usable is true.
type demandQueue interface {
	push(d pool.Demand)
	take(usable func(pool.Demand) bool) (pool.Demand, bool)
}

// baseline grants the slots of all targets in a fixed order of demands. It
// knows no failures.
type baseline struct {
	queue      demandQueue
	targets    []pool.Target
	free       map[config.ID]int
	dataCentre map[config.ID]string
	running    map[pool.DemandID]config.ID
}

func newBaseline(queue demandQueue) *baseline {
	return &baseline{
		queue:      queue,
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
		b.queue.push(e)
	case pool.Done:
		b.free[b.running[e.ID]]++
		delete(b.running, e.ID)
	}
	return b.grant()
}

func (b *baseline) grant() []pool.Action {
	var actions []pool.Action
	for {
		d, ok := b.queue.take(func(d pool.Demand) bool { return b.chooseTarget(d) != nil })
		if !ok {
			return actions
		}
		t := b.chooseTarget(d)
		b.free[t.ID]--
		b.running[d.ID] = t.ID
		actions = append(actions, pool.Grant{ID: d.ID, Target: t.ID})
	}
}

// chooseTarget returns the fastest target with a free slot for the demand, or nil.
func (b *baseline) chooseTarget(d pool.Demand) *pool.Target {
	var best *pool.Target
	dataCentre := b.dataCentre[d.Workspace]
	for i := range b.targets {
		t := &b.targets[i]
		if b.free[t.ID] == 0 || (dataCentre != "" && dataCentre != t.DataCentre) {
			continue
		}
		if best == nil || t.Speed > best.Speed {
			best = t
		}
	}
	return best
}

// fifoQueue is the order of arrival.
type fifoQueue struct{ queue []pool.Demand }

func (o *fifoQueue) push(d pool.Demand) { o.queue = append(o.queue, d) }

func (o *fifoQueue) take(usable func(pool.Demand) bool) (pool.Demand, bool) {
	return takeFirst(&o.queue, usable)
}

// takeFirst removes the first usable demand. Demands that no free slot may
// serve are passed over.
func takeFirst(queue *[]pool.Demand, usable func(pool.Demand) bool) (pool.Demand, bool) {
	blocked := map[config.ID]bool{}
	for i, d := range *queue {
		if blocked[d.Workspace] {
			continue
		}
		if !usable(d) {
			blocked[d.Workspace] = true
			continue
		}
		*queue = append((*queue)[:i], (*queue)[i+1:]...)
		return d, true
	}
	return pool.Demand{}, false
}

// roundRobinQueue takes one demand of each workspace in turn.
type roundRobinQueue struct {
	queues     map[config.ID][]pool.Demand
	workspaces []config.ID
	next       int
}

func (o *roundRobinQueue) push(d pool.Demand) {
	if _, known := o.queues[d.Workspace]; !known {
		o.workspaces = append(o.workspaces, d.Workspace)
	}
	o.queues[d.Workspace] = append(o.queues[d.Workspace], d)
}

func (o *roundRobinQueue) take(usable func(pool.Demand) bool) (pool.Demand, bool) {
	for range o.workspaces {
		id := o.workspaces[o.next]
		o.next = (o.next + 1) % len(o.workspaces)
		queue := o.queues[id]
		d, ok := takeFirst(&queue, usable)
		o.queues[id] = queue
		if ok {
			return d, true
		}
	}
	return pool.Demand{}, false
}
