package deal

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/pool"
)

// ShardOf returns the shard of a workspace, from 0 to shards-1, by rendezvous
// hashing: of the workspaces, a part of 1/(shards+1) moves when a shard is
// added, all of them to the new shard. Fewer than two shards make one.
func ShardOf(workspace config.ID, shards int) int {
	best, bestScore := 0, uint64(0)
	for shard := range shards {
		score := shardScore(workspace, shard)
		if score > bestScore {
			best, bestScore = shard, score
		}
	}
	return best
}

func shardScore(workspace config.ID, shard int) uint64 {
	var key [8]byte
	binary.BigEndian.PutUint32(key[:4], uint32(workspace))
	binary.BigEndian.PutUint32(key[4:], uint32(shard))
	return xxhash.Sum64(key[:])
}

// Static returns the slots of a shard in the equal division that holds without
// a dealer. The divisions of all shards have each slot once. The slots of a
// target that are left over go to the shards in turn, across targets.
func Static(targets []pool.Target, shard, shards int) map[config.ID]int {
	slots := map[config.ID]int{}
	shards = max(shards, 1)
	offset := 0
	for _, t := range dealt(targets) {
		n := t.Slots / shards
		rest := t.Slots % shards
		if (shard-offset+shards)%shards < rest {
			n++
		}
		offset = (offset + rest) % shards
		if n > 0 {
			slots[t.ID] = n
		}
	}
	return slots
}

// dealt returns the targets that get new work, ordered by ID.
func dealt(targets []pool.Target) []pool.Target {
	list := make([]pool.Target, 0, len(targets))
	for _, t := range targets {
		if t.Slots > 0 && !t.Leaving {
			list = append(list, t)
		}
	}
	slices.SortFunc(list, func(a, b pool.Target) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
