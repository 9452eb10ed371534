// Package dealing implements the dealer role of a router: it runs one deal.Dealer for
// each pool whose shards report to this router. A dealer divides the slots of its pool
// between the pool's shards. The package also carries the reports of the shards that are
// scheduled here to dealers on other routers, and the allotments of those dealers back.
//
// One goroutine, Host.Run, owns the dealers. Reports of the shards on this router and
// batches from other routers reach it through bounded channels. Each call to another
// router runs in a goroutine under the tomb, and at most one call to each router runs at a
// time.
// A lost message does no harm: holders renew their reports, and the dealer answers each
// report with an allotment.
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

// inputQueueSize is the capacity of the channel of the loop's inputs, and the greatest
// number of queued reports that drainReports handles.
const inputQueueSize = 1024

// Caller sends a batch to the router at an address and returns the batch of its answer.
// It is called concurrently.
type Caller interface {
	Deal(ctx context.Context, address string, in *v1.DealBatch) (*v1.DealBatch, error)
}

// Holders gives access to the holders (deal.Holder) of the shards that are scheduled on
// this router. A holder reports to the dealer what its shard needs, and keeps the slots
// that the dealer allots to the shard. scheduling.Host implements Holders.
type Holders interface {
	// Reports returns the channel of the holders' reports.
	Reports() <-chan scheduling.Report
	// ApplyAllotments passes allotments to the holders. The goroutine of Host.Run calls
	// it.
	ApplyAllotments(allotments []scheduling.Allotment)
}

// Host owns the dealers of a router. Its exported methods are safe for concurrent use.
type Host struct {
	store   *state.Store
	holders Holders
	caller  Caller
	logger  log.Logger
	t       *tomb.Tomb
	// in carries the inputs of the loop.
	in chan any

	// The fields below are used by the loop's goroutine only.
	dealers map[dealerKey]*dealer
	// outboxes holds the messages that wait for other routers, by the router's name.
	outboxes map[string]*outbox
}

// Inputs of the loop. batchInput is a batch that another router has sent, callResultInput
// the result of a call to another router.
type (
	batchInput struct {
		batch *v1.DealBatch
		reply chan *v1.DealBatch
	}
	callResultInput struct {
		router string
		batch  *v1.DealBatch
		err    error
	}
)

// New returns a Host without dealers. Its goroutines run under t and end when it dies.
func New(t *tomb.Tomb, store *state.Store, holders Holders, caller Caller, logger log.Logger) *Host {
	return &Host{
		store:    store,
		holders:  holders,
		caller:   caller,
		logger:   log.With(logger, "duty", "dealing"),
		t:        t,
		in:       make(chan any, inputQueueSize),
		dealers:  map[dealerKey]*dealer{},
		outboxes: map[string]*outbox{},
	}
}

// Deal processes a batch from another router and returns the messages that wait for that
// router. It returns an error if ctx ends or the tomb dies before that.
func (d *Host) Deal(ctx context.Context, in *v1.DealBatch) (*v1.DealBatch, error) {
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

// Run runs the loop that owns the dealers. It returns nil when the tomb dies.
func (d *Host) Run() error {
	changes := d.store.Subscribe()
	ticker := time.NewTicker(scheduling.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case report := <-d.holders.Reports():
			d.routeReport(report, time.Now())
			d.drainReports()
		case input := <-d.in:
			d.handle(input, time.Now())
			d.drainReports()
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

// drainReports handles the reports that are already queued, so that reports to the same
// router are sent in one batch.
func (d *Host) drainReports() {
	for range inputQueueSize {
		select {
		case report := <-d.holders.Reports():
			d.routeReport(report, time.Now())
		default:
			return
		}
	}
}

func (d *Host) handle(input any, now time.Time) {
	switch in := input.(type) {
	case batchInput:
		d.receive(in.batch, now)
		in.reply <- d.takeReply(in.batch)
	case callResultInput:
		d.handleCallResult(in, now)
	}
}

// routeReport passes a report of a shard on this router to the dealer that the report
// names, here or through the outbox of another router.
func (d *Host) routeReport(r scheduling.Report, now time.Time) {
	if r.Dealer == d.self() {
		d.handleReport(r.Shard, r.Report, now)
		return
	}
	o := d.outbox(r.Dealer)
	o.reports[r.Shard.ID()] = r.Report
}

// receive processes the reports and allotments of a batch. It ignores a batch that is
// meant for another incarnation of this router, and messages of shards that are not
// configured.
func (d *Host) receive(batch *v1.DealBatch, now time.Time) {
	accepted := d.store.Config()
	if accepted == nil || batch.Receiver != d.self().Incarnation {
		return
	}
	sender := pool.Router{Name: batch.Router, Incarnation: batch.Incarnation}
	for _, m := range batch.Reports {
		if shard, ok := accepted.ShardByID(config.ID(m.Shard)); ok {
			d.handleReport(shard, reportFromMessage(m, shard, sender, d.self()), now)
		}
	}
	var allotments []scheduling.Allotment
	for _, m := range batch.Allotments {
		if shard, ok := accepted.ShardByID(config.ID(m.Shard)); ok {
			allotments = append(allotments, scheduling.Allotment{Shard: shard, Allotment: allotmentFromMessage(m, shard, d.self(), sender)})
		}
	}
	if len(allotments) > 0 {
		d.holders.ApplyAllotments(allotments)
	}
}

// handleCallResult ends a call to another router and processes the answer. It logs only
// the first failure of a series, and the first success after it.
func (d *Host) handleCallResult(in callResultInput, now time.Time) {
	o, ok := d.outboxes[in.router]
	if !ok {
		return
	}
	o.calling = false
	if failed := in.err != nil; failed != o.failing {
		o.failing = failed
		d.logCallResult(in.router, in.err)
	}
	if in.err == nil {
		d.receive(in.batch, now)
	}
}

func (d *Host) logCallResult(router string, err error) {
	if err != nil {
		level.Warn(d.logger).Log("event", "deal_failed", "peer", router, "error", err)
		return
	}
	level.Info(d.logger).Log("event", "deal_resumed", "peer", router)
}

func (d *Host) self() pool.Router {
	self := d.store.Fleet().Self
	return pool.Router{Name: self.Name, Incarnation: self.Incarnation}
}
