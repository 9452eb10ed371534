package platform

import "time"

// entry is one published value.
type entry[T any] struct {
	revision  uint64
	value     T
	published time.Time
}

// history holds all published values in the order of publication.
type history[T any] struct {
	entries []entry[T]
}

// add appends a value that is published at now.
func (h *history[T]) add(revision uint64, value T, now time.Time) {
	h.entries = append(h.entries, entry[T]{revision: revision, value: value, published: now})
}

// lastRevision returns the revision that was published last, or 0 if there is none.
func (h *history[T]) lastRevision() uint64 {
	if len(h.entries) == 0 {
		return 0
	}
	return h.entries[len(h.entries)-1].revision
}

// validUntil returns the latest time up to now at which revision was the current one:
// the publication of the next value, or now if there is none yet.
func (h *history[T]) validUntil(revision uint64, now time.Time) time.Time {
	for i, e := range h.entries {
		if e.revision == revision && i+1 < len(h.entries) && h.entries[i+1].published.Before(now) {
			return h.entries[i+1].published
		}
	}
	return now
}

// visible returns the last of the values that were published at least lag ago and,
// unless maxRevision is 0, have no higher revision. ok is false if there is none.
// nextVisible is the time at which the next value becomes visible, or zero if no value
// is hidden by the lag.
func (h *history[T]) visible(now time.Time, lag time.Duration, maxRevision uint64) (found entry[T], nextVisible time.Time, ok bool) {
	for _, e := range h.entries {
		if maxRevision > 0 && e.revision > maxRevision {
			continue
		}
		at := e.published.Add(lag)
		if at.After(now) {
			return found, at, ok
		}
		found, ok = e, true
	}
	return found, time.Time{}, ok
}
