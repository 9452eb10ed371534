package broker

import (
	"time"

	"github.com/chiveseam/chiveseam/config"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/router/internal/state"
)

// shardKey names the scheduler role for a shard of a pool in a region.
type shardKey struct {
	shard  config.Shard
	region string
}

// keyOf returns the scheduler role for the demand by the configuration in
// force.
func (b *Broker) keyOf(d Demand) shardKey {
	return shardKey{state.ShardOf(b.store.Config(), d.Pool, d.Workspace), d.Region}
}

// replace moves the shards whose scheduler role moved, and the requests whose
// workspace belongs to another shard than before.
func (b *Broker) replace(now time.Time) {
	moved := map[shardKey]bool{}
	for _, r := range b.requests {
		key := b.keyOf(r.demand)
		member, ok := b.schedulerOf(key, now)
		if ok && (key != r.key || !r.link.leadsTo(member)) {
			r.key = key
			moved[key] = true
		}
	}
	for key := range moved {
		b.moveShard(key, now)
	}
}

// moveShard sends all that is outstanding in a shard to its present scheduler.
// An earlier scheduler is told that the demands are withdrawn and the grants
// ended, so that it frees the slots; a router that schedules both shards ends
// the grants of the earlier one when the hello names them in the other. Demands
// are sent under new sequence numbers: a grant that is on its way was void once
// the hello or the withdrawal arrived, and must not be taken for that of the
// new demand.
func (b *Broker) moveShard(key shardKey, now time.Time) {
	outstanding := b.requestsIn(key)
	previous := make([]*link, len(outstanding))
	for i, r := range outstanding {
		previous[i] = r.link
	}
	b.ungreet(key)
	b.dropSparesOfShard(key)
	present := b.linkFor(key, now)
	for i, r := range outstanding {
		switch {
		case !r.granted:
			b.withdrawFrom(previous[i], r)
			b.number(r)
			b.place(r, now)
		case present != nil && previous[i] != present:
			b.withdrawFrom(previous[i], r)
		}
	}
}

// ungreet makes the next use of the shard in the region send a hello. It leaves
// the schedulers of other regions alone: they would drop what waits there.
func (b *Broker) ungreet(key shardKey) {
	for _, l := range b.links {
		if l.member.Region == key.region {
			delete(l.greeted, key.shard.ID())
		}
	}
}

// withdrawFrom ends a request at a scheduler that no longer schedules it.
func (b *Broker) withdrawFrom(l *link, r *request) {
	if r.granted {
		l.batch.Done = append(l.batch.Done, &v1.Done{Seq: r.seq, Cost: r.charged(time.Now()), Outcome: v1.Outcome_ABANDONED})
		return
	}
	l.batch.Cancels = append(l.batch.Cancels, r.seq)
}

func (b *Broker) requestsIn(key shardKey) []*request {
	var list []*request
	for _, r := range b.requests {
		if r.key == key {
			list = append(list, r)
		}
	}
	return list
}
