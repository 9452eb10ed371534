// Package broker obtains slots at targets for the requests of one router. It sends
// demands to the routers that hold the scheduler roles, records the demands and grants
// that are outstanding, and sends them again when a scheduler role moves or its holder
// is lost.
//
// One goroutine (Run) owns the state. All input reaches it through a bounded channel.
//
// A scheduler that starts without state is rebuilt from the brokers: the hello of each
// router lists the slots that it still uses and the last counters that it received.
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
	// inputQueueLen is the capacity of the input channel.
	inputQueueLen = 4096
	// sweepInterval is the time between checks for passed deadlines and expired spare
	// slots.
	sweepInterval = 20 * time.Millisecond
	// answerGrace is how long after a demand's deadline the broker still waits for the
	// scheduler's own refusal before it refuses the demand itself.
	answerGrace = 50 * time.Millisecond
	// linkIdleTimeout is how long a link without requests stays open.
	linkIdleTimeout = 30 * time.Second
	// defaultRetryAfter is sent to callers with a refusal that names no time, such as
	// when no scheduler can be reached.
	defaultRetryAfter = time.Second
)

// Link is a stream to one scheduler. Its methods are called by the broker's goroutine.
type Link interface {
	// Send takes ownership of the batch. It does not block and may coalesce batches.
	Send(*v1.EntryBatch)
	// SetWaiting tells the link whether demands wait for an answer on it. While they
	// do, the link detects a silent peer sooner.
	SetWaiting(bool)
	// Close ends the stream.
	Close()
}

// Receiver is told what happens on one link. Its methods block while the broker's input
// channel is full. They must be called by one goroutine for each link.
type Receiver interface {
	// Received is called for each batch from the scheduler.
	Received(*v1.SchedulerBatch)
	// Closed is called when the link has ended or could not be opened, with the cause.
	Closed(error)
}

// Dialer opens links to schedulers. Open returns at once. A connection that cannot be
// made is reported by Receiver.Closed.
type Dialer interface {
	Open(member state.Member, receiver Receiver) Link
}

// Demand asks the scheduler of a pool's shard for one slot at a target.
type Demand struct {
	Pool string
	// Region is the region whose scheduler receives the demand first.
	Region string
	// Workspace is the ID of the workspace that the request belongs to.
	Workspace config.ID
	// Estimate is the expected cost in cost units; zero means unknown.
	Estimate uint32
	// Deadline is the latest time of a grant.
	Deadline time.Time
	// Prefix identifies the prompt prefix; zero means none.
	Prefix uint32
	// Digest identifies the request's content. The scheduler bounds how many requests
	// with the same digest run before one is answered; zero means no bound.
	Digest    uint32
	BodyBytes uint32
	// Exclude holds the IDs of targets that must not be granted.
	Exclude []config.ID
	// DataCentre restricts the targets to one data centre; empty allows all.
	DataCentre string
	// Trace is the encoded context of the caller's span if it is sampled, nil
	// otherwise.
	Trace []byte
	// moved is set for a tied demand and for a demand that went to another region
	// because its home region had no target for it.
	moved bool
}

// Broker obtains slots for the dispatcher. Its exported methods are safe for concurrent
// use.
type Broker struct {
	store  *state.Store
	dialer Dialer
	logger log.Logger
	t      *tomb.Tomb
	inputs chan any

	// The fields below are used by the goroutine of Run only.
	//
	// seq is the last sequence number that was assigned.
	seq uint64
	// requests holds the outstanding demands and grants by sequence number.
	requests map[uint64]*request
	// links holds the open links by the name of the scheduler's router.
	links    map[string]*link
	backoffs backoffs
	spares   map[shardKey][]spare
	// counters holds the last received counters by pool ID and workspace ID.
	counters map[config.ID]map[config.ID]*v1.Counter
	// droppedLinks holds links to earlier incarnations of schedulers. The shards of
	// requests that still use them must be moved.
	droppedLinks []*link
}

// request is a demand from its arrival until its slot is returned or it is refused.
type request struct {
	seq    uint64
	demand Demand
	// homeRegion is the region to which the demand was first sent.
	homeRegion string
	// key is the scheduler role to which the demand was last sent.
	key   shardKey
	reply chan reply
	// link leads to the scheduler that has the demand.
	link    *link
	granted bool
	// answerBegun is set once the target's answer has begun. firstByteAsked is set
	// while the scheduler waits to be told of that.
	answerBegun    bool
	firstByteAsked bool
	// original is set for a tied demand, a copy of a caller's demand that waits in
	// another region. It is the caller's request in the home region.
	original *request
	// ties holds the tied demands that wait in other regions.
	ties []*request
	// grantedTie is the tied demand that was granted, if any.
	grantedTie *request
	// The fields below are set when the demand is granted.
	grantedAt  time.Time
	target     config.ID
	prediction pool.Prediction
}

// charged returns the cost in cost units that the scheduler has charged so far.
func (r *request) charged(now time.Time) uint32 {
	return uint32(min(r.prediction.Charged(now.Sub(r.grantedAt)), math.MaxUint32))
}

// reply carries either a grant or a refusal to the caller of Acquire.
type reply struct {
	grant *Grant
	err   *result.Result
}

// New returns a broker. The caller starts Run under t. Acquire and WaitingDemands fail
// once t is dying.
func New(t *tomb.Tomb, store *state.Store, dialer Dialer, logger log.Logger) *Broker {
	b := &Broker{
		store:    store,
		dialer:   dialer,
		logger:   log.With(logger, "duty", "broker"),
		t:        t,
		inputs:   make(chan any, inputQueueLen),
		requests: map[uint64]*request{},
		links:    map[string]*link{},
		backoffs: backoffs{},
		spares:   map[shardKey][]spare{},
		counters: map[config.ID]map[config.ID]*v1.Counter{},
	}
	return b
}

// Inputs that other goroutines post to the goroutine of Run.
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

// post passes an input to the goroutine of Run. It blocks while the channel is full and
// reports false if the tomb is dying.
func (b *Broker) post(input any) bool {
	select {
	case b.inputs <- input:
		return true
	case <-b.t.Dying():
		return false
	}
}

// Acquire waits until the demand is granted or refused, the broker stops, or ctx is
// done, which withdraws the demand. Every error is a result with Ran NO, since a
// request without a slot ran nowhere. The caller must call Done exactly once on a grant.
func (b *Broker) Acquire(ctx context.Context, demand Demand) (*Grant, *result.Result) {
	r := &request{demand: demand, homeRegion: demand.Region, reply: make(chan reply, 1)}
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

// Run processes the broker's input until the tomb dies.
func (b *Broker) Run() error {
	changes := b.store.Subscribe()
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	defer b.closeLinks()
	for {
		select {
		case input := <-b.inputs:
			b.handle(input)
			b.handleQueued()
			b.flush()
		case <-changes:
			b.reassign(time.Now())
			b.flush()
		case now := <-sweep.C:
			b.sweep(now)
			b.flush()
		case <-b.t.Dying():
			return nil
		}
	}
}

// handleQueued handles the inputs that are already queued, so that messages to the same
// scheduler share a batch.
func (b *Broker) handleQueued() {
	for range inputQueueLen {
		select {
		case input := <-b.inputs:
			b.handle(input)
		default:
			return
		}
	}
}

func (b *Broker) handle(input any) {
	switch in := input.(type) {
	case acquireInput:
		b.handleAcquire(in)
	case cancelInput:
		b.handleCancel(in.request)
	case progressInput:
		b.handleProgress(in)
	case firstByteInput:
		b.handleFirstByte(in)
	case doneInput:
		b.handleDone(in)
	case receivedInput:
		b.handleBatch(in.link, in.batch)
	case closedInput:
		b.handleLinkClosed(in.link, in.err)
	case inspectInput:
		in.fn()
	}
}

func (b *Broker) handleAcquire(in acquireInput) {
	b.assignSeq(in.request)
	b.submit(in.request, time.Now())
}

// assignSeq registers a request under a new sequence number.
func (b *Broker) assignSeq(r *request) {
	delete(b.requests, r.seq)
	b.seq++
	r.seq = b.seq
	b.requests[r.seq] = r
}

// handleCancel ends a request whose caller has disconnected. A slot that was granted in
// the meantime is returned as unused.
func (b *Broker) handleCancel(r *request) {
	if r.grantedTie != nil {
		r = r.grantedTie
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

func (b *Broker) handleProgress(in progressInput) {
	r, ok := b.requests[in.seq]
	if !ok {
		return
	}
	r.prediction.Observe(time.Since(r.grantedAt), int64(in.cost))
	r.link.batch.Progress = append(r.link.batch.Progress, &v1.Progress{Seq: in.seq, Cost: in.cost})
}

func (b *Broker) handleDone(in doneInput) {
	if r, ok := b.requests[in.seq]; ok {
		b.finish(r, in.done)
	}
}

// finish returns the slot of a granted request.
func (b *Broker) finish(r *request, done *v1.Done) {
	delete(b.requests, r.seq)
	r.link.batch.Done = append(r.link.batch.Done, done)
}

// refuse ends a request and its ties and answers the caller.
func (b *Broker) refuse(r *request, reason *result.Result) {
	delete(b.requests, r.seq)
	b.withdrawTies(r)
	if reason.RetryAfter == 0 {
		reason.RetryAfter = defaultRetryAfter
	}
	r.reply <- reply{err: reason}
}

func (b *Broker) logLink(l *link, event string, err error) {
	level.Info(b.logger).Log("event", event, "scheduler", l.member.Name, "error", err)
}
