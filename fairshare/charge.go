package fairshare

import "github.com/chiveseam/chiveseam/config"

// Charge is the cost charged for one request in flight. The zero value is a
// charge that has ended.
type Charge struct {
	workspace config.ID
	open      bool
	lifts     uint32
	cost      int64
}

// Cost returns the cost charged so far in cost units.
func (ch *Charge) Cost() int64 {
	return ch.cost
}

// Estimate returns the cost in cost units to expect of a request of the
// workspace: the moving mean of its costs, at most hint if that is positive.
func (c *Counters) Estimate(id config.ID, hint int64) int64 {
	estimate := c.MeanCost(id)
	if hint > 0 {
		estimate = min(estimate, clampCost(hint))
	}
	return estimate
}

// MeanCost returns the moving mean of the workspace's costs in cost units.
func (c *Counters) MeanCost(id config.ID) int64 {
	a := c.accounts[id]
	if a == nil || a.mean == 0 {
		return c.initialCost
	}
	return max(a.mean/meanScale, 1)
}

// Start charges the estimate of a request that is granted now.
func (c *Counters) Start(id config.ID, estimate int64) Charge {
	a := c.account(id)
	a.group.start = max(a.group.start, a.key())
	return c.Reserve(id, estimate)
}

// Reserve charges like Start, but is no grant: idle workspaces are not lifted to
// it. It is ended by Refund.
func (c *Counters) Reserve(id config.ID, estimate int64) Charge {
	ch := c.Resume(id, clampCost(estimate))
	c.add(c.account(id), ch.cost)
	return ch
}

// Resume returns the charge of a request in flight whose cost so far is part
// of the workspace's counter already.
func (c *Counters) Resume(id config.ID, charged int64) Charge {
	a := c.account(id)
	c.unlist(a)
	a.inFlight++
	return Charge{workspace: id, open: true, lifts: a.lifts, cost: clampCost(charged)}
}

// Progress raises the charge to the cost seen so far. A lower cost is ignored.
func (c *Counters) Progress(ch *Charge, cost int64) {
	cost = clampCost(cost)
	if !ch.open || cost <= ch.cost {
		return
	}
	c.add(c.account(ch.workspace), cost-ch.cost)
	ch.cost = cost
}

// Settle ends the charge at the final cost and adds it to the moving mean.
func (c *Counters) Settle(ch *Charge, cost int64) {
	if !ch.open {
		return
	}
	cost = clampCost(cost)
	c.account(ch.workspace).observe(cost)
	c.end(ch, cost)
}

// Close ends the charge at the final cost of a request that ended early. The
// moving mean is left alone.
func (c *Counters) Close(ch *Charge, cost int64) {
	if ch.open {
		c.end(ch, clampCost(cost))
	}
}

// Refund ends the charge of a request that did not run.
func (c *Counters) Refund(ch *Charge) {
	if ch.open {
		c.end(ch, 0)
	}
}

// Abandon ends the charge of a request whose final cost is unknown. What was
// charged stays charged.
func (c *Counters) Abandon(ch *Charge) {
	if ch.open {
		c.end(ch, ch.cost)
	}
}

func (c *Counters) end(ch *Charge, cost int64) {
	a := c.account(ch.workspace)
	difference := cost - ch.cost
	if difference > 0 || ch.lifts == a.lifts {
		c.add(a, difference)
	} else {
		a.served += difference
	}
	ch.cost = cost
	ch.open = false
	a.inFlight--
	c.enlist(a)
}

func (c *Counters) add(a *account, cost int64) {
	a.add(cost)
	if a.backlogged {
		a.group.fix(a)
	}
}
