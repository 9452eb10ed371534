package deal

import (
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chiveseam/chiveseam/config"
)

// settleTime is longer than a lease, the learning of a dealer and a change of all slots.
const settleTime = 20 * time.Second

// drawModel draws a model with up to six shards and eight targets.
func drawModel(t *rapid.T) *model {
	return newModel(t, rapid.IntRange(1, 6).Draw(t, "shards"), rapid.IntRange(1, 8).Draw(t, "targets"))
}

// changeNeeds draws new needs and shares for all shards.
func (m *model) changeNeeds() {
	for _, s := range m.shards {
		s.backlog.Need = m.rng.IntN(60)
		s.backlog.Share = uint64(m.rng.IntN(9) + 1)
	}
}

// TestDealOfBusyShards checks, without faults, that no slot is held twice while needs change, and
// that afterwards each slot is dealt exactly once, by weight.
func TestDealOfBusyShards(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawModel(t)
		m.setDealer(m.addDealer("dealer", 1), m.shards...)
		for range 5 {
			m.run(3 * time.Second)
			m.changeNeeds()
		}
		m.run(settleTime)
		m.checkDealt()
	})
}

// TestDealOverFaultyNetwork checks the same while messages are lost, duplicated, delayed and
// reordered.
func TestDealOverFaultyNetwork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawModel(t)
		m.setDealer(m.addDealer("dealer", 1), m.shards...)
		m.run(time.Second)
		m.loss, m.duplication, m.delay = 0.1, 0.2, 400*time.Millisecond
		for range 5 {
			m.run(3 * time.Second)
			m.changeNeeds()
		}
		m.loss, m.duplication, m.delay = 0, 0, time.Millisecond
		m.run(settleTime)
		m.checkDealt()
	})
}

// TestDealerRestarts checks that a dealer that has just started deals no slot that another shard
// still holds from the dealer before. Its holders report to it one after the other.
func TestDealerRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawModel(t)
		first := m.addDealer("first", 1)
		m.setDealer(first, m.shards...)
		m.run(5 * time.Second)
		delete(m.dealers, first)
		m.run(time.Duration(rapid.IntRange(0, 3500).Draw(t, "ms")) * time.Millisecond)
		second := m.addDealer("second", 1)
		for _, s := range m.shards {
			m.setDealer(second, s)
			m.changeNeeds()
			m.run(100 * time.Millisecond)
		}
		m.run(settleTime)
		m.checkDealt()
	})
}

// TestDealerWithoutTargets checks that holders keep their slots while the dealer does not know
// the targets of the pool yet.
func TestDealerWithoutTargets(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	d := NewDealer(router("dealer", 1), Options{})
	held := []Holding{{Target: 7, Slots: 3, Busy: 2}}
	answers := d.Step(now, Report{Holder: router("holder", 1), Seq: 1, Dealer: d.self, Holdings: held})
	is.Equal(len(answers), 1)
	is.Equal(answers[0].Slots, map[config.ID]int{7: 3})
}

// TestHolderIsReplaced checks that the slots of a lost holder are not dealt while its requests
// run, and are dealt again after its successor has reported.
func TestHolderIsReplaced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawModel(t)
		dealer := m.addDealer("dealer", 1)
		m.setDealer(dealer, m.shards...)
		m.run(5 * time.Second)
		lost := m.shards[rapid.IntRange(0, len(m.shards)-1).Draw(t, "lost")]
		m.kill(lost)
		m.run(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
		m.setDealer(dealer, m.addHolder(lost.shard, 2))
		m.run(settleTime)
		m.checkDealt()
	})
}

// TestHolderStaysLost checks that the slots of a lost holder are dealt to other shards if it has
// no successor, and that a successor that comes late gets slots again.
func TestHolderStaysLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, rapid.IntRange(2, 6).Draw(t, "shards"), rapid.IntRange(1, 8).Draw(t, "targets"))
		dealer := m.addDealer("dealer", 1)
		m.setDealer(dealer, m.shards...)
		m.run(5 * time.Second)
		lost := m.shards[0]
		m.kill(lost)
		m.maxHeld = 2 // requests of the lost holder may outlast its lease
		m.run(DefaultReclaim)
		m.run(settleTime)
		m.maxHeld = 1
		m.checkDealt()
		m.setDealer(dealer, m.addHolder(lost.shard, 2))
		m.run(settleTime)
		m.checkDealt()
	})
}

// TestTwoHolders checks that no slot is dealt twice while two routers act as the holder of a
// shard.
func TestTwoHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawModel(t)
		dealer := m.addDealer("dealer", 1)
		m.setDealer(dealer, m.shards...)
		m.run(5 * time.Second)
		first := m.shards[0]
		second := m.addHolder(first.shard, 2)
		m.setDealer(dealer, second)
		m.run(10 * time.Second)
		m.kill(first)
		second.takeOver(m.orphanBusy[first.shard])
		delete(m.orphanBusy, first.shard)
		m.run(settleTime)
		m.checkDealt()
	})
}

// takeOver adds the requests in flight of another holder.
func (s *modelShard) takeOver(busy map[config.ID]int) {
	for id, n := range busy {
		s.busy[id] += n
	}
}

// TestTwoDealers checks that a slot is held at most twice, once for each dealer, while some shards
// report to a second dealer and for some time after they have returned to the first. In the end,
// each slot is held once.
func TestTwoDealers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawModel(t)
		m.maxHeld = 2
		first, second := m.addDealer("first", 1), m.addDealer("second", 1)
		m.setDealer(first, m.shards...)
		m.run(5 * time.Second)
		for _, s := range m.shards[:len(m.shards)/2] {
			m.setDealer(second, s)
		}
		m.run(20 * time.Second)
		m.setDealer(first, m.shards...)
		m.run(10 * time.Second)
		m.maxHeld = 1
		m.run(settleTime)
		m.checkDealt()
	})
}

// TestDealerUnreachable checks that shards use the static division while all messages are lost,
// and that the dealer divides the slots again afterwards.
func TestDealerUnreachable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawModel(t)
		first := m.addDealer("first", 1)
		m.setDealer(first, m.shards...)
		m.run(5 * time.Second)
		m.loss, m.maxHeld = 1, 2
		m.run(10 * time.Second)
		for _, s := range m.shards {
			if want := StaticDivision(m.targets, s.shard, m.options.Shards); !maps.Equal(s.slots, want) {
				t.Fatalf("shard %d has %v, static is %v", s.shard, s.slots, want)
			}
		}
		m.loss = 0
		m.run(5 * time.Second)
		m.maxHeld = 1
		m.run(settleTime)
		m.checkDealt()
	})
}
