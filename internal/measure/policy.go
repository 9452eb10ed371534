package measure

import (
	"time"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/pool"
)

// scheduler assigns slots to demands. It is implemented by pool.Scheduler, by baseline
// and by shardedScheduler.
type scheduler interface {
	Step(now time.Time, event pool.Event) []pool.Action
}

// Policy selects the algorithm that assigns slots to demands.
type Policy int

// The policies that are compared.
const (
	// Fair runs one pool.Scheduler for the demands of all routers.
	Fair Policy = iota
	// Split runs a pool.Scheduler on each router for its own demands. Each router has
	// an equal part of the slots of each target.
	Split
	// FIFO grants demands in the order of their arrival.
	FIFO
	// RoundRobin grants one demand of each workspace in turn.
	RoundRobin
)

// Policies lists all policies in the order of the tables' rows.
var Policies = []Policy{Fair, Split, FIFO, RoundRobin}

// String returns the policy's label in the tables.
func (p Policy) String() string {
	return [...]string{"pool.Scheduler", "(a) equal split", "(b) one FIFO", "(c) round robin"}[p]
}

// newScheduler returns a scheduler without workspaces, targets or demands. The seed is
// that of pool.Scheduler; the baselines draw no random numbers.
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

// demandQueue holds the waiting demands of a baseline. Its take method removes and
// returns the first demand for which usable is true.
type demandQueue interface {
	push(d pool.Demand)
	take(usable func(pool.Demand) bool) (pool.Demand, bool)
}

// baseline is a scheduler without fairness by cost, for comparison with pool.Scheduler. It
// grants slots to demands in the order of its queue, and ignores lost routers and the
// deadlines of demands.
type baseline struct {
	queue   demandQueue
	targets []pool.Target
	// free holds the number of free slots of each target.
	free map[config.ID]int
	// dataCentre holds the data centre that each workspace is restricted to. It is
	// empty for unrestricted workspaces.
	dataCentre map[config.ID]string
	// running holds the target of each granted demand.
	running map[pool.DemandID]config.ID
}

func newBaseline(queue demandQueue) *baseline {
	return &baseline{
		queue:      queue,
		free:       map[config.ID]int{},
		dataCentre: map[config.ID]string{},
		running:    map[pool.DemandID]config.ID{},
	}
}

// Step implements scheduler.
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

// grant assigns free slots until no waiting demand may use one.
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

// chooseTarget returns the fastest target with a free slot that the demand's workspace may
// use, or nil.
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

// fifoQueue returns demands in the order of arrival.
type fifoQueue struct{ queue []pool.Demand }

func (q *fifoQueue) push(d pool.Demand) { q.queue = append(q.queue, d) }

func (q *fifoQueue) take(usable func(pool.Demand) bool) (pool.Demand, bool) {
	return takeFirst(&q.queue, usable)
}

// takeFirst removes and returns the first usable demand of the queue. It skips demands that
// no free slot may serve. usable depends on the demand's workspace only, so that it is not
// called again for a workspace for which it was false.
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

// roundRobinQueue returns one demand of each workspace in turn.
type roundRobinQueue struct {
	queues map[config.ID][]pool.Demand
	// workspaces lists the workspaces in the order of their first demands. next is the
	// index of the one whose turn it is.
	workspaces []config.ID
	next       int
}

func (q *roundRobinQueue) push(d pool.Demand) {
	if _, known := q.queues[d.Workspace]; !known {
		q.workspaces = append(q.workspaces, d.Workspace)
	}
	q.queues[d.Workspace] = append(q.queues[d.Workspace], d)
}

func (q *roundRobinQueue) take(usable func(pool.Demand) bool) (pool.Demand, bool) {
	for range q.workspaces {
		id := q.workspaces[q.next]
		q.next = (q.next + 1) % len(q.workspaces)
		queue := q.queues[id]
		d, ok := takeFirst(&queue, usable)
		q.queues[id] = queue
		if ok {
			return d, true
		}
	}
	return pool.Demand{}, false
}
