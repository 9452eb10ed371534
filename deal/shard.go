package deal

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/pool"
)

// ShardOf returns the shard of a workspace, from 0 to shards-1, by rendezvous hashing. If a
// shard is added, 1/(shards+1) of the workspaces move, all of them to the new shard. If shards
// is less than two, the result is 0.
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

// StaticDivision returns the slots of a shard in the equal division that is used without a
// dealer. The divisions of all shards contain each slot exactly once. The slots of each
// availability zone are divided separately, into runs of consecutive slots along the targets of
// the zone, so that a shard has slots of few targets in each zone. The runs of a zone differ by
// at most one slot, and the longer ones go to the shards in rotation.
func StaticDivision(targets []pool.Target, shard, shards int) map[config.ID]int {
	shards = max(shards, 1)
	slots := map[config.ID]int{}
	rotation := 0
	for _, zone := range groupByZone(targets) {
		total := sumSlots(zone)
		run := (shard + rotation) % shards
		addRun(slots, zone, run*total/shards, (run+1)*total/shards)
		rotation += total
	}
	return slots
}

// addRun adds the slots from first up to but not including end, counted along the targets.
func addRun(slots map[config.ID]int, targets []pool.Target, first, end int) {
	at := 0
	for _, t := range targets {
		n := min(end, at+t.Slots) - max(first, at)
		if n > 0 {
			slots[t.ID] = n
		}
		at += t.Slots
	}
}

// groupByZone returns the targets that get new work by availability zone, in a fixed order.
func groupByZone(targets []pool.Target) [][]pool.Target {
	var zones [][]pool.Target
	index := map[string]int{}
	for _, t := range assignableTargets(targets) {
		i, ok := index[t.Zone]
		if !ok {
			i = len(zones)
			index[t.Zone] = i
			zones = append(zones, nil)
		}
		zones[i] = append(zones[i], t)
	}
	return zones
}

func sumSlots(targets []pool.Target) int {
	sum := 0
	for _, t := range targets {
		sum += t.Slots
	}
	return sum
}

// assignableTargets returns the targets that get new work, ordered by ID.
func assignableTargets(targets []pool.Target) []pool.Target {
	list := make([]pool.Target, 0, len(targets))
	for _, t := range targets {
		if t.Slots > 0 && !t.Leaving {
			list = append(list, t)
		}
	}
	slices.SortFunc(list, func(a, b pool.Target) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
