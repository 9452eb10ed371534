package broker

import (
	"time"

	"github.com/chiveseam/chiveseam/config"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/result"
)

// received handles a batch of a scheduler.
func (b *Broker) received(l *link, batch *v1.SchedulerBatch) {
	if b.links[l.member.Name] != l {
		return
	}
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
	for _, c := range batch.Copies {
		b.copyTo(l, c)
	}
	for _, c := range batch.Counters {
		b.mergeCounters(c)
	}
}

// mergeCounters keeps the counters that the scheduler of a pool has sent, for
// a scheduler that starts without memory.
func (b *Broker) mergeCounters(message *v1.PoolCounters) {
	pool := config.ID(message.Pool)
	if b.counters[pool] == nil {
		b.counters[pool] = map[config.ID]*v1.Counter{}
	}
	for _, c := range message.Counters {
		b.counters[pool][config.ID(c.Workspace)] = c
	}
}

// granted accepts the first grant of a demand. A slot that was granted a
// second time, or to a demand that is gone, is given back at once.
func (b *Broker) granted(l *link, g *v1.Grant) {
	r, ok := b.requests[g.Seq]
	if !ok || r.granted || r.link != l {
		if ok && r.granted && r.link == l && r.target == config.ID(g.Target) {
			return
		}
		l.batch.Done = append(l.batch.Done, &v1.Done{Seq: g.Seq, Outcome: v1.Outcome_NOT_RUN})
		return
	}
	b.start(r, config.ID(g.Target), g.Estimate)
}

// start hands the slot to the waiting caller.
func (b *Broker) start(r *request, target config.ID, estimate uint32) {
	b.take(r)
	r.granted = true
	r.target = target
	r.charged = estimate
	r.reply <- reply{grant: &Grant{broker: b, seq: r.seq, Target: target, Estimate: estimate}}
}

func (b *Broker) refused(l *link, refusal *v1.Refusal) {
	r, ok := b.requests[refusal.Seq]
	if !ok || r.granted || r.link != l {
		return
	}
	if r.original != nil {
		b.dropCopy(r)
		return
	}
	if r.away() && refusal.Code != v1.Code_DEADLINE_EXCEEDED {
		b.returnHome(r, time.Now())
		return
	}
	if refusal.Code == v1.Code_NO_TARGET && !r.demand.moved {
		if region, ok := b.otherRegionOf(r); ok {
			b.withdrawCopies(r)
			b.moveToRegion(r, region)
			return
		}
	}
	why := result.New(refusal.Code, v1.Ran_NO, "refused by the scheduler of pool %s", r.demand.Pool)
	why.RetryAfter = time.Duration(refusal.RetryAfterMs) * time.Millisecond
	b.refuse(r, why)
}
