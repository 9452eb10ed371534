package edge

import (
	"context"
	"math"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chiveseam/chiveseam/placement"
)

const (
	// sharesInterval is the time between two log lines about shares while capacity is short: a
	// quarter of the default share window.
	sharesInterval = time.Second
	// maxLoggedWorkspaces is the largest number of workspaces in one log line; those that asked for
	// most tokens are logged.
	maxLoggedWorkspaces = 12
)

// monitorShares periodically logs and exports the workspaces' shares as this router computes them.
func (e *Edge) monitorShares(ctx context.Context) error {
	ticker := time.NewTicker(sharesInterval)
	defer ticker.Stop()
	scarce := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			before := scarce
			scarce = e.logShares(now, before)
		}
	}
}

// logShares sets the metric of the share. It logs the shares while capacity is short, and once more
// when it no longer is.
func (e *Edge) logShares(now time.Time, wasScarce bool) (scarce bool) {
	e.mu.Lock()
	o := e.balancer.Overview(now)
	age := e.balancer.ViewAge(now)
	e.mu.Unlock()
	e.metrics.share.Set(o.Share)
	e.metrics.availableThroughput.Set(o.AvailableThroughput)
	if !o.Scarce && !wasScarce {
		return false
	}
	entries := make([]shareEntry, 0, maxLoggedWorkspaces)
	for _, w := range o.Workspaces[:min(len(o.Workspaces), maxLoggedWorkspaces)] {
		entries = append(entries, shareEntry{w.Name, int(w.Asked), int(w.Begun)})
	}
	level.Info(e.logger).Log("event", "shares", "scarce", o.Scarce, "share", int(o.Share), "least_use", finite(o.LeastRefusedUse),
		"available_throughput", roundHundredths(o.AvailableThroughput),
		"capacity", int(o.Capacity), "asked", int(o.Asked), "begun", int(o.Begun), "view_age_ms", age.Milliseconds(), "workspaces", entries)
	return o.Scarce
}

// shareEntry is one workspace in the log line of the shares. Asked and Begun are in tokens per
// second.
type shareEntry struct {
	Workspace string `json:"workspace"`
	Asked     int    `json:"asked"`
	Begun     int    `json:"begun"`
}

// shareUsageFields returns the log fields that compare a workspace's use with its share and with the
// other workspaces.
func shareUsageFields(s placement.ShareUsage) []any {
	return []any{"share", int(s.Share), "use", roundHundredths(s.Use), "asked", roundHundredths(s.Asked),
		"held_to", finite(s.HeldTo), "least_use", finite(s.LeastRefusedUse)}
}

// finite returns the value of a log field that has one unless x is infinite: nil (null in JSON) then.
func finite(x float64) any {
	if math.IsInf(x, 1) {
		return nil
	}
	return roundHundredths(x)
}

func roundHundredths(x float64) float64 { return math.Round(x*100) / 100 }
