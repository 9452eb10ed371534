package deal

import (
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chiveseam/chiveseam/config"
)

// settle is longer than a lease, the learning, and a change of all slots.
const settle = 20 * time.Second

func drawModel(t *rapid.T) *model {
	return newModel(t, rapid.IntRange(1, 6).Draw(t, "shards"), rapid.IntRange(1, 8).Draw(t, "targets"))
}

// changeNeeds draws new backlogs.
func (m *model) changeNeeds() {
	for _, s := range m.shards {
		s.backlog.Need = m.rng.IntN(60)
		s.backlog.Share = uint64(m.rng.IntN(9) + 1)
	}
}

// TestDealOfBusyShards checks without faults that no slot is held twice while
// needs change, and that afterwards each is dealt once, by weight.
func TestDealOfBusyShards(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawModel(t)
		m.point(m.addDealer("dealer", 1), m.shards...)
		for range 5 {
			m.run(3 * time.Second)
			m.changeNeeds()
		}
		m.run(settle)
		m.checkDealt()
	})
}

// TestDealOverFaultyNetwork checks the same while messages are lost, doubled,
// delayed and reordered, but for slots of the static division.
func TestDealOverFaultyNetwork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawModel(t)
		m.point(m.addDealer("dealer", 1), m.shards...)
		m.run(time.Second)
		m.loss, m.double, m.delay = 0.1, 0.2, 400*time.Millisecond
		for range 5 {
			m.run(3 * time.Second)
			m.changeNeeds()
		}
		m.loss, m.double, m.delay = 0, 0, time.Millisecond
		m.run(settle)
		m.checkDealt()
	})
}

// TestDealerRestarts checks that a dealer without memory deals nothing that
// another shard holds.
func TestDealerRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawModel(t)
		first := m.addDealer("first", 1)
		m.point(first, m.shards...)
		m.run(5 * time.Second)
		delete(m.dealers, first)
		m.run(time.Duration(rapid.IntRange(0, 3500).Draw(t, "ms")) * time.Millisecond)
		second := m.addDealer("second", 1)
		for _, s := range m.shards {
			m.point(second, s)
			m.changeNeeds()
			m.run(100 * time.Millisecond)
		}
		m.run(settle)
		m.checkDealt()
	})
}

// TestDealerWithoutTargets checks that a dealer that does not know the targets
// yet leaves holders what they have.
func TestDealerWithoutTargets(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	d := NewDealer(router("dealer", 1), Options{})
	held := []Holding{{Target: 7, Slots: 3, Busy: 2}}
	answers := d.Step(now, Report{Holder: router("holder", 1), Seq: 1, Dealer: d.self, Holdings: held})
	is.Equal(len(answers), 1)
	is.Equal(answers[0].Slots, map[config.ID]int{7: 3})
}

// TestHolderIsReplaced checks that the slots of a lost holder are not dealt
// while its requests run, and come back.
func TestHolderIsReplaced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawModel(t)
		dealer := m.addDealer("dealer", 1)
		m.point(dealer, m.shards...)
		m.run(5 * time.Second)
		lost := m.shards[rapid.IntRange(0, len(m.shards)-1).Draw(t, "lost")]
		m.kill(lost)
		m.run(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
		m.point(dealer, m.addHolder(lost.shard, 2))
		m.run(settle)
		m.checkDealt()
	})
}

// TestHolderStaysLost checks that the slots of a lost holder come back when
// none follows, and go to a late one again.
func TestHolderStaysLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, rapid.IntRange(2, 6).Draw(t, "shards"), rapid.IntRange(1, 8).Draw(t, "targets"))
		dealer := m.addDealer("dealer", 1)
		m.point(dealer, m.shards...)
		m.run(5 * time.Second)
		lost := m.shards[0]
		m.kill(lost)
		m.limit = 2 // requests of the lost holder may outlast its lease
		m.run(DefaultReclaim)
		m.run(settle)
		m.limit = 1
		m.checkDealt()
		m.point(dealer, m.addHolder(lost.shard, 2))
		m.run(settle)
		m.checkDealt()
	})
}

// TestTwoHolders checks that no slot is dealt twice while two routers have the
// role of a shard.
func TestTwoHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawModel(t)
		dealer := m.addDealer("dealer", 1)
		m.point(dealer, m.shards...)
		m.run(5 * time.Second)
		first := m.shards[0]
		second := m.addHolder(first.shard, 2)
		m.point(dealer, second)
		m.run(10 * time.Second)
		m.kill(first)
		second.takeOver(m.orphans[first.shard])
		delete(m.orphans, first.shard)
		m.run(settle)
		m.checkDealt()
	})
}

// takeOver adds the requests in flight of another holder.
func (s *modelShard) takeOver(busy map[config.ID]int) {
	for id, n := range busy {
		s.busy[id] += n
	}
}

// TestTwoDealers checks that a slot is held at most once for each dealer, and
// once more for what runs on from before.
func TestTwoDealers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawModel(t)
		m.limit = 2
		first, second := m.addDealer("first", 1), m.addDealer("second", 1)
		m.point(first, m.shards...)
		m.run(5 * time.Second)
		for _, s := range m.shards[:len(m.shards)/2] {
			m.point(second, s)
		}
		m.run(20 * time.Second)
		m.point(first, m.shards...)
		m.run(10 * time.Second)
		m.limit = 1
		m.run(settle)
		m.checkDealt()
	})
}

// TestDealerUnreachable checks that shards fall back to the static division,
// and that a dealer takes over from there.
func TestDealerUnreachable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawModel(t)
		first := m.addDealer("first", 1)
		m.point(first, m.shards...)
		m.run(5 * time.Second)
		m.loss, m.limit = 1, 2
		m.run(10 * time.Second)
		for _, s := range m.shards {
			if want := Static(m.targets, s.shard, m.options.Shards); !maps.Equal(s.slots, want) {
				t.Fatalf("shard %d has %v, static is %v", s.shard, s.slots, want)
			}
		}
		m.loss = 0
		m.run(5 * time.Second)
		m.limit = 1
		m.run(settle)
		m.checkDealt()
	})
}
