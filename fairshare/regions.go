package fairshare

import "github.com/chiveseam/chiveseam/config"

// RegionCounters is a message about the service in another region, from the holder of the
// counters there. Counters are those that ServiceCounters returns there.
type RegionCounters struct {
	Region string
	// Epoch identifies the holder of the counters in that region. Version grows with each
	// message of one holder.
	Epoch    uint64
	Version  uint64
	Counters []Counter
}

// regionState is the content of the last message of a region.
type regionState struct {
	epoch    uint64
	version  uint64
	counters map[config.ID]regionCounter
}

// regionCounter is the service of a workspace according to the last message of a region.
type regionCounter struct {
	// value is the service in 1/Scale cost units at share 1.
	value uint64
	// backlogged is set if the workspace was backlogged in that region.
	backlogged bool
	// backloggedHere is set if the workspace was backlogged in this region when the
	// message arrived.
	backloggedHere bool
}

// MergeRegion adds the service that workspaces received in another region since its last
// message to their counters, whether or not they were backlogged there. It does so only
// for workspaces that are backlogged here at both messages, so that those are ordered by
// their total service in all regions. It reports whether the message is newer than the
// last one of its epoch; others change nothing. The first message of an epoch only sets
// the values from which the next one counts.
func (c *Counters) MergeRegion(m RegionCounters) bool {
	last := c.regions[m.Region]
	if last == nil {
		last = &regionState{}
	}
	if last.epoch == m.Epoch && m.Version <= last.version {
		return false
	}
	next := &regionState{epoch: m.Epoch, version: m.Version, counters: map[config.ID]regionCounter{}}
	c.regions[m.Region] = next
	var charged []*account
	for _, counter := range m.Counters {
		a := c.accounts[counter.Workspace]
		if a == nil {
			continue
		}
		next.counters[counter.Workspace] = regionCounter{counter.Value, counter.Backlogged, a.backlogged}
		previous := last.counters[counter.Workspace]
		if last.epoch == m.Epoch && previous.backloggedHere && a.backlogged && counter.Value > previous.value {
			a.remoteCounter += counter.Value - previous.value
			a.group.fix(a)
			charged = append(charged, a)
		}
	}
	for _, a := range charged {
		c.capRemoteCounter(a)
	}
	return true
}

// capRemoteCounter lowers the counter towards MaxLead above that of the competitors. It
// lowers remoteCounter only, so that service in this region always counts.
func (c *Counters) capRemoteCounter(a *account) {
	highest := c.liftLevel(a.group) + c.maxLead
	if a.counter() <= highest {
		return
	}
	a.remoteCounter -= min(a.counter()-highest, a.remoteCounter)
	a.group.fix(a)
}

// ServiceCounters returns the service of workspaces in this region for MergeRegion in the
// other regions: charges less refunds, divided by the share, without lifts and without
// service in other regions. It lists the workspaces that are backlogged here, or in
// another region according to its last message, in the order of their IDs.
func (c *Counters) ServiceCounters() []Counter {
	var counters []Counter
	for _, a := range c.accounts {
		if a.backlogged || c.backloggedInOtherRegion(a.id) {
			counters = append(counters, Counter{a.id, a.chargedPerShare(), a.backlogged})
		}
	}
	sortCounters(counters)
	return counters
}

// backloggedInOtherRegion reports whether the last message of any region says that the
// workspace is backlogged there.
func (c *Counters) backloggedInOtherRegion(id config.ID) bool {
	for _, state := range c.regions {
		if state.counters[id].backlogged {
			return true
		}
	}
	return false
}
