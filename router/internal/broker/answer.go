package broker

import (
	"time"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/pool"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/result"
)

// received handles a batch of a scheduler.
func (b *Broker) received(l *link, batch *v1.SchedulerBatch) {
	if b.links[l.member.Name] != l {
		return
	}
	l.heard = true
	now := time.Now()
	for _, s := range batch.Spares {
		b.addSpare(l, s, now)
	}
	for _, id := range batch.RevokedSpares {
		b.returnSpare(l, id)
	}
	for _, g := range batch.Grants {
		b.granted(l, g)
	}
	for _, refusal := range batch.Refusals {
		b.refused(l, refusal)
	}
	for _, seq := range batch.FirstByteAsks {
		b.firstByteAsked(l, seq)
	}
	for _, c := range batch.Ties {
		b.tieTo(l, c)
	}
	for _, c := range batch.Counters {
		b.mergeCounters(c)
	}
}

// mergeCounters keeps the counters that the scheduler of a shard has sent, for
// a scheduler that starts without memory.
func (b *Broker) mergeCounters(message *v1.PoolCounters) {
	pool := b.poolOf(config.ID(message.Pool))
	if b.counters[pool] == nil {
		b.counters[pool] = map[config.ID]*v1.Counter{}
	}
	for _, c := range message.Counters {
		b.counters[pool][config.ID(c.Workspace)] = c
	}
}

// poolOf returns the ID of the pool that the shard with the ID is a part of.
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

// granted accepts the first grant of a demand. A slot that was granted a
// second time, or to a demand that is gone, is given back at once.
func (b *Broker) granted(l *link, g *v1.Grant) {
	r, ok := b.requests[g.Seq]
	if !ok || r.granted || r.link != l {
		if ok && r.granted && r.link == l && r.target == config.ID(g.Target) {
			return
		}
		l.batch.Done = append(l.batch.Done, &v1.Done{Seq: g.Seq, Outcome: v1.Outcome_UNUSED})
		return
	}
	b.start(r, config.ID(g.Target), pool.Prediction{Estimate: int64(g.Estimate), Rate: int64(g.Rate)}, time.Now())
}

// start hands the slot to the waiting caller.
func (b *Broker) start(r *request, target config.ID, prediction pool.Prediction, now time.Time) {
	b.take(r)
	r.granted = true
	r.grantedAt = now
	r.target = target
	r.prediction = prediction
	r.reply <- reply{grant: &Grant{broker: b, seq: r.seq, Target: target, Prediction: prediction}}
}

func (b *Broker) refused(l *link, refusal *v1.Refusal) {
	r, ok := b.requests[refusal.Seq]
	if !ok || r.granted || r.link != l {
		return
	}
	if r.original != nil {
		b.dropTie(r)
		return
	}
	if r.away() && refusal.Code != v1.Code_DEADLINE_EXCEEDED {
		b.returnHome(r, time.Now())
		return
	}
	if refusal.Code == v1.Code_NO_TARGET && !r.demand.moved {
		if region, ok := b.otherRegionOf(r); ok {
			b.withdrawTies(r)
			b.moveToRegion(r, region)
			return
		}
	}
	why := result.New(refusal.Code, v1.Ran_NO, "refused by the scheduler of pool %s", r.demand.Pool)
	why.RetryAfter = time.Duration(refusal.RetryAfterMs) * time.Millisecond
	b.refuse(r, why)
}
