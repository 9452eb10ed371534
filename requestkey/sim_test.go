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
	// simKeys is the number of recent keys that callers send again.
	simKeys = 3
	// simMaxClaimRounds is how often a node asks earlier owners for one request.
	simMaxClaimRounds = 4
	clockErrorMs      = 1000
	simWorkspace      = "w"
)

// sim is a fleet of ledgers in virtual time. Its network loses, delays and reorders messages.
// pick(n) returns a number from 0 to n-1.
type sim struct {
	pick     func(n int) int
	opts     Options
	now      time.Time
	platform []listing
	nodes    []*node
	queue    []message
	keys     []string
	attempts map[string][]*attempt
	// violation describes the first violated invariant.
	violation string
	stats     stats
	// lossPercent is the part of the messages that are lost.
	lossPercent int
	// decided is called with each final decision on a request, if it is set.
	decided func(key string, d Decision)
}

// listing is a revision of the platform's list and the time from which it is current.
type listing struct {
	view View
	from time.Time
}

// node is a router of the simulated fleet.
type node struct {
	member Member
	ledger *Ledger
	// offset is the error of the node's clock.
	offset time.Duration
	// partition numbers the part of a split network that the node is in.
	partition int
	alive     bool
	paused    bool
	stopped   bool
	// unlisted keeps a running node out of the platform's list.
	unlisted bool
}

// attempt is one dispatch of a key.
type attempt struct {
	// begun is the time of the Begin step in true time. The node may have been paused between
	// reading its clock and Begin.
	begun   time.Time
	node    Member
	started bool
	ran     v1.Ran
}

// mayHaveRun reports whether a target may have executed the attempt.
func (a *attempt) mayHaveRun() bool {
	return a.started && a.ran != v1.Ran_NO
}

// message is delivered to the incarnation toMember if that can be reached when it is due.
type message struct {
	due      time.Time
	from, to *node
	toMember Member
	run      func()
	local    bool
}

// stats counts the events of a run.
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
	s.passStartup()
	return s
}

// passStartup lets the time pass in which routers without memory refuse keys.
func (s *sim) passStartup() {
	for _, n := range s.nodes {
		n.ledger.Observe(s.clock(n), s.read(0))
	}
	s.now = s.now.Add(2 * (s.opts.Lifetime + s.opts.Right))
	for _, n := range s.nodes {
		n.ledger.Observe(s.clock(n), s.read(0))
	}
}

// start starts the next incarnation of a node, with an empty ledger.
func (s *sim) start(n *node) {
	n.member.Incarnation++
	n.ledger, _ = New(n.member, s.opts)
	n.offset = s.skew()
	n.alive, n.paused, n.stopped = true, false, false
}

// skew draws a clock error.
func (s *sim) skew() time.Duration {
	return time.Duration(s.pick(2*clockErrorMs+1)-clockErrorMs) * time.Millisecond
}

func (s *sim) clock(n *node) time.Time { return s.now.Add(n.offset) }

// publish adds a revision of the platform's list, with the running nodes that are neither stopping
// nor unlisted.
func (s *sim) publish() {
	v := View{Revision: uint64(len(s.platform) + 1)}
	for _, n := range s.nodes {
		if n.alive && !n.stopped && !n.unlisted {
			v.Routers = append(v.Routers, n.member)
		}
	}
	s.platform = append(s.platform, listing{view: v, from: s.now})
}

// read returns the list that a platform replica returns if it is back revisions behind the
// current one.
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
	return a.alive && b.alive && a.partition == b.partition
}

// send schedules run for delivery at to after a random delay, unless the message is lost.
func (s *sim) send(from, to *node, run func()) {
	if from != to && s.pick(100) < s.lossPercent {
		return
	}
	s.schedule(from, to, s.pick(3000), run)
}

// schedule schedules run at to after ms milliseconds, if to can be reached then.
func (s *sim) schedule(from, to *node, ms int, run func()) {
	due := s.now.Add(time.Duration(ms) * time.Millisecond)
	s.queue = append(s.queue, message{due: due, from: from, to: to, toMember: to.member, run: run, local: from == to})
}

// deliver runs the messages that are due, in the order of the queue.
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

// fail records a violated invariant.
func (s *sim) fail(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf(format, args...)
	}
}

// checkNotRun fails if an attempt under the key, other than own, may have run. It is called when
// NO is told to a caller or passed to Finish, and when an attempt starts.
func (s *sim) checkNotRun(key string, own *attempt, what string) {
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

// newKey makes an issued key, a caller-chosen one or a UUIDv7.
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
	return uuidV7Key(s.now.Add(s.skew()), serial)
}

// uuidV7Key returns a UUIDv7 with the given timestamp.
func uuidV7Key(at time.Time, serial int) string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(at.UnixMilli())<<16)
	binary.BigEndian.PutUint64(id[8:], uint64(serial))
	id[6] |= 0x70
	id[8] = 0x80
	return id.String()
}

// request simulates a caller that sends a key to a node. The node reads its clock now and may
// decide later, after a pause.
func (s *sim) request(n *node, key string) {
	s.stats.requests++
	arrived := s.clock(n)
	delay := 0
	if s.pick(4) == 0 {
		delay = s.pick(8000)
	}
	s.schedule(n, n, delay, func() { s.handle(n, key, false, arrived, 0) })
	s.deliver()
}

// handle lets a node decide on a request and acts on the Decision.
func (s *sim) handle(n *node, key string, forwarded bool, at time.Time, rounds int) {
	id := ID{Workspace: simWorkspace, Key: key}
	d := n.ledger.Begin(at, Request{ID: id, Digest: 1, Forwarded: forwarded})
	s.reportDecision(n, key, d)
	switch d.Action {
	case Dispatch:
		s.dispatch(n, key)
	case Claim:
		s.claim(n, key, forwarded, d, rounds)
	case Forward:
		if owner := s.node(d.Owner); owner != nil {
			s.send(n, owner, func() { s.handle(owner, key, true, s.clock(owner), rounds) })
		}
	case Replay:
		s.stats.served++
	case Refuse:
		s.stats.refusals[d.Code]++
		if d.Ran == v1.Ran_NO {
			s.checkNotRun(key, nil, "NO told")
		}
	}
}

// reportDecision passes a final decision on to decided. A forwarded request whose owner cannot be
// reached counts as refused.
func (s *sim) reportDecision(n *node, key string, d Decision) {
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

// claim asks the earlier owners, and lets the node decide again when all of them have answered or
// could not be reached.
func (s *sim) claim(n *node, key string, forwarded bool, d Decision, rounds int) {
	s.stats.claims++
	if rounds >= simMaxClaimRounds {
		return
	}
	id := ID{Workspace: simWorkspace, Key: key}
	req := ClaimRequest{ID: id, Revision: d.Revision}
	waiting := len(d.Claims)
	retry := func() {
		waiting--
		if waiting == 0 {
			s.handle(n, key, forwarded, s.clock(n), rounds+1)
		}
	}
	for _, m := range d.Claims {
		earlier := s.node(m)
		if !s.connected(n, earlier) {
			n.ledger.ClaimFailed(s.clock(n), id, m)
			s.schedule(n, n, s.pick(2000), retry)
			continue
		}
		s.send(n, earlier, func() {
			reply := earlier.ledger.AnswerClaim(s.clock(earlier), req)
			s.send(earlier, n, func() {
				n.ledger.ClaimAnswered(s.clock(n), req, m, reply)
				retry()
			})
		})
	}
}

// dispatch records an attempt, which starts later if MayStart allows it.
func (s *sim) dispatch(n *node, key string) {
	s.stats.dispatches++
	a := &attempt{begun: n.ledger.now.Add(-n.offset), node: n.member, ran: v1.Ran_UNKNOWN}
	s.attempts[key] = append(s.attempts[key], a)
	id := ID{Workspace: simWorkspace, Key: key}
	s.schedule(n, n, s.pick(6000), func() {
		if !n.ledger.MayStart(s.clock(n), id) {
			a.ran = v1.Ran_NO
			s.finish(n, key, a, nil)
			return
		}
		s.checkNotRun(key, a, "start")
		a.started = true
		s.schedule(n, n, s.pick(10000), func() { s.outcome(n, key, a) })
	})
}

// outcome ends an attempt with NO, YES or UNKNOWN.
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
		s.checkNotRun(key, a, "NO finished")
	}
	n.ledger.Finish(s.clock(n), ID{Workspace: simWorkspace, Key: key}, a.ran, answer)
}
