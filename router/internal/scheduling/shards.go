package scheduling

import (
	"maps"
	"time"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/deal"
	"github.com/chiveseam/chiveseam/pool"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// maxNamed is the number of shards that only hellos have named from which on
// those that are not scheduled here are forgotten.
const maxNamed = 1024

// shardScheduler is the scheduler of one shard of a pool.
type shardScheduler struct {
	*pool.Scheduler
	shard config.Shard
	// holder keeps the slots that the pool's dealer gives the shard; nil for
	// the one shard of a pool.
	holder *deal.Holder
	// firstSeq is the number of the last report of an earlier holder here.
	firstSeq uint64
}

// shardOf returns the shard with the ID: a configured one, or one that a router
// under another configuration has named.
func (h *Host) shardOf(id config.ID) (config.Shard, bool) {
	accepted := h.store.Config()
	if accepted == nil {
		return config.Shard{}, false
	}
	if shard, ok := accepted.ShardByID(id); ok {
		return shard, true
	}
	if p, ok := accepted.PoolByID(id); ok {
		return config.Shard{Pool: p.Name, Count: 1}, true
	}
	shard, ok := h.named[id]
	return shard, ok
}

// startShards starts the schedulers of the shards whose role is here, also while
// nothing is asked of them: the dealer waits for the reports of all shards.
func (h *Host) startShards(accepted *config.Accepted, now time.Time) {
	fleet := h.store.Fleet()
	for _, p := range accepted.Proto.Pools {
		if config.ShardCount(p) == 1 || len(TargetsOf(p, accepted, fleet)) == 0 {
			continue
		}
		for _, shard := range config.ShardsOf(p) {
			if h.isHolder(shard) {
				h.scheduler(shard.ID(), now)
			}
		}
	}
}

// name keeps the shards that a hello names and the configuration does not have,
// so that a demand is scheduled in the shard to which its router has sent it.
func (h *Host) name(shards []*v1.Shard) {
	accepted := h.store.Config()
	if accepted == nil {
		return
	}
	for _, s := range shards {
		p, ok := accepted.PoolByID(config.ID(s.Pool))
		if !ok || s.Count > config.MaxShards || s.Index >= s.Count {
			continue
		}
		if len(h.named) >= maxNamed {
			h.forgetNamed()
		}
		shard := config.Shard{Pool: p.Name, Index: int(s.Index), Count: int(s.Count)}
		if id := shard.ID(); id == config.ID(s.Id) {
			h.named[id] = shard
		}
	}
}

// forgetNamed drops the named shards that are not scheduled here.
func (h *Host) forgetNamed() {
	maps.DeleteFunc(h.named, func(id config.ID, _ config.Shard) bool { return h.pools[id] == nil })
}

// shardSeed returns the seed of a shard's scheduler. The schedulers of one
// target's shards number their spare slots apart.
func shardSeed(seed uint64, shard config.Shard) uint64 {
	if shard.Count <= 1 {
		return seed
	}
	return seed ^ uint64(shard.ID())
}
