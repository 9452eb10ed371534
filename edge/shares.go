package edge

import (
	"context"
	"math"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chiveseam/chiveseam/placement"
)

const (
	// sharesInterval is how often the shares are told while capacity is short: a quarter
	// of the usual window.
	sharesInterval = time.Second
	// maxShareEntries bounds the workspaces in one line. Those that ask for most are told.
	maxShareEntries = 12
)

// watchShares tells what the router believes of the workspaces' shares.
func (e *Edge) watchShares(ctx context.Context) error {
	ticker := time.NewTicker(sharesInterval)
	defer ticker.Stop()
	scarce := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			before := scarce
			scarce = e.tellShares(now, before)
		}
	}
}

// tellShares logs the shares while capacity is short, and when it no longer is.
func (e *Edge) tellShares(now time.Time, before bool) (scarce bool) {
	e.mu.Lock()
	o := e.book.Overview(now)
	age := e.book.ViewAge(now)
	e.mu.Unlock()
	e.metrics.share.Set(o.Share)
	if !o.Scarce && !before {
		return false
	}
	entries := make([]shareEntry, 0, maxShareEntries)
	for _, w := range o.Workspaces[:min(len(o.Workspaces), maxShareEntries)] {
		entries = append(entries, shareEntry{w.Name, int(w.Asked), int(w.Begun)})
	}
	level.Info(e.logger).Log("event", "shares", "scarce", o.Scarce, "share", int(o.Share), "least_use", leastUse(o.LeastRefusedUse),
		"asked", int(o.Asked), "begun", int(o.Begun), "view_age_ms", age.Milliseconds(), "workspaces", entries)
	return o.Scarce
}

// shareEntry is a workspace in a log line, in tokens a second.
type shareEntry struct {
	Workspace string `json:"workspace"`
	Asked     int    `json:"asked"`
	Begun     int    `json:"begun"`
}

// shareUsageFields returns the log fields for a workspace's use of its share.
func shareUsageFields(s placement.ShareUsage) []any {
	return []any{"share", int(s.Share), "use", hundredths(s.Use), "least_use", leastUse(s.LeastRefusedUse)}
}

// leastUse is nil, which a log line shows as null, if no workspace is refused much.
func leastUse(least float64) any {
	if math.IsInf(least, 1) {
		return nil
	}
	return hundredths(least)
}

func hundredths(x float64) float64 { return math.Round(x*100) / 100 }
