package fairshare

import (
	"container/list"
	"slices"

	"github.com/chiveseam/chiveseam/config"
)

const (
	// defaultInitialCost is the default of Options.InitialCost in cost units.
	defaultInitialCost = 256

	// defaultLeadCosts is the default of Options.MaxLead as a multiple of
	// Options.InitialCost.
	defaultLeadCosts = 16

	// defaultMaxIdle is the default of Options.MaxIdle.
	defaultMaxIdle = 1024
)

// Options are the settings of a Counters. A field that is not positive takes its default.
type Options struct {
	// InitialCost is the estimate in cost units for a workspace before its first Settle.
	InitialCost int64
	// MaxLead bounds how far a merge, or service in other regions, may raise the counter
	// of a workspace above those of its competitors, in cost units at share 1.
	MaxLead int64
	// MaxIdle bounds the number of remembered workspaces that are neither configured nor
	// backlogged and have no request in flight.
	MaxIdle int
}

// Counters holds the counters of the workspaces of one pool. It is not safe for
// concurrent use.
type Counters struct {
	// initialCost is in cost units, maxLead in 1/Scale cost units at share 1.
	initialCost int64
	maxLead     uint64
	maxIdle     int

	accounts map[config.ID]*account
	// unrestricted is the group of the workspaces that may use all capacity. Its name is
	// empty.
	unrestricted *group
	// groups holds the named groups.
	groups map[string]*group
	// groupsWithCapacity are the names that SetGroupsWithCapacity last got, nil before the
	// first call.
	groupsWithCapacity []string
	// idleAccounts lists the accounts whose number Options.MaxIdle bounds, the one that
	// has been idle longest first.
	idleAccounts *list.List
	// regions holds the last message of each other region.
	regions map[string]*regionState
	// skipped is the buffer of Next for the accounts that it takes out of their heaps.
	skipped []*account
}

// New returns a Counters without workspaces.
func New(o Options) *Counters {
	if o.InitialCost <= 0 {
		o.InitialCost = defaultInitialCost
	}
	if o.MaxLead <= 0 {
		o.MaxLead = defaultLeadCosts * o.InitialCost
	}
	if o.MaxIdle <= 0 {
		o.MaxIdle = defaultMaxIdle
	}
	return &Counters{
		initialCost:  clampCost(o.InitialCost),
		maxLead:      uint64(clampCost(o.MaxLead)) * Scale,
		maxIdle:      o.MaxIdle,
		accounts:     map[config.ID]*account{},
		unrestricted: &group{},
		groups:       map[string]*group{},
		idleAccounts: list.New(),
		regions:      map[string]*regionState{},
	}
}

// Configure adds a workspace or changes its share and group. The counter keeps its value.
// A workspace of the empty group may use all capacity and competes with all groups. A
// share of zero counts as one.
func (c *Counters) Configure(id config.ID, share uint32, groupName string) {
	a := c.account(id)
	wasBacklogged := a.backlogged
	c.MarkIdle(id)
	if a.configured {
		a.group.configuredCount--
	}
	a.share = max(int64(share), 1)
	a.remainder = min(a.remainder, a.share-1)
	a.group = c.group(groupName)
	a.group.configuredCount++
	a.configured = true
	c.removeIdle(a)
	if wasBacklogged {
		c.MarkBacklogged(id)
	}
}

// Remove removes the configuration of a workspace, which also ends its backlog. The
// counter is kept while the workspace has requests in flight. After that it is one of the
// idle counters, of which the Options.MaxIdle latest are kept.
func (c *Counters) Remove(id config.ID) {
	a := c.accounts[id]
	if a == nil || !a.configured {
		return
	}
	c.MarkIdle(id)
	a.configured = false
	a.group.configuredCount--
	c.addIdle(a)
}

// SetGroupsWithCapacity sets the names of the groups that have capacity of their own.
// Before the first call all groups have. Workspaces of the empty group do not compete
// with groups without capacity.
func (c *Counters) SetGroupsWithCapacity(groups []string) {
	c.groupsWithCapacity = groups
	if groups == nil {
		c.groupsWithCapacity = []string{}
	}
	for _, g := range c.groups {
		g.noCapacity = !slices.Contains(c.groupsWithCapacity, g.name)
	}
}

// MarkBacklogged marks a workspace as having waiting requests. Its counter is raised to the
// least counter of its backlogged competitors and lowered to at most MaxLead above that.
func (c *Counters) MarkBacklogged(id config.ID) {
	a := c.account(id)
	if a.backlogged {
		return
	}
	c.removeIdle(a)
	level := c.liftLevel(a.group)
	a.raiseTo(level)
	a.capAt(level + c.maxLead)
	a.backlogged = true
	a.group.push(a)
}

// MarkIdle marks a workspace as having no waiting requests.
func (c *Counters) MarkIdle(id config.ID) {
	a := c.accounts[id]
	if a == nil || !a.backlogged {
		return
	}
	a.group.remove(a)
	a.backlogged = false
	c.addIdle(a)
}

// Before reports whether a is served before b: its counter is lower, or the counters are
// equal and its ID is lower. Both must be backlogged.
func (c *Counters) Before(a, b config.ID) bool {
	return precedes(c.accounts[a], c.accounts[b])
}

// Next returns the workspace with the least counter among the backlogged ones of the
// named group and of the empty group for which usable returns true. It returns false if
// there is none. The function usable must not call methods of c.
func (c *Counters) Next(groupName string, usable func(config.ID) bool) (config.ID, bool) {
	named := c.groups[groupName]
	c.skipped = c.skipped[:0]
	defer c.restoreSkipped()
	for {
		a := c.unrestricted.least()
		if named != nil && precedes(named.least(), a) {
			a = named.least()
		}
		if a == nil {
			return 0, false
		}
		if usable(a.id) {
			return a.id, true
		}
		a.group.remove(a)
		c.skipped = append(c.skipped, a)
	}
}

// restoreSkipped puts the accounts that Next has taken out back into their heaps.
func (c *Counters) restoreSkipped() {
	for _, a := range c.skipped {
		a.group.push(a)
	}
}

// BackloggedShares returns the sum of the shares of the backlogged workspaces that
// compete for the capacity of the named group: those of that group and of the empty
// group. For the empty name it is the sum over all groups.
func (c *Counters) BackloggedShares(groupName string) int64 {
	shares := c.unrestricted.backloggedShares
	for name, g := range c.groups {
		if groupName == "" || groupName == name {
			shares += g.backloggedShares
		}
	}
	return shares
}

// Backlogged reports whether the workspace is marked as having waiting requests.
func (c *Counters) Backlogged(id config.ID) bool {
	a := c.accounts[id]
	return a != nil && a.backlogged
}

// Len returns the number of workspaces that have a counter, including idle ones.
func (c *Counters) Len() int {
	return len(c.accounts)
}

// liftLevel returns the counter to which a workspace of g is lifted when it becomes
// backlogged. For the empty group that is the greatest level of the named groups that
// have capacity and members, or that of the empty group alone if there is no such group.
func (c *Counters) liftLevel(g *group) uint64 {
	if g != c.unrestricted {
		return c.groupLiftLevel(g)
	}
	level := uint64(0)
	found := false
	for _, named := range c.groups {
		if named.noCapacity || named.configuredCount == 0 && len(named.heap) == 0 {
			continue
		}
		level = max(level, c.groupLiftLevel(named))
		found = true
	}
	if found {
		return level
	}
	return c.groupLiftLevel(c.unrestricted)
}

// groupLiftLevel returns the least counter of the backlogged workspaces of g and of the
// empty group, or the greatest counter from which a grant to them started if none is
// backlogged.
func (c *Counters) groupLiftLevel(g *group) uint64 {
	least := c.unrestricted.least()
	if precedes(g.least(), least) {
		least = g.least()
	}
	if least != nil {
		return least.counter()
	}
	return max(g.maxGrantStart, c.unrestricted.maxGrantStart)
}

// account returns the account of a workspace. It adds one with share 1 in the empty group
// if there is none.
func (c *Counters) account(id config.ID) *account {
	a := c.accounts[id]
	if a != nil {
		return a
	}
	a = &account{id: id, share: 1, group: c.unrestricted}
	c.accounts[id] = a
	c.addIdle(a)
	return a
}

// group returns the group with a name and adds it if there is none.
func (c *Counters) group(name string) *group {
	if name == "" {
		return c.unrestricted
	}
	g := c.groups[name]
	if g == nil {
		g = &group{name: name, noCapacity: c.groupsWithCapacity != nil && !slices.Contains(c.groupsWithCapacity, name)}
		c.groups[name] = g
	}
	return g
}

// addIdle adds a to the idle accounts, unless it is configured, backlogged or has
// requests in flight. It drops the accounts with the longest idle time if there are more
// than maxIdle, with what is known of them from other regions.
func (c *Counters) addIdle(a *account) {
	if a.configured || a.backlogged || a.inFlight > 0 || a.idleElement != nil {
		return
	}
	a.idleElement = c.idleAccounts.PushBack(a)
	for c.idleAccounts.Len() > c.maxIdle {
		oldest := c.idleAccounts.Front().Value.(*account)
		c.removeIdle(oldest)
		delete(c.accounts, oldest.id)
		for _, state := range c.regions {
			delete(state.counters, oldest.id)
		}
	}
}

// removeIdle takes a out of the idle accounts if it is among them.
func (c *Counters) removeIdle(a *account) {
	if a.idleElement == nil {
		return
	}
	c.idleAccounts.Remove(a.idleElement)
	a.idleElement = nil
}
