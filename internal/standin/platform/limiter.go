package platform

import "time"

// limiter is a token bucket with a capacity of one second's calls. It is guarded by
// Server.mu.
type limiter struct {
	callsPerSecond float64
	tokens         float64
	refilledAt     time.Time
}

func newLimiter(rate float64, now time.Time) limiter {
	return limiter{callsPerSecond: rate, tokens: rate, refilledAt: now}
}

// allow takes a token and reports whether there was one.
func (l *limiter) allow(now time.Time) bool {
	l.tokens = min(l.callsPerSecond, l.tokens+l.callsPerSecond*now.Sub(l.refilledAt).Seconds())
	l.refilledAt = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}
