package fairshare

import (
	"container/list"
	"slices"

	"github.com/chiveseam/chiveseam/config"
)

const (
	// defaultInitialCost is the estimate before any cost was observed.
	defaultInitialCost = 256

	// leadCosts is the default of Options.MaxLead in initial costs.
	leadCosts = 16

	// defaultMaxIdle is the default of Options.MaxIdle.
	defaultMaxIdle = 1024
)

// Options are the settings of a Counters. The zero value of a field selects
// its default.
type Options struct {
	// InitialCost is the estimate in cost units of a workspace without history.
	InitialCost int64
	// MaxLead bounds how far a merge, or service in other regions, may put a
	// workspace ahead of its competitors, in cost units at share 1.
	MaxLead int64
	// MaxIdle bounds the number of idle workspaces that are not configured.
	MaxIdle int
}

// Counters holds the counters of the workspaces of one pool.
type Counters struct {
	initialCost int64
	maxLead     uint64
	maxIdle     int

	accounts map[config.ID]*account
	// all is the group of the workspaces that may use all capacity.
	all    *group
	groups map[string]*group
	// served is nil before the first call of Serve.
	served []string
	// idle lists unconfigured idle accounts, longest idle first.
	idle    *list.List
	regions map[string]*regionView
	skipped []*account
}

// New returns an empty Counters.
func New(o Options) *Counters {
	if o.InitialCost <= 0 {
		o.InitialCost = defaultInitialCost
	}
	if o.MaxLead <= 0 {
		o.MaxLead = leadCosts * o.InitialCost
	}
	if o.MaxIdle <= 0 {
		o.MaxIdle = defaultMaxIdle
	}
	return &Counters{
		initialCost: clampCost(o.InitialCost),
		maxLead:     uint64(clampCost(o.MaxLead)) * Scale,
		maxIdle:     o.MaxIdle,
		accounts:    map[config.ID]*account{},
		all:         &group{},
		groups:      map[string]*group{},
		idle:        list.New(),
		regions:     map[string]*regionView{},
	}
}

// Configure sets a workspace's share and group. The counter is kept. The empty
// group competes with all groups. A share of zero counts as one.
func (c *Counters) Configure(id config.ID, share uint32, groupName string) {
	a := c.account(id)
	wasBacklogged := a.backlogged
	c.Idle(id)
	if a.configured {
		a.group.configured--
	}
	a.share = max(int64(share), 1)
	a.rest = min(a.rest, a.share-1)
	a.group = c.group(groupName)
	a.group.configured++
	a.configured = true
	c.unlist(a)
	if wasBacklogged {
		c.Backlog(id)
	}
}

// Remove forgets the configuration of a workspace. Its counter is kept while
// it has requests in flight, and then as one of Options.MaxIdle.
func (c *Counters) Remove(id config.ID) {
	a := c.accounts[id]
	if a == nil || !a.configured {
		return
	}
	c.Idle(id)
	a.configured = false
	a.group.configured--
	c.enlist(a)
}

// Serve names the groups that have capacity of their own; all have until the
// first call. Members of the empty group find no competitors in others.
func (c *Counters) Serve(groups []string) {
	c.served = groups
	if groups == nil {
		c.served = []string{}
	}
	for _, g := range c.groups {
		g.unserved = !slices.Contains(c.served, g.name)
	}
}

// Backlog marks a workspace as having waiting requests. It is lifted to the
// least counter of its backlogged competitors.
func (c *Counters) Backlog(id config.ID) {
	a := c.account(id)
	if a.backlogged {
		return
	}
	c.unlist(a)
	level := c.level(a.group)
	a.raise(level)
	a.limit(level + c.maxLead)
	a.backlogged = true
	a.group.push(a)
}

// Idle marks a workspace as having no waiting request.
func (c *Counters) Idle(id config.ID) {
	a := c.accounts[id]
	if a == nil || !a.backlogged {
		return
	}
	a.group.remove(a)
	a.backlogged = false
	c.enlist(a)
}

// Before tells whether a has the lesser counter, or the lesser ID at equal
// counters. Both must be backlogged.
func (c *Counters) Before(a, b config.ID) bool {
	return before(c.accounts[a], c.accounts[b])
}

// Next returns the backlogged workspace with the least counter among those of
// the named group and of the empty group for which usable returns true.
func (c *Counters) Next(groupName string, usable func(config.ID) bool) (config.ID, bool) {
	named := c.groups[groupName]
	c.skipped = c.skipped[:0]
	defer c.restoreSkipped()
	for {
		a := c.all.least()
		if named != nil && before(named.least(), a) {
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

func (c *Counters) restoreSkipped() {
	for _, a := range c.skipped {
		a.group.push(a)
	}
}

// BackloggedShares returns the sum of the shares of the backlogged workspaces
// of the named group and of the empty group. For the empty group it is the sum
// over all groups.
func (c *Counters) BackloggedShares(groupName string) int64 {
	shares := c.all.shares
	for name, g := range c.groups {
		if groupName == "" || groupName == name {
			shares += g.shares
		}
	}
	return shares
}

// Backlogged tells whether the workspace is marked as backlogged.
func (c *Counters) Backlogged(id config.ID) bool {
	a := c.accounts[id]
	return a != nil && a.backlogged
}

// Len returns the number of workspaces that are held in memory.
func (c *Counters) Len() int {
	return len(c.accounts)
}

// level returns the counter to which a workspace of g is lifted.
func (c *Counters) level(g *group) uint64 {
	if g != c.all {
		return c.namedLevel(g)
	}
	level := uint64(0)
	found := false
	for _, named := range c.groups {
		if named.unserved || named.configured == 0 && len(named.heap) == 0 {
			continue
		}
		level = max(level, c.namedLevel(named))
		found = true
	}
	if found {
		return level
	}
	return c.namedLevel(c.all)
}

// namedLevel is the least counter of g and of the empty group, or the start of
// the last grant when none is backlogged.
func (c *Counters) namedLevel(g *group) uint64 {
	least := c.all.least()
	if before(g.least(), least) {
		least = g.least()
	}
	if least != nil {
		return least.key()
	}
	return max(g.start, c.all.start)
}

func (c *Counters) account(id config.ID) *account {
	a := c.accounts[id]
	if a != nil {
		return a
	}
	a = &account{id: id, share: 1, group: c.all}
	c.accounts[id] = a
	c.enlist(a)
	return a
}

func (c *Counters) group(name string) *group {
	if name == "" {
		return c.all
	}
	g := c.groups[name]
	if g == nil {
		g = &group{name: name, unserved: c.served != nil && !slices.Contains(c.served, name)}
		c.groups[name] = g
	}
	return g
}

// enlist puts an idle unconfigured account on the idle list and drops the
// oldest accounts above the bound.
func (c *Counters) enlist(a *account) {
	if a.configured || a.backlogged || a.inFlight > 0 || a.idle != nil {
		return
	}
	a.idle = c.idle.PushBack(a)
	for c.idle.Len() > c.maxIdle {
		oldest := c.idle.Front().Value.(*account)
		c.unlist(oldest)
		delete(c.accounts, oldest.id)
		for _, view := range c.regions {
			delete(view.counters, oldest.id)
		}
	}
}

func (c *Counters) unlist(a *account) {
	if a.idle == nil {
		return
	}
	c.idle.Remove(a.idle)
	a.idle = nil
}
