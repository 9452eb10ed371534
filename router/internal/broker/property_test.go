package broker

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chiveseam/chiveseam/config"
	_ "github.com/chiveseam/chiveseam/internal/fixedseed"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/router/internal/state"
)

// brokerModel connects a broker to model schedulers over connections that deliver
// batches late, and counts how each demand ends.
type brokerModel struct {
	*fixture
	t          *rapid.T
	schedulers map[*fakeLink]*modelScheduler
	requests   []*request
	answers    map[*request]int
	grants     map[*request]*Grant
	cancelled  map[*request]bool
	ended      map[*request]bool
	fleet      []state.Member
	nextSpare  uint64
}

func newBrokerModel(t *rapid.T) *brokerModel {
	m := &brokerModel{
		t:          t,
		schedulers: map[*fakeLink]*modelScheduler{},
		answers:    map[*request]int{},
		grants:     map[*request]*Grant{},
		cancelled:  map[*request]bool{},
		ended:      map[*request]bool{},
		fleet:      []state.Member{member("a", homeRegion, 1), member("b", homeRegion, 1), member("y", remoteRegion, 1), member("z", remoteRegion, 1)},
	}
	m.fixture = newFixture(t, m.fleet...)
	return m
}

// drawPercent draws true with the given probability.
func (m *brokerModel) drawPercent(percent int, label string) bool {
	return rapid.IntRange(1, 100).Draw(m.t, label) <= percent
}

// collect creates a model scheduler for each new link and collects the replies to
// demands. It fails if a demand got more than one reply.
func (m *brokerModel) collect() {
	for _, l := range m.dialer.links {
		if m.schedulers[l] == nil {
			m.schedulers[l] = newModelScheduler(l)
		}
	}
	for _, r := range m.requests {
		for answer := r.answer(); answer != (reply{}); answer = r.answer() {
			m.answers[r]++
			m.grants[r] = answer.grant
		}
		if m.answers[r] > 1 {
			m.t.Fatalf("demand was answered %d times", m.answers[r])
		}
	}
}

// openSchedulers returns the schedulers whose link is open, in the order of opening.
func (m *brokerModel) openSchedulers() []*modelScheduler {
	var list []*modelScheduler
	for _, l := range m.dialer.links {
		if !l.closed {
			list = append(list, m.schedulers[l])
		}
	}
	return list
}

// deliver passes the oldest batch of a scheduler to the broker, if its link is in use.
func (m *brokerModel) deliver(s *modelScheduler) {
	batch := s.out[0]
	s.out = s.out[1:]
	l := m.links[s.link.member.Name]
	if l != nil && l.conn == s.link {
		m.input(receivedInput{l, batch})
	}
}

// workspaces belong to different shards.
var workspaces = []string{"small", "large", "w1", "w2", "w3"}

func (m *brokerModel) applyRandomEvent() {
	switch rapid.IntRange(0, 10).Draw(m.t, "event") {
	case 0, 1:
		workspace := rapid.SampledFrom(workspaces).Draw(m.t, "workspace")
		m.requests = append(m.requests, m.acquireFor(workspace, time.Hour))
	case 2, 3, 4, 5:
		m.exchange()
	case 6:
		m.finishOne()
	case 7:
		m.cancelOne()
	case 8:
		m.changeFleet()
	case 9:
		m.disturbLink()
	case 10:
		m.setShards(m.t, rapid.Uint32Range(1, 3).Draw(m.t, "shards"))
	}
	m.collect()
}

// exchange lets one scheduler read a batch, deliver a batch, or decide about a demand.
func (m *brokerModel) exchange() {
	schedulers := m.openSchedulers()
	if len(schedulers) == 0 {
		return
	}
	s := rapid.SampledFrom(schedulers).Draw(m.t, "link")
	switch {
	case len(s.link.sent) > 0 && m.drawPercent(50, "read"):
		s.read()
	case len(s.out) > 0 && m.drawPercent(50, "deliver"):
		m.deliver(s)
	default:
		m.decide(s)
	}
}

// running returns the requests that hold a slot.
func (m *brokerModel) running() []*request {
	var list []*request
	for _, r := range m.requests {
		if m.grants[r] != nil && !m.ended[r] && !m.cancelled[r] {
			list = append(list, r)
		}
	}
	return list
}

func (m *brokerModel) finishOne() {
	if running := m.running(); len(running) > 0 {
		m.finishRequest(rapid.SampledFrom(running).Draw(m.t, "finished"))
	}
}

func (m *brokerModel) finishRequest(r *request) {
	m.ended[r] = true
	m.input(doneInput{m.grants[r].seq, &v1.Done{Seq: m.grants[r].seq, Outcome: v1.Outcome_SERVED}})
}

func (m *brokerModel) cancelOne() {
	if len(m.requests) == 0 {
		return
	}
	r := rapid.SampledFrom(m.requests).Draw(m.t, "cancelled")
	if m.answers[r] == 0 {
		m.cancelled[r] = true
		m.input(cancelInput{r})
	}
}

func (m *brokerModel) changeFleet() {
	var reachable []state.Member
	for i := range m.fleet {
		if m.drawPercent(20, "restart") {
			m.fleet[i].Incarnation++
		}
		if m.drawPercent(70, "reachable") {
			reachable = append(reachable, m.fleet[i])
		}
	}
	m.setFleet(reachable...)
}

// disturbLink closes a link, or moves a shard to its scheduler again over open links.
func (m *brokerModel) disturbLink() {
	open := m.openSchedulers()
	if len(open) == 0 {
		return
	}
	if m.drawPercent(50, "again") {
		m.moveShard(m.keyOf(Demand{Pool: poolName, Region: homeRegion, Workspace: config.IDOf(workspaces[0])}), time.Now())
		m.flush()
		return
	}
	name := rapid.SampledFrom(open).Draw(m.t, "lost").link.member.Name
	if l := m.links[name]; l != nil {
		m.input(closedInput{l, nil})
	}
}

// deliverAll delivers all batches that are on their way, in both directions.
func (m *brokerModel) deliverAll() {
	for busy := true; busy; {
		busy = false
		m.collect()
		for _, s := range m.openSchedulers() {
			for len(s.link.sent) > 0 {
				s.read()
				busy = true
			}
			for len(s.out) > 0 {
				m.deliver(s)
				busy = true
			}
		}
	}
}

// checkSlots compares the slots and demands that the schedulers hold with those of the
// broker, after all batches were delivered.
func (m *brokerModel) checkSlots() {
	for _, r := range m.Broker.requests {
		s, ok := m.schedulers[linkOf(r)]
		if !ok || s.link.closed {
			continue
		}
		if _, reachable := m.schedulerOf(r.key, time.Now()); reachable && r.key != m.keyOf(r.demand) {
			m.t.Fatalf("demand %d is at scheduler role %v and belongs to %v", r.seq, r.key, m.keyOf(r.demand))
		}
		shard := uint32(r.key.shard.ID())
		if want := (busySlot{shard, r.target}); r.granted && s.busy[r.seq] != want {
			m.t.Fatalf("demand %d runs on %v, its scheduler %s holds %v", r.seq, want, s.link.member.Name, s.busy[r.seq])
		}
		if !r.granted && s.waiting[r.seq] != shard {
			m.t.Fatalf("demand %d waits for shard %d, its scheduler %s has it in %d", r.seq, shard, s.link.member.Name, s.waiting[r.seq])
		}
	}
	for _, s := range m.openSchedulers() {
		for seq := range s.busy {
			if r := m.Broker.requests[seq]; r == nil || !r.granted || linkOf(r) != s.link {
				m.t.Fatalf("scheduler %s holds a slot for %d, which does not use it", s.link.member.Name, seq)
			}
		}
		for seq := range s.waiting {
			if r := m.Broker.requests[seq]; r == nil || r.granted || linkOf(r) != s.link {
				m.t.Fatalf("demand %d waits at scheduler %s but not at the broker", seq, s.link.member.Name)
			}
		}
	}
}

func linkOf(r *request) *fakeLink { return r.link.conn.(*fakeLink) }

// checkEndedOnce fails unless each demand has ended exactly once.
func (m *brokerModel) checkEndedOnce() {
	for _, r := range m.requests {
		ends := m.answers[r]
		if m.cancelled[r] {
			ends++
		}
		if ends != 1 {
			m.t.Fatalf("a demand ended %d times", ends)
		}
	}
	if len(m.Broker.requests) > 0 {
		m.t.Fatalf("%d requests are left", len(m.Broker.requests))
	}
}

// finishAll grants all waiting demands and returns all slots.
func (m *brokerModel) finishAll() {
	m.setFleet(m.fleet...)
	for range 4 {
		m.deliverAll()
		for _, s := range m.openSchedulers() {
			for _, seq := range slices.Sorted(maps.Keys(s.waiting)) {
				s.busy[seq] = busySlot{s.waiting[seq], target1}
				delete(s.waiting, seq)
				s.out = append(s.out, &v1.SchedulerBatch{Grants: []*v1.Grant{{Seq: seq, Target: uint32(target1)}}})
			}
		}
		m.deliverAll()
		for _, r := range m.running() {
			m.finishRequest(r)
		}
	}
	m.deliverAll()
}

// Scheduler roles move, routers restart, links are lost, and schedulers send grants that
// are withdrawn meanwhile. Whatever happens, each demand gets one reply, and the
// schedulers hold exactly the slots that are in use and know each demand that waits.
func TestEachDemandEndsOnce(t *testing.T) {
	outcomes := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		m := newBrokerModel(t)
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			m.applyRandomEvent()
			if m.drawPercent(10, "settle") {
				m.deliverAll()
				m.checkSlots()
			}
		}
		m.finishAll()
		m.checkSlots()
		m.checkEndedOnce()
		m.countOutcomes(outcomes)
	})
	t.Logf("demands by outcome: %v", outcomes)
}

func (m *brokerModel) countOutcomes(outcomes map[string]int) {
	for _, r := range m.requests {
		switch {
		case m.cancelled[r]:
			outcomes["cancelled"]++
		case m.grants[r] == nil:
			outcomes["refused"]++
		case r.grantedTie != nil:
			outcomes["tie granted"]++
		default:
			outcomes["original granted"]++
		}
	}
}
