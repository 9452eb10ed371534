package orders

import (
	"slices"
	"time"
)

// engine is what a sender knows of an engine.
type engine struct {
	// desired is nil for an engine that left the configuration.
	desired *Engine

	report     State
	reportedAt time.Time
	// current is cleared when the report may no longer hold: after an order
	// that was not done, and after a query that overlapped the end of one.
	current bool

	// query is the attempt in progress, 0 is none.
	query         uint64
	queryFrom     time.Time
	queryAt       time.Time
	queryFailures int

	order *progress
	// endedAfter is the last attempt before the latest order ended. A query
	// up to it may show the state before the order.
	endedAfter uint64
	// failures counts the orders that failed in succession.
	failures int
	retryAt  time.Time
	// failedVersion is the version whose load failed last.
	failedVersion string
}

// progress is an order whose end is not known.
type progress struct {
	attempt  uint64
	order    Order
	shard    int
	deadline time.Time
	// reloads is set when the order makes a serving engine unavailable.
	reloads bool
	// lostAfter is the last attempt before it became known that no answer
	// comes; 0 while one may come.
	lostAfter uint64
}

// setDesired replaces the desired state; another one is tried at once.
func (e *engine) setDesired(desired *Engine) {
	if e.desired == nil || !e.desired.sameState(desired) {
		e.failures = 0
		e.retryAt = time.Time{}
	}
	e.desired = desired
}

func (e *Engine) sameState(other *Engine) bool {
	return e.Version == other.Version &&
		e.Role == other.Role &&
		slices.Equal(e.Adapters, other.Adapters)
}

// known reports whether the engine answered the last query.
func (e *engine) known() bool {
	return !e.reportedAt.IsZero() && e.queryFailures == 0
}

// serving reports whether the engine has a model to serve.
func (e *engine) serving() bool {
	return e.known() && e.report.Version != ""
}

// ahead reports whether the engine obeyed a newer configuration.
func (e *engine) ahead(revision uint64) bool {
	return e.report.Fencing.Revision() > revision
}

// missing returns the next order that the engine needs, without a number.
func (e *engine) missing() (Order, bool) {
	want, have := e.desired, e.report
	if want.Role != "" && want.Role != have.Role {
		return Order{Kind: SetRole, Role: want.Role}, true
	}
	if want.Version != "" && want.Version != have.Version {
		return Order{Kind: LoadModel, Version: want.Version}, true
	}
	for _, adapter := range want.Adapters {
		if !slices.Contains(have.Adapters, adapter) {
			return Order{Kind: LoadAdapter, Adapter: adapter}, true
		}
	}
	return Order{}, false
}

// reloads reports whether the order makes the engine unavailable although it
// serves.
func (e *engine) reloads(order Order) bool {
	if !e.serving() {
		return false
	}
	switch order.Kind {
	case LoadModel:
		return true
	case SetRole:
		return e.report.Role != ""
	}
	return false
}

// shownBy reports whether a state shows the effect of the order.
func (o Order) shownBy(state State) bool {
	switch o.Kind {
	case LoadModel:
		return state.Version == o.Version
	case LoadAdapter:
		return slices.Contains(state.Adapters, o.Adapter)
	default:
		return state.Role == o.Role
	}
}
