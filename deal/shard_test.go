package deal

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chiveseam/chiveseam/config"
)

// TestShardOfMovesFew checks that workspaces are spread evenly over shards, and that a workspace
// that moves when a shard is added moves to that shard.
func TestShardOfMovesFew(t *testing.T) {
	const workspaces, shards = 35_000, 10
	is := is.New(t)
	counts := make([]int, shards+1)
	for i := range workspaces {
		id := config.ID(i * 7919)
		before, after := ShardOf(id, shards), ShardOf(id, shards+1)
		is.True(after == before || after == shards)
		counts[after]++
	}
	for _, n := range counts {
		is.True(n > workspaces/(shards+1)*9/10 && n < workspaces/(shards+1)*11/10)
	}
	is.Equal(ShardOf(1, 0), 0)
}

// TestStaticDivisionDealsEachSlotOnce checks that the static divisions of all shards contain each
// slot exactly once, and differ by at most one slot for each availability zone.
func TestStaticDivisionDealsEachSlotOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawModel(t)
		sums := map[config.ID]int{}
		least, most := len(m.targets)*100, 0
		for shard := range m.options.Shards {
			part := 0
			for id, n := range StaticDivision(m.targets, shard, m.options.Shards) {
				sums[id] += n
				part += n
			}
			least, most = min(least, part), max(most, part)
		}
		for _, target := range m.targets {
			if sums[target.ID] != target.Slots {
				t.Fatalf("target %+v has %d slots dealt", target, sums[target.ID])
			}
		}
		if most-least > len(groupByZone(m.targets)) {
			t.Fatalf("parts of %d to %d slots", least, most)
		}
	})
}
