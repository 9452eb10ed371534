package broker

import (
	"time"

	"github.com/chiveseam/chiveseam/config"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/router/internal/state"
)

// shardKey identifies a scheduler role: the scheduler of one shard of a pool in a
// region.
type shardKey struct {
	shard  config.Shard
	region string
}

// keyOf returns the scheduler role for the demand in the configuration in force.
func (b *Broker) keyOf(d Demand) shardKey {
	return shardKey{state.ShardOf(b.store.Config(), d.Pool, d.Workspace), d.Region}
}

// reassign moves the shards whose scheduler has changed, and the shards to which
// requests belong now because their workspace was assigned to another shard.
func (b *Broker) reassign(now time.Time) {
	moved := map[shardKey]bool{}
	for _, r := range b.requests {
		key := b.keyOf(r.demand)
		member, ok := b.schedulerOf(key, now)
		if ok && (key != r.key || !r.link.connectsTo(member)) {
			r.key = key
			moved[key] = true
		}
	}
	for key := range moved {
		b.moveShard(key, now)
	}
}

// moveShard sends everything outstanding in a shard to its current scheduler: granted
// slots in a new hello, waiting demands as new demands.
//
// A previous scheduler is told that the demands are withdrawn and the grants ended, so
// that it frees the slots. A router that schedules both the previous shard of a request
// and its new one ends the grant in the previous shard when the hello lists it in the
// new one.
//
// Waiting demands get new sequence numbers. A grant for an old number that is still on
// its way was voided at the scheduler by the hello or the withdrawal, and must not be
// taken for a grant of the new demand.
func (b *Broker) moveShard(key shardKey, now time.Time) {
	outstanding := b.requestsIn(key)
	previous := make([]*link, len(outstanding))
	for i, r := range outstanding {
		previous[i] = r.link
	}
	b.forgetHello(key)
	b.dropSparesOfShard(key)
	current := b.linkFor(key, now)
	for i, r := range outstanding {
		switch {
		case !r.granted:
			b.withdrawFrom(previous[i], r)
			b.assignSeq(r)
			b.submit(r, now)
		case current != nil && previous[i] != current:
			b.withdrawFrom(previous[i], r)
		}
	}
}

// forgetHello makes the next use of the shard in this region send a hello again. Links
// to other regions are not affected: a repeated hello would make their schedulers drop
// the demands that wait there.
func (b *Broker) forgetHello(key shardKey) {
	for _, l := range b.links {
		if l.member.Region == key.region {
			delete(l.helloSent, key.shard.ID())
		}
	}
}

// withdrawFrom tells a scheduler that it no longer schedules the request: a granted
// slot is reported as abandoned with the cost charged so far, a waiting demand is
// cancelled.
func (b *Broker) withdrawFrom(l *link, r *request) {
	if r.granted {
		l.batch.Done = append(l.batch.Done, &v1.Done{Seq: r.seq, Cost: r.charged(time.Now()), Outcome: v1.Outcome_ABANDONED})
		return
	}
	l.batch.Cancels = append(l.batch.Cancels, r.seq)
}

// requestsIn returns the outstanding requests of the shard, granted or waiting.
func (b *Broker) requestsIn(key shardKey) []*request {
	var list []*request
	for _, r := range b.requests {
		if r.key == key {
			list = append(list, r)
		}
	}
	return list
}
