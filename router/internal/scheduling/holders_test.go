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

// deskID is the target of the pool in the host's region.
var deskID = config.IDOf("desk-1")

// newTwoShardFixture returns a fixture whose pool has four slots and two shards, and the
// shard of workspace small.
func newTwoShardFixture(t *testing.T) (*fixture, config.Shard) {
	f := newFixture(t, func(c *v1.Configuration) {
		for _, g := range c.Targets {
			g.Slots = 4
		}
		c.Pools[1].Shards = 2
	})
	f.reconfigure(f.now)
	return f, shardOfTwo(deal.ShardOf(config.IDOf("small"), 2))
}

// lastReport advances the time by two renewals and returns the last report of the shard's
// holder in that time. It returns false if there is none.
func (f *fixture) lastReport(shard config.Shard) (deal.Report, bool) {
	var last deal.Report
	found := false
	f.updateHolders(f.now) // A new holder's deal.Options.Settle starts here.
	f.now = f.now.Add(2 * deal.DefaultRenewal)
	f.updateHolders(f.now)
	for len(f.reports) > 0 {
		if r := <-f.reports; r.Shard == shard {
			last, found = r.Report, true
		}
	}
	return last, found
}

// sendShardDemand sends a demand of workspace small to the shard.
func (f *fixture) sendShardDemand(shard config.Shard, seq uint64) {
	f.receive(f.session, &v1.EntryBatch{Demands: []*v1.Demand{{
		Seq: seq, Pool: uint32(shard.ID()), Workspace: uint32(config.IDOf("small")), WaitMs: minuteMs,
	}}}, f.now)
}

// allot answers a report with an allotment of slots of the target deskID.
func (f *fixture) allot(shard config.Shard, report deal.Report, version uint64, slots int) {
	f.applyAllotments([]Allotment{{shard, deal.Allotment{
		Shard: shard.Index, Holder: report.Holder, Dealer: report.Dealer,
		Version: version, Answers: report.Seq, Slots: map[config.ID]int{deskID: slots},
	}}}, f.now)
}

// A shard of a divided pool starts without a demand, since its holder must report to the
// dealer. It grants nothing before it gets an allotment, and no more slots than that
// afterwards.
func TestShardUsesTheSlotsOfItsAllotment(t *testing.T) {
	is := is.New(t)
	f, shard := newTwoShardFixture(t)
	is.Equal(len(f.schedulers), 2) // both shards run without a demand
	f.sendShardDemand(shard, 1)
	is.Equal(len(f.session.out.Grants), 0)
	report, ok := f.lastReport(shard)
	is.True(ok)
	is.Equal(report.Dealer, f.self())
	is.Equal(report.Backlogs[0].Need, 1)
	f.allot(shard, report, 1, 3)
	is.Equal(len(f.session.out.Grants), 1)
	is.Equal(len(f.collectCounters(f.now)[remoteAddress].Pools), 2) // the counters of both shards
	for _, p := range f.status() {
		want := uint32(0)
		if int(p.Shard) == shard.Index {
			want = 3
		}
		is.Equal(p.Targets[0].Slots, want)
		is.Equal(p.Dealer, "a")
	}
}

// A process that was paused for longer than a lease may handle demands before its next
// periodic call of updateHolders. Its holder must give up the slots of the expired lease
// before its scheduler grants them, since the dealer may have given them to other shards.
func TestExpiredLeaseLowersSlotsBeforeGrants(t *testing.T) {
	is := is.New(t)
	f, shard := newTwoShardFixture(t)
	report, _ := f.lastReport(shard)
	f.allot(shard, report, 1, 4)
	f.now = f.now.Add(2 * deal.DefaultLease)
	batch := &v1.EntryBatch{}
	for seq := range uint64(4) {
		batch.Demands = append(batch.Demands, &v1.Demand{
			Seq: seq, Pool: uint32(shard.ID()), Workspace: uint32(config.IDOf("small")), WaitMs: minuteMs,
		})
	}
	f.handle(batchInput{f.session, batch}, f.now)
	is.Equal(len(f.session.out.Grants), 2) // the shard's part of the static division
}

// The scheduler role of a shard moves to a router that joins, and back when that router
// leaves. The first holder must send a last report, and the holder after it must continue
// the sequence numbers. Otherwise the dealer would ignore its reports as outdated.
func TestHolderRetiresWhenItsRoleMoves(t *testing.T) {
	is := is.New(t)
	f, shard := newTwoShardFixture(t)
	report, _ := f.lastReport(shard)
	f.allot(shard, report, 1, 3)
	fleetBefore := f.store.Fleet()
	f.store.SetFleet(withFirstRanked(fleetBefore, shard))
	f.reconfigure(f.now)
	retired, ok := f.lastReport(shard)
	is.True(ok)
	is.True(retired.Retired)
	is.True(f.schedulers[shard.ID()] == nil)
	f.store.SetFleet(fleetBefore)
	f.reconfigure(f.now)
	again, ok := f.lastReport(shard)
	is.True(ok)
	is.True(again.Seq > retired.Seq) // otherwise the dealer ignores it
	f.allot(shard, again, 2, 2)
	is.Equal(f.schedulers[shard.ID()].Status().FreeSlots, 2)
}

// withFirstRanked returns the fleet with one more router, which is first in rank for the
// scheduler role of the shard.
func withFirstRanked(fleet *state.Fleet, shard config.Shard) *state.Fleet {
	for i := 0; ; i++ {
		joined := state.Member{Name: fmt.Sprintf("b%d", i), Region: configtest.Region, Incarnation: 1}
		next := &state.Fleet{Self: fleet.Self, Reachable: append([]state.Member{joined}, fleet.Reachable...)}
		if next.SchedulersOf(shard, configtest.Region, 1)[0] == joined {
			return next
		}
	}
}
