package service

import (
	"maps"
	"sync"
)

// Ledger counts the runs of each named operation. It is safe for concurrent
// use, and may be shared by several services.
type Ledger struct {
	mu   sync.Mutex
	runs map[string]int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{runs: map[string]int{}}
}

// Report is the answer of GET /control/ledger.
type Report struct {
	Runs map[string]int `json:"runs"`
	// Doubles holds the operations that ran more than once.
	Doubles map[string]int `json:"doubles"`
	Total   int            `json:"total"`
}

// record counts a run and returns how often the operation ran so far.
func (l *Ledger) record(operation string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[operation]++
	return l.runs[operation]
}

// Report returns all counts.
func (l *Ledger) Report() Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	report := Report{Runs: maps.Clone(l.runs), Doubles: map[string]int{}}
	for operation, n := range l.runs {
		report.Total += n
		if n > 1 {
			report.Doubles[operation] = n
		}
	}
	return report
}
