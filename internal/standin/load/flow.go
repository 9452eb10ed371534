package load

import (
	"cmp"
	"slices"
	"sync/atomic"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// flow is the load that one workspace sends to one pool.
type flow struct {
	workspace  *v1.Workspace
	pool       *v1.Pool
	backlogged bool
	// workerCount is the number of requests that the flow keeps open at most, not
	// counting duplicates.
	workerCount int
	// slots is the number of slots of the whole pool.
	slots int

	// requests counts the requests sent, and notServed those that no target answered.
	requests  atomic.Uint64
	notServed atomic.Uint64
	// deliveredCost is the cost of what the caller received: weighted tokens of an
	// engine, or milliseconds of a service's runs.
	deliveredCost atomic.Uint64
	// firstLatency is the time to the first token of a streamed answer, or to the answer
	// of a service.
	firstLatency latency
}

// share returns the share of the flow's workspace, at least 1.
func (f *flow) share() float64 {
	return float64(max(f.workspace.Share, 1))
}

// planFlows returns a flow for each pool and each workspace that may use it.
func planFlows(options Options) []*flow {
	c := options.Configuration
	largest := largestWorkspaces(c.Workspaces, options.Backlogged)
	var flows []*flow
	for _, pool := range c.Pools {
		slots := poolSlots(c, pool.Name)
		for _, w := range c.Workspaces {
			if !mayUse(w, pool.Name) {
				continue
			}
			f := &flow{workspace: w, pool: pool, backlogged: largest[w.Name], workerCount: 1, slots: slots}
			if f.backlogged {
				f.workerCount = backlogSize(options, slots)
			}
			flows = append(flows, f)
		}
	}
	return flows
}

// backlogSize returns the number of open requests of a backlogged workspace in a pool
// with the given slots.
func backlogSize(options Options, slots int) int {
	if options.Concurrency > 0 {
		return options.Concurrency
	}
	return max(1, slots/2)
}

// largestWorkspaces returns the names of the n workspaces with the largest shares. Among
// equal shares, those that come first in the configuration are taken.
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

// mayUse reports whether w may send requests to the pool. A workspace without a list of
// pools may use all of them.
func mayUse(w *v1.Workspace, pool string) bool {
	return len(w.Pools) == 0 || slices.Contains(w.Pools, pool)
}

// poolSlots returns the sum of the slots of the pool's targets.
func poolSlots(c *v1.Configuration, pool string) int {
	slots := 0
	for _, t := range c.Targets {
		if t.Pool == pool {
			slots += int(t.Slots)
		}
	}
	return slots
}
