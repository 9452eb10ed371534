package fairshare

import (
	"cmp"
	"slices"

	"github.com/chiveseam/chiveseam/config"
)

// Counter is a workspace's counter in 1/Scale cost units at share 1.
type Counter struct {
	Workspace  config.ID
	Value      uint64
	Backlogged bool
}

// Merge takes over counters that other holders saw: the maximum of each wins.
// Backlogged workspaces end at most MaxLead below the greatest counter of
// their group that was merged, and at most MaxLead above their competitors.
func (c *Counters) Merge(counters []Counter) {
	highest := map[*group]uint64{}
	for _, counter := range counters {
		a := c.account(counter.Workspace)
		a.raise(counter.Value)
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

// lift raises the start of grants and all backlogged accounts to level.
func (g *group) lift(level uint64) {
	g.start = max(g.start, level)
	for {
		a := g.least()
		if a == nil || a.key() >= level {
			return
		}
		a.raise(level)
		g.fix(a)
	}
}

func (c *Counters) limitLead(a *account) {
	if a == nil || !a.backlogged {
		return
	}
	a.limit(c.level(a.group) + c.maxLead)
	a.group.fix(a)
}

// Value returns the counter of a workspace in 1/Scale cost units at share 1.
func (c *Counters) Value(id config.ID) uint64 {
	a := c.accounts[id]
	if a == nil {
		return 0
	}
	return a.key()
}

// Snapshot returns all counters ordered by workspace, as Merge takes them.
func (c *Counters) Snapshot() []Counter {
	counters := make([]Counter, 0, len(c.accounts))
	for _, a := range c.accounts {
		counters = append(counters, Counter{a.id, a.key(), a.backlogged})
	}
	sortCounters(counters)
	return counters
}

func sortCounters(counters []Counter) {
	slices.SortFunc(counters, func(a, b Counter) int {
		return cmp.Compare(a.Workspace, b.Workspace)
	})
}
