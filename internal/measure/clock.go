package measure

import (
	"container/heap"
	"time"
)

// epoch is the wall-clock time at which virtual time starts.
var epoch = time.Unix(1_800_000_000, 0)

// clock is a queue of functions ordered by virtual time.
type clock struct {
	now          time.Duration
	lastSequence uint64
	events       eventHeap
}

type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

type eventHeap []event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := len(old) - 1
	e := old[last]
	old[last] = event{}
	*h = old[:last]
	return e
}

// after runs fn once d has passed.
func (c *clock) after(d time.Duration, fn func()) {
	c.lastSequence++
	heap.Push(&c.events, event{at: c.now + max(d, 0), sequence: c.lastSequence, run: fn})
}

// runUntil lets time pass to end.
func (c *clock) runUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}

// wallTime returns the present virtual time as wallTime-clock time.
func (c *clock) wallTime() time.Time { return epoch.Add(c.now) }
