package scheduling

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/config/configtest"
	"github.com/chiveseam/chiveseam/deal"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/router/internal/state"
)

var desk = config.IDOf("desk-1")

// newHalves returns the host of a pool with four slots and two shards, and the
// shard of workspace small.
func newHalves(t *testing.T) (*fixture, config.Shard) {
	f := newFixture(t, func(c *v1.Configuration) {
		for _, g := range c.Targets {
			g.Slots = 4
		}
		c.Pools[1].Shards = 2
	})
	f.reconfigure(f.now)
	return f, half(deal.ShardOf(config.IDOf("small"), 2))
}

// lastReport lets time pass and returns the last report of the shard since.
func (f *fixture) lastReport(shard config.Shard) (deal.Report, bool) {
	var last deal.Report
	found := false
	f.tellHolders(f.now) // A new holder waits from here on.
	f.now = f.now.Add(2 * deal.DefaultRenewal)
	f.tellHolders(f.now)
	for len(f.reports) > 0 {
		if r := <-f.reports; r.Shard == shard {
			last, found = r.Report, true
		}
	}
	return last, found
}

func (f *fixture) askShard(shard config.Shard, seq uint64) {
	f.receive(f.session, &v1.EntryBatch{Demands: []*v1.Demand{{
		Seq: seq, Pool: uint32(shard.ID()), Workspace: uint32(config.IDOf("small")), WaitMs: minute,
	}}}, f.now)
}

// allot answers a report with slots of the target.
func (f *fixture) allot(shard config.Shard, report deal.Report, version uint64, slots int) {
	f.allotted([]Allotment{{shard, deal.Allotment{
		Shard: shard.Index, Holder: report.Holder, Dealer: report.Dealer,
		Version: version, Answers: report.Seq, Slots: map[config.ID]int{desk: slots},
	}}}, f.now)
}

func TestShardUsesTheSlotsOfItsAllotment(t *testing.T) {
	is := is.New(t)
	f, shard := newHalves(t)
	is.Equal(len(f.pools), 2) // without any demand
	f.askShard(shard, 1)
	is.Equal(len(f.session.out.Grants), 0)
	report, ok := f.lastReport(shard)
	is.True(ok)
	is.Equal(report.Dealer, f.self())
	is.Equal(report.Backlogs[0].Need, 1)
	f.allot(shard, report, 1, 3)
	is.Equal(len(f.session.out.Grants), 1)
	is.Equal(len(f.collectShares(f.now)[remoteAddress].Pools), 2) // one of each shard
	for _, p := range f.status() {
		want := uint32(0)
		if int(p.Shard) == shard.Index {
			want = 3
		}
		is.Equal(p.Targets[0].Slots, want)
		is.Equal(p.Dealer, "a")
	}
}

// TestPausedHolderLowersItsSlotsBeforeItGrants lets demands be the first that
// the host learns after a pause longer than the lease.
func TestPausedHolderLowersItsSlotsBeforeItGrants(t *testing.T) {
	is := is.New(t)
	f, shard := newHalves(t)
	report, _ := f.lastReport(shard)
	f.allot(shard, report, 1, 4)
	f.now = f.now.Add(2 * deal.DefaultLease)
	batch := &v1.EntryBatch{}
	for seq := range uint64(4) {
		batch.Demands = append(batch.Demands, &v1.Demand{
			Seq: seq, Pool: uint32(shard.ID()), Workspace: uint32(config.IDOf("small")), WaitMs: minute,
		})
	}
	f.handle(batchInput{f.session, batch}, f.now)
	is.Equal(len(f.session.out.Grants), 2) // its part of the equal division
}

// TestHolderRetiresWhenItsRoleMoves lets the role go to a router that joins and
// come back when that one leaves.
func TestHolderRetiresWhenItsRoleMoves(t *testing.T) {
	is := is.New(t)
	f, shard := newHalves(t)
	report, _ := f.lastReport(shard)
	f.allot(shard, report, 1, 3)
	alone := f.store.Fleet()
	f.store.SetFleet(withHolder(alone, shard))
	f.reconfigure(f.now)
	retired, ok := f.lastReport(shard)
	is.True(ok)
	is.True(retired.Retired)
	is.True(f.pools[shard.ID()] == nil)
	f.store.SetFleet(alone)
	f.reconfigure(f.now)
	again, ok := f.lastReport(shard)
	is.True(ok)
	is.True(again.Seq > retired.Seq) // the dealer takes it for later
	f.allot(shard, again, 2, 2)
	is.Equal(f.pools[shard.ID()].Status().FreeSlots, 2)
}

// withHolder adds a router that is first in rank for the shard.
func withHolder(fleet *state.Fleet, shard config.Shard) *state.Fleet {
	for i := 0; ; i++ {
		joined := state.Member{Name: fmt.Sprintf("b%d", i), Region: configtest.Region, Incarnation: 1}
		next := &state.Fleet{Self: fleet.Self, Reachable: append([]state.Member{joined}, fleet.Reachable...)}
		if next.SchedulersOf(shard, configtest.Region, 1)[0] == joined {
			return next
		}
	}
}
