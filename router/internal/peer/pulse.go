package peer

import (
	"sync"
	"time"
)

// idleFactor is how much longer a stream on which nothing waits may be silent.
// Its heartbeats still find a connection that lost its state between the two
// ends, on which the end of a request would not arrive.
const idleFactor = 10

// pulse measures the silence of a stream. It is safe for concurrent use.
type pulse struct {
	mu           sync.Mutex
	lastHeard    time.Time
	waiting      bool
	waitingSince time.Time
}

func (p *pulse) heard(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastHeard = now
}

func (p *pulse) setWaiting(waiting bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if waiting && !p.waiting {
		p.waitingSince = now
	}
	p.waiting = waiting
}

// quiet reports whether nothing was heard for the limit while something
// waited, or for idleFactor times the limit.
func (p *pulse) quiet(now time.Time, limit time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.lastHeard) >= idleFactor*limit {
		return true
	}
	since := p.lastHeard
	if p.waitingSince.After(since) {
		since = p.waitingSince
	}
	return p.waiting && now.Sub(since) >= limit
}
