package deal

import (
	"fmt"
	"testing"
	"time"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/pool"
)

const (
	benchTargets = 118
	benchSlots   = 100
)

// BenchmarkDeal measures one division of the slots of a pool in which all shards want more
// slots than they have. Before each, one shard reports a changed share.
func BenchmarkDeal(b *testing.B) {
	for _, shards := range []int{4, 12, 70} {
		b.Run(fmt.Sprint(shards), func(b *testing.B) { benchDeal(b, shards) })
	}
}

func benchDeal(b *testing.B, shards int) {
	now := time.Unix(1_800_000_000, 0)
	var targets []pool.Target
	for i := range benchTargets {
		targets = append(targets, pool.Target{ID: config.ID(i), Zone: fmt.Sprint(i % 5), Slots: benchSlots, Speed: 1})
	}
	d := NewDealer(router("dealer", 1), Options{Shards: shards})
	d.Step(now, TargetsChanged{targets})
	reports := make([]Report, shards)
	for i := range reports {
		reports[i] = benchReport(d, targets, i, shards)
		d.Step(now, reports[i])
	}
	b.ReportAllocs()
	for i := range b.N {
		now = now.Add(DefaultInterval)
		for _, r := range reports {
			d.handleReport(refreshed(r, uint64(i)+2, d.version))
		}
		reports[i%shards].Backlogs[0].Share = uint64(10 + i%10)
		d.Step(now, Tick{})
	}
}

func benchReport(d *Dealer, targets []pool.Target, shard, shards int) Report {
	r := Report{Shard: shard, Holder: router(fmt.Sprint(shard), 1), Seq: 1, Dealer: d.self, Rate: 1000}
	r.Backlogs = []pool.Backlog{{Share: 10, Need: benchTargets * benchSlots}}
	slots := StaticDivision(targets, shard, shards)
	for _, t := range targets {
		if n := slots[t.ID]; n > 0 {
			r.Holdings = append(r.Holdings, Holding{Target: t.ID, Slots: n, Busy: n})
		}
	}
	return r
}

// refreshed returns the report with the number seq, as a confirmation of the allotment version.
func refreshed(r Report, seq, version uint64) Report {
	r.Seq = seq
	r.Version = version
	return r
}
