package config

import (
	"fmt"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// Shard identifies one shard of a pool. The workspaces of a pool are divided among its shards,
// and each shard has a scheduler of its own in each region. A Shard is comparable and may be a
// map key.
type Shard struct {
	Pool string
	// Index is between 0 and Count-1.
	Index int
	// Count is the number of shards of the pool, at least 1.
	Count int
}

// ShardCount returns the number of shards of the pool. The field's zero value stands for one.
func ShardCount(p *v1.Pool) int {
	return max(int(p.Shards), 1)
}

// ID returns the ID of the shard in messages between routers. The only shard of an undivided
// pool has the ID of the pool's name.
func (s Shard) ID() ID {
	if s.Count <= 1 {
		return IDOf(s.Pool)
	}
	return IDOf(s.String())
}

// String returns the pool's name for the only shard of a pool, and "pool/index/count" for one
// of several. Pool names contain no '/', so the string is unique.
func (s Shard) String() string {
	if s.Count <= 1 {
		return s.Pool
	}
	return fmt.Sprintf("%s/%d/%d", s.Pool, s.Index, s.Count)
}

// ShardByID returns the shard with the ID, from all shards of the configured pools.
func (a *Accepted) ShardByID(id ID) (Shard, bool) {
	s, ok := a.shards[id]
	return s, ok
}

// indexShards fills the map from shard ID to shard for all pools.
func (a *Accepted) indexShards() {
	a.shards = map[ID]Shard{}
	for _, p := range a.Proto.Pools {
		for _, s := range ShardsOf(p) {
			a.shards[s.ID()] = s
		}
	}
}

// ShardsOf returns all shards of the pool, ordered by index.
func ShardsOf(p *v1.Pool) []Shard {
	shards := make([]Shard, ShardCount(p))
	for i := range shards {
		shards[i] = Shard{Pool: p.Name, Index: i, Count: len(shards)}
	}
	return shards
}
