package platform

import "time"

// entry is one published value.
type entry[T any] struct {
	revision  uint64
	value     T
	published time.Time
}

// history holds the published values in the order of publication.
type history[T any] struct {
	entries []entry[T]
}

func (h *history[T]) add(revision uint64, value T, now time.Time) {
	h.entries = append(h.entries, entry[T]{revision: revision, value: value, published: now})
}

// lastRevision returns the revision published lastRevision, or 0.
func (h *history[T]) lastRevision() uint64 {
	if len(h.entries) == 0 {
		return 0
	}
	return h.entries[len(h.entries)-1].revision
}

// validUntil returns the last time up to now at which revision was the
// published one.
func (h *history[T]) validUntil(revision uint64, now time.Time) time.Time {
	for i, e := range h.entries {
		if e.revision == revision && i+1 < len(h.entries) && h.entries[i+1].published.Before(now) {
			return h.entries[i+1].published
		}
	}
	return now
}

// visible returns the value published last among those published at least lag
// ago and, unless limit is 0, not above revision limit. wake is the time at
// which the next value becomes visible; zero when none is hidden.
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
