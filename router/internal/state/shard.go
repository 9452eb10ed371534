package state

import (
	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/deal"
)

// DealerOf returns the reachable router of the region with the dealer role of
// the pool: it allots the pool's slots to its shards. DealerOf returns false if
// the region has no reachable router.
func (f *Fleet) DealerOf(pool, region string) (Member, bool) {
	ranked := f.rankRouters("dealer/"+pool+"/"+region, region, 1)
	if len(ranked) == 0 {
		return Member{}, false
	}
	return ranked[0], true
}

// ShardOf returns the shard of the pool that schedules the workspace's requests
// under the configuration, which may be nil. A pool that is not configured
// has one shard.
func ShardOf(accepted *config.Accepted, pool string, workspace config.ID) config.Shard {
	shard := config.Shard{Pool: pool, Count: 1}
	if accepted == nil {
		return shard
	}
	if p, ok := accepted.Pool(pool); ok {
		shard.Count = config.ShardCount(p)
	}
	shard.Index = deal.ShardOf(workspace, shard.Count)
	return shard
}
