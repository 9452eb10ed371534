// Package broker obtains slots for a router's requests. It sends demands to
// the routers that hold the scheduler roles, keeps what is outstanding, and
// sends it again when a role moves or its holder is lost.
//
// One goroutine owns the state; all input reaches it through a bounded
// channel. The broker is the memory from which a scheduler that starts empty
// is rebuilt: its hello carries the slots that the router still uses.
package broker

import (
	"context"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"gopkg.in/tomb.v2"

	"github.com/chiveseam/chiveseam/config"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/result"
	"github.com/chiveseam/chiveseam/router/internal/state"
)

const (
	inputLimit = 4096
	// sweepInterval is how often deadlines and spare slots are checked.
	sweepInterval = 20 * time.Millisecond
	// answerGrace is how long a scheduler's refusal may come after the
	// deadline before the broker refuses by itself.
	answerGrace = 50 * time.Millisecond
	// avoidTime is how long a scheduler that could not be reached is passed over.
	avoidTime = time.Second
	// idleLinkTime is how long a link without requests stays open.
	idleLinkTime = 30 * time.Second
	// rejoinRetryAfter is told to callers when no scheduler can be reached.
	rejoinRetryAfter = time.Second
)

// Link is a stream to one scheduler. Send takes the batch over, does not
// block, and may coalesce it with others.
type Link interface {
	Send(*v1.EntryBatch)
	Close()
}

// Receiver is told what happens on a link. Its methods may block for as long
// as the broker's input is full and must be called by one goroutine a link.
type Receiver interface {
	Received(*v1.SchedulerBatch)
	Closed(error)
}

// Dialer opens links. Open returns at once; a connection that can't be made is
// reported by Receiver.Closed.
type Dialer interface {
	Open(member state.Member, receiver Receiver) Link
}

// Demand asks for a slot.
type Demand struct {
	Pool   string
	Region string
	// Workspace is the ID of the workspace.
	Workspace config.ID
	// Estimate is the expected cost in cost units; zero means unknown.
	Estimate uint32
	// Deadline is the latest time of a grant.
	Deadline  time.Time
	Prefix    uint32
	BodyBytes uint32
	Exclude   []config.ID
	// DataCentre restricts the targets; empty allows all.
	DataCentre string
	// moved is set once the demand went to another region for its free slots.
	moved bool
}

// Broker obtains slots. Its methods are safe for concurrent use.
type Broker struct {
	store  *state.Store
	dialer Dialer
	logger log.Logger
	t      *tomb.Tomb
	in     chan any

	// The fields below belong to the loop's goroutine.
	seq      uint64
	requests map[uint64]*request
	links    map[string]*link
	avoid    map[string]time.Time
	spares   map[poolKey][]spare
	counters map[config.ID]*v1.PoolCounters
}

type poolKey struct {
	pool   string
	region string
}

// request is a demand until its slot is given back.
type request struct {
	seq     uint64
	demand  Demand
	reply   chan reply
	link    *link
	granted bool
	target  config.ID
	charged uint32
}

type reply struct {
	grant *Grant
	err   *result.Result
}

// New returns a broker that runs under t until it dies.
func New(t *tomb.Tomb, store *state.Store, dialer Dialer, logger log.Logger) *Broker {
	b := &Broker{
		store:    store,
		dialer:   dialer,
		logger:   log.With(logger, "duty", "broker"),
		t:        t,
		in:       make(chan any, inputLimit),
		requests: map[uint64]*request{},
		links:    map[string]*link{},
		avoid:    map[string]time.Time{},
		spares:   map[poolKey][]spare{},
		counters: map[config.ID]*v1.PoolCounters{},
	}
	return b
}

// Inputs of the loop.
type (
	acquireInput struct {
		demand Demand
		reply  chan reply
		seq    chan uint64
	}
	cancelInput   struct{ seq uint64 }
	progressInput struct {
		seq  uint64
		cost uint32
	}
	doneInput struct {
		seq  uint64
		done *v1.Done
	}
	receivedInput struct {
		link  *link
		batch *v1.SchedulerBatch
	}
	closedInput struct {
		link *link
		err  error
	}
	inspectInput struct{ fn func() }
)

func (b *Broker) post(input any) bool {
	select {
	case b.in <- input:
		return true
	case <-b.t.Dying():
		return false
	}
}

// Acquire waits for a slot. The error is a result with Ran NO: a request that
// got no slot ran nowhere. The caller must call Grant.Done exactly once.
func (b *Broker) Acquire(ctx context.Context, demand Demand) (*Grant, *result.Result) {
	input := acquireInput{demand: demand, reply: make(chan reply, 1), seq: make(chan uint64, 1)}
	if !b.post(input) {
		return nil, stopping()
	}
	select {
	case r := <-input.reply:
		return r.grant, r.err
	case <-b.t.Dying():
		return nil, stopping()
	case <-ctx.Done():
	}
	return nil, b.withdraw(input)
}

// withdraw cancels a demand whose caller went away.
func (b *Broker) withdraw(input acquireInput) *result.Result {
	select {
	case seq := <-input.seq:
		b.post(cancelInput{seq})
	case <-b.t.Dying():
	}
	return result.New(v1.Code_CANCELLED, v1.Ran_NO, "the caller went away while the request waited")
}

func stopping() *result.Result {
	return result.New(v1.Code_STOPPING, v1.Ran_NO, "the router is stopping")
}

// Inspect runs fn in the loop's goroutine and waits for it.
func (b *Broker) Inspect(fn func(waiting, inFlight int)) {
	done := make(chan struct{})
	ok := b.post(inspectInput{func() {
		defer close(done)
		inFlight := 0
		for _, r := range b.requests {
			if r.granted {
				inFlight++
			}
		}
		fn(len(b.requests)-inFlight, inFlight)
	}})
	if !ok {
		return
	}
	select {
	case <-done:
	case <-b.t.Dying():
	}
}

// Run is the broker's duty. It returns when the tomb dies.
func (b *Broker) Run() error {
	changes := b.store.Subscribe()
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	defer b.closeLinks()
	for {
		select {
		case input := <-b.in:
			b.handle(input)
			b.drain()
			b.flush()
		case <-changes:
			b.replace(time.Now())
			b.flush()
		case now := <-sweep.C:
			b.sweep(now)
			b.flush()
		case <-b.t.Dying():
			return nil
		}
	}
}

// drain handles the input that is already there, so that messages to one
// scheduler share a batch.
func (b *Broker) drain() {
	for range inputLimit {
		select {
		case input := <-b.in:
			b.handle(input)
		default:
			return
		}
	}
}

func (b *Broker) handle(input any) {
	switch in := input.(type) {
	case acquireInput:
		b.acquire(in)
	case cancelInput:
		b.cancel(in.seq)
	case progressInput:
		b.progress(in)
	case doneInput:
		b.done(in)
	case receivedInput:
		b.received(in.link, in.batch)
	case closedInput:
		b.linkClosed(in.link, in.err)
	case inspectInput:
		in.fn()
	}
}

func (b *Broker) acquire(in acquireInput) {
	b.seq++
	r := &request{seq: b.seq, demand: in.demand, reply: in.reply}
	in.seq <- r.seq
	b.requests[r.seq] = r
	b.place(r, time.Now())
}

// place sends a waiting demand to the scheduler of its pool, or starts it on a
// spare slot.
func (b *Broker) place(r *request, now time.Time) {
	l := b.linkFor(poolKey{r.demand.Pool, r.demand.Region}, now)
	if l == nil {
		b.refuse(r, result.New(v1.Code_NO_TARGET, v1.Ran_NO, "no router of region %q can be reached", r.demand.Region))
		return
	}
	r.link = l
	l.lastUsed = now
	if b.useSpare(r, l, now) {
		return
	}
	l.batch.Demands = append(l.batch.Demands, b.demandMessage(r, now))
}

func (b *Broker) demandMessage(r *request, now time.Time) *v1.Demand {
	wait := max(r.demand.Deadline.Sub(now), 0)
	d := &v1.Demand{
		Seq:       r.seq,
		Pool:      uint32(config.IDOf(r.demand.Pool)),
		Workspace: uint32(r.demand.Workspace),
		Estimate:  r.demand.Estimate,
		WaitMs:    uint32(wait.Milliseconds()),
		Prefix:    r.demand.Prefix,
		BodyBytes: r.demand.BodyBytes,
		Moved:     r.demand.moved,
	}
	for _, target := range r.demand.Exclude {
		d.Exclude = append(d.Exclude, uint32(target))
	}
	return d
}

func (b *Broker) cancel(seq uint64) {
	r, ok := b.requests[seq]
	if !ok {
		return
	}
	if r.granted {
		b.finish(r, &v1.Done{Seq: seq, Outcome: v1.Outcome_NOT_RUN})
		return
	}
	delete(b.requests, seq)
	r.link.batch.Cancels = append(r.link.batch.Cancels, seq)
}

func (b *Broker) progress(in progressInput) {
	r, ok := b.requests[in.seq]
	if !ok {
		return
	}
	r.charged = max(r.charged, in.cost)
	r.link.batch.Progress = append(r.link.batch.Progress, &v1.Progress{Seq: in.seq, Cost: in.cost})
}

func (b *Broker) done(in doneInput) {
	if r, ok := b.requests[in.seq]; ok {
		b.finish(r, in.done)
	}
}

// finish gives the slot of a granted request back.
func (b *Broker) finish(r *request, done *v1.Done) {
	delete(b.requests, r.seq)
	r.link.batch.Done = append(r.link.batch.Done, done)
}

func (b *Broker) refuse(r *request, why *result.Result) {
	delete(b.requests, r.seq)
	if why.RetryAfter == 0 {
		why.RetryAfter = rejoinRetryAfter
	}
	r.reply <- reply{err: why}
}

// received handles a batch of a scheduler.
func (b *Broker) received(l *link, batch *v1.SchedulerBatch) {
	if b.links[l.member.Name] != l {
		return
	}
	now := time.Now()
	for _, s := range batch.Spares {
		b.addSpare(l, s, now)
	}
	for _, id := range batch.RevokedSpares {
		b.returnSpare(l, id)
	}
	for _, g := range batch.Grants {
		b.granted(l, g)
	}
	for _, refusal := range batch.Refusals {
		b.refused(l, refusal)
	}
	for _, c := range batch.Counters {
		b.counters[config.ID(c.Pool)] = c
	}
}

// granted accepts the first grant of a demand. A slot that was granted a
// second time, or to a demand that is gone, is given back at once.
func (b *Broker) granted(l *link, g *v1.Grant) {
	r, ok := b.requests[g.Seq]
	if !ok || r.granted || r.link != l {
		if ok && r.granted && r.link == l && r.target == config.ID(g.Target) {
			return
		}
		l.batch.Done = append(l.batch.Done, &v1.Done{Seq: g.Seq, Outcome: v1.Outcome_NOT_RUN})
		return
	}
	b.start(r, config.ID(g.Target), g.Estimate)
}

// start hands the slot to the waiting caller.
func (b *Broker) start(r *request, target config.ID, estimate uint32) {
	r.granted = true
	r.target = target
	r.charged = estimate
	r.reply <- reply{grant: &Grant{broker: b, seq: r.seq, Target: target, Estimate: estimate}}
}

func (b *Broker) refused(l *link, refusal *v1.Refusal) {
	r, ok := b.requests[refusal.Seq]
	if !ok || r.granted || r.link != l {
		return
	}
	if refusal.Region != "" && !r.demand.moved {
		b.moveToRegion(r, refusal.Region)
		return
	}
	why := result.New(refusal.Code, v1.Ran_NO, "refused by the scheduler of pool %s", r.demand.Pool)
	why.RetryAfter = time.Duration(refusal.RetryAfterMs) * time.Millisecond
	b.refuse(r, why)
}

// moveToRegion places a demand in a region with free slots, or again in its
// own if no router of that region can be reached.
func (b *Broker) moveToRegion(r *request, region string) {
	r.demand.moved = true
	now := time.Now()
	if _, ok := b.schedulerOf(poolKey{r.demand.Pool, region}, now); ok {
		r.demand.Region = region
	}
	b.place(r, now)
}

// sweep ends demands whose deadline passed without a word of the scheduler,
// returns spare slots that expired, and closes idle links.
func (b *Broker) sweep(now time.Time) {
	for _, r := range b.requests {
		if !r.granted && now.After(r.demand.Deadline.Add(answerGrace)) {
			r.link.batch.Cancels = append(r.link.batch.Cancels, r.seq)
			b.refuse(r, result.New(v1.Code_DEADLINE_EXCEEDED, v1.Ran_NO, "no slot was granted in time"))
		}
	}
	b.dropExpiredSpares(now)
	b.closeIdleLinks(now)
	b.endAvoidance(now)
}

// endAvoidance lets roles move back to routers that were passed over.
func (b *Broker) endAvoidance(now time.Time) {
	ended := false
	for name, until := range b.avoid {
		if now.After(until) {
			delete(b.avoid, name)
			ended = true
		}
	}
	if ended {
		b.replace(now)
	}
}

func (b *Broker) logLink(l *link, event string, err error) {
	level.Info(b.logger).Log("event", event, "scheduler", l.member.Name, "error", err)
}
