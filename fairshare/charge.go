package fairshare

import "github.com/chiveseam/chiveseam/config"

// Charge is the cost charged for one request from its grant to its end. It must be ended
// once, by Settle, Close, Refund or Abandon of the Counters that returned it; later calls
// have no effect. The zero value is a charge that has ended.
type Charge struct {
	workspace config.ID
	open      bool
	// lifts is the value of account.lifts at the start of the charge. If that has changed
	// by the end, the workspace was lifted in between and a refund is dropped.
	lifts uint32
	// cost is the cost charged so far in cost units.
	cost int64
}

// Cost returns the cost charged so far, or at the end, in cost units.
func (ch *Charge) Cost() int64 {
	return ch.cost
}

// Estimate returns the expected cost of a request of the workspace in cost units: the
// moving mean of its costs, or hint if that is positive and lower.
func (c *Counters) Estimate(id config.ID, hint int64) int64 {
	estimate := c.MeanCost(id)
	if hint > 0 {
		estimate = min(estimate, clampCost(hint))
	}
	return estimate
}

// MeanCost returns the moving mean of the workspace's costs in cost units, or
// Options.InitialCost before the first Settle.
func (c *Counters) MeanCost(id config.ID) int64 {
	a := c.accounts[id]
	if a == nil || a.meanCost == 0 {
		return c.initialCost
	}
	return max(a.meanCost/meanCostScale, 1)
}

// Start charges the estimate of a request, in cost units, at the moment at which a slot
// is granted to it.
func (c *Counters) Start(id config.ID, estimate int64) Charge {
	a := c.account(id)
	a.group.maxGrantStart = max(a.group.maxGrantStart, a.counter())
	return c.Reserve(id, estimate)
}

// Reserve charges an estimate like Start, but for a request without a grant: lifts of
// other workspaces do not take it into account. Refund ends the charge.
func (c *Counters) Reserve(id config.ID, estimate int64) Charge {
	ch := c.Resume(id, clampCost(estimate))
	c.add(c.account(id), ch.cost)
	return ch
}

// Resume returns the charge of a request in flight whose cost so far, in cost units, the
// workspace's counter already contains. A new holder of the counters calls it for the
// requests in flight that routers report.
func (c *Counters) Resume(id config.ID, charged int64) Charge {
	a := c.account(id)
	c.removeIdle(a)
	a.inFlight++
	return Charge{workspace: id, open: true, lifts: a.lifts, cost: clampCost(charged)}
}

// Progress raises the charge to the cost reported so far. A lower cost is a late report
// and is ignored.
func (c *Counters) Progress(ch *Charge, cost int64) {
	cost = clampCost(cost)
	if !ch.open || cost <= ch.cost {
		return
	}
	c.add(c.account(ch.workspace), cost-ch.cost)
	ch.cost = cost
}

// Settle ends the charge of a request that ran to its end. It corrects the charge to the
// final cost and adds that cost to the moving mean.
func (c *Counters) Settle(ch *Charge, cost int64) {
	if !ch.open {
		return
	}
	cost = clampCost(cost)
	c.account(ch.workspace).updateMeanCost(cost)
	c.end(ch, cost)
}

// Close ends the charge of a request that ended early, at its final cost. The moving mean
// does not change.
func (c *Counters) Close(ch *Charge, cost int64) {
	if ch.open {
		c.end(ch, clampCost(cost))
	}
}

// Refund ends the charge of a request that did not run, at cost 0.
func (c *Counters) Refund(ch *Charge) {
	if ch.open {
		c.end(ch, 0)
	}
}

// Abandon ends the charge of a request whose final cost is unknown. The counter keeps the
// cost charged so far.
func (c *Counters) Abandon(ch *Charge) {
	if ch.open {
		c.end(ch, ch.cost)
	}
}

// end corrects the charge to cost and ends it. A refund lowers the counter only if the
// workspace was not lifted since the start of the charge: a lift already replaced the
// charged value.
func (c *Counters) end(ch *Charge, cost int64) {
	a := c.account(ch.workspace)
	difference := cost - ch.cost
	if difference > 0 || ch.lifts == a.lifts {
		c.add(a, difference)
	} else {
		a.chargedCost += difference
	}
	ch.cost = cost
	ch.open = false
	a.inFlight--
	c.addIdle(a)
}

// add charges cost and restores the order of the heap.
func (c *Counters) add(a *account, cost int64) {
	a.add(cost)
	if a.backlogged {
		a.group.fix(a)
	}
}
