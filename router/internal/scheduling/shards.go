package scheduling

import (
	"maps"
	"time"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/deal"
	"github.com/chiveseam/chiveseam/pool"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// maxNamedShards is the size at which Host.namedShards is cleaned up: before another shard
// is added, the shards that are not scheduled here are removed.
const maxNamedShards = 1024

// shardScheduler is the scheduler of one shard of a pool, with the holder of its slots.
type shardScheduler struct {
	*pool.Scheduler
	shard config.Shard
	// holder keeps the slots that the pool's dealer allots to the shard. It is nil if the
	// shard is the only one of its pool or is not in the configuration in force.
	holder *deal.Holder
	// seqOffset is the Seq of the last report of the shard by an earlier holder on this
	// router. It is added to the numbers of the holder's reports.
	seqOffset uint64
}

// shardOf returns the shard with the ID. It is a shard of the configuration in force, or
// one that routers with another configuration use: a whole pool that is divided here, or
// a shard that such a router has named.
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
	shard, ok := h.namedShards[id]
	return shard, ok
}

// startShards starts the schedulers of the divided pools' shards whose scheduler role is
// here, even before the first demand: a new dealer waits for the reports of all shards.
func (h *Host) startShards(accepted *config.Accepted, now time.Time) {
	fleet := h.store.Fleet()
	for _, p := range accepted.Proto.Pools {
		if config.ShardCount(p) == 1 || len(TargetsOf(p, accepted, fleet)) == 0 {
			continue
		}
		for _, shard := range config.ShardsOf(p) {
			if h.hasSchedulerRole(shard) {
				h.scheduler(shard.ID(), now)
			}
		}
	}
}

// addNamedShards records the shards that a Hello names, so that a demand is scheduled in
// the shard to which its router has sent it, even if that shard is not configured here.
// Shards of unknown pools, or with an invalid index, number or ID, are ignored.
func (h *Host) addNamedShards(shards []*v1.Shard) {
	accepted := h.store.Config()
	if accepted == nil {
		return
	}
	for _, s := range shards {
		p, ok := accepted.PoolByID(config.ID(s.Pool))
		if !ok || s.Count > config.MaxShards || s.Index >= s.Count {
			continue
		}
		if len(h.namedShards) >= maxNamedShards {
			h.dropIdleNamedShards()
		}
		shard := config.Shard{Pool: p.Name, Index: int(s.Index), Count: int(s.Count)}
		if id := shard.ID(); id == config.ID(s.Id) {
			h.namedShards[id] = shard
		}
	}
}

// dropIdleNamedShards removes the named shards that are not scheduled here.
func (h *Host) dropIdleNamedShards() {
	maps.DeleteFunc(h.namedShards, func(id config.ID, _ config.Shard) bool { return h.schedulers[id] == nil })
}

// shardSeed returns the random seed of a shard's scheduler. It differs between the shards
// of a pool, so that their schedulers number the spare slots of one target differently.
func shardSeed(seed uint64, shard config.Shard) uint64 {
	if shard.Count <= 1 {
		return seed
	}
	return seed ^ uint64(shard.ID())
}
