package broker

import (
	"time"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/pool"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/result"
)

// handleBatch handles a batch from a scheduler. Batches on a link that is no longer in
// use are ignored.
func (b *Broker) handleBatch(l *link, batch *v1.SchedulerBatch) {
	if b.links[l.member.Name] != l {
		return
	}
	l.receivedAny = true
	now := time.Now()
	for _, s := range batch.Spares {
		b.addSpare(l, s, now)
	}
	for _, id := range batch.RevokedSpares {
		b.returnSpare(l, id)
	}
	for _, g := range batch.Grants {
		b.handleGrant(l, g)
	}
	for _, refusal := range batch.Refusals {
		b.handleRefusal(l, refusal)
	}
	for _, seq := range batch.FirstByteAsks {
		b.handleFirstByteAsk(l, seq)
	}
	for _, tie := range batch.Ties {
		b.addTie(l, tie)
	}
	for _, c := range batch.Counters {
		b.mergeCounters(c)
	}
}

// mergeCounters stores the service counters that the scheduler of a shard has sent. A
// later hello passes them to a scheduler that starts without state.
func (b *Broker) mergeCounters(message *v1.PoolCounters) {
	pool := b.poolOf(config.ID(message.Pool))
	if b.counters[pool] == nil {
		b.counters[pool] = map[config.ID]*v1.Counter{}
	}
	for _, c := range message.Counters {
		b.counters[pool][config.ID(c.Workspace)] = c
	}
}

// poolOf returns the ID of the pool to which the shard with the given ID belongs. It
// returns id itself if the configuration in force has no such shard.
func (b *Broker) poolOf(id config.ID) config.ID {
	accepted := b.store.Config()
	if accepted == nil {
		return id
	}
	shard, ok := accepted.ShardByID(id)
	if !ok {
		return id
	}
	return config.IDOf(shard.Pool)
}

// handleGrant accepts the first grant of a demand. A grant of the same slot that
// arrives twice is ignored. A second slot, or a slot for a demand that no longer waits
// on this link, is returned at once as unused.
func (b *Broker) handleGrant(l *link, g *v1.Grant) {
	r, ok := b.requests[g.Seq]
	if !ok || r.granted || r.link != l {
		if ok && r.granted && r.link == l && r.target == config.ID(g.Target) {
			return
		}
		l.batch.Done = append(l.batch.Done, &v1.Done{Seq: g.Seq, Outcome: v1.Outcome_UNUSED})
		return
	}
	b.deliverGrant(r, config.ID(g.Target), pool.Prediction{Estimate: int64(g.Estimate), Rate: int64(g.Rate)}, time.Now())
}

// deliverGrant passes the slot to the waiting caller and withdraws the demand in all
// other regions.
func (b *Broker) deliverGrant(r *request, target config.ID, prediction pool.Prediction, now time.Time) {
	b.withdrawOthers(r)
	r.granted = true
	r.grantedAt = now
	r.target = target
	r.prediction = prediction
	r.reply <- reply{grant: &Grant{broker: b, seq: r.seq, Target: target, Prediction: prediction}}
}

// handleRefusal ends a refused demand, unless it can still be served elsewhere: a
// refused tie leaves the original waiting; a demand that was moved to another region
// returns to its home region, unless its deadline has passed; and a demand refused for
// lack of a target moves once to another region that has targets for it.
func (b *Broker) handleRefusal(l *link, refusal *v1.Refusal) {
	r, ok := b.requests[refusal.Seq]
	if !ok || r.granted || r.link != l {
		return
	}
	if r.original != nil {
		b.dropTie(r)
		return
	}
	if r.outsideHomeRegion() && refusal.Code != v1.Code_DEADLINE_EXCEEDED {
		b.returnToHomeRegion(r, time.Now())
		return
	}
	if refusal.Code == v1.Code_NO_TARGET && !r.demand.moved {
		if region, ok := b.otherRegionOf(r); ok {
			b.withdrawTies(r)
			b.moveToRegion(r, region)
			return
		}
	}
	reason := result.New(refusal.Code, v1.Ran_NO, "refused by the scheduler of pool %s", r.demand.Pool)
	reason.RetryAfter = time.Duration(refusal.RetryAfterMs) * time.Millisecond
	b.refuse(r, reason)
}
