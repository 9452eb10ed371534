package dealing

import (
	"context"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/deal"
	"github.com/chiveseam/chiveseam/pool"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/router/internal/state"
)

// outbox holds what waits for another router: the last message of each shard.
type outbox struct {
	receiver   pool.Router
	reports    map[config.ID]deal.Report
	allotments map[config.ID]deal.Allotment
	// calling is set while a call to the router is open.
	calling bool
	// failing is set while calls to the router fail.
	failing bool
}

func newOutbox(receiver pool.Router) *outbox {
	return &outbox{
		receiver:   receiver,
		reports:    map[config.ID]deal.Report{},
		allotments: map[config.ID]deal.Allotment{},
	}
}

func (o *outbox) empty() bool { return len(o.reports) == 0 && len(o.allotments) == 0 }

// outbox returns the outbox for a router's incarnation. What waits for an
// earlier incarnation is dropped.
func (d *Duty) outbox(receiver pool.Router) *outbox {
	o, ok := d.outboxes[receiver.Name]
	if !ok {
		o = newOutbox(receiver)
		d.outboxes[receiver.Name] = o
	}
	if o.receiver != receiver {
		o.receiver = receiver
		clear(o.reports)
		clear(o.allotments)
	}
	return o
}

// take empties the outbox into a batch.
func (o *outbox) take(self pool.Router) *v1.DealBatch {
	batch := &v1.DealBatch{Router: self.Name, Incarnation: self.Incarnation, Receiver: o.receiver.Incarnation}
	for id, r := range o.reports {
		batch.Reports = append(batch.Reports, reportMessage(id, r))
	}
	for id, a := range o.allotments {
		batch.Allotments = append(batch.Allotments, allotmentMessage(id, a))
	}
	clear(o.reports)
	clear(o.allotments)
	return batch
}

// takeFor returns what waits for the router that has sent the batch. An answer
// without messages is empty.
func (d *Duty) takeFor(in *v1.DealBatch) *v1.DealBatch {
	o, ok := d.outboxes[in.Router]
	if !ok || o.empty() || o.receiver.Incarnation != in.Incarnation {
		return &v1.DealBatch{}
	}
	return o.take(d.self())
}

// flush calls each router for which messages wait, unless a call is open. They
// wait for its end then.
func (d *Duty) flush() {
	for name, o := range d.outboxes {
		if o.calling || o.empty() {
			continue
		}
		member, ok := d.reach(o.receiver)
		if !ok {
			clear(o.reports)
			clear(o.allotments)
			continue
		}
		o.calling = true
		d.call(name, member, o.take(d.self()))
	}
}

func (d *Duty) reach(router pool.Router) (state.Member, bool) {
	member, ok := d.store.Fleet().Member(router.Name)
	return member, ok && member.Incarnation == router.Incarnation
}

// call swaps batches with a router in a goroutine of its own.
func (d *Duty) call(name string, member state.Member, batch *v1.DealBatch) {
	ctx := d.t.Context(context.Background())
	d.t.Go(func() error {
		reply, err := d.caller.Deal(ctx, member.PeerAddress, batch)
		select {
		case d.in <- calledInput{name, reply, err}:
		case <-d.t.Dying():
		}
		return nil
	})
}

// dropOutboxes forgets the routers for which nothing waits, and which have
// answered last or cannot be reached any more.
func (d *Duty) dropOutboxes() {
	for name, o := range d.outboxes {
		if !o.empty() || o.calling {
			continue
		}
		if _, ok := d.reach(o.receiver); !o.failing || !ok {
			delete(d.outboxes, name)
		}
	}
}
