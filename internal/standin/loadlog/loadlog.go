// Package loadlog reports the load of a stand-in with a lag.
package loadlog

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Path is where targets report their load.
const Path = "/v1/load"

// Load is the answer of GET /v1/load.
type Load struct {
	// Active is the number of admitted requests at the time AsOfUnixMs.
	Active int `json:"active"`
	// Slots is 0 when the target does not know its slots.
	Slots      int   `json:"slots"`
	AsOfUnixMs int64 `json:"as_of_unix_ms"`
}

// sample is the number of admitted requests from a time on.
type sample struct {
	at     time.Time
	active int
}

// Log remembers the load for as long as its lag. It is safe for concurrent
// use.
type Log struct {
	lag   time.Duration
	slots int

	mu      sync.Mutex
	samples []sample
}

// New returns a log that starts with no load.
func New(slots int, lag time.Duration) *Log {
	return &Log{lag: lag, slots: slots, samples: []sample{{at: time.Now()}}}
}

// Record notes the number of admitted requests from now on.
func (l *Log) Record(active int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordLocked(active)
}

// Add notes a change of the number of admitted requests.
func (l *Log) Add(change int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordLocked(l.samples[len(l.samples)-1].active + change)
}

func (l *Log) recordLocked(active int) {
	now := time.Now()
	l.samples = append(l.samples, sample{at: now, active: active})
	l.trimLocked(now.Add(-l.lag))
}

// Read returns the load one lag ago.
func (l *Log) Read() Load {
	at := time.Now().Add(-l.lag)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trimLocked(at)
	return Load{Active: l.samples[0].active, Slots: l.slots, AsOfUnixMs: at.UnixMilli()}
}

// ServeHTTP answers with the load in JSON.
func (l *Log) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(l.Read())
}

// trimLocked drops the samples that were replaced before the given time.
func (l *Log) trimLocked(before time.Time) {
	for len(l.samples) > 1 && !l.samples[1].at.After(before) {
		l.samples = l.samples[1:]
	}
}
