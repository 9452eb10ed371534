// Package scheduling runs the scheduler role of a router: one pool.Scheduler
// for each shard of a pool whose demands arrive here, whoever sends them. A
// pool with one shard is its own shard.
//
// One goroutine owns the schedulers. Sessions, one for each entry router, post
// batches to it through a bounded channel, and it answers with batches.
package scheduling

import (
	"math"
	"time"

	"go.opentelemetry.io/otel/trace"
	"google.golang.org/protobuf/proto"
	"gopkg.in/tomb.v2"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/pool"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/router/internal/state"
)

const (
	inputLimit = 4096
	// maxTick bounds the time between two steps of the loop.
	maxTick = 100 * time.Millisecond
	// settleTime is how long a scheduler that is rebuilt waits for the routers.
	settleTime = 100 * time.Millisecond
	// counterInterval is how often the counters go to the next in rank.
	counterInterval = time.Second
	// successors is the number of routers that receive the counters.
	successors = 2
)

// Host owns the schedulers of a router. Its methods are safe for concurrent
// use.
type Host struct {
	opts  Options
	store *state.Store
	t     *tomb.Tomb
	in    chan any
	// reports holds what the holders of shards have to tell the dealers.
	reports chan Report

	// The fields below belong to the loop's goroutine.
	// pools holds the schedulers by the IDs of their shards.
	pools map[config.ID]*shardScheduler
	// named holds the shards that routers under another configuration have
	// named, by ID.
	named    map[config.ID]config.Shard
	sessions map[pool.Router]*Session
	// holdersAt is when the holders were told last.
	holdersAt time.Time
	// reportSeqs holds the numbers of the last reports by shard.
	reportSeqs map[config.ID]uint64
}

// Session is the stream of one entry router.
type Session struct {
	host   *Host
	router pool.Router
	zone   string
	send   func(*v1.SchedulerBatch)
	// end ends the stream.
	end func()

	// The fields below belong to the host's loop.
	joined map[config.ID]bool
	poolOf map[uint64]config.ID
	// spans holds the open spans of sampled demands.
	spans map[uint64]trace.Span
	// replicated holds the counters as last sent, by shard and workspace.
	replicated map[config.ID]map[config.ID]pool.Counter
	out        *v1.SchedulerBatch
}

type (
	openInput  struct{ session *Session }
	closeInput struct{ session *Session }
	batchInput struct {
		session *Session
		batch   *v1.EntryBatch
	}
	countersInput struct{ counters []*v1.PoolCounters }
	inspectInput  struct{ fn func() }
)

// Options are passed to the schedulers.
type Options struct {
	// HoldTime is how long the slots of a lost router stay busy.
	HoldTime time.Duration
	// MaxSpares is the number of slots that a router may hold ahead of demand.
	MaxSpares int
	// Seed selects the jitter of the schedulers.
	Seed uint64
	// Tracer makes the spans of grants; nil makes none.
	Tracer trace.Tracer
}

// New returns a host that runs under t until it dies.
func New(t *tomb.Tomb, store *state.Store, opts Options) *Host {
	return &Host{
		opts:       opts,
		store:      store,
		t:          t,
		in:         make(chan any, inputLimit),
		reports:    make(chan Report, reportLimit),
		pools:      map[config.ID]*shardScheduler{},
		named:      map[config.ID]config.Shard{},
		reportSeqs: map[config.ID]uint64{},
		sessions:   map[pool.Router]*Session{},
	}
}

func (h *Host) post(input any) bool {
	select {
	case h.in <- input:
		return true
	case <-h.t.Dying():
		return false
	}
}

// inspect runs fn in the host's goroutine and returns its result. It returns
// false when the host has stopped.
func inspect[T any](h *Host, fn func() T) (T, bool) {
	result := make(chan T, 1)
	var none T
	if !h.post(inspectInput{func() { result <- fn() }}) {
		return none, false
	}
	select {
	case value := <-result:
		return value, true
	case <-h.t.Dying():
		return none, false
	}
}

// Open starts the session of an entry router. send is called by the host's
// goroutine; it must not block and takes the batch over. So is end, when the
// stream has to end: there is no configuration to schedule by, or another
// session of the router has taken the place of this one. The streams of two
// sessions may arrive in the other order than the router opened them.
func (h *Host) Open(router pool.Router, zone string, send func(*v1.SchedulerBatch), end func()) *Session {
	s := h.newSession(router, zone, send)
	s.end = end
	h.post(openInput{s})
	return s
}

func (h *Host) newSession(router pool.Router, zone string, send func(*v1.SchedulerBatch)) *Session {
	return &Session{
		host:       h,
		router:     router,
		zone:       zone,
		send:       send,
		joined:     map[config.ID]bool{},
		poolOf:     map[uint64]config.ID{},
		spans:      map[uint64]trace.Span{},
		replicated: map[config.ID]map[config.ID]pool.Counter{},
		out:        &v1.SchedulerBatch{},
	}
}

// Configured reports whether a configuration is in force, without which no pool
// is known.
func (h *Host) Configured() bool { return h.store.Config() != nil }

// Receive handles a batch of the entry router. It blocks while the host's
// input is full.
func (s *Session) Receive(batch *v1.EntryBatch) {
	s.host.post(batchInput{s, batch})
}

// Close ends the session.
func (s *Session) Close() {
	s.host.post(closeInput{s})
}

// Run is the host's duty. It returns when the tomb dies.
func (h *Host) Run() error {
	changes := h.store.Subscribe()
	timer := time.NewTimer(maxTick)
	defer timer.Stop()
	counters := time.NewTicker(counterInterval)
	defer counters.Stop()
	deals := time.NewTicker(HolderTick)
	defer deals.Stop()
	for {
		select {
		case input := <-h.in:
			h.handle(input, time.Now())
			h.drain()
		case <-changes:
			h.reconfigure(time.Now())
		case <-counters.C:
			h.replicateCounters(time.Now())
			h.stepAll(time.Now(), pool.Tick{})
		case <-deals.C:
			h.tellHolders(time.Now())
		case <-timer.C:
			h.tick(time.Now())
		case <-h.t.Dying():
			return nil
		}
		h.flush()
		timer.Reset(h.untilNextTick(time.Now()))
	}
}

func (h *Host) drain() {
	for range inputLimit {
		select {
		case input := <-h.in:
			h.handle(input, time.Now())
		default:
			return
		}
	}
}

func (h *Host) handle(input any, now time.Time) {
	h.lapseHolders(now)
	switch in := input.(type) {
	case openInput:
		h.open(in.session, now)
	case closeInput:
		h.close(in.session, now)
	case batchInput:
		if h.sessions[in.session.router] == in.session {
			h.receive(in.session, in.batch, now)
		}
	case countersInput:
		h.peerCounters(in.counters, now)
	case allotmentsInput:
		h.allotted(in.allotments, now)
	case inspectInput:
		in.fn()
	}
}

// open replaces an earlier session of the same router. Without a configuration
// the router has to look for another scheduler.
func (h *Host) open(s *Session, now time.Time) {
	if h.store.Config() == nil {
		s.end()
		return
	}
	if old, ok := h.sessions[s.router]; ok {
		h.close(old, now)
		old.end()
	}
	h.sessions[s.router] = s
}

func (h *Host) close(s *Session, now time.Time) {
	if h.sessions[s.router] != s {
		return
	}
	delete(h.sessions, s.router)
	s.endSpans()
	for id := range s.joined {
		h.step(id, now, pool.RouterLost{Router: s.router})
	}
}

func (h *Host) stepAll(now time.Time, event pool.Event) {
	h.lapseHolders(now)
	for id := range h.pools {
		h.step(id, now, event)
	}
}

// step runs one event and routes the actions to the sessions.
func (h *Host) step(id config.ID, now time.Time, event pool.Event) {
	sched, ok := h.scheduler(id, now)
	if !ok {
		return
	}
	for _, action := range sched.Step(now, event) {
		h.route(id, now, action)
	}
}

func (h *Host) route(id config.ID, now time.Time, action pool.Action) {
	switch a := action.(type) {
	case pool.Grant:
		if s, ok := h.sessions[a.ID.Router]; ok {
			s.endSpan(a.ID.Seq, "granted")
			s.out.Grants = append(s.out.Grants, &v1.Grant{
				Seq:      a.ID.Seq,
				Target:   uint32(a.Target),
				Estimate: uint32(min(a.Estimate, math.MaxUint32)),
				Rate:     uint32(min(a.Rate, math.MaxUint32)),
			})
		}
	case pool.AskFirstByte:
		if s, ok := h.sessions[a.ID.Router]; ok {
			s.out.FirstByteAsks = append(s.out.FirstByteAsks, a.ID.Seq)
		}
	case pool.Refuse:
		if s, ok := h.sessions[a.ID.Router]; ok {
			delete(s.poolOf, a.ID.Seq)
			s.endSpan(a.ID.Seq, a.Code.String())
			s.out.Refusals = append(s.out.Refusals, &v1.Refusal{
				Seq:          a.ID.Seq,
				Code:         a.Code,
				RetryAfterMs: uint32(a.RetryAfter.Milliseconds()),
			})
		}
	case pool.Tie:
		if s, ok := h.sessions[a.ID.Router]; ok {
			s.out.Ties = append(s.out.Ties, &v1.Tie{Seq: a.ID.Seq, Region: a.Region})
		}
	case pool.HandSpare:
		if s, ok := h.sessions[a.Router]; ok {
			s.out.Spares = append(s.out.Spares, &v1.Spare{
				Id:        a.Spare,
				Pool:      uint32(id),
				Target:    uint32(a.Target),
				ExpiresMs: uint32(max(a.Expires.Sub(now), 0).Milliseconds()),
				Rate:      uint32(min(a.Rate, math.MaxUint32)),
			})
		}
	case pool.RevokeSpare:
		if s, ok := h.sessions[a.Router]; ok {
			s.out.RevokedSpares = append(s.out.RevokedSpares, a.Spare)
		}
	}
}

func (h *Host) tick(now time.Time) {
	h.lapseHolders(now)
	for id, sched := range h.pools {
		if due, ok := sched.NextTick(); ok && !due.After(now) {
			h.step(id, now, pool.Tick{})
		}
	}
}

func (h *Host) untilNextTick(now time.Time) time.Duration {
	wait := maxTick
	for _, sched := range h.pools {
		if due, ok := sched.NextTick(); ok {
			wait = min(wait, due.Sub(now))
		}
	}
	return max(wait, time.Millisecond)
}

// flush sends what the step produced.
func (h *Host) flush() {
	for _, s := range h.sessions {
		if proto.Size(s.out) == 0 {
			continue
		}
		s.send(s.out)
		s.out = &v1.SchedulerBatch{}
	}
}
