package pool

import (
	"container/heap"
	"time"
)

// timerOwner is implemented by types that embed a timer. fireDueTimers calls
// timerFired when the timer is due.
type timerOwner interface{ timerFired(s *Scheduler) }

// timer is embedded in its owner. It is armed, and in the heap at index pos-1, while
// pos > 0.
type timer struct {
	at    time.Time
	pos   int
	owner timerOwner
}

// timerHeap is a min-heap of armed timers by time.
type timerHeap []*timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }

func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].pos = i + 1
	h[j].pos = j + 1
}

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) {
	t := x.(*timer)
	t.pos = len(*h) + 1
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	last := len(old) - 1
	t := old[last]
	old[last] = nil
	t.pos = 0
	*h = old[:last]
	return t
}

// set arms t for at, or moves it to at if it is armed already.
func (h *timerHeap) set(t *timer, at time.Time) {
	t.at = at
	if t.pos > 0 {
		heap.Fix(h, t.pos-1)
		return
	}
	heap.Push(h, t)
}

// stop disarms t.
func (h *timerHeap) stop(t *timer) {
	if t.pos > 0 {
		heap.Remove(h, t.pos-1)
	}
}

// fireDueTimers disarms each timer that is due at the scheduler's time and calls
// its owner.
func (s *Scheduler) fireDueTimers() {
	for len(s.timers) > 0 && !s.timers[0].at.After(s.now) {
		t := heap.Pop(&s.timers).(*timer)
		t.owner.timerFired(s)
	}
}

// NextTick returns the time at which Step must be called with Tick if no event comes
// before. It returns false if no timer is armed.
func (s *Scheduler) NextTick() (time.Time, bool) {
	if len(s.timers) == 0 {
		return time.Time{}, false
	}
	return s.timers[0].at, true
}
