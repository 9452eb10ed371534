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
	"math"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"gopkg.in/tomb.v2"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/pool"
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
	Deadline time.Time
	Prefix   uint32
	// Digest identifies the request's content; zero lets copies run side by
	// side.
	Digest    uint32
	BodyBytes uint32
	Exclude   []config.ID
	// DataCentre restricts the targets; empty allows all.
	DataCentre string
	// Trace is the encoded context of a sampled span; nil for others.
	Trace []byte
	// moved is set for a tied demand, and for a demand that went to another region for
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
	avoid    avoidances
	spares   map[shardKey][]spare
	// counters holds the last counters seen, by the ID of the pool and by
	// workspace.
	counters map[config.ID]map[config.ID]*v1.Counter
	// dropped holds links to earlier incarnations, whose requests are to be
	// moved.
	dropped []*link
}

// request is a demand until its slot is given back.
type request struct {
	seq    uint64
	demand Demand
	// home is the region that the demand was first sent to.
	home string
	// key is the role to which the demand was sent.
	key     shardKey
	reply   chan reply
	link    *link
	granted bool
	// answering is set once the answer has begun, asked once the scheduler wants
	// to know of that.
	answering bool
	asked     bool
	// original is set for a tied demand in another region.
	original *request
	// ties wait in other regions.
	ties []*request
	// taken is the tied demand that was granted.
	taken *request
	// The fields below are set once the demand is granted.
	grantedAt  time.Time
	target     config.ID
	prediction pool.Prediction
}

// charged returns the cost in cost units that the scheduler has charged.
func (r *request) charged(now time.Time) uint32 {
	return uint32(min(r.prediction.Charged(now.Sub(r.grantedAt)), math.MaxUint32))
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
		avoid:    avoidances{},
		spares:   map[shardKey][]spare{},
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
	firstByteInput struct{ seq uint64 }
	doneInput      struct {
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
	case firstByteInput:
		b.firstByte(in)
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
		b.finish(r, &v1.Done{Seq: r.seq, Outcome: v1.Outcome_UNUSED})
		return
	}
	b.withdraw(r)
	b.withdrawTies(r)
}

func (b *Broker) progress(in progressInput) {
	r, ok := b.requests[in.seq]
	if !ok {
		return
	}
	r.prediction.Observe(time.Since(r.grantedAt), int64(in.cost))
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
	b.withdrawTies(r)
	if why.RetryAfter == 0 {
		why.RetryAfter = rejoinRetryAfter
	}
	r.reply <- reply{err: why}
}

func (b *Broker) logLink(l *link, event string, err error) {
	level.Info(b.logger).Log("event", event, "scheduler", l.member.Name, "error", err)
}
