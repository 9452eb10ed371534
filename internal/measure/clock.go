package measure

import (
	"container/heap"
	"time"
)

// epoch is the wall-clock time that corresponds to virtual time zero.
var epoch = time.Unix(1_800_000_000, 0)

// clock runs functions in the order of virtual time.
type clock struct {
	// now is the virtual time since epoch.
	now time.Duration
	// lastSequence is the sequence number of the last event that was added.
	lastSequence uint64
	events       eventHeap
}

// event is a function that runs at a virtual time. Events of the same time run in the
// order of their sequence numbers.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// eventHeap implements heap.Interface, with the next event first.
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

// after schedules fn to run when the duration has passed, or at the current time if the
// duration is negative.
func (c *clock) after(d time.Duration, fn func()) {
	c.lastSequence++
	heap.Push(&c.events, event{at: c.now + max(d, 0), sequence: c.lastSequence, run: fn})
}

// runUntil runs all events up to the end time, including those that they add.
func (c *clock) runUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}

// wallTime returns the current virtual time as wall-clock time.
func (c *clock) wallTime() time.Time { return epoch.Add(c.now) }
