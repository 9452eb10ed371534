// Package coldstart decides when a target counts as cold, and how many requests one router may send to
// it then. A cold target is slow, and crashes if it gets too many requests.
//
// A router learns of a cold target from statements, which say how much longer the target is cold: its
// registrations and the reports of other routers. It also learns of events that make targets cold: the
// end of an evacuation, and a refused connection, after which the target starts anew. Statements that
// come soon after an event may be older than the event, as registrations are late. They can prolong the
// cold time, not shorten it.
//
// While a target is cold, its requests need permits of ratelimit.NewBounded.
//
// The package has no goroutine, clock or random source: callers pass in the current time. A Target is not
// safe for concurrent use.
package coldstart

import (
	"time"

	"github.com/chiveseam/chiveseam/ratelimit"
)

const (
	// StatementDelay is the time after which a registration is received at the latest: it is written
	// each 1,200 ms, and up to 800 ms late.
	StatementDelay = 2 * time.Second
	// MaxRemaining is the longest time for which a target can say that it is cold: a longer one is
	// taken for a mistake.
	MaxRemaining = 10 * time.Minute
)

// Limits are what the cold targets of a service take. The zero value means that they are never cold.
type Limits struct {
	// PerSecond is the number of requests per second that a cold target takes, Most the largest number
	// in any second. Both count the requests of all routers.
	PerSecond, Most float64
	// Start is the time for which a target is cold after its start.
	Start time.Duration
}

// Enabled reports whether targets can be cold.
func (l Limits) Enabled() bool { return l.PerSecond > 0 }

// MarkTime is the time for which targets count as cold after an event.
func (l Limits) MarkTime() time.Duration { return max(l.Start, StatementDelay) }

// Target is what one router knows of one start of a target. With its Hash only, it is a warm target.
type Target struct {
	// Hash identifies the target at all routers.
	Hash uint64
	// until is the end of the cold time, by a statement or event as of observedAt.
	until, observedAt time.Time
	// eventAt is when the newest event happened.
	eventAt time.Time
	// refused is set from a refused connection until the target is reached again; its cold time
	// begins then.
	refused bool
	// coldSince is when the target turned cold, as this router learned it.
	coldSince time.Time
	// permits are nil before the first use within a cold time. limits are those for which they were made.
	permits *ratelimit.Limiter
	limits  Limits
}

// Cold reports whether the target is cold.
func (t *Target) Cold(now time.Time) bool { return t.refused || now.Before(t.until) }

// Down reports whether the target has refused a connection and was not reached since.
func (t *Target) Down() bool { return t.refused }

// Statement returns how much longer the target is cold, as of the time observedAt.
func (t *Target) Statement(now time.Time, l Limits) (remaining time.Duration, observedAt time.Time) {
	if t.refused {
		return l.Start, now
	}
	return t.until.Sub(t.observedAt), t.observedAt
}

// Registered applies a registration of the target that was received now. It returns whether the target
// has turned cold.
func (t *Target) Registered(now time.Time, remaining time.Duration) bool {
	return t.observe(now, now, remaining)
}

// Reported applies a statement of another router, as of the time observedAt, in the same way.
func (t *Target) Reported(now, observedAt time.Time, remaining time.Duration) bool {
	turned := t.observe(now, observedAt, remaining)
	// The other router may have learned it from an event.
	if observedAt.After(t.eventAt) {
		t.eventAt = observedAt
	}
	return turned
}

// observe applies a statement as of the time at.
func (t *Target) observe(now, at time.Time, remaining time.Duration) bool {
	until := at.Add(min(max(remaining, 0), MaxRemaining))
	cold := t.Cold(now)
	switch {
	case t.observedAt.Sub(at) >= StatementDelay:
		return false
	case at.Before(t.observedAt) || at.Sub(t.eventAt) < StatementDelay:
		if !until.After(t.until) {
			return false
		}
	default:
		t.refused = false
	}
	t.until, t.observedAt = until, at
	if cold || !t.Cold(now) {
		return false
	}
	t.turnCold(now)
	return true
}

// turnCold records that a warm target has turned cold: permits issued before cannot be used.
func (t *Target) turnCold(now time.Time) { t.coldSince, t.permits = now, nil }

// Mark records an event at the time at, after which the target is cold for the duration d.
func (t *Target) Mark(now, at time.Time, d time.Duration) {
	if !t.Cold(now) {
		t.turnCold(now)
	}
	t.eventAt = at
	if until := at.Add(d); until.After(t.until) {
		t.until, t.observedAt = until, at
	}
}

// Refused records that the target has refused a connection: nothing listens there. It returns whether
// that is news.
func (t *Target) Refused(now time.Time) bool {
	if !t.Cold(now) {
		t.turnCold(now)
	}
	news := !t.refused
	t.refused, t.eventAt = true, now
	return news
}

// Reached records that a request that was sent at a time has reached the target. It returns whether a
// target that had refused a connection has started anew.
func (t *Target) Reached(now, sentAt time.Time, l Limits) bool {
	if !t.refused || !sentAt.After(t.eventAt) {
		return false
	}
	t.refused = false
	t.Mark(now, now, l.Start)
	return true
}

// Wait returns the time until this router may send a request to the cold target; 0 if it may now. owner
// says which permits the router owns; those issued before since cannot be used.
func (t *Target) Wait(now time.Time, owner ratelimit.Owner, since time.Time, l Limits) time.Duration {
	remaining := t.until.Sub(now)
	if t.refused {
		remaining = max(l.Start, time.Second)
	}
	if l.Most < 1 {
		return remaining
	}
	if t.permits != nil && t.limits != l {
		t.coldSince, t.permits = now, nil
	}
	if t.permits == nil {
		if since.After(t.coldSince) {
			t.coldSince = since
		}
		t.permits, t.limits = ratelimit.NewBounded(t.coldSince, t.Hash, l.PerSecond, l.Most), l
	}
	return min(t.permits.Wait(now, owner), remaining)
}

// Take counts a request that is sent to the target.
func (t *Target) Take() {
	if t.permits != nil {
		t.permits.Take()
	}
}
