package requestkey

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/google/uuid"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

var simOptions = Options{
	Lifetime:     60 * time.Second,
	Right:        10 * time.Second,
	ClockError:   time.Second,
	StartReserve: 15 * time.Second,
	RetryAfter:   time.Second,
}

const (
	simKeys        = 3
	simMaxHops     = 4
	clockErrorMs   = 1000
	workspaceOfSim = "w"
)

// sim is a fleet of ledgers in virtual time, joined by a queue that loses,
// delays and reorders messages. pick(n) returns a number below n.
type sim struct {
	pick     func(n int) int
	opts     Options
	now      time.Time
	platform []listing
	nodes    []*node
	queue    []message
	keys     []string
	attempts map[string][]*attempt
	// violation is the first broken invariant.
	violation string
	stats     stats
	// lossPercent is the share of messages that are lost.
	lossPercent int
	// decided is called with each final decision on a request, if it is set.
	decided func(key string, d Decision)
}

// listing is a revision of the platform's list and when it was true.
type listing struct {
	view View
	from time.Time
}

type node struct {
	member  Member
	ledger  *Ledger
	offset  time.Duration
	side    int
	alive   bool
	paused  bool
	stopped bool
	// unlisted keeps a node that runs out of the platform's list.
	unlisted bool
}

// attempt is one dispatch of a key.
type attempt struct {
	// begun is the time of the Begin step in true time; the request may have
	// been paused after its clock was read.
	begun   time.Time
	node    Member
	started bool
	ran     v1.Ran
}

// mayHaveRun reports whether a target may have executed the attempt.
func (a *attempt) mayHaveRun() bool {
	return a.started && a.ran != v1.Ran_NO
}

// message is delivered to one incarnation, if it can be reached then.
type message struct {
	due      time.Time
	from, to *node
	toMember Member
	run      func()
	local    bool
}

type stats struct {
	requests, dispatches, claims, served int
	refusals                             map[v1.Code]int
}

func newSim(pick func(int) int, nodes int, opts Options) *sim {
	s := &sim{
		pick: pick, opts: opts.withDefaults(), now: time.UnixMilli(1_800_000_000_000), attempts: map[string][]*attempt{},
		stats: stats{refusals: map[v1.Code]int{}}, lossPercent: 10,
	}
	for i := range nodes {
		s.nodes = append(s.nodes, &node{member: Member{Name: fmt.Sprintf("r%d", i)}})
		s.start(s.nodes[i])
	}
	s.publish()
	s.settle()
	return s
}

// settle passes the time in which routers without memory refuse keys.
func (s *sim) settle() {
	for _, n := range s.nodes {
		n.ledger.Observe(s.clock(n), s.read(0))
	}
	s.now = s.now.Add(2 * (s.opts.Lifetime + s.opts.Right))
	for _, n := range s.nodes {
		n.ledger.Observe(s.clock(n), s.read(0))
	}
}

func (s *sim) start(n *node) {
	n.member.Incarnation++
	n.ledger, _ = New(n.member, s.opts)
	n.offset = s.skew()
	n.alive, n.paused, n.stopped = true, false, false
}

func (s *sim) skew() time.Duration {
	return time.Duration(s.pick(2*clockErrorMs+1)-clockErrorMs) * time.Millisecond
}

func (s *sim) clock(n *node) time.Time { return s.now.Add(n.offset) }

// publish makes the nodes that run and do not stop the platform's list.
func (s *sim) publish() {
	v := View{Revision: uint64(len(s.platform) + 1)}
	for _, n := range s.nodes {
		if n.alive && !n.stopped && !n.unlisted {
			v.Routers = append(v.Routers, n.member)
		}
	}
	s.platform = append(s.platform, listing{view: v, from: s.now})
}

// read returns a list that the platform or one of its stale replicas gives.
func (s *sim) read(back int) View {
	i := max(0, len(s.platform)-1-back)
	l := s.platform[i]
	until := s.now
	if i+1 < len(s.platform) {
		until = s.platform[i+1].from
	}
	ms := int(until.Sub(l.from).Milliseconds())
	lag := min(ms, s.pick(2000))
	v := l.view
	v.FirstAsOf = until.Add(-time.Duration(lag) * time.Millisecond)
	v.LastAsOf = v.FirstAsOf
	return v
}

func (s *sim) connected(a, b *node) bool {
	return a.alive && b.alive && a.side == b.side
}

// send queues run for delivery at to.
func (s *sim) send(from, to *node, run func()) {
	if from != to && s.pick(100) < s.lossPercent {
		return
	}
	s.later(from, to, s.pick(3000), run)
}

func (s *sim) later(from, to *node, ms int, run func()) {
	due := s.now.Add(time.Duration(ms) * time.Millisecond)
	s.queue = append(s.queue, message{due: due, from: from, to: to, toMember: to.member, run: run, local: from == to})
}

// deliver runs the messages that are due, in the queue's order.
func (s *sim) deliver() {
	due := s.queue
	s.queue = nil
	for _, m := range due {
		switch {
		case m.due.After(s.now) || m.to.paused:
			s.queue = append(s.queue, m)
		case m.to.member != m.toMember || !m.to.alive:
		case m.local || s.connected(m.from, m.to):
			m.run()
		}
	}
}

func (s *sim) advance(d time.Duration) {
	s.now = s.now.Add(d)
	s.deliver()
}

func (s *sim) fail(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf(format, args...)
	}
}

// mustNotHaveRun is the condition of telling NO and of starting an attempt.
func (s *sim) mustNotHaveRun(key string, own *attempt, what string) {
	for _, a := range s.attempts[key] {
		if a == own || !a.mayHaveRun() {
			continue
		}
		remembered := s.now.Before(a.begun.Add(s.opts.Lifetime))
		if remembered || IsIssued(key) {
			s.fail("%s of %q at %v, but %v began it at %v", what, key, s.now.UnixMilli(), a.node, a.begun.UnixMilli())
		}
	}
}

// newKey makes a key of one of the three kinds.
func (s *sim) newKey(n *node) string {
	serial := len(s.attempts) + len(s.keys)*1000 + s.pick(1<<20)
	switch s.pick(4) {
	case 0:
		var random [RandomBytes]byte
		binary.BigEndian.PutUint64(random[:], uint64(serial))
		return n.ledger.Issue(s.clock(n), random)
	case 1:
		return fmt.Sprintf("order-%d", serial)
	}
	return youngKey(s.now.Add(s.skew()), serial)
}

// youngKey returns a UUIDv7 made at a time.
func youngKey(at time.Time, serial int) string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(at.UnixMilli())<<16)
	binary.BigEndian.PutUint64(id[8:], uint64(serial))
	id[6] |= 0x70
	id[8] = 0x80
	return id.String()
}

// request lets a caller send a key to a node. The node reads its clock now and
// may decide later, after a pause.
func (s *sim) request(n *node, key string) {
	s.stats.requests++
	arrived := s.clock(n)
	delay := 0
	if s.pick(4) == 0 {
		delay = s.pick(8000)
	}
	s.later(n, n, delay, func() { s.handle(n, key, false, arrived, 0) })
	s.deliver()
}

func (s *sim) handle(n *node, key string, forwarded bool, at time.Time, hops int) {
	id := ID{Workspace: workspaceOfSim, Key: key}
	d := n.ledger.Begin(at, Request{ID: id, Digest: 1, Forwarded: forwarded})
	s.report(n, key, d)
	switch d.Action {
	case Dispatch:
		s.dispatch(n, key)
	case Claim:
		s.claim(n, key, forwarded, d, hops)
	case Forward:
		if owner := s.node(d.Owner); owner != nil {
			s.send(n, owner, func() { s.handle(owner, key, true, s.clock(owner), hops) })
		}
	case Replay:
		s.stats.served++
	case Refuse:
		s.stats.refusals[d.Code]++
		if d.Ran == v1.Ran_NO {
			s.mustNotHaveRun(key, nil, "NO told")
		}
	}
}

func (s *sim) report(n *node, key string, d Decision) {
	switch {
	case s.decided == nil || d.Action == Claim:
	case d.Action != Forward:
		s.decided(key, d)
	case !s.connected(n, s.node(d.Owner)):
		s.decided(key, refuse(v1.Code_KEY_OWNER_UNREACHABLE, v1.Ran_UNKNOWN, 0))
	}
}

func (s *sim) node(m Member) *node {
	for _, n := range s.nodes {
		if n.member.Name == m.Name {
			return n
		}
	}
	return nil
}

func (s *sim) claim(n *node, key string, forwarded bool, d Decision, hops int) {
	s.stats.claims++
	if hops >= simMaxHops {
		return
	}
	id := ID{Workspace: workspaceOfSim, Key: key}
	req := ClaimRequest{ID: id, Revision: d.Revision}
	waiting := len(d.Claims)
	again := func() {
		waiting--
		if waiting == 0 {
			s.handle(n, key, forwarded, s.clock(n), hops+1)
		}
	}
	for _, m := range d.Claims {
		earlier := s.node(m)
		if !s.connected(n, earlier) {
			n.ledger.ClaimFailed(s.clock(n), id, m)
			s.later(n, n, s.pick(2000), again)
			continue
		}
		s.send(n, earlier, func() {
			reply := earlier.ledger.AnswerClaim(s.clock(earlier), req)
			s.send(earlier, n, func() {
				n.ledger.ClaimAnswered(s.clock(n), req, m, reply)
				again()
			})
		})
	}
}

func (s *sim) dispatch(n *node, key string) {
	s.stats.dispatches++
	a := &attempt{begun: n.ledger.now.Add(-n.offset), node: n.member, ran: v1.Ran_UNKNOWN}
	s.attempts[key] = append(s.attempts[key], a)
	id := ID{Workspace: workspaceOfSim, Key: key}
	s.later(n, n, s.pick(6000), func() {
		if !n.ledger.MayStart(s.clock(n), id) {
			a.ran = v1.Ran_NO
			s.finish(n, key, a, nil)
			return
		}
		s.mustNotHaveRun(key, a, "start")
		a.started = true
		s.later(n, n, s.pick(10000), func() { s.outcome(n, key, a) })
	})
}

func (s *sim) outcome(n *node, key string, a *attempt) {
	switch s.pick(3) {
	case 0:
		a.ran = v1.Ran_NO
		s.finish(n, key, a, nil)
	case 1:
		a.ran = v1.Ran_YES
		s.finish(n, key, a, &Answer{Status: 201})
	case 2:
		s.finish(n, key, a, nil)
	}
}

func (s *sim) finish(n *node, key string, a *attempt, answer *Answer) {
	if a.ran == v1.Ran_NO {
		s.mustNotHaveRun(key, a, "NO finished")
	}
	n.ledger.Finish(s.clock(n), ID{Workspace: workspaceOfSim, Key: key}, a.ran, answer)
}
