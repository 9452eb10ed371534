package service

import (
	"maps"
	"sync"
)

// Ledger counts the runs of each named operation. It is safe for concurrent use and may
// be shared by several services.
type Ledger struct {
	mu   sync.Mutex
	runs map[string]int
}

// NewLedger returns a ledger without runs.
func NewLedger() *Ledger {
	return &Ledger{runs: map[string]int{}}
}

// Report is the body of the answer to GET /control/ledger.
type Report struct {
	// Runs is the number of runs by the name of the operation.
	Runs map[string]int `json:"runs"`
	// Doubles holds the entries of Runs above 1.
	Doubles map[string]int `json:"doubles"`
	// Total is the number of all runs.
	Total int `json:"total"`
}

// record counts a run and returns how often the operation has run so far, this run
// included.
func (l *Ledger) record(operation string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[operation]++
	return l.runs[operation]
}

// Report returns a copy of all counts.
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
