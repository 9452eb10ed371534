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
	// minInterval bounds rates when two samples lie very close.
	minInterval = time.Millisecond
)

// Usage is what a workspace received of a pool between two samples.
type Usage struct {
	Pool, Workspace string
	Share           uint32
	// Queued is the number of requests that wait at the later sample.
	Queued uint32
	// Requests and Cost are per second; cost is in cost units.
	Requests, Cost float64
	// Deserved and Received are parts of all that the pool delivered, in
	// percent. Deserved is max-min fair by share: a workspace without waiting
	// requests wants what it received, a backlogged one has no bound.
	Deserved, Received float64
}

// Gap is the service that the workspace received beyond what it deserved, in
// percent of all that the pool delivered.
func (u Usage) Gap() float64 {
	return u.Received - u.Deserved
}

// counterKey identifies a counter of one incarnation of a router.
type counterKey struct {
	router          string
	incarnation     uint64
	workspace, pool string
}

// usageKey identifies a row.
type usageKey struct {
	pool, workspace string
}

// UsageBetween compares two samples. A router that restarted in between
// counts from zero; one that is in the later sample only does not count. Rows are sorted by pool, and within a
// pool by gap, the most disadvantaged workspace first.
func UsageBetween(before, after Fleet) []Usage {
	earlier := map[counterKey]*v1.WorkspaceUsage{}
	eachCounter(before, func(key counterKey, usage *v1.WorkspaceUsage) { earlier[key] = usage })
	sampled := routersOf(before)
	seconds := max(after.At.Sub(before.At), minInterval).Seconds()
	rows := map[usageKey]*Usage{}
	eachCounter(after, func(key counterKey, usage *v1.WorkspaceUsage) {
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
		row.Cost += growth(usage.Cost, earlier[key].GetCost()) / seconds
		row.Requests += growth(usage.Requests, earlier[key].GetRequests()) / seconds
	})
	return fairRows(rows)
}

func eachCounter(fleet Fleet, visit func(counterKey, *v1.WorkspaceUsage)) {
	for _, r := range fleet.Routers {
		for _, usage := range r.Workspaces {
			visit(counterKey{r.Router, r.Incarnation, usage.Workspace, usage.Pool}, usage)
		}
	}
}

// routersOf returns the names of the sampled routers.
func routersOf(fleet Fleet) map[string]bool {
	out := map[string]bool{}
	for _, r := range fleet.Routers {
		out[r.Router] = true
	}
	return out
}

func growth(now, before uint64) float64 {
	if now < before {
		return 0
	}
	return float64(now - before)
}

// fairRows fills in what the workspaces of each pool deserved and received.
func fairRows(rows map[usageKey]*Usage) []Usage {
	pools := map[string][]*Usage{}
	for _, row := range rows {
		pools[row.Pool] = append(pools[row.Pool], row)
	}
	var out []Usage
	for _, pool := range pools {
		divide(pool)
		for _, row := range pool {
			out = append(out, *row)
		}
	}
	slices.SortFunc(out, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Gap(), b.Gap()), cmp.Compare(a.Workspace, b.Workspace))
	})
	return out
}

// divide splits the service of one pool max-min fairly by share.
func divide(rows []*Usage) {
	var total, shares float64
	for _, row := range rows {
		total += row.Cost
		shares += float64(row.Share)
	}
	if total == 0 {
		return
	}
	slices.SortFunc(rows, func(a, b *Usage) int {
		return cmp.Or(cmp.Compare(wanted(a)/float64(a.Share), wanted(b)/float64(b.Share)), cmp.Compare(a.Workspace, b.Workspace))
	})
	left := total
	for _, row := range rows {
		fair := left * float64(row.Share) / shares
		deserved := min(fair, wanted(row))
		left -= deserved
		shares -= float64(row.Share)
		row.Deserved = percent * deserved / total
		row.Received = percent * row.Cost / total
	}
}

// wanted returns the service that a workspace asked for.
func wanted(u *Usage) float64 {
	if u.Queued > 0 {
		return math.Inf(1)
	}
	return u.Cost
}

// PrintUsage prints a table of rows.
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
