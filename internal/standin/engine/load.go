package engine

import (
	"sync"
	"time"
)

// Load is the answer of GET /v1/load.
type Load struct {
	// Active is the size of the batch at the time AsOfUnixMs.
	Active     int   `json:"active"`
	Slots      int   `json:"slots"`
	AsOfUnixMs int64 `json:"as_of_unix_ms"`
}

// loadSample is the size of the batch from a time on.
type loadSample struct {
	at   time.Time
	size int
}

// loadLog remembers the size of the batch for as long as the lag.
type loadLog struct {
	lag time.Duration

	mu      sync.Mutex
	samples []loadSample
}

func newLoadLog(lag time.Duration) *loadLog {
	return &loadLog{lag: lag, samples: []loadSample{{at: time.Now()}}}
}

func (l *loadLog) record(size int) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples = append(l.samples, loadSample{at: now, size: size})
	l.trimLocked(now.Add(-l.lag))
}

// read returns the size one lag ago and the time of that.
func (l *loadLog) read() (int, time.Time) {
	at := time.Now().Add(-l.lag)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trimLocked(at)
	return l.samples[0].size, at
}

// trimLocked drops the samples that were replaced before the given time.
func (l *loadLog) trimLocked(before time.Time) {
	for len(l.samples) > 1 && !l.samples[1].at.After(before) {
		l.samples = l.samples[1:]
	}
}
