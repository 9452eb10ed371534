package fairshare

import (
	"cmp"
	"slices"

	"github.com/chiveseam/chiveseam/config"
)

// Counter is the counter of a workspace as it is passed from one Counters to another.
type Counter struct {
	Workspace config.ID
	// Value is in 1/Scale cost units at share 1.
	Value      uint64
	Backlogged bool
}

// Merge raises the counters of workspaces to the given ones, which come from another
// holder of the pool's counters. A backlogged workspace ends at most MaxLead below the
// greatest given counter of its group, and at most MaxLead above its competitors.
func (c *Counters) Merge(counters []Counter) {
	highest := map[*group]uint64{}
	for _, counter := range counters {
		a := c.account(counter.Workspace)
		a.raiseTo(counter.Value)
		highest[a.group] = max(highest[a.group], counter.Value)
		if a.backlogged {
			a.group.fix(a)
		}
	}
	for g, high := range highest {
		if high > c.maxLead {
			g.lift(high - c.maxLead)
		}
	}
	for _, counter := range counters {
		c.limitLead(c.accounts[counter.Workspace])
	}
}

// lift raises maxGrantStart and the counters of all backlogged accounts to at least
// level.
func (g *group) lift(level uint64) {
	g.maxGrantStart = max(g.maxGrantStart, level)
	for {
		a := g.least()
		if a == nil || a.counter() >= level {
			return
		}
		a.raiseTo(level)
		g.fix(a)
	}
}

// limitLead lowers the counter of a backlogged account to at most MaxLead above its
// competitors.
func (c *Counters) limitLead(a *account) {
	if a == nil || !a.backlogged {
		return
	}
	a.capAt(c.liftLevel(a.group) + c.maxLead)
	a.group.fix(a)
}

// Value returns the counter of a workspace in 1/Scale cost units at share 1, or 0 if the
// workspace is not known.
func (c *Counters) Value(id config.ID) uint64 {
	a := c.accounts[id]
	if a == nil {
		return 0
	}
	return a.counter()
}

// Snapshot returns the counters of all workspaces in the order of their IDs, as Merge
// takes them.
func (c *Counters) Snapshot() []Counter {
	counters := make([]Counter, 0, len(c.accounts))
	for _, a := range c.accounts {
		counters = append(counters, Counter{a.id, a.counter(), a.backlogged})
	}
	sortCounters(counters)
	return counters
}

func sortCounters(counters []Counter) {
	slices.SortFunc(counters, func(a, b Counter) int {
		return cmp.Compare(a.Workspace, b.Workspace)
	})
}
