package operator

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"math"
	"slices"
	"time"

	"github.com/chiveseam/chiveseam/config"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const (
	percent = 100
	// minInterval is the least interval that rates are computed over, so that two samples of
	// nearly the same time give finite rates.
	minInterval = time.Millisecond
)

// Usage is the service that a workspace received from a pool between two samples.
type Usage struct {
	Pool, Workspace string
	Share           uint32
	// Queued is the number of requests that wait at the time of the later sample.
	Queued uint32
	// Requests is in requests per second and Cost in cost units per second.
	Requests, Cost float64
	// Received is the workspace's part of the cost that the pool delivered, in percent.
	// Deserved is the part that it would have received if the same total were divided max-min
	// fairly by share. The demand of a workspace without queued requests is what it received;
	// that of a workspace with queued requests is unlimited.
	Deserved, Received float64
}

// Gap returns Received minus Deserved, in percent of the cost that the pool delivered.
func (u Usage) Gap() float64 {
	return u.Received - u.Deserved
}

// counterKey identifies the counters of a workspace and pool in one incarnation of a router.
type counterKey struct {
	router          string
	incarnation     uint64
	workspace, pool string
}

// usageKey identifies a row of the table.
type usageKey struct {
	pool, workspace string
}

// UsageBetween returns the usage of workspaces between two samples. The counters of a router
// that restarted in between count from zero. A router that only the later sample contains adds
// queued requests but no cost, since its counters may be older than the earlier sample. Rows
// are sorted by pool, and within a pool by gap, the most disadvantaged workspace first.
func UsageBetween(before, after Fleet) []Usage {
	earlier := map[counterKey]*v1.WorkspaceUsage{}
	forEachCounter(before, func(key counterKey, usage *v1.WorkspaceUsage) { earlier[key] = usage })
	sampled := routerNames(before)
	seconds := max(after.At.Sub(before.At), minInterval).Seconds()
	rows := map[usageKey]*Usage{}
	forEachCounter(after, func(key counterKey, usage *v1.WorkspaceUsage) {
		row := rows[usageKey{key.pool, key.workspace}]
		if row == nil {
			row = &Usage{Pool: key.pool, Workspace: key.workspace, Share: config.MinShare}
			rows[usageKey{key.pool, key.workspace}] = row
		}
		row.Share = max(row.Share, usage.Share)
		row.Queued += usage.Queued
		if !sampled[key.router] {
			return
		}
		row.Cost += increase(usage.Cost, earlier[key].GetCost()) / seconds
		row.Requests += increase(usage.Requests, earlier[key].GetRequests()) / seconds
	})
	return withFairShares(rows)
}

// forEachCounter calls visit for the counters of each router, workspace and pool.
func forEachCounter(fleet Fleet, visit func(counterKey, *v1.WorkspaceUsage)) {
	for _, r := range fleet.Routers {
		for _, usage := range r.Workspaces {
			visit(counterKey{r.Router, r.Incarnation, usage.Workspace, usage.Pool}, usage)
		}
	}
}

// routerNames returns the set of the names of the sampled routers.
func routerNames(fleet Fleet) map[string]bool {
	out := map[string]bool{}
	for _, r := range fleet.Routers {
		out[r.Router] = true
	}
	return out
}

// increase returns by how much a counter grew, 0 if it went back.
func increase(now, before uint64) float64 {
	if now < before {
		return 0
	}
	return float64(now - before)
}

// withFairShares sets Deserved and Received of the rows and returns them in the order of
// UsageBetween.
func withFairShares(rows map[usageKey]*Usage) []Usage {
	pools := map[string][]*Usage{}
	for _, row := range rows {
		pools[row.Pool] = append(pools[row.Pool], row)
	}
	var out []Usage
	for _, pool := range pools {
		setFairShares(pool)
		for _, row := range pool {
			out = append(out, *row)
		}
	}
	slices.SortFunc(out, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Gap(), b.Gap()), cmp.Compare(a.Workspace, b.Workspace))
	})
	return out
}

// setFairShares sets Deserved and Received of the rows of one pool. It divides the delivered
// cost max-min fairly by share: rows are visited in ascending order of demand divided by share.
// Each gets its demand or, if that is less, the part of the remaining cost that is in
// proportion to its share among the remaining rows.
func setFairShares(rows []*Usage) {
	var total, shares float64
	for _, row := range rows {
		total += row.Cost
		shares += float64(row.Share)
	}
	if total == 0 {
		return
	}
	slices.SortFunc(rows, func(a, b *Usage) int {
		return cmp.Or(cmp.Compare(demand(a)/float64(a.Share), demand(b)/float64(b.Share)), cmp.Compare(a.Workspace, b.Workspace))
	})
	remaining := total
	for _, row := range rows {
		fairShare := remaining * float64(row.Share) / shares
		deserved := min(fairShare, demand(row))
		remaining -= deserved
		shares -= float64(row.Share)
		row.Deserved = percent * deserved / total
		row.Received = percent * row.Cost / total
	}
}

// demand returns the cost per second that a workspace asked for: unlimited if it has queued
// requests, otherwise what it received.
func demand(u *Usage) float64 {
	if u.Queued > 0 {
		return math.Inf(1)
	}
	return u.Cost
}

// PrintUsage prints a table of the rows.
func PrintUsage(w io.Writer, rows []Usage) error {
	var out bytes.Buffer
	t := newTable(&out, "POOL", "WORKSPACE", "SHARE", "QUEUED", "REQ/S", "COST/S", "DESERVED%", "RECEIVED%", "GAP%")
	for _, row := range rows {
		t.row(row.Pool, row.Workspace, row.Share, row.Queued,
			fmt.Sprintf("%.1f", row.Requests), fmt.Sprintf("%.0f", row.Cost),
			fmt.Sprintf("%.1f", row.Deserved), fmt.Sprintf("%.1f", row.Received), fmt.Sprintf("%+.1f", row.Gap()))
	}
	t.Flush()
	_, err := w.Write(out.Bytes())
	return err
}
