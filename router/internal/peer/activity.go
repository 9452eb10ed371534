package peer

import (
	"sync"
	"time"
)

// idleSilenceFactor is how many times longer a stream may be silent while no
// demand waits on it. Heartbeats on such a stream are still needed: they detect
// a connection whose state was lost between the two ends, on which the message
// about the end of a request would not arrive.
const idleSilenceFactor = 10

// streamActivity measures how long a scheduling stream has been silent: nothing was
// received on it. It is safe for concurrent use.
type streamActivity struct {
	// mu guards the fields below.
	mu           sync.Mutex
	lastReceived time.Time
	// waiting tells whether demands wait on the stream, and waitingSince since
	// when.
	waiting      bool
	waitingSince time.Time
}

func (a *streamActivity) received(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastReceived = now
}

// setWaiting tells from now on whether demands wait on the stream.
func (a *streamActivity) setWaiting(waiting bool, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if waiting && !a.waiting {
		a.waitingSince = now
	}
	a.waiting = waiting
}

// silent reports whether nothing was received for the limit while demands waited,
// or for idleSilenceFactor times the limit.
func (a *streamActivity) silent(now time.Time, limit time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.lastReceived) >= idleSilenceFactor*limit {
		return true
	}
	since := a.lastReceived
	if a.waitingSince.After(since) {
		since = a.waitingSince
	}
	return a.waiting && now.Sub(since) >= limit
}
