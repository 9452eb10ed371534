// Package loadlog keeps the recent load of a simulated target and reports it with a
// delay, so that routers see outdated load reports as from real targets.
package loadlog

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Path is the HTTP path at which targets report their load.
const Path = "/v1/load"

// Load is the body of the answer to GET /v1/load.
type Load struct {
	// Active is the number of admitted requests at the time AsOfUnixMs.
	Active int `json:"active"`
	// Slots is 0 if the target does not know its number of slots.
	Slots int `json:"slots"`
	// AsOfUnixMs is the Unix time in milliseconds that the report is about, one lag
	// before the answer.
	AsOfUnixMs int64 `json:"as_of_unix_ms"`
}

// sample is the number of admitted requests from a time until the next sample.
type sample struct {
	at     time.Time
	active int
}

// Log records the number of admitted requests over the last lag. It is safe for
// concurrent use.
type Log struct {
	lag   time.Duration
	slots int

	// mu guards samples, which are in order of time and never empty.
	mu      sync.Mutex
	samples []sample
}

// New returns a log of a target without requests. It reports the load of one lag ago.
func New(slots int, lag time.Duration) *Log {
	return &Log{lag: lag, slots: slots, samples: []sample{{at: time.Now()}}}
}

// Record sets the number of admitted requests from now on.
func (l *Log) Record(active int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordLocked(active)
}

// Add changes the number of admitted requests from now on by change.
func (l *Log) Add(change int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordLocked(l.samples[len(l.samples)-1].active + change)
}

// recordLocked appends a sample and drops those that Read no longer needs. The caller
// holds mu.
func (l *Log) recordLocked(active int) {
	now := time.Now()
	l.samples = append(l.samples, sample{at: now, active: active})
	l.trimLocked(now.Add(-l.lag))
}

// Read returns the load at the time one lag ago.
func (l *Log) Read() Load {
	at := time.Now().Add(-l.lag)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trimLocked(at)
	return Load{Active: l.samples[0].active, Slots: l.slots, AsOfUnixMs: at.UnixMilli()}
}

// ServeHTTP answers GET /v1/load with the load in JSON.
func (l *Log) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(l.Read())
}

// trimLocked drops all samples that come before the one in effect at the given time. The
// caller holds mu.
func (l *Log) trimLocked(before time.Time) {
	for len(l.samples) > 1 && !l.samples[1].at.After(before) {
		l.samples = l.samples[1:]
	}
}
