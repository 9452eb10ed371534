package config

import (
	"fmt"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// Shard names one of the parts into which the workspaces of a pool are divided.
// Each has a scheduler of its own in each region. It may be used as a map key.
type Shard struct {
	Pool string
	// Index is 0 to Count-1.
	Index int
	// Count is the number of shards of the pool, at least 1.
	Count int
}

// ShardCount returns the number of shards of the pool.
func ShardCount(p *v1.Pool) int {
	return max(int(p.Shards), 1)
}

// ID returns the ID that stands for the shard in messages between routers. It
// is that of the pool's name if the pool has one shard.
func (s Shard) ID() ID {
	if s.Count <= 1 {
		return IDOf(s.Pool)
	}
	return IDOf(s.String())
}

// String returns the pool's name, and index and count if there are several
// shards. Names of pools have no '/'.
func (s Shard) String() string {
	if s.Count <= 1 {
		return s.Pool
	}
	return fmt.Sprintf("%s/%d/%d", s.Pool, s.Index, s.Count)
}

// ShardByID returns the shard of a configured pool with the ID.
func (a *Accepted) ShardByID(id ID) (Shard, bool) {
	s, ok := a.shards[id]
	return s, ok
}

// indexShards indexes the shards of all pools by their IDs.
func (a *Accepted) indexShards() {
	a.shards = map[ID]Shard{}
	for _, p := range a.Proto.Pools {
		for _, s := range ShardsOf(p) {
			a.shards[s.ID()] = s
		}
	}
}

// ShardsOf returns the shards of the pool by index.
func ShardsOf(p *v1.Pool) []Shard {
	shards := make([]Shard, ShardCount(p))
	for i := range shards {
		shards[i] = Shard{Pool: p.Name, Index: i, Count: len(shards)}
	}
	return shards
}
