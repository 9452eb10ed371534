package retry

import "time"

// Window bounds the repeated attempts in each span of a window to a share of the
// requests in it and a fixed number. A fleet's budget is divided by giving each
// router's Window the requests that it took in itself and its part of the fixed
// number. A Window is not safe for concurrent use.
type Window struct {
	span  time.Duration
	ratio float64
	floor float64

	requests []time.Time
	repeats  []time.Time
}

// NewWindow returns an empty window.
func NewWindow(span time.Duration, ratio, floor float64) *Window {
	return &Window{span: span, ratio: ratio, floor: floor}
}

// SetLimits changes the limits for what comes.
func (w *Window) SetLimits(span time.Duration, ratio, floor float64) {
	w.span, w.ratio, w.floor = span, ratio, floor
}

// Requested counts a request of a caller.
func (w *Window) Requested(now time.Time) {
	w.expire(now)
	w.requests = append(w.requests, now)
}

// Take counts a repeated attempt and reports whether it may be made.
func (w *Window) Take(now time.Time) bool {
	w.expire(now)
	allowed := w.ratio*float64(len(w.requests)) + w.floor
	if float64(len(w.repeats)+1) > allowed {
		return false
	}
	w.repeats = append(w.repeats, now)
	return true
}

// Used returns the repeated attempts within the window and how many it allows.
func (w *Window) Used(now time.Time) (used int, allowed float64) {
	w.expire(now)
	return len(w.repeats), w.ratio*float64(len(w.requests)) + w.floor
}

func (w *Window) expire(now time.Time) {
	w.requests = after(w.requests, now.Add(-w.span))
	w.repeats = after(w.repeats, now.Add(-w.span))
}

// after drops the times up to start from a sorted list.
func after(list []time.Time, start time.Time) []time.Time {
	n := 0
	for n < len(list) && !list[n].After(start) {
		n++
	}
	return list[n:]
}
