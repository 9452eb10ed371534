package placement

const (
	// delayWeight is the weight of the delay of later requests, as a multiple of the request's own
	// delay. It is more than 1 since delayed requests are sent to engines that do not hold their
	// prompts, which are processed again there (figures: docs/design/cached-prefixes.md).
	delayWeight = 6.0
	// streamDelayWeight is the weight of the delay of the next token of a running request.
	streamDelayWeight = 0.3
	// evictionWeight is the weight of reading evicted parts again: while they are read, other parts are
	// evicted in turn.
	evictionWeight = 6.0
	// maxOthersWeight bounds the weight of all others: near full load their number grows without
	// bound, and no engine but those that hold the prompt would be chosen, however long the wait.
	maxOthersWeight = 24.0
	// maxLoad bounds the estimated load of an engine for the same reason.
	maxLoad = 0.9
)

// memoryWait returns the time in ms that a request waits until its target has memory for it. It is not part
// of candidate.wait: an estimate of what others hold must not decide whether a request is refused.
func (c *candidate) memoryWait(p *promptInfo) float64 {
	m := c.target.cache.memory
	missing := m.held + float64(p.tokens-c.cached) - m.capacity
	if missing <= 0 || m.held <= 0 {
		return 0
	}
	// Running requests end at an even pace and release what they hold.
	return missing / m.held * c.target.holdTime()
}

// costToOthers returns the cost in ms of the shared prompt parts that the target does not hold: the
// delay of other requests while they are processed, and the value of the parts that the request
// evicts.
func (c *candidate) costToOthers(s *service, d *Demand, p *promptInfo) float64 {
	perToken := c.slowness * c.pace * p.slope
	weight := c.othersWeight(s, perToken)
	cost := weight * perToken * float64(c.sharedUnread)
	m := c.target.cache.memory
	added := float64(c.unread+c.fetched) + generatedSoFar*float64(d.MaxOutputTokens)
	if evicted := min(m.inUse+added-m.capacity, added); evicted > 0 {
		cost += evictionWeight * evicted * m.evictionCost * c.slowness * c.pace * (1 + weight)
	}
	return cost
}

// othersWeight returns the weight of a delay of all others at the target, as a multiple of the request's
// own: that of the requests that arrive until the engine has caught up with its prompts, as in a queue
// with random arrivals (by Little's law, from the time that requests stay), and that of the running requests.
func (c *candidate) othersWeight(s *service, perToken float64) float64 {
	arrivals := float64(c.running) / c.target.holdTime()
	load := min(arrivals*s.means.unread*perToken, maxLoad)
	later := arrivals * perToken * float64(c.backlog+c.unread) / (1 - load)
	return min(delayWeight*later+streamDelayWeight*float64(c.running), maxOthersWeight)
}
