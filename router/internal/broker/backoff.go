package broker

import (
	"time"

	"github.com/chiveseam/chiveseam/router/internal/state"
)

const (
	// minBackoff is how long a scheduler is skipped after its link was lost.
	minBackoff = time.Second
	// maxBackoff bounds the backoff. It doubles each time a new link to the scheduler
	// is lost before anything was received on it.
	maxBackoff = 16 * time.Second
)

// backoffs holds the schedulers that are skipped for a while after their link was lost,
// by router name. A router that can send but cannot be reached still counts as
// reachable in the fleet view. Each reconnection to it delays the waiting demands until
// the link's silence limit.
type backoffs map[string]*backoff

type backoff struct {
	incarnation uint64
	until       time.Time
	// duration is how long the router is skipped.
	duration time.Duration
	// expiryReported is set once expire has reported the end of this backoff.
	expiryReported bool
}

// linkLost starts the backoff of the router whose link was lost. receivedAny tells
// whether anything was received on that link; if not, the backoff of this incarnation
// doubles.
func (b backoffs) linkLost(m state.Member, receivedAny bool, now time.Time) {
	duration := minBackoff
	if last := b[m.Name]; last != nil && last.incarnation == m.Incarnation && !receivedAny {
		duration = min(2*last.duration, maxBackoff)
	}
	b[m.Name] = &backoff{incarnation: m.Incarnation, until: now.Add(duration), duration: duration}
}

// active reports whether the router is to be skipped. A new incarnation is not.
func (b backoffs) active(m state.Member, now time.Time) bool {
	last := b[m.Name]
	return last != nil && last.incarnation == m.Incarnation && !now.After(last.until)
}

// expire reports whether a backoff has ended. It reports the end of each backoff only
// once, and removes the backoffs that ended more than maxBackoff ago.
func (b backoffs) expire(now time.Time) bool {
	expired := false
	for name, last := range b {
		if now.After(last.until) && !last.expiryReported {
			last.expiryReported = true
			expired = true
		}
		if now.After(last.until.Add(maxBackoff)) {
			delete(b, name)
		}
	}
	return expired
}
