package dealing

import (
	"context"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/deal"
	"github.com/chiveseam/chiveseam/pool"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/router/internal/state"
)

// outbox holds the messages that wait for another router: the last report and the last
// allotment of each shard.
type outbox struct {
	// receiver is the incarnation of the router that the messages are meant for.
	receiver   pool.Router
	reports    map[config.ID]deal.Report
	allotments map[config.ID]deal.Allotment
	// calling is set while a call to the router is in progress.
	calling bool
	// failing is set if the last call to the router failed.
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

// outbox returns the outbox for an incarnation of a router. It drops the messages that
// wait for another incarnation of that router.
func (d *Host) outbox(receiver pool.Router) *outbox {
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

// takeBatch moves all messages of the outbox into a batch from self.
func (o *outbox) takeBatch(self pool.Router) *v1.DealBatch {
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

// takeReply returns the messages that wait for the sender of a batch. The reply is an
// empty batch if there are none, or if they wait for another incarnation of the sender.
func (d *Host) takeReply(in *v1.DealBatch) *v1.DealBatch {
	o, ok := d.outboxes[in.Router]
	if !ok || o.empty() || o.receiver.Incarnation != in.Incarnation {
		return &v1.DealBatch{}
	}
	return o.takeBatch(d.self())
}

// flush starts a call to each router for which messages wait. If a call to the router
// is in progress, the messages wait for its end. Messages for an incarnation that cannot
// be reached are dropped.
func (d *Host) flush() {
	for name, o := range d.outboxes {
		if o.calling || o.empty() {
			continue
		}
		member, ok := d.reachableMember(o.receiver)
		if !ok {
			clear(o.reports)
			clear(o.allotments)
			continue
		}
		o.calling = true
		d.call(name, member, o.takeBatch(d.self()))
	}
}

// reachableMember returns the router and whether this incarnation of it is reachable.
func (d *Host) reachableMember(router pool.Router) (state.Member, bool) {
	member, ok := d.store.Fleet().Member(router.Name)
	return member, ok && member.Incarnation == router.Incarnation
}

// call sends a batch to a router in a new goroutine, which posts the result to the loop.
func (d *Host) call(name string, member state.Member, batch *v1.DealBatch) {
	ctx := d.t.Context(context.Background())
	d.t.Go(func() error {
		reply, err := d.caller.Deal(ctx, member.PeerAddress, batch)
		select {
		case d.in <- callResultInput{name, reply, err}:
		case <-d.t.Dying():
		}
		return nil
	})
}

// dropOutboxes removes each outbox without messages and without a call in progress, if
// the last call to the router succeeded or the router is not reachable any more.
// Otherwise the outbox keeps the flag failing, by which a failure is logged once.
func (d *Host) dropOutboxes() {
	for name, o := range d.outboxes {
		if !o.empty() || o.calling {
			continue
		}
		if _, ok := d.reachableMember(o.receiver); !o.failing || !ok {
			delete(d.outboxes, name)
		}
	}
}
