package compose

import (
	"container/heap"
	"time"
)

// event is a function that runs at a given time. Events due at the same time run in the
// order in which they were scheduled.
type event struct {
	due time.Time
	seq uint64
	// router is the router incarnation in whose process run is called. It is nil for
	// events outside of all routers, such as those of targets and the platform.
	router *Router
	run    func()
}

// eventQueue is a heap of events with the earliest one on top.
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
	// A message takes minDelay plus a random time below delayJitter.
	minDelay    = time.Millisecond
	delayJitter = 20 * time.Millisecond
	// maxSlowDelay bounds the delay of a message that is late because of
	// Simulation.Slow.
	maxSlowDelay = 3 * time.Second
	percentBase  = 100
	// slowPercent is the percentage of messages that are late while Simulation.Slow is set.
	slowPercent = 20
)

// after schedules run for d from now, in the process of r or, if r is nil, outside of
// all routers.
func (sim *Simulation) after(r *Router, d time.Duration, run func()) {
	sim.seq++
	heap.Push(&sim.queue, &event{due: sim.now.Add(d), seq: sim.seq, router: r, run: run})
}

// Run advances the virtual time by d and runs all events due until then.
func (sim *Simulation) Run(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.queue) > 0 && !sim.queue[0].due.After(end) {
		e := heap.Pop(&sim.queue).(*event)
		sim.now = e.due
		sim.runEvent(e)
	}
	sim.now = end
}

// runEvent runs an event. It defers an event of a paused router until the router resumes,
// and drops an event of a router that has ended.
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

// connected returns whether no network partition separates two zones.
func (sim *Simulation) connected(a, b string) bool {
	return sim.zoneSide[a] == sim.zoneSide[b]
}

// sendDatagram sends a message from one router to another one, which runs the function on
// arrival. The message may be lost, late or duplicated, except when a router sends it to
// itself.
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

// transmit delivers a message once if the zones of the routers are connected on arrival.
func (sim *Simulation) transmit(from, to *Router, run func()) {
	sim.after(to, sim.delay(), func() {
		if sim.connected(from.zone, to.zone) {
			run()
		}
	})
}

// sendOnStream sends a message that is delivered at most once, like a message on a TCP
// connection.
func (sim *Simulation) sendOnStream(from, to *Router, run func()) {
	if from != to && sim.rng.IntN(percentBase) < sim.LossPercent {
		return
	}
	sim.transmit(from, to, run)
}

// delay draws the time that a message takes.
func (sim *Simulation) delay() time.Duration {
	if sim.Slow && sim.rng.IntN(percentBase) < slowPercent {
		return time.Duration(sim.rng.Int64N(int64(maxSlowDelay)))
	}
	return minDelay + time.Duration(sim.rng.Int64N(int64(delayJitter)))
}
