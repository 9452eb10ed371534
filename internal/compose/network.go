package compose

import (
	"container/heap"
	"time"
)

// event is a function that is due at a time, in a process or in none.
type event struct {
	due time.Time
	seq uint64
	// router is the incarnation that runs it; nil stands for the outside world.
	router *Router
	run    func()
}

// eventQueue is a heap of events, the first to be due on top.
type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if !q[i].due.Equal(q[j].due) {
		return q[i].due.Before(q[j].due)
	}
	return q[i].seq < q[j].seq
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(*event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := len(old) - 1
	e := old[last]
	old[last] = nil
	*q = old[:last]
	return e
}

const (
	minDelay    = time.Millisecond
	delayJitter = 20 * time.Millisecond
	// maxSlowDelay bounds the delay of a message while the network is slow.
	maxSlowDelay = 3 * time.Second
	percentBase  = 100
	// slowPercent is the share of messages that are late on a slow network.
	slowPercent = 20
)

// after schedules run in a router, or outside of all if r is nil.
func (sim *Simulation) after(r *Router, d time.Duration, run func()) {
	sim.seq++
	heap.Push(&sim.queue, &event{due: sim.now.Add(d), seq: sim.seq, router: r, run: run})
}

// Run lets time pass.
func (sim *Simulation) Run(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.queue) > 0 && !sim.queue[0].due.After(end) {
		e := heap.Pop(&sim.queue).(*event)
		sim.now = e.due
		sim.runEvent(e)
	}
	sim.now = end
}

// runEvent runs an event, keeps it for a paused router until it wakes up, and
// drops it for one that has ended.
func (sim *Simulation) runEvent(e *event) {
	switch {
	case e.router == nil:
		e.run()
	case !e.router.alive:
	case e.router.paused:
		e.router.backlog = append(e.router.backlog, e.run)
	default:
		e.run()
	}
}

// connected returns whether messages pass between two zones.
func (sim *Simulation) connected(a, b string) bool {
	return sim.zoneSide[a] == sim.zoneSide[b]
}

// sendDatagram delivers a datagram to a router: it may be lost, late or doubled.
func (sim *Simulation) sendDatagram(from, to *Router, run func()) {
	if from == to {
		sim.after(to, 0, run)
		return
	}
	copies := 1
	if sim.rng.IntN(percentBase) < sim.LossPercent {
		copies = 0
	}
	if sim.rng.IntN(percentBase) < sim.DuplicatePercent {
		copies++
	}
	for range copies {
		sim.transmit(from, to, run)
	}
}

// transmit delivers a message once if the routers can talk when it arrives.
func (sim *Simulation) transmit(from, to *Router, run func()) {
	sim.after(to, sim.delay(), func() {
		if sim.connected(from.zone, to.zone) {
			run()
		}
	})
}

// sendOnStream delivers at most once, as a message on a connection.
func (sim *Simulation) sendOnStream(from, to *Router, run func()) {
	if from != to && sim.rng.IntN(percentBase) < sim.LossPercent {
		return
	}
	sim.transmit(from, to, run)
}

func (sim *Simulation) delay() time.Duration {
	if sim.Slow && sim.rng.IntN(percentBase) < slowPercent {
		return time.Duration(sim.rng.Int64N(int64(maxSlowDelay)))
	}
	return minDelay + time.Duration(sim.rng.Int64N(int64(delayJitter)))
}
