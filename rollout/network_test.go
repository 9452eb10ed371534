package rollout_test

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/rollout"
)

const step = 100 * time.Millisecond

var (
	epoch       = time.Unix(1_800_000_000, 0)
	errRejected = errors.New("rejected for the test")
)

// accept rejects payloads that start with "bad".
func accept(revision uint64, payload []byte) (*config.Accepted, error) {
	if bytes.HasPrefix(payload, []byte("bad")) {
		return nil, errRejected
	}
	return &config.Accepted{Revision: revision, Payload: payload}, nil
}

// node is a tracker and what it did.
type node struct {
	*rollout.Tracker
	name    string
	pending []rollout.Action
	served  bool
	// since is the time of the last change of what is in force.
	since time.Time
}

// network runs trackers in virtual time. Links are lossy and can be cut.
type network struct {
	now   time.Time
	rng   *rand.Rand
	nodes []*node
	loss  float64
	cut   func(a, b int) bool
	// reads holds the offers that the platform makes to a node, any of which
	// may come from a stale replica; nil while the platform is down for it.
	reads func(i int) []rollout.Offer
	fault error
}

func newNetwork(size int, seed uint64) *network {
	n := &network{
		now: epoch, rng: rand.New(rand.NewPCG(seed, 2)),
		cut:   func(int, int) bool { return false },
		reads: func(int) []rollout.Offer { return nil },
	}
	for i := range size {
		n.nodes = append(n.nodes, nil)
		n.restart(i)
	}
	return n
}

func (n *network) restart(i int) {
	rng := rand.New(rand.NewPCG(n.rng.Uint64(), 3))
	n.nodes[i] = &node{
		name:    fmt.Sprint(i),
		Tracker: rollout.New(rollout.DefaultOptions(), accept, rng),
	}
}

func (n *network) lost(a, b int) bool {
	return n.cut(a, b) || n.rng.Float64() < n.loss
}

// do runs a call on node i and checks the order of what it has in force.
func (n *network) do(i int, call func(*node) []rollout.Action) {
	m := n.nodes[i]
	before, _ := m.InForce()
	m.pending = append(m.pending, call(m)...)
	after, _ := m.InForce()
	if after.Compare(before) < 0 {
		n.fault = fmt.Errorf("node %d went from %v to %v", i, before, after)
	}
	if after != before {
		m.since = n.now
	}
	if m.State() == rollout.StateReady && !m.served {
		m.served = true
		n.checkServes(i)
	}
}

// checkServes checks that a node that begins to serve is not behind what a node
// that it reaches has had in force for AnswerMaxAge, on links without loss.
func (n *network) checkServes(i int) {
	if n.loss > 0 {
		return
	}
	own, _ := n.nodes[i].InForce()
	for j, other := range n.nodes {
		theirs, _ := other.InForce()
		old := n.now.Sub(other.since) > rollout.DefaultOptions().AnswerMaxAge
		if j != i && !n.cut(i, j) && old && theirs.Compare(own) > 0 {
			n.fault = fmt.Errorf("node %d serves %v while node %d has %v", i, own, j, theirs)
		}
	}
}

// step lets each node read the platform, exchange versions with three others
// and do what its tracker asks for.
func (n *network) step() {
	n.now = n.now.Add(step)
	for i := range n.nodes {
		n.nodes[i].SetPeers(n.reachable(i))
		for _, offer := range n.reads(i) {
			n.do(i, func(m *node) []rollout.Action { return m.Offer(n.now, offer) })
		}
		for range 3 {
			n.exchange(i, n.rng.IntN(len(n.nodes)))
		}
		n.do(i, func(m *node) []rollout.Action { return m.Tick(n.now) })
		n.perform(i)
	}
}

func (n *network) reachable(i int) []string {
	var names []string
	for j, m := range n.nodes {
		if j != i && !n.cut(i, j) {
			names = append(names, m.name)
		}
	}
	return names
}

func (n *network) exchange(i, j int) {
	if i == j || n.lost(i, j) {
		return
	}
	n.see(j, i)
	if !n.lost(j, i) {
		n.see(i, j)
	}
}

// see tells node i the version of node j.
func (n *network) see(i, j int) {
	version, _ := n.nodes[j].InForce()
	n.do(i, func(m *node) []rollout.Action { return m.PeerSeen(n.now, n.nodes[j].name, version) })
}

func (n *network) perform(i int) {
	pending := n.nodes[i].pending
	n.nodes[i].pending = nil
	for _, action := range pending {
		switch a := action.(type) {
		case rollout.Ask:
			n.exchange(i, n.index(a.Peer))
		case rollout.Fetch:
			n.fetch(i, n.index(a.Peer))
		}
	}
}

func (n *network) fetch(i, j int) {
	version, current := n.nodes[j].InForce()
	if current == nil || n.lost(i, j) {
		n.nodes[i].FetchFailed(n.now, n.nodes[j].name)
		return
	}
	offer := rollout.Offer{Revision: version.Revision, Payload: current.Payload, Source: n.nodes[j].name}
	n.do(i, func(m *node) []rollout.Action { return m.Offer(n.now, offer) })
}

func (n *network) index(name string) int {
	return slices.IndexFunc(n.nodes, func(m *node) bool { return m.name == name })
}

func (n *network) run(d time.Duration) {
	for range d / step {
		n.step()
	}
}
