package fairshare

import "github.com/chiveseam/chiveseam/config"

// RegionCounters is what a holder of counters in another region tells. Counters
// holds the values of Served.
type RegionCounters struct {
	Region string
	// Epoch differs between holders. Version grows with each message of one.
	Epoch    uint64
	Version  uint64
	Counters []Counter
}

// regionView is the last message of a region.
type regionView struct {
	epoch    uint64
	version  uint64
	counters map[config.ID]foreignCounter
}

// foreignCounter is what a region last told of a workspace.
type foreignCounter struct {
	value      uint64
	backlogged bool
	// compared is set if the workspace was backlogged here at that time.
	compared bool
}

// MergeRegion charges the service that workspaces received in another region
// since its last message, whether or not they were backlogged there. It counts
// for a workspace that is backlogged here at both messages, so that such a
// workspace is ordered by its total service. It reports whether the message is
// newer than the last one of its epoch; others change nothing. The first
// message of an epoch is the base of the next.
func (c *Counters) MergeRegion(m RegionCounters) bool {
	last := c.regions[m.Region]
	if last == nil {
		last = &regionView{}
	}
	if last.epoch == m.Epoch && m.Version <= last.version {
		return false
	}
	next := &regionView{epoch: m.Epoch, version: m.Version, counters: map[config.ID]foreignCounter{}}
	c.regions[m.Region] = next
	var charged []*account
	for _, counter := range m.Counters {
		a := c.accounts[counter.Workspace]
		if a == nil {
			continue
		}
		next.counters[counter.Workspace] = foreignCounter{counter.Value, counter.Backlogged, a.backlogged}
		before := last.counters[counter.Workspace]
		if last.epoch == m.Epoch && before.compared && a.backlogged && counter.Value > before.value {
			a.foreign += counter.Value - before.value
			a.group.fix(a)
			charged = append(charged, a)
		}
	}
	for _, a := range charged {
		c.limitForeign(a)
	}
	return true
}

// limitForeign lowers the key by foreign service only, to at most MaxLead above
// the competitors.
func (c *Counters) limitForeign(a *account) {
	highest := c.level(a.group) + c.maxLead
	if a.key() <= highest {
		return
	}
	a.foreign -= min(a.key()-highest, a.foreign)
	a.group.fix(a)
}

// Served returns, as MergeRegion takes them, the services of the workspaces
// that are backlogged here or were by the last message of another region. They
// are net charges over the share, without lifts and foreign service.
func (c *Counters) Served() []Counter {
	var counters []Counter
	for _, a := range c.accounts {
		if a.backlogged || c.backloggedElsewhere(a.id) {
			counters = append(counters, Counter{a.id, a.servedOverShare(), a.backlogged})
		}
	}
	sortCounters(counters)
	return counters
}

func (c *Counters) backloggedElsewhere(id config.ID) bool {
	for _, view := range c.regions {
		if view.counters[id].backlogged {
			return true
		}
	}
	return false
}
