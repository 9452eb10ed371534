package compose

import (
	"container/heap"
	"time"
)

// event is a function that is due at a time, in a process or in none.
type event struct {
	due time.Time
	seq uint64
	// at is the incarnation that runs it; nil stands for the outside world.
	at  *Router
	run func()
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
	minDelay = time.Millisecond
	maxDelay = 20 * time.Millisecond
	// maxSlowDelay bounds the delay of a message while the network is slow.
	maxSlowDelay = 3 * time.Second
	percent      = 100
	// slowPercent is the share of messages that are late on a slow network.
	slowPercent = 20
)

// after schedules run in a router, or outside of all if r is nil.
func (w *World) after(r *Router, d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, &event{due: w.now.Add(d), seq: w.seq, at: r, run: run})
}

// Run lets time pass.
func (w *World) Run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].due.After(end) {
		e := heap.Pop(&w.queue).(*event)
		w.now = e.due
		w.deliver(e)
	}
	w.now = end
}

// deliver runs an event, keeps it for a paused router until it wakes up, and
// drops it for one that has ended.
func (w *World) deliver(e *event) {
	switch {
	case e.at == nil:
		e.run()
	case !e.at.alive:
	case e.at.paused:
		e.at.backlog = append(e.at.backlog, e.run)
	default:
		e.run()
	}
}

// connected returns whether messages pass between two zones.
func (w *World) connected(a, b string) bool {
	return w.side[a] == w.side[b]
}

// send delivers a datagram to a router: it may be lost, late or doubled.
func (w *World) send(from, to *Router, run func()) {
	if from == to {
		w.after(to, 0, run)
		return
	}
	copies := 1
	if w.rng.IntN(percent) < w.Loss {
		copies = 0
	}
	if w.rng.IntN(percent) < w.Doubled {
		copies++
	}
	for range copies {
		w.transmit(from, to, run)
	}
}

// transmit delivers a message once if the routers can talk when it arrives.
func (w *World) transmit(from, to *Router, run func()) {
	w.after(to, w.delay(), func() {
		if w.connected(from.zone, to.zone) {
			run()
		}
	})
}

// stream delivers at most once, as a message on a connection.
func (w *World) stream(from, to *Router, run func()) {
	if from != to && w.rng.IntN(percent) < w.Loss {
		return
	}
	w.transmit(from, to, run)
}

func (w *World) delay() time.Duration {
	if w.Slow && w.rng.IntN(percent) < slowPercent {
		return time.Duration(w.rng.Int64N(int64(maxSlowDelay)))
	}
	return minDelay + time.Duration(w.rng.Int64N(int64(maxDelay)))
}
