package platform

import "time"

// limiter is a token bucket that holds the calls of one second.
type limiter struct {
	rate   float64
	tokens float64
	last   time.Time
}

func newLimiter(rate float64, now time.Time) limiter {
	return limiter{rate: rate, tokens: rate, last: now}
}

func (l *limiter) allow(now time.Time) bool {
	l.tokens = min(l.rate, l.tokens+l.rate*now.Sub(l.last).Seconds())
	l.last = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}
