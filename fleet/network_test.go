package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chiveseam/chiveseam/fleet"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const (
	step  = 100 * time.Millisecond
	zones = 10
)

var epoch = time.Unix(1_800_000_000, 0)

// network runs the views of all routers in virtual time. A change travels at most one hop in a
// step. Messages are lost with the probability loss.
type network struct {
	now   time.Time
	rng   *rand.Rand
	names []string
	views map[string]*fleet.View
	// dead holds the routers that neither send nor answer.
	dead map[string]bool
	// cut returns whether all messages from a to b are lost.
	cut  func(a, b string) bool
	loss float64
	// bytes and messages count the sent messages and their encoded size, without framing.
	bytes, messages int
}

// instance returns a live router whose zone and address are derived from the number in its
// name.
func instance(name string, incarnation uint64) *v1.Instance {
	var n int
	_, _ = fmt.Sscanf(name, "router-%d", &n)
	return &v1.Instance{
		Name: name, Incarnation: incarnation, Zone: fmt.Sprintf("zone-%d", n%zones),
		PeerAddress: fmt.Sprintf("10.0.%d.%d:7070", n/256, n%256), State: v1.InstanceState_LIVE,
	}
}

// list returns an instance list that was correct revision seconds after the Unix epoch.
func list(revision uint64, instances ...*v1.Instance) *v1.InstanceList {
	return &v1.InstanceList{Revision: revision, AsOfUnixMs: int64(revision) * 1000, Instances: instances}
}

// instances returns the first incarnation of all routers.
func (n *network) instances() []*v1.Instance {
	var all []*v1.Instance
	for _, name := range n.names {
		all = append(all, instance(name, 1))
	}
	return all
}

// newNetwork returns a network whose routers all have a list of the first incarnations in
// force.
func newNetwork(size int, seed uint64) *network {
	n := &network{
		now: epoch, rng: rand.New(rand.NewPCG(seed, 1)), views: map[string]*fleet.View{},
		dead: map[string]bool{}, cut: func(string, string) bool { return false },
	}
	for i := range size {
		n.names = append(n.names, fmt.Sprintf("router-%d", i))
	}
	l := list(1, n.instances()...)
	for _, name := range n.names {
		n.views[name] = fleet.New(instance(name, 1), fleet.DefaultOptions())
		n.views[name].ApplyList(n.now, l)
	}
	return n
}

func (n *network) dropped(from, to string) bool {
	return n.views[to] == nil || n.dead[from] || n.dead[to] || n.cut(from, to) || n.rng.Float64() < n.loss
}

// send counts a message and returns a copy, as the receiver of an encoded message would have
// it.
func (n *network) send(state *v1.PeerState) *v1.PeerState {
	n.bytes += proto.Size(state)
	n.messages++
	return proto.CloneOf(state)
}

type message struct {
	from, to string
	state    *v1.PeerState
}

// step advances the time by one step and exchanges all messages that are due.
func (n *network) step() {
	n.now = n.now.Add(step)
	var requests, replies []message
	for _, name := range n.names {
		if n.dead[name] {
			continue
		}
		n.views[name].Tick(n.now)
		for _, m := range n.views[name].DueContacts(n.now) {
			requests = append(requests, message{name, m.Name, n.send(n.views[name].StateFor(m.Name))})
		}
	}
	for _, m := range requests {
		if !n.dropped(m.from, m.to) {
			n.views[m.to].Merge(n.now, m.state)
			replies = append(replies, message{m.to, m.from, n.send(n.views[m.to].StateFor(m.from))})
		}
	}
	for _, m := range replies {
		if !n.dropped(m.from, m.to) {
			n.views[m.to].Merge(n.now, m.state)
		}
	}
}

func (n *network) run(d time.Duration) {
	for range d / step {
		n.step()
	}
}

// runUntil runs until done returns true or the limit has passed. It returns the time that
// passed and whether done returned true.
func (n *network) runUntil(limit time.Duration, done func() bool) (time.Duration, bool) {
	start := n.now
	for !done() {
		if n.now.Sub(start) >= limit {
			return limit, false
		}
		n.step()
	}
	return n.now.Sub(start), true
}

// allLive reports whether condition holds for the views of all routers that are not dead.
func (n *network) allLive(condition func(*fleet.View) bool) bool {
	for _, name := range n.names {
		if !n.dead[name] && !condition(n.views[name]) {
			return false
		}
	}
	return true
}

// zoneIndex returns the number of the availability zone of a router.
func zoneIndex(name string) int {
	var n int
	_, _ = fmt.Sscanf(name, "router-%d", &n)
	return n % zones
}

func contains(members []fleet.Member, name string) bool {
	return slices.ContainsFunc(members, func(m fleet.Member) bool { return m.Name == name })
}
