package scheduling

import (
	"testing"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/config/configtest"
	"github.com/chiveseam/chiveseam/deal"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// shardOfTwo returns one of two shards of the pool. In the fixture's configuration the
// pool has one shard.
func shardOfTwo(index int) config.Shard {
	return config.Shard{Pool: configtest.ServicePool, Index: index, Count: 2}
}

// sendHello sends a Hello that names the shard and the requests in flight in it.
func (f *fixture) sendHello(shard config.Shard, inFlight ...uint64) {
	id := uint32(shard.ID())
	hello := &v1.Hello{
		Router:   f.session.router.Name,
		Counters: []*v1.PoolCounters{{Pool: id}},
		Shards:   []*v1.Shard{{Id: id, Pool: uint32(poolID), Index: uint32(shard.Index), Count: uint32(shard.Count)}},
	}
	for _, seq := range inFlight {
		hello.InFlight = append(hello.InFlight, &v1.InFlight{
			Seq: seq, Pool: id, Workspace: uint32(workspaceIn(shard)), Target: uint32(deskID),
		})
	}
	f.receive(f.session, &v1.EntryBatch{Hello: hello}, f.now)
}

// workspaceIn returns the ID of a configured workspace that belongs to the shard, or zero
// if there is none.
func workspaceIn(shard config.Shard) config.ID {
	for _, name := range []string{"small", "large"} {
		if id := config.IDOf(name); deal.ShardOf(id, shard.Count) == shard.Index {
			return id
		}
	}
	return 0
}

// A router whose configuration divides the pool in two sends a demand to a router whose
// configuration does not. The demand must be scheduled in the shard that the sender has
// named, although that shard is not configured here.
func TestDemandIsScheduledInTheShardNamedByItsRouter(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	shard := shardOfTwo(deal.ShardOf(config.IDOf("small"), 2))
	f.sendHello(shard)
	f.receive(f.session, &v1.EntryBatch{Demands: []*v1.Demand{
		{Seq: 1, Pool: uint32(shard.ID()), Workspace: uint32(config.IDOf("small")), WaitMs: minuteMs},
	}}, f.now)
	is.Equal(len(f.session.out.Refusals), 0)
	is.Equal(f.schedulers[shard.ID()].Queued()+len(f.session.out.Grants), 1)
	status := f.status()
	is.Equal(len(status), 1)
	is.Equal(status[0].Pool, configtest.ServicePool)
	is.Equal(status[0].Shards, uint32(2))
	undivided, _ := f.shardOf(poolID)
	is.Equal(undivided, config.Shard{Pool: configtest.ServicePool, Count: 1})
}

// A router's Hello reports a request in flight in another shard than the one in which it
// began. The request must not occupy a slot in both shards, not even if the message that it
// used a spare slot of the first shard arrives after the Hello.
func TestRequestInFlightIsCountedOnce(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	first, second := shardOfTwo(0), shardOfTwo(1)
	f.sendHello(first, 7)
	is.Equal(f.busy(first), 1)
	f.sendHello(second, 7)
	is.Equal(f.busy(first), 0)
	is.Equal(f.busy(second), 1)
	f.receive(f.session, &v1.EntryBatch{SpareUses: []*v1.SpareUse{{
		Spare:  uint64(deskID) << 32, // Used before the Hello, reported after it.
		Demand: &v1.Demand{Seq: 7, Pool: uint32(first.ID()), Workspace: uint32(workspaceIn(first))},
	}}}, f.now)
	is.Equal(f.busy(first), 0)
	f.receive(f.session, &v1.EntryBatch{Done: []*v1.Done{{Seq: 7, Outcome: v1.Outcome_SERVED}}}, f.now)
	is.Equal(f.busy(second), 0)
}

// busy returns the number of slots in use of the shard.
func (f *fixture) busy(shard config.Shard) int {
	sum := 0
	for _, n := range f.schedulers[shard.ID()].Usage().Busy {
		sum += n
	}
	return sum
}
