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
	// stepWeights is the sum of the weights of the events that step draws from.
	stepWeights = 60
	// faultProfiles is the number of mixes of faults that runs draw from; see step.
	faultProfiles = 4
)

// step draws one event of the fleet. In profile 0, only the lists change and are read late.
// Profile 1 adds restarts to that, profile 3 planned stops, and profile 2 has all faults.
func (s *sim) step(profile int) {
	n := s.nodes[s.pick(len(s.nodes))]
	switch w := s.pick(stepWeights); {
	case w < 5 && profile == 2:
		s.injectFault(w, n)
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
		s.sendToAll()
	default:
		s.request(n, s.drawKey(n))
	}
	s.advance(time.Duration(s.pick(300)) * time.Millisecond)
}

func (s *sim) injectFault(kind int, n *node) {
	switch kind {
	case 0:
		s.crash(n)
	case 1:
		s.plannedStop(n)
	case 2:
		n.paused = !n.paused
	case 3:
		n.partition = s.pick(2)
	case 4:
		s.advance(time.Duration(s.pick(25000)) * time.Millisecond)
	}
}

// sendToAll sends the same key to all nodes.
func (s *sim) sendToAll() {
	key := s.drawKey(s.nodes[0])
	for _, n := range s.nodes {
		s.request(n, key)
		s.advance(time.Duration(s.pick(1000)) * time.Millisecond)
	}
}

// crash ends a node and restarts it without memory in two of three cases.
func (s *sim) crash(n *node) {
	n.alive = false
	if s.pick(3) > 0 {
		s.start(n)
	}
}

// plannedStop hands the records of a node over, on half of the runs after it has read a list
// without itself, and ends the node some time later.
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
	s.schedule(n, n, s.pick(6000), func() {
		if n.member == member {
			n.alive = false
		}
	})
}

// heal ends all partitions and pauses, and starts the nodes that are down.
func (s *sim) heal() {
	for _, n := range s.nodes {
		n.partition, n.paused = 0, false
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

// drawKey returns one of the last simKeys keys, or a new one.
func (s *sim) drawKey(n *node) string {
	if len(s.keys) < simKeys || s.pick(4) == 0 {
		s.keys = append(s.keys, s.newKey(n))
	}
	recent := s.keys[max(0, len(s.keys)-simKeys):]
	return recent[s.pick(len(recent))]
}

// TestFleetRunsKeysAtMostOnce checks on random histories of a fleet that no key runs twice within
// its lifetime, and that NO is told only if no attempt can have run. Ledgers with different lists,
// restarts, lost messages and clock errors must not make two routers begin a key.
func TestFleetRunsKeysAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }
		s := newSim(pick, fleetNodes, simOptions)
		profile := s.pick(faultProfiles)
		for range fleetSteps {
			s.step(profile)
			if s.violation != "" {
				t.Fatal(s.violation)
			}
		}
	})
}

// TestFleetRunsKeysAtMostOnceManySeeds checks the same on many fixed seeds, and that the histories
// reach dispatches, claims and replays.
func TestFleetRunsKeysAtMostOnceManySeeds(t *testing.T) {
	total := stats{}
	for seed := range uint64(fleetSeeds) {
		s := newSim(rand.New(rand.NewPCG(seed, 1)).IntN, fleetNodes, simOptions)
		for range fleetSteps {
			s.step(int(seed) % faultProfiles)
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
