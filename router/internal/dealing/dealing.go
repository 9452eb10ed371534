// Package dealing runs the dealer role of a router: one deal.Dealer for each
// pool whose shards report here. It also carries the reports of the shards that
// are scheduled here to the dealers on other routers, and their allotments back.
//
// One goroutine owns the dealers. Reports of the own shards and batches of other
// routers reach it through bounded channels; each call to another router is a
// goroutine under the tomb, one at a time for each router. What is lost is told
// again: reports are renewed, and an allotment answers each report.
package dealing

import (
	"context"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"gopkg.in/tomb.v2"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/pool"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/router/internal/scheduling"
	"github.com/chiveseam/chiveseam/router/internal/state"
)

// inputLimit bounds the batches that wait for the loop.
const inputLimit = 1024

// Caller swaps batches with the router at an address.
type Caller interface {
	Deal(ctx context.Context, address string, in *v1.DealBatch) (*v1.DealBatch, error)
}

// Holders are the holders of shards on this router.
type Holders interface {
	// Reports returns what the holders report.
	Reports() <-chan scheduling.Report
	// Allotted hands allotments to the holders.
	Allotted(allotments []scheduling.Allotment)
}

// Duty owns the dealers of a router. Its methods are safe for concurrent use.
type Duty struct {
	store   *state.Store
	holders Holders
	caller  Caller
	logger  log.Logger
	t       *tomb.Tomb
	in      chan any

	// The fields below belong to the loop's goroutine.
	dealers  map[dealerKey]*dealer
	outboxes map[string]*outbox
}

// Inputs of the loop.
type (
	batchInput struct {
		batch *v1.DealBatch
		reply chan *v1.DealBatch
	}
	calledInput struct {
		router string
		batch  *v1.DealBatch
		err    error
	}
)

// New returns a duty that runs under t until it dies.
func New(t *tomb.Tomb, store *state.Store, holders Holders, caller Caller, logger log.Logger) *Duty {
	return &Duty{
		store:    store,
		holders:  holders,
		caller:   caller,
		logger:   log.With(logger, "duty", "dealing"),
		t:        t,
		in:       make(chan any, inputLimit),
		dealers:  map[dealerKey]*dealer{},
		outboxes: map[string]*outbox{},
	}
}

// Deal takes in the batch of another router and returns what waits for it.
func (d *Duty) Deal(ctx context.Context, in *v1.DealBatch) (*v1.DealBatch, error) {
	reply := make(chan *v1.DealBatch, 1)
	select {
	case d.in <- batchInput{in, reply}:
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-d.t.Dying():
		return nil, tomb.ErrDying
	}
	select {
	case batch := <-reply:
		return batch, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-d.t.Dying():
		return nil, tomb.ErrDying
	}
}

// Run is the duty. It returns when the tomb dies.
func (d *Duty) Run() error {
	changes := d.store.Subscribe()
	ticker := time.NewTicker(scheduling.HolderTick)
	defer ticker.Stop()
	for {
		select {
		case report := <-d.holders.Reports():
			d.route(report, time.Now())
			d.drain()
		case input := <-d.in:
			d.handle(input, time.Now())
			d.drain()
		case <-changes:
			d.reconfigure(time.Now())
		case now := <-ticker.C:
			d.tick(now)
		case <-d.t.Dying():
			return nil
		}
		d.flush()
	}
}

// drain handles the reports that are already there, so that those to one router
// share a batch.
func (d *Duty) drain() {
	for range inputLimit {
		select {
		case report := <-d.holders.Reports():
			d.route(report, time.Now())
		default:
			return
		}
	}
}

func (d *Duty) handle(input any, now time.Time) {
	switch in := input.(type) {
	case batchInput:
		d.receive(in.batch, now)
		in.reply <- d.takeFor(in.batch)
	case calledInput:
		d.called(in, now)
	}
}

// route passes a report of an own shard to its dealer.
func (d *Duty) route(r scheduling.Report, now time.Time) {
	if r.Dealer == d.self() {
		d.report(r.Shard, r.Report, now)
		return
	}
	o := d.outbox(r.Dealer)
	o.reports[r.Shard.ID()] = r.Report
}

// receive takes in a batch that is meant for this incarnation.
func (d *Duty) receive(batch *v1.DealBatch, now time.Time) {
	accepted := d.store.Config()
	if accepted == nil || batch.Receiver != d.self().Incarnation {
		return
	}
	sender := pool.Router{Name: batch.Router, Incarnation: batch.Incarnation}
	for _, m := range batch.Reports {
		if shard, ok := accepted.ShardByID(config.ID(m.Shard)); ok {
			d.report(shard, reportOf(m, shard, sender, d.self()), now)
		}
	}
	var allotments []scheduling.Allotment
	for _, m := range batch.Allotments {
		if shard, ok := accepted.ShardByID(config.ID(m.Shard)); ok {
			allotments = append(allotments, scheduling.Allotment{Shard: shard, Allotment: allotmentOf(m, shard, d.self(), sender)})
		}
	}
	if len(allotments) > 0 {
		d.holders.Allotted(allotments)
	}
}

// called ends a call to another router.
func (d *Duty) called(in calledInput, now time.Time) {
	o, ok := d.outboxes[in.router]
	if !ok {
		return
	}
	o.calling = false
	if failed := in.err != nil; failed != o.failing {
		o.failing = failed
		d.logCall(in.router, in.err)
	}
	if in.err == nil {
		d.receive(in.batch, now)
	}
}

func (d *Duty) logCall(router string, err error) {
	if err != nil {
		level.Warn(d.logger).Log("event", "deal_failed", "peer", router, "error", err)
		return
	}
	level.Info(d.logger).Log("event", "deal_resumed", "peer", router)
}

func (d *Duty) self() pool.Router {
	self := d.store.Fleet().Self
	return pool.Router{Name: self.Name, Incarnation: self.Incarnation}
}
