package state

import (
	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/deal"
)

// DealerOf returns the reachable router of the region that has the role of
// dealing the pool's slots to its shards. It returns false if there is none.
func (f *Fleet) DealerOf(pool, region string) (Member, bool) {
	ranked := f.ranked("dealer/"+pool+"/"+region, region, 1)
	if len(ranked) == 0 {
		return Member{}, false
	}
	return ranked[0], true
}

// ShardOf returns the shard of the pool to which the workspace belongs under
// the configuration. A pool that is not configured has one shard.
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
