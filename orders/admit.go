package orders

import (
	"cmp"
	"slices"
	"time"
)

// candidate is an engine that needs an order.
type candidate struct {
	engine *engine
	order  Order
}

// sendOrders returns the orders that the limits permit. An engine whose report
// is too old is queried first; its place is kept.
func (s *Sender) sendOrders(now time.Time, index int) []Action {
	list := s.candidatesOf(now, index)
	if len(list) == 0 {
		return nil
	}
	var actions []Action
	rolling := s.newRolling(index)
	store := s.newStore(now, index)
	for _, c := range list {
		reloads := c.engine.reloads(c.order)
		if reloads && !rolling.permits(c) {
			continue
		}
		if c.order.Kind.loads() && !store.permits() {
			continue
		}
		if reloads {
			rolling.add(c.engine)
		}
		if c.order.Kind.loads() {
			store.loading++
		}
		if !c.engine.current || now.Sub(c.engine.reportedAt) > s.opts.MaxReportAge {
			c.engine.queryAt = now
			continue
		}
		if c.order.Kind.loads() {
			store.admit(c.engine.desired.WeightBytes)
		}
		actions = append(actions, s.send(now, c, reloads))
	}
	return actions
}

// candidatesOf returns the engines of a shard that need an order now, those
// that failed least and need least first.
func (s *Sender) candidatesOf(now time.Time, index int) []candidate {
	var list []candidate
	for i := range s.plan.Engines {
		desired := &s.plan.Engines[i]
		e := s.engines[desired.Name]
		if desired.Shard != index || s.leaving[desired.Name] {
			continue
		}
		if !e.known() || e.order != nil || now.Before(e.retryAt) || e.ahead(s.plan.Revision) {
			continue
		}
		if order, ok := e.missing(); ok {
			list = append(list, candidate{engine: e, order: order})
		}
	}
	slices.SortStableFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.engine.failures, b.engine.failures), cmp.Compare(a.weight(), b.weight()))
	})
	return list
}

// weight orders candidates: engines that serve nothing go before others, and
// engines that are nearly complete before those that are not begun.
func (c candidate) weight() int {
	switch {
	case !c.engine.serving():
		return 0
	case c.order.Kind == LoadModel:
		return 2
	}
	return 1
}

func (s *Sender) send(now time.Time, c candidate, reloads bool) Action {
	e := c.engine
	order := c.order
	order.Fencing = nextNumber(s.plan.Revision, e.report.Fencing)
	timeout := s.timeout(e.desired, order.Kind)
	e.order = &progress{
		attempt:  s.attempt(),
		order:    order,
		shard:    e.desired.Shard,
		deadline: now.Add(timeout),
		reloads:  reloads,
	}
	return SendOrder{
		Target:  e.desired.Name,
		Address: e.desired.Address,
		Attempt: e.order.attempt,
		Order:   order,
		Timeout: timeout,
	}
}

// timeout allows a load the time to read the weights at its part of the rate.
func (s *Sender) timeout(e *Engine, kind Kind) time.Duration {
	if !kind.loads() {
		return s.opts.OrderTimeout
	}
	sh := s.plan.Shards[e.Shard]
	read := readTime(e.WeightBytes, sh.BytesPerSecond) * time.Duration(max(sh.MaxLoads, 1))
	return s.opts.OrderTimeout + loadTimeoutFactor*read
}

const loadTimeoutFactor = 2

// store counts the loads from the weight store.
type store struct {
	now     time.Time
	limits  Shard
	shard   *shard
	loading int
}

func (s *Sender) newStore(now time.Time, index int) *store {
	st := &store{now: now, limits: s.plan.Shards[index], shard: &s.shards[index]}
	for _, e := range s.engines {
		if e.order != nil && e.order.order.Kind.loads() && e.order.shard%len(s.shards) == index {
			st.loading++
		}
	}
	return st
}

func (st *store) permits() bool {
	if st.limits.MaxLoads > 0 && st.loading >= int(st.limits.MaxLoads) {
		return false
	}
	return !st.now.Before(st.shard.loadAt)
}

// admit charges a load to the rate.
func (st *store) admit(bytes uint64) {
	from := st.shard.loadAt
	if from.Before(st.now) {
		from = st.now
	}
	st.shard.loadAt = from.Add(readTime(bytes, st.limits.BytesPerSecond))
}

// sendQueries returns the queries that are due.
func (s *Sender) sendQueries(now time.Time, index int) []Action {
	var actions []Action
	free := s.opts.MaxQueries - s.queries()
	for i := range s.plan.Engines {
		desired := &s.plan.Engines[i]
		e := s.engines[desired.Name]
		if free <= 0 {
			break
		}
		if desired.Shard != index || e.query != 0 || now.Before(e.queryAt) || s.leaving[desired.Name] {
			continue
		}
		free--
		e.query = s.attempt()
		e.queryFrom = now
		actions = append(actions, QueryState{
			Target:  desired.Name,
			Address: desired.Address,
			Attempt: e.query,
			Timeout: s.opts.QueryTimeout,
		})
	}
	return actions
}

func (s *Sender) queries() int {
	count := 0
	for _, e := range s.engines {
		if e.query != 0 {
			count++
		}
	}
	return count
}
