package requestkey

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const (
	fleetNodes = 4
	fleetSteps = 250
	fleetSeeds = 3000
	// stepWeights is the sum of the weights of step's events.
	stepWeights = 60
	// profiles is the number of mixes of faults that runs draw from.
	profiles = 4
)

// step draws one event of the fleet's life. Profile 0 has only lists that
// change and lag, profile 1 also restarts, profile 2 all faults, profile 3 also
// planned stops.
func (s *sim) step(profile int) {
	n := s.nodes[s.pick(len(s.nodes))]
	switch w := s.pick(stepWeights); {
	case w < 5 && profile == 2:
		s.fault(w, n)
	case w < 3 && profile == 1:
		n.alive = false
		s.start(n)
	case w < 4 && profile == 3:
		s.plannedStop(n)
	case w < 8:
		s.heal()
	case w < 12:
		n.unlisted = !n.unlisted
		s.publish()
	case w < 15:
		s.publish()
	case w < 20:
		s.advance(time.Duration(s.pick(4000)) * time.Millisecond)
	case w < 32:
		s.readList(n, s.pick(3)/2)
	case w < 34:
		s.readAll()
	case w < 40:
		s.shareViews(n, s.nodes[s.pick(len(s.nodes))])
	case w < 46:
		s.burst()
	default:
		s.request(n, s.drawKey(n))
	}
	s.advance(time.Duration(s.pick(300)) * time.Millisecond)
}

func (s *sim) fault(kind int, n *node) {
	switch kind {
	case 0:
		s.crash(n)
	case 1:
		s.plannedStop(n)
	case 2:
		n.paused = !n.paused
	case 3:
		n.side = s.pick(2)
	case 4:
		s.advance(time.Duration(s.pick(25000)) * time.Millisecond)
	}
}

// burst sends one key to all nodes.
func (s *sim) burst() {
	key := s.drawKey(s.nodes[0])
	for _, n := range s.nodes {
		s.request(n, key)
		s.advance(time.Duration(s.pick(1000)) * time.Millisecond)
	}
}

func (s *sim) crash(n *node) {
	n.alive = false
	if s.pick(3) > 0 {
		s.start(n)
	}
}

func (s *sim) plannedStop(n *node) {
	if !n.alive || n.paused {
		return
	}
	n.stopped = true
	if s.pick(2) == 0 {
		s.publish()
		s.readList(n, 0)
	}
	for _, h := range n.ledger.Export(s.clock(n)) {
		to := s.node(Member{Name: h.To})
		s.send(n, to, func() { to.ledger.Import(s.clock(to), h) })
	}
	member := n.member
	s.later(n, n, s.pick(6000), func() {
		if n.member == member {
			n.alive = false
		}
	})
}

func (s *sim) heal() {
	for _, n := range s.nodes {
		n.side, n.paused = 0, false
		if !n.alive {
			s.start(n)
		}
	}
	s.deliver()
}

func (s *sim) readList(n *node, back int) {
	if n.alive && !n.paused {
		n.ledger.Observe(s.clock(n), s.read(back))
	}
}

func (s *sim) readAll() {
	for _, n := range s.nodes {
		s.readList(n, 0)
	}
}

func (s *sim) shareViews(from, to *node) {
	if !from.alive || from.paused {
		return
	}
	views := from.ledger.Views()
	s.send(from, to, func() { to.ledger.Observe(s.clock(to), views...) })
}

func (s *sim) drawKey(n *node) string {
	if len(s.keys) < simKeys || s.pick(4) == 0 {
		s.keys = append(s.keys, s.newKey(n))
	}
	recent := s.keys[max(0, len(s.keys)-simKeys):]
	return recent[s.pick(len(recent))]
}

func TestFleetRunsKeysAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }
		s := newSim(pick, fleetNodes, simOptions)
		profile := s.pick(profiles)
		for range fleetSteps {
			s.step(profile)
			if s.violation != "" {
				t.Fatal(s.violation)
			}
		}
	})
}

func TestFleetRunsKeysAtMostOnceManySeeds(t *testing.T) {
	total := stats{}
	for seed := range uint64(fleetSeeds) {
		s := newSim(rand.New(rand.NewPCG(seed, 1)).IntN, fleetNodes, simOptions)
		for range fleetSteps {
			s.step(int(seed) % profiles)
		}
		if s.violation != "" {
			t.Fatalf("seed %d: %s", seed, s.violation)
		}
		total.requests += s.stats.requests
		total.dispatches += s.stats.dispatches
		total.claims += s.stats.claims
		total.served += s.stats.served
	}
	t.Logf("requests %d, dispatches %d, claim rounds %d, replays %d", total.requests, total.dispatches, total.claims, total.served)
	is := is.New(t)
	is.True(total.dispatches > fleetSeeds) // the runs reach dispatches
	is.True(total.claims > fleetSeeds)     // the runs reach claims
	is.True(total.served > 0)              // the runs reach replays
}
