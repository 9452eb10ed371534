// Package scheduling implements the scheduler role of a router. It runs one
// pool.Scheduler for each shard of a pool whose demands are sent here, by this router or
// by others. A pool that is not divided consists of one shard.
//
// In a divided pool, a dealer (package dealing) allots the pool's slots to the shards. Each
// shard that is scheduled here has a holder (deal.Holder), which reports to the dealer what
// the shard needs, and keeps the slots that the dealer allots to it.
//
// One goroutine, Host.Run, owns the schedulers. Each entry router has a Session, which
// posts the router's batches to this goroutine through a bounded channel. The goroutine
// collects the results in batches and sends them to the routers.
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
	// inputQueueSize is the capacity of the channel of the loop's inputs, and the
	// greatest number of queued inputs that drainInputs handles.
	inputQueueSize = 4096
	// maxTickInterval is the greatest time between two iterations of the loop.
	maxTickInterval = 100 * time.Millisecond
	// settleTime is pool.Options.SettleTime: how long a new scheduler waits for the
	// routers to report their requests in flight.
	settleTime = 100 * time.Millisecond
	// counterInterval is the time between two replications of the workspaces' counters.
	// It is also the time after which a caller refused for an unknown pool is told to
	// retry.
	counterInterval = time.Second
	// counterReplicas is the number of routers, next in rank for the scheduler role of a
	// shard, that receive its counters. A new scheduler of the shard is rebuilt from
	// them.
	counterReplicas = 2
)

// Host owns the schedulers of a router. Its exported methods are safe for concurrent use.
type Host struct {
	opts  Options
	store *state.Store
	t     *tomb.Tomb
	// in carries the inputs of the loop: the types whose names end in Input.
	in chan any
	// reports carries the reports of the holders to the dealers.
	reports chan Report

	// The fields below are used by the loop's goroutine only.
	//
	// schedulers holds the schedulers by the IDs of their shards.
	schedulers map[config.ID]*shardScheduler
	// namedShards holds, by ID, the shards that routers have named in a Hello. It is used
	// for shards that are not in the configuration in force here.
	namedShards map[config.ID]config.Shard
	// sessions holds the open session of each entry router.
	sessions map[pool.Router]*Session
	// holdersUpdatedAt is the time of the last updateHolders.
	holdersUpdatedAt time.Time
	// lastReportSeqs holds the Seq of the last report of each shard.
	lastReportSeqs map[config.ID]uint64
}

// Session is the stream of one entry router to the host. Its exported methods are safe
// for concurrent use.
type Session struct {
	host   *Host
	router pool.Router
	zone   string
	// send sends a batch to the entry router. It is called by the loop's goroutine, takes
	// over the batch and must not block.
	send func(*v1.SchedulerBatch)
	// endStream closes the stream. It is called by the loop's goroutine and must not
	// block.
	endStream func()

	// The fields below are used by the loop's goroutine only.
	//
	// joined holds the shards whose schedulers the router has joined.
	joined map[config.ID]bool
	// shardBySeq holds the shard of each demand that waits or runs, by its sequence
	// number.
	shardBySeq map[uint64]config.ID
	// spans holds the open spans of sampled demands by their sequence numbers.
	spans map[uint64]trace.Span
	// sentCounters holds the counters as last sent to the router, by shard and workspace.
	sentCounters map[config.ID]map[config.ID]pool.Counter
	// out is the batch that the next flush sends.
	out *v1.SchedulerBatch
}

// Inputs of the loop. inspectInput runs fn in the loop's goroutine.
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

// Options are the parameters of the schedulers.
type Options struct {
	// HoldTime is how long the slots of granted demands stay busy after the stream of
	// their router is lost.
	HoldTime time.Duration
	// MaxSpares is the greatest number of slots of a shard that its scheduler grants to
	// one router ahead of demand.
	MaxSpares int
	// Seed is the random seed of the schedulers, see pool.Options. It should differ
	// between routers.
	Seed uint64
	// Tracer creates a span for each sampled demand. If it is nil, there are no spans.
	Tracer trace.Tracer
}

// New returns a host without schedulers, which Run starts as they are needed. The
// goroutines of the host and its links run under t and end when it dies.
func New(t *tomb.Tomb, store *state.Store, opts Options) *Host {
	return &Host{
		opts:           opts,
		store:          store,
		t:              t,
		in:             make(chan any, inputQueueSize),
		reports:        make(chan Report, reportQueueSize),
		schedulers:     map[config.ID]*shardScheduler{},
		namedShards:    map[config.ID]config.Shard{},
		lastReportSeqs: map[config.ID]uint64{},
		sessions:       map[pool.Router]*Session{},
	}
}

// post queues an input for the loop. It blocks while the channel is full, and returns
// false if the host has stopped.
func (h *Host) post(input any) bool {
	select {
	case h.in <- input:
		return true
	case <-h.t.Dying():
		return false
	}
}

// inspect runs fn in the loop's goroutine and returns its result. It returns false if the
// host has stopped.
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

// Open starts the session of an entry router in an availability zone. The loop's
// goroutine calls send and end, which must not block. send takes over the batch. end
// closes the stream of the session. The host calls it if no configuration is in force, or
// when the same router opens another session. The streams of two sessions may arrive in
// another order than the router opened them.
func (h *Host) Open(router pool.Router, zone string, send func(*v1.SchedulerBatch), end func()) *Session {
	s := h.newSession(router, zone, send)
	s.endStream = end
	h.post(openInput{s})
	return s
}

func (h *Host) newSession(router pool.Router, zone string, send func(*v1.SchedulerBatch)) *Session {
	return &Session{
		host:         h,
		router:       router,
		zone:         zone,
		send:         send,
		joined:       map[config.ID]bool{},
		shardBySeq:   map[uint64]config.ID{},
		spans:        map[uint64]trace.Span{},
		sentCounters: map[config.ID]map[config.ID]pool.Counter{},
		out:          &v1.SchedulerBatch{},
	}
}

// Configured reports whether a configuration is in force. Without one the host knows no
// pools.
func (h *Host) Configured() bool { return h.store.Config() != nil }

// Receive queues a batch of the entry router for the loop. It blocks while the channel of
// inputs is full.
func (s *Session) Receive(batch *v1.EntryBatch) {
	s.host.post(batchInput{s, batch})
}

// Close ends the session. The demands of the router that still wait are dropped, and the
// slots of its requests in flight stay busy for Options.HoldTime.
func (s *Session) Close() {
	s.host.post(closeInput{s})
}

// Run runs the loop that owns the schedulers. It returns nil when the tomb dies.
func (h *Host) Run() error {
	changes := h.store.Subscribe()
	timer := time.NewTimer(maxTickInterval)
	defer timer.Stop()
	counters := time.NewTicker(counterInterval)
	defer counters.Stop()
	deals := time.NewTicker(TickInterval)
	defer deals.Stop()
	for {
		select {
		case input := <-h.in:
			h.handle(input, time.Now())
			h.drainInputs()
		case <-changes:
			h.reconfigure(time.Now())
		case <-counters.C:
			h.replicateCounters(time.Now())
			h.stepAll(time.Now(), pool.Tick{})
		case <-deals.C:
			h.updateHolders(time.Now())
		case <-timer.C:
			h.tick(time.Now())
		case <-h.t.Dying():
			return nil
		}
		h.flush()
		timer.Reset(h.untilNextTick(time.Now()))
	}
}

// drainInputs handles the inputs that are already queued, so that their results are sent
// together.
func (h *Host) drainInputs() {
	for range inputQueueSize {
		select {
		case input := <-h.in:
			h.handle(input, time.Now())
		default:
			return
		}
	}
}

// handle processes one input. A batch of a session that was replaced is ignored.
func (h *Host) handle(input any, now time.Time) {
	h.updateHoldersAfterPause(now)
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
		h.mergePeerCounters(in.counters, now)
	case allotmentsInput:
		h.applyAllotments(in.allotments, now)
	case inspectInput:
		in.fn()
	}
}

// open registers a session and closes an earlier session of the same router. Without a
// configuration it ends the stream, so that the router tries another scheduler.
func (h *Host) open(s *Session, now time.Time) {
	if h.store.Config() == nil {
		s.endStream()
		return
	}
	if old, ok := h.sessions[s.router]; ok {
		h.close(old, now)
		old.endStream()
	}
	h.sessions[s.router] = s
}

// close removes a session, unless another one has replaced it, and tells the schedulers
// that its router is lost.
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
	h.updateHoldersAfterPause(now)
	for id := range h.schedulers {
		h.step(id, now, event)
	}
}

// step passes one event to the scheduler of a shard and queues the resulting actions.
func (h *Host) step(id config.ID, now time.Time, event pool.Event) {
	sched, ok := h.scheduler(id, now)
	if !ok {
		return
	}
	for _, action := range sched.Step(now, event) {
		h.queueAction(id, now, action)
	}
}

// queueAction adds an action to the batch for the router that it concerns. An action for
// a router without a session is dropped.
func (h *Host) queueAction(id config.ID, now time.Time, action pool.Action) {
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
			delete(s.shardBySeq, a.ID.Seq)
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

// tick sends a Tick event to the schedulers whose timers are due.
func (h *Host) tick(now time.Time) {
	h.updateHoldersAfterPause(now)
	for id, sched := range h.schedulers {
		if due, ok := sched.NextTick(); ok && !due.After(now) {
			h.step(id, now, pool.Tick{})
		}
	}
}

// untilNextTick returns the time until the first timer of a scheduler is due. It is at
// least a millisecond and at most maxTickInterval.
func (h *Host) untilNextTick(now time.Time) time.Duration {
	wait := maxTickInterval
	for _, sched := range h.schedulers {
		if due, ok := sched.NextTick(); ok {
			wait = min(wait, due.Sub(now))
		}
	}
	return max(wait, time.Millisecond)
}

// flush sends the batches that are not empty to their routers.
func (h *Host) flush() {
	for _, s := range h.sessions {
		if proto.Size(s.out) == 0 {
			continue
		}
		s.send(s.out)
		s.out = &v1.SchedulerBatch{}
	}
}
