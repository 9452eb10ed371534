package orders

import (
	"slices"
	"time"
)

func (s *Sender) queryEnded(now time.Time, ended QueryEnded) {
	e, ok := s.engines[ended.Target]
	if !ok || e.query != ended.Attempt {
		return
	}
	e.query = 0
	if ended.Attempt <= e.endedAfter {
		e.current = false
		e.queryAt = now
		return
	}
	if ended.Outcome != Done {
		e.queryFailures++
		e.queryAt = now.Add(s.retryDelay(e.queryFailures))
		return
	}
	s.reported(now, e, ended.State)
	s.resolve(now, e, ended.Attempt)
}

// reported takes over the state of an engine that answered.
func (s *Sender) reported(now time.Time, e *engine, state State) {
	e.report = state
	e.reportedAt = now
	e.current = true
	e.queryFailures = 0
	poll := s.opts.IgnoringPoll
	if e.desired != nil && e.desired.ChecksFencing {
		poll = s.opts.CheckingPoll
	}
	e.queryAt = now.Add(poll/2 + s.jitter(poll/2))
}

// resolve ends a lost order if a query that began after the loss shows its
// effect or that the engine did not take it. An order whose answer may still
// come is not ended by a report: the effect may be that of another sender's
// order, with this one waiting at the engine.
func (s *Sender) resolve(now time.Time, e *engine, query uint64) {
	switch {
	case e.order == nil || e.order.lostAfter == 0:
	case query <= e.order.lostAfter:
		e.queryAt = now
	case e.order.order.shownBy(e.report):
		s.finish(now, e, Done)
	case e.report.Fencing < e.order.order.Fencing:
		s.finish(now, e, Unknown)
	}
}

func (s *Sender) orderEnded(now time.Time, ended OrderEnded) {
	e, ok := s.engines[ended.Target]
	if !ok || e.order == nil || e.order.attempt != ended.Attempt {
		return
	}
	if ended.Outcome == Unknown {
		e.order.lostAfter = s.attempts
		e.queryAt = now
		return
	}
	if ended.Outcome == Done {
		s.reported(now, e, ended.State)
	}
	s.finish(now, e, ended.Outcome)
}

// finish ends the order in progress.
func (s *Sender) finish(now time.Time, e *engine, outcome Outcome) {
	order := e.order.order
	e.order = nil
	e.endedAfter = s.attempts
	switch outcome {
	case Done:
		e.failures = 0
		if order.Kind == LoadModel {
			e.failedVersion = ""
		}
		return
	case Failed, Unknown:
		if order.Kind == LoadModel {
			e.failedVersion = order.Version
		}
	}
	e.current = false
	e.failures++
	e.retryAt = now.Add(s.retryDelay(e.failures))
	e.queryAt = now
}

// expire ends the orders and queries whose time is over, ordered by name so
// that a step is deterministic.
func (s *Sender) expire(now time.Time) {
	var due []string
	for name, e := range s.engines {
		if s.queryOverdue(now, e) || orderOverdue(now, e) {
			due = append(due, name)
		}
	}
	slices.Sort(due)
	for _, name := range due {
		e := s.engines[name]
		if s.queryOverdue(now, e) {
			s.queryEnded(now, QueryEnded{Target: name, Attempt: e.query, Outcome: Unknown})
		}
		if orderOverdue(now, e) {
			s.finish(now, e, Unknown)
		}
	}
}

func (s *Sender) queryOverdue(now time.Time, e *engine) bool {
	return e.query != 0 && now.Sub(e.queryFrom) > s.opts.QueryTimeout
}

func orderOverdue(now time.Time, e *engine) bool {
	return e.order != nil && now.After(e.order.deadline)
}
