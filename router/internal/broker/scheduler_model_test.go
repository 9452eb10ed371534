package broker

import (
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/chiveseam/chiveseam/config"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// modelScheduler is the scheduler's end of one link. It follows the protocol and
// decides at random. Batches arrive in order, but late. Demands and slots in use are
// keyed by sequence number; shards are given by ID.
type modelScheduler struct {
	link    *fakeLink
	waiting map[uint64]uint32
	busy    map[uint64]busySlot
	// spares holds the shards of the spare slots by the ID of the slot.
	spares map[uint64]uint32
	// out holds the batches that were not yet delivered to the broker.
	out []*v1.SchedulerBatch
	// joinedShards holds the shards for which the router has sent a hello.
	joinedShards map[uint32]bool
}

// busySlot is a slot in use.
type busySlot struct {
	shard  uint32
	target config.ID
}

func newModelScheduler(l *fakeLink) *modelScheduler {
	return &modelScheduler{
		link:         l,
		waiting:      map[uint64]uint32{},
		busy:         map[uint64]busySlot{},
		spares:       map[uint64]uint32{},
		joinedShards: map[uint32]bool{},
	}
}

// read handles the oldest batch that the broker sent.
func (s *modelScheduler) read() {
	batch := s.link.sent[0]
	s.link.sent = s.link.sent[1:]
	if batch.Hello != nil {
		s.hello(batch.Hello)
	}
	for _, use := range batch.SpareUses {
		delete(s.spares, use.Spare)
		if b, ok := s.busy[use.Demand.Seq]; !ok || b.shard == use.Demand.Pool {
			// The upper half of a spare slot's ID is its target (see offerSpare).
			s.busy[use.Demand.Seq] = busySlot{use.Demand.Pool, config.ID(use.Spare >> 32)}
		}
	}
	for _, d := range batch.Demands {
		s.waiting[d.Seq] = d.Pool
	}
	for _, seq := range batch.Cancels {
		s.end(seq)
	}
	for _, d := range batch.Done {
		s.end(d.Seq)
	}
	for _, id := range batch.SpareReturns {
		delete(s.spares, id)
	}
}

// hello replaces the state of each shard in the hello, as pool.RouterJoined does.
func (s *modelScheduler) hello(hello *v1.Hello) {
	for _, c := range hello.Counters {
		s.joinedShards[c.Pool] = true
		maps.DeleteFunc(s.waiting, func(_ uint64, shard uint32) bool { return shard == c.Pool })
		maps.DeleteFunc(s.busy, func(_ uint64, r busySlot) bool { return r.shard == c.Pool })
		maps.DeleteFunc(s.spares, func(_ uint64, shard uint32) bool { return shard == c.Pool })
	}
	for _, f := range hello.InFlight {
		s.busy[f.Seq] = busySlot{f.Pool, config.ID(f.Target)}
	}
}

func (s *modelScheduler) end(seq uint64) {
	delete(s.waiting, seq)
	delete(s.busy, seq)
}

// decide lets a scheduler grant, refuse or tie one of its demands. If none waits, it
// offers a spare slot.
func (m *brokerModel) decide(s *modelScheduler) {
	batch := &v1.SchedulerBatch{}
	waiting := slices.Sorted(maps.Keys(s.waiting))
	target := config.ID(100 + rapid.IntRange(0, 3).Draw(m.t, "target"))
	if len(waiting) == 0 {
		m.offerSpare(s, target)
		return
	}
	seq := rapid.SampledFrom(waiting).Draw(m.t, "seq")
	shard := s.waiting[seq]
	decision := rapid.IntRange(0, 5).Draw(m.t, "decision")
	if decision == 1 || decision == 2 {
		batch.Ties = []*v1.Tie{{Seq: seq, Region: remoteRegion}}
		s.out = append(s.out, batch)
		return
	}
	delete(s.waiting, seq)
	switch decision {
	case 0:
		batch.Refusals = []*v1.Refusal{{Seq: seq, Code: v1.Code_QUEUE_FULL}}
	default:
		s.busy[seq] = busySlot{shard, target}
		batch.Grants = []*v1.Grant{{Seq: seq, Target: uint32(target)}}
	}
	s.out = append(s.out, batch)
}

// offerSpare offers a spare slot of a shard for which the router has sent a hello. The
// ID of the slot contains its target.
func (m *brokerModel) offerSpare(s *modelScheduler, target config.ID) {
	joined := slices.Sorted(maps.Keys(s.joinedShards))
	if len(joined) == 0 {
		return
	}
	m.nextSpare++
	id := uint64(target)<<32 | m.nextSpare
	shard := rapid.SampledFrom(joined).Draw(m.t, "shard")
	s.spares[id] = shard
	spare := spareBatch(id, time.Minute)
	spare.Spares[0].Target, spare.Spares[0].Pool = uint32(target), shard
	s.out = append(s.out, spare)
}
