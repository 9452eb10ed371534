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

// accept is an AcceptFunc that rejects the payloads that start with "bad".
func accept(revision uint64, payload []byte) (*config.Accepted, error) {
	if bytes.HasPrefix(payload, []byte("bad")) {
		return nil, errRejected
	}
	return &config.Accepted{Revision: revision, Payload: payload}, nil
}

// node is a router's tracker with the actions that it has asked for and that are not done yet.
type node struct {
	*rollout.Tracker
	name     string
	pending  []rollout.Action
	wasReady bool
	// inForceSince is the time at which the version in force last changed.
	inForceSince time.Time
}

// network runs trackers in virtual time. It drops messages with the probability loss, and all
// messages between two nodes for which cut returns true.
type network struct {
	now   time.Time
	rng   *rand.Rand
	nodes []*node
	loss  float64
	cut   func(a, b int) bool
	// platformOffers returns what a node reads from the platform in one step. Some offers may
	// come from a stale replica. It returns nil while the node gets no answer from the
	// platform.
	platformOffers func(i int) []rollout.Offer
	failure        error
}

func newNetwork(size int, seed uint64) *network {
	n := &network{
		now: epoch, rng: rand.New(rand.NewPCG(seed, 2)),
		cut:            func(int, int) bool { return false },
		platformOffers: func(int) []rollout.Offer { return nil },
	}
	for i := range size {
		n.nodes = append(n.nodes, nil)
		n.restart(i)
	}
	return n
}

// restart replaces node i by one without a configuration.
func (n *network) restart(i int) {
	rng := rand.New(rand.NewPCG(n.rng.Uint64(), 3))
	n.nodes[i] = &node{
		name:    fmt.Sprint(i),
		Tracker: rollout.New(rollout.DefaultOptions(), accept, rng),
	}
}

func (n *network) dropMessage(a, b int) bool {
	return n.cut(a, b) || n.rng.Float64() < n.loss
}

// runOn calls a method of node i's tracker, collects its actions and records a failure if the
// version in force decreased.
func (n *network) runOn(i int, call func(*node) []rollout.Action) {
	m := n.nodes[i]
	before, _ := m.InForce()
	m.pending = append(m.pending, call(m)...)
	after, _ := m.InForce()
	if after.Compare(before) < 0 {
		n.failure = fmt.Errorf("node %d went from %v to %v", i, before, after)
	}
	if after != before {
		m.inForceSince = n.now
	}
	if m.State() == rollout.StateReady && !m.wasReady {
		m.wasReady = true
		n.checkFirstServed(i)
	}
}

// checkFirstServed records a failure if a node that has just become ready has a lower version
// in force than a node that it reaches has had for AnswerMaxAge. With lost messages this does
// not hold, so it is not checked then.
func (n *network) checkFirstServed(i int) {
	if n.loss > 0 {
		return
	}
	own, _ := n.nodes[i].InForce()
	for j, other := range n.nodes {
		theirs, _ := other.InForce()
		old := n.now.Sub(other.inForceSince) > rollout.DefaultOptions().AnswerMaxAge
		if j != i && !n.cut(i, j) && old && theirs.Compare(own) > 0 {
			n.failure = fmt.Errorf("node %d serves %v while node %d has %v", i, own, j, theirs)
		}
	}
}

// step lets each node read the platform, exchange versions with three random nodes and perform
// the actions that its tracker asks for.
func (n *network) step() {
	n.now = n.now.Add(step)
	for i := range n.nodes {
		n.nodes[i].SetPeers(n.reachable(i))
		for _, offer := range n.platformOffers(i) {
			n.runOn(i, func(m *node) []rollout.Action { return m.Offer(n.now, offer) })
		}
		for range 3 {
			n.exchange(i, n.rng.IntN(len(n.nodes)))
		}
		n.runOn(i, func(m *node) []rollout.Action { return m.Tick(n.now) })
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

// exchange sends the version of node i to node j and, if that arrives, the one of node j back.
func (n *network) exchange(i, j int) {
	if i == j || n.dropMessage(i, j) {
		return
	}
	n.deliverVersion(j, i)
	if !n.dropMessage(j, i) {
		n.deliverVersion(i, j)
	}
}

// deliverVersion tells node i the version of node j.
func (n *network) deliverVersion(i, j int) {
	version, _ := n.nodes[j].InForce()
	n.runOn(i, func(m *node) []rollout.Action { return m.SetPeerVersion(n.now, n.nodes[j].name, version) })
}

// perform executes the pending queries and fetches of node i.
func (n *network) perform(i int) {
	pending := n.nodes[i].pending
	n.nodes[i].pending = nil
	for _, action := range pending {
		switch a := action.(type) {
		case rollout.Query:
			n.exchange(i, n.index(a.Peer))
		case rollout.Fetch:
			n.fetch(i, n.index(a.Peer))
		}
	}
}

// fetch offers the configuration of node j to node i.
func (n *network) fetch(i, j int) {
	version, current := n.nodes[j].InForce()
	if current == nil || n.dropMessage(i, j) {
		n.nodes[i].FetchFailed(n.now, n.nodes[j].name)
		return
	}
	offer := rollout.Offer{Revision: version.Revision, Payload: current.Payload, Source: n.nodes[j].name}
	n.runOn(i, func(m *node) []rollout.Action { return m.Offer(n.now, offer) })
}

func (n *network) index(name string) int {
	return slices.IndexFunc(n.nodes, func(m *node) bool { return m.name == name })
}

func (n *network) run(d time.Duration) {
	for range d / step {
		n.step()
	}
}
