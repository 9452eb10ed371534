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
	// SetWaiting tells whether demands wait on the link. Its silence is found
	// sooner while they do.
	SetWaiting(bool)
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
	// Trace is the encoded context of a sampled span; nil for others.
	Trace []byte
	// moved is set for a copy, and for a demand that went to another region for
	// want of a target.
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
	// counters holds the last counters seen, by pool and workspace.
	counters map[config.ID]map[config.ID]*v1.Counter
	// dropped holds links to earlier incarnations, whose requests are to be
	// moved.
	dropped []*link
}

type poolKey struct {
	pool   string
	region string
}

// request is a demand until its slot is given back.
type request struct {
	seq    uint64
	demand Demand
	// home is the region that the demand was first sent to.
	home    string
	reply   chan reply
	link    *link
	granted bool
	target  config.ID
	charged uint32
	// original is set for a copy.
	original *request
	// copies wait in other regions.
	copies []*request
	// taken is the copy that was granted.
	taken *request
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
		counters: map[config.ID]map[config.ID]*v1.Counter{},
	}
	return b
}

// Inputs of the loop.
type (
	acquireInput  struct{ request *request }
	cancelInput   struct{ request *request }
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
	r := &request{demand: demand, home: demand.Region, reply: make(chan reply, 1)}
	if !b.post(acquireInput{r}) {
		return nil, stopping()
	}
	select {
	case answer := <-r.reply:
		return answer.grant, answer.err
	case <-b.t.Dying():
		return nil, stopping()
	case <-ctx.Done():
	}
	b.post(cancelInput{r})
	return nil, result.New(v1.Code_CANCELLED, v1.Ran_NO, "the caller went away while the request waited")
}

func stopping() *result.Result {
	return result.New(v1.Code_STOPPING, v1.Ran_NO, "the router is stopping")
}

// WaitKey names a workspace's queue in a pool.
type WaitKey struct {
	Pool      string
	Workspace config.ID
}

// Waiting counts the router's own waiting demands.
func (b *Broker) Waiting() map[WaitKey]int {
	result := make(chan map[WaitKey]int, 1)
	if !b.post(inspectInput{func() { result <- b.countWaiting() }}) {
		return nil
	}
	select {
	case counts := <-result:
		return counts
	case <-b.t.Dying():
		return nil
	}
}

func (b *Broker) countWaiting() map[WaitKey]int {
	counts := map[WaitKey]int{}
	for _, r := range b.requests {
		if !r.granted && r.original == nil {
			counts[WaitKey{r.demand.Pool, r.demand.Workspace}]++
		}
	}
	return counts
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
		b.cancel(in.request)
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
	b.number(in.request)
	b.place(in.request, time.Now())
}

// number records a request under a new sequence number.
func (b *Broker) number(r *request) {
	delete(b.requests, r.seq)
	b.seq++
	r.seq = b.seq
	b.requests[r.seq] = r
}

func (b *Broker) cancel(r *request) {
	if r.taken != nil {
		r = r.taken
	}
	if b.requests[r.seq] != r {
		return
	}
	if r.granted {
		b.finish(r, &v1.Done{Seq: r.seq, Outcome: v1.Outcome_NOT_RUN})
		return
	}
	b.withdraw(r)
	b.withdrawCopies(r)
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
	b.withdrawCopies(r)
	if why.RetryAfter == 0 {
		why.RetryAfter = rejoinRetryAfter
	}
	r.reply <- reply{err: why}
}

// sweep ends demands whose deadline passed without a word of the scheduler,
// returns spare slots that expired, and closes idle links.
func (b *Broker) sweep(now time.Time) {
	for _, r := range b.requests {
		if !r.granted && r.original == nil && now.After(r.demand.Deadline.Add(answerGrace)) {
			r.link.batch.Cancels = append(r.link.batch.Cancels, r.seq)
			b.refuse(r, result.New(v1.Code_DEADLINE_EXCEEDED, v1.Ran_NO, "no slot was granted in time"))
		}
	}
	b.tellWaiting()
	b.dropExpiredSpares(now)
	b.closeIdleLinks(now)
	b.endAvoidance(now)
}

// tellWaiting tells each link whether demands wait on it.
func (b *Broker) tellWaiting() {
	waiting := map[*link]bool{}
	for _, r := range b.requests {
		if !r.granted {
			waiting[r.link] = true
		}
	}
	for _, l := range b.links {
		l.conn.SetWaiting(waiting[l])
	}
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
