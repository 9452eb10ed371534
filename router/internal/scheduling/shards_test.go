package scheduling

import (
	"testing"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/config/configtest"
	"github.com/chiveseam/chiveseam/deal"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// half returns one of two shards of the pool, which the fixture's configuration
// does not have.
func half(index int) config.Shard {
	return config.Shard{Pool: configtest.ServicePool, Index: index, Count: 2}
}

// greet sends a hello that names the shard, with the requests in flight.
func (f *fixture) greet(shard config.Shard, inFlight ...uint64) {
	id := uint32(shard.ID())
	hello := &v1.Hello{
		Router:   f.session.router.Name,
		Counters: []*v1.PoolCounters{{Pool: id}},
		Shards:   []*v1.Shard{{Id: id, Pool: uint32(poolID), Index: uint32(shard.Index), Count: uint32(shard.Count)}},
	}
	for _, seq := range inFlight {
		hello.InFlight = append(hello.InFlight, &v1.InFlight{
			Seq: seq, Pool: id, Workspace: uint32(memberOf(shard)), Target: uint32(desk),
		})
	}
	f.receive(f.session, &v1.EntryBatch{Hello: hello}, f.now)
}

// memberOf returns a configured workspace that belongs to the shard.
func memberOf(shard config.Shard) config.ID {
	for _, name := range []string{"small", "large"} {
		if id := config.IDOf(name); deal.ShardOf(id, shard.Count) == shard.Index {
			return id
		}
	}
	return 0
}

// TestDemandIsScheduledInTheShardThatItNames lets a router divide the pool in
// two while this one has it undivided.
func TestDemandIsScheduledInTheShardThatItNames(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	shard := half(deal.ShardOf(config.IDOf("small"), 2))
	f.greet(shard)
	f.receive(f.session, &v1.EntryBatch{Demands: []*v1.Demand{
		{Seq: 1, Pool: uint32(shard.ID()), Workspace: uint32(config.IDOf("small")), WaitMs: minute},
	}}, f.now)
	is.Equal(len(f.session.out.Refusals), 0)
	is.Equal(f.pools[shard.ID()].Queued()+len(f.session.out.Grants), 1)
	status := f.status()
	is.Equal(len(status), 1)
	is.Equal(status[0].Pool, configtest.ServicePool)
	is.Equal(status[0].Shards, uint32(2))
	undivided, _ := f.shardOf(poolID)
	is.Equal(undivided, config.Shard{Pool: configtest.ServicePool, Count: 1})
}

// TestRequestInFlightIsCountedOnce lets a router name a request in flight in
// another shard than before.
func TestRequestInFlightIsCountedOnce(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	first, second := half(0), half(1)
	f.greet(first, 7)
	is.Equal(f.busy(first), 1)
	f.greet(second, 7)
	is.Equal(f.busy(first), 0)
	is.Equal(f.busy(second), 1)
	f.receive(f.session, &v1.EntryBatch{SpareUses: []*v1.SpareUse{{
		Spare:  uint64(desk) << 32, // It was used before the hello, and comes after it.
		Demand: &v1.Demand{Seq: 7, Pool: uint32(first.ID()), Workspace: uint32(memberOf(first))},
	}}}, f.now)
	is.Equal(f.busy(first), 0)
	f.receive(f.session, &v1.EntryBatch{Done: []*v1.Done{{Seq: 7, Outcome: v1.Outcome_SERVED}}}, f.now)
	is.Equal(f.busy(second), 0)
}

// busy counts the slots in use of a shard.
func (f *fixture) busy(shard config.Shard) int {
	sum := 0
	for _, n := range f.pools[shard.ID()].Usage().Busy {
		sum += n
	}
	return sum
}
