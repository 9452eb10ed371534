// Package orders is the duty that gives orders to engines. It feeds the state
// machine of the public package orders with the configuration, the reachable
// routers and what engines answer, and carries out its actions.
package orders

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/orders"
	"github.com/chiveseam/chiveseam/router/internal/state"
)

const (
	// tickInterval is how often the state machine sees the time.
	tickInterval = 250 * time.Millisecond
	// maxResults bounds the results that wait for the duty.
	maxResults = 64
	// settleFactor is the time to settle in times of SuspectAfter.
	settleFactor = 2
)

// Engines reaches engines by address.
type Engines interface {
	// State returns what an engine reports.
	State(ctx context.Context, address string) (orders.State, error)
	// Order sends an order once and returns the state after it. The error of
	// an old fencing number wraps ErrRefused, and that of an order that the
	// engine could not carry out ErrFailed.
	Order(ctx context.Context, address string, order orders.Order) (orders.State, error)
}

// Errors of Engines.
var (
	ErrRefused = errors.New("engine refused the fencing number")
	ErrFailed  = errors.New("engine failed the order")
)

// Observer counts orders and engines.
type Observer interface {
	OrderEnded(kind, outcome string)
	Engines(condition string, count int)
}

// Settings are the settings of a Duty.
type Settings struct {
	// SuspectAfter is the silence after which a router counts as unreachable.
	SuspectAfter time.Duration
	// Seed selects the sequence of jitter.
	Seed uint64
	// Options are those of the state machine. Settle and Seed follow from the
	// other settings.
	Options orders.Options
}

// Duty gives orders to engines.
type Duty struct {
	store    *state.Store
	engines  Engines
	observer Observer
	logger   log.Logger
	sender   *orders.Sender
	results  chan orders.Event
	open     sync.WaitGroup

	// accepted is the configuration that plan belongs to.
	accepted *config.Accepted
	plan     *orders.Plan
	status   orders.Status
}

// New returns a duty that does nothing before Run.
func New(store *state.Store, engines Engines, observer Observer, logger log.Logger, s Settings) *Duty {
	s.Options.Settle = settleFactor * s.SuspectAfter
	s.Options.Seed = s.Seed
	return &Duty{
		store:    store,
		engines:  engines,
		observer: observer,
		logger:   log.With(logger, "duty", "orders"),
		sender:   orders.New(store.Fleet().Self.Name, s.Options),
		results:  make(chan orders.Event, maxResults),
	}
}

// Run gives orders until ctx ends.
func (d *Duty) Run(ctx context.Context) error {
	defer d.open.Wait()
	changes := d.store.Subscribe()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			d.tick(ctx)
		case <-changes:
			d.tick(ctx)
		case result := <-d.results:
			// The tick lets the step see a role that was lost since the last.
			d.tick(ctx)
			d.step(ctx, result)
		}
		d.report()
	}
}

func (d *Duty) tick(ctx context.Context) {
	fleet := d.store.Fleet()
	d.updatePlan()
	d.step(ctx, orders.Tick{
		Plan:    d.plan,
		Routers: routers(fleet),
		Leaving: d.leaving(fleet),
	})
}

// updatePlan follows the configuration in force. One without a plan leaves the
// last plan in place.
func (d *Duty) updatePlan() {
	accepted := d.store.Config()
	if accepted == nil || accepted == d.accepted {
		return
	}
	d.accepted = accepted
	plan, err := orders.NewPlan(accepted)
	if err != nil {
		level.Error(d.logger).Log("event", "orders_plan_failed", "error", err)
		return
	}
	d.plan = plan
}

func routers(fleet *state.Fleet) []orders.Router {
	list := make([]orders.Router, 0, len(fleet.Reachable))
	for _, m := range fleet.Reachable {
		list = append(list, orders.Router{Name: m.Name, Region: m.Region})
	}
	return list
}

func (d *Duty) leaving(fleet *state.Fleet) map[string]bool {
	if d.plan == nil || len(fleet.LeavingTargets) == 0 {
		return nil
	}
	names := map[string]bool{}
	for i := range d.plan.Engines {
		name := d.plan.Engines[i].Name
		if fleet.LeavingTargets[config.IDOf(name)] {
			names[name] = true
		}
	}
	return names
}

func (d *Duty) step(ctx context.Context, event orders.Event) {
	for _, action := range d.sender.Step(time.Now(), event) {
		switch a := action.(type) {
		case orders.QueryState:
			d.open.Go(func() { d.query(ctx, a) })
		case orders.SendOrder:
			d.open.Go(func() { d.send(ctx, a) })
		}
	}
}

func (d *Duty) query(ctx context.Context, q orders.QueryState) {
	bounded, cancel := context.WithTimeout(ctx, q.Timeout)
	defer cancel()
	reported, err := d.engines.State(bounded, q.Address)
	d.deliver(ctx, orders.QueryEnded{Target: q.Target, Attempt: q.Attempt, Outcome: outcomeOf(err), State: reported})
}

func (d *Duty) send(ctx context.Context, s orders.SendOrder) {
	bounded, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	reported, err := d.engines.Order(bounded, s.Address, s.Order)
	outcome := outcomeOf(err)
	d.observer.OrderEnded(string(s.Order.Kind), string(outcome))
	d.logOrder(s, outcome, err)
	d.deliver(ctx, orders.OrderEnded{Target: s.Target, Attempt: s.Attempt, Outcome: outcome, State: reported})
}

func (d *Duty) deliver(ctx context.Context, event orders.Event) {
	select {
	case d.results <- event:
	case <-ctx.Done():
	}
}

func outcomeOf(err error) orders.Outcome {
	var network *net.OpError
	switch {
	case err == nil:
		return orders.Done
	case errors.Is(err, ErrRefused):
		return orders.Refused
	case errors.Is(err, ErrFailed):
		return orders.Failed
	case errors.As(err, &network) && network.Op == "dial":
		return orders.NotSent
	}
	return orders.Unknown
}

func (d *Duty) logOrder(s orders.SendOrder, outcome orders.Outcome, err error) {
	logger := level.Info(d.logger)
	if err != nil {
		logger = level.Warn(log.With(d.logger, "error", err))
	}
	logger.Log("event", "order_ended", "target", s.Target, "kind", s.Order.Kind, "outcome", outcome,
		"version", s.Order.Version, "adapter", s.Order.Adapter, "role", s.Order.Role,
		"revision", s.Order.Fencing.Revision(), "sequence", s.Order.Fencing.Sequence())
}

// report publishes the counts if they changed.
func (d *Duty) report() {
	status := d.sender.Status()
	if status == d.status {
		return
	}
	d.logConditions(status)
	d.status = status
	d.observer.Engines("ordered", status.Engines)
	d.observer.Engines("differing", status.Differing)
	d.observer.Engines("unreachable", status.Unreachable)
	d.observer.Engines("ahead", status.Ahead)
	d.observer.Engines("failing", status.Failing)
	d.observer.Engines("held_back", status.HeldBack)
	d.observer.Engines("loading", status.Loading)
}

func (d *Duty) logConditions(status orders.Status) {
	if status.Ahead != d.status.Ahead {
		level.Warn(d.logger).Log("event", "engines_ahead", "count", status.Ahead)
	}
	if status.HeldBack != d.status.HeldBack {
		level.Warn(d.logger).Log("event", "engines_held_back", "count", status.HeldBack)
	}
	if status.Shards != d.status.Shards {
		level.Info(d.logger).Log("event", "orders_role", "shards", status.Shards, "engines", status.Engines)
	}
}
