package retry

import "time"

// Window is a retry budget over a sliding window of length span: within it, retries may not
// exceed ratio times the requests plus floor. To divide the budget of a fleet, each router
// has a Window of its own, which counts the requests that this router received from callers
// and gets a part of the fleet's floor. A Window is not safe for concurrent use.
type Window struct {
	// span is the length of the window.
	span time.Duration
	// ratio is the number of retries allowed per request.
	ratio float64
	// floor is the number of retries allowed without any requests.
	floor float64

	// requests and retries hold the times of the requests and retries within the window,
	// oldest first.
	requests []time.Time
	retries  []time.Time
}

// NewWindow returns a Window without requests or retries.
func NewWindow(span time.Duration, ratio, floor float64) *Window {
	return &Window{span: span, ratio: ratio, floor: floor}
}

// SetLimits changes the limits. Retries that were already counted stay counted.
func (w *Window) SetLimits(span time.Duration, ratio, floor float64) {
	w.span, w.ratio, w.floor = span, ratio, floor
}

// RecordRequest counts a request from a caller. Retries are counted by Take.
func (w *Window) RecordRequest(now time.Time) {
	w.expire(now)
	w.requests = append(w.requests, now)
}

// Take reports whether a retry may be made at now, and counts it if so.
func (w *Window) Take(now time.Time) bool {
	w.expire(now)
	allowed := w.ratio*float64(len(w.requests)) + w.floor
	if float64(len(w.retries)+1) > allowed {
		return false
	}
	w.retries = append(w.retries, now)
	return true
}

// Used returns the number of retries within the window and the number that the window
// allows.
func (w *Window) Used(now time.Time) (used int, allowed float64) {
	w.expire(now)
	return len(w.retries), w.ratio*float64(len(w.requests)) + w.floor
}

// expire drops the requests and retries that are older than the window.
func (w *Window) expire(now time.Time) {
	w.requests = timesAfter(w.requests, now.Add(-w.span))
	w.retries = timesAfter(w.retries, now.Add(-w.span))
}

// timesAfter returns the part of a sorted list that is later than start.
func timesAfter(list []time.Time, start time.Time) []time.Time {
	n := 0
	for n < len(list) && !list[n].After(start) {
		n++
	}
	return list[n:]
}
