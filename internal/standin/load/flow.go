package load

import (
	"cmp"
	"slices"
	"sync/atomic"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// flow is the requests of one workspace to one pool.
type flow struct {
	workspace   *v1.Workspace
	pool        *v1.Pool
	backlogged  bool
	workerCount int
	// poolSlots is the number of poolSlots of the whole pool.
	poolSlots int

	requests  atomic.Uint64
	notServed atomic.Uint64
	// deliveredCost is the cost of what the caller received: weighted tokens, or
	// milliseconds of service.
	deliveredCost atomic.Uint64
	// firstLatency is the latency to the firstLatency token, or to the answer of a service.
	firstLatency latency
}

// share returns the weight of the flow's workspace, at least 1.
func (f *flow) share() float64 {
	return float64(max(f.workspace.Share, 1))
}

// planFlows returns the flows of all workspaces to the pools they may use.
func planFlows(options Options) []*flow {
	c := options.Configuration
	backlogged := largestWorkspaces(c.Workspaces, options.Backlogged)
	var flows []*flow
	for _, pool := range c.Pools {
		slots := poolSlots(c, pool.Name)
		for _, w := range c.Workspaces {
			if !mayUse(w, pool.Name) {
				continue
			}
			f := &flow{workspace: w, pool: pool, backlogged: backlogged[w.Name], workerCount: 1, poolSlots: slots}
			if f.backlogged {
				f.workerCount = backlogSize(options, slots)
			}
			flows = append(flows, f)
		}
	}
	return flows
}

// backlogSize returns the number of open requests of a backlogged workspace.
func backlogSize(options Options, slots int) int {
	if options.Concurrency > 0 {
		return options.Concurrency
	}
	return max(1, slots/2)
}

// largestWorkspaces returns the names of the n workspaces with the greatest shares.
func largestWorkspaces(workspaces []*v1.Workspace, n int) map[string]bool {
	sorted := slices.Clone(workspaces)
	slices.SortStableFunc(sorted, func(a, b *v1.Workspace) int {
		return cmp.Compare(b.Share, a.Share)
	})
	names := map[string]bool{}
	for _, w := range sorted[:min(n, len(sorted))] {
		names[w.Name] = true
	}
	return names
}

func mayUse(w *v1.Workspace, pool string) bool {
	return len(w.Pools) == 0 || slices.Contains(w.Pools, pool)
}

func poolSlots(c *v1.Configuration, pool string) int {
	slots := 0
	for _, t := range c.Targets {
		if t.Pool == pool {
			slots += int(t.Slots)
		}
	}
	return slots
}
