package dispatch

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/trace"

	"github.com/chiveseam/chiveseam/config"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/result"
	"github.com/chiveseam/chiveseam/retry"
	"github.com/chiveseam/chiveseam/router/internal/broker"
	"github.com/chiveseam/chiveseam/router/internal/scheduling"
	"github.com/chiveseam/chiveseam/router/internal/state"
)

// Acquirer obtains slots at targets. broker.Broker implements it.
type Acquirer interface {
	Acquire(ctx context.Context, demand broker.Demand) (*broker.Grant, *result.Result)
}

// Guard decides whether attempts may be made: it protects targets from requests that
// crash them and limits retries. Its methods are safe for concurrent use.
type Guard interface {
	// Begin is called before each attempt. It returns a refusal for a request that must
	// not run. If the request is a suspect (it was in flight when a target was lost),
	// Begin waits while the suspect runs elsewhere, until startBy at most. It reports
	// whether the request is a suspect.
	Begin(ctx context.Context, digest uint64, startBy time.Time) (bool, *result.Result)
	// Confirm is called once a slot was granted. It reports whether the attempt may
	// still be made. If not, the caller must end it as EndedNotRun and may call Begin
	// again.
	Confirm(digest uint64) bool
	// End is called once for each attempt that Begin allowed. If an attempt was given up
	// before an answer, the dispatcher may watch its connection for a while, to notice a
	// crash of the target. End is then called when the watch ends.
	End(digest uint64, target config.ID, ending Ending)
	// Retry decides whether another attempt may follow.
	Retry(attempt retry.Attempt) retry.Decision
	// RecordRequest is called once for each request. It adds to the retry budget.
	RecordRequest()
}

// Ending is what the end of an attempt shows about the request: whether it may have
// crashed its target.
type Ending int

const (
	// EndedInconclusive means that the attempt shows neither a crash nor a full answer.
	EndedInconclusive Ending = iota
	// EndedNotRun means that no target executed the attempt.
	EndedNotRun
	// EndedCrashed means that the connection broke while the target had the request.
	EndedCrashed
	// EndedAnswered means that the target answered in full.
	EndedAnswered
)

// UsageRecorder counts the service that each workspace receives.
type UsageRecorder interface {
	// Delivered adds the cost of one attempt, in cost units. It is called concurrently.
	Delivered(workspace, pool string, cost uint32)
}

// Options are the dependencies and limits of a Dispatcher.
type Options struct {
	Store    *state.Store
	Acquirer Acquirer
	Guard    Guard
	Usage    UsageRecorder
	Tracer   trace.Tracer
	// DialTimeout bounds the time to connect to a target.
	DialTimeout time.Duration
	// FirstByteTimeout and BetweenTokensTimeout bound how long a target may send
	// nothing, before the answer and within it. They apply if the configuration sets no
	// limits.
	FirstByteTimeout     time.Duration
	BetweenTokensTimeout time.Duration
}

// Dispatcher executes requests. It is safe for concurrent use.
type Dispatcher struct {
	Options
	transports *transports
	costs      *costMeans
	watcher    *watcher
}

// New returns a dispatcher with empty connection pools and cost averages.
func New(opts Options) *Dispatcher {
	return &Dispatcher{
		Options:    opts,
		transports: newTransports(opts.DialTimeout),
		costs:      newCostMeans(),
		watcher:    newWatcher(opts.Guard),
	}
}

// timeLimits bound how long a target may send nothing.
type timeLimits struct {
	firstByte     time.Duration
	betweenTokens time.Duration
}

// limits returns the limits of the configuration, or those of Options where it sets
// none.
func (d *Dispatcher) limits(accepted *config.Accepted) timeLimits {
	limits := timeLimits{firstByte: d.FirstByteTimeout, betweenTokens: d.BetweenTokensTimeout}
	if ms := accepted.Proto.GetLimits().GetFirstByteTimeoutMs(); ms > 0 {
		limits.firstByte = time.Duration(ms) * time.Millisecond
	}
	if ms := accepted.Proto.GetLimits().GetBetweenTokensTimeoutMs(); ms > 0 {
		limits.betweenTokens = time.Duration(ms) * time.Millisecond
	}
	return limits
}

// Do executes a request and relays its answer to the sink. It makes further attempts at
// other targets as far as the guard allows. It returns the result of the last attempt,
// in which Ran covers all attempts. If the result is not OK and the sink's Head was not
// called, the caller of Do must answer the request itself.
func (d *Dispatcher) Do(ctx context.Context, req *Request, sink Sink) *result.Result {
	ctx, cancel := context.WithDeadline(ctx, req.EndBy)
	defer cancel()
	d.Guard.RecordRequest()
	tracked := &trackingSink{Sink: sink}
	ran := v1.Ran_NO
	var exclude []config.ID
	for n := 1; ; n++ {
		end, target := d.attemptOnce(ctx, req, tracked, exclude)
		ran = combineRan(ran, end.result.Ran)
		end.result.Ran = ran
		if target == nil || end.result.Complete() || !d.mayRetry(ctx, req, tracked, end, n) {
			return end.result
		}
		exclude = append(exclude, config.IDOf(target.Name))
	}
}

// combineRan returns what is known of all attempts together: the last attempt's value,
// or that of the earlier ones if the last attempt did not run.
func combineRan(earlier, last v1.Ran) v1.Ran {
	if last == v1.Ran_NO {
		return earlier
	}
	return last
}

// attemptOnce makes one attempt. The returned target is nil if no slot was granted.
func (d *Dispatcher) attemptOnce(ctx context.Context, req *Request, sink *trackingSink, exclude []config.ID) (attemptEnd, *v1.Target) {
	grant, refusal := d.admit(ctx, req, exclude)
	if refusal != nil {
		return attemptEnd{result: refusal}, nil
	}
	target, ok := req.Config.Target(grant.Target)
	if !ok {
		target, ok = d.Store.Config().Target(grant.Target)
	}
	if !ok {
		grant.Done(broker.Completion{Outcome: v1.Outcome_UNUSED})
		d.Guard.End(req.Digest, 0, EndedNotRun)
		return attemptEnd{result: result.New(v1.Code_NO_TARGET, v1.Ran_NO, "granted target is not configured")}, nil
	}
	a := &attempt{dispatcher: d, req: req, target: target, grant: grant, sink: sink}
	end := a.run(ctx)
	d.finish(a, end)
	if end.outcome != v1.Outcome_NOT_RUN {
		d.Usage.Delivered(req.Workspace.Name, req.Pool.Name, a.finalCost)
		d.costs.observe(req, a.finalCost)
	}
	return end, target
}

// finish tells the guard how an attempt ended and then returns the slot. After a crash,
// the guard's End returns only when the other routers know of the loss or a timeout has
// passed, so the slot is held until then.
func (d *Dispatcher) finish(a *attempt, end attemptEnd) {
	done := broker.Completion{Cost: a.finalCost, Outcome: end.outcome, Service: end.serviceTime}
	if end.unanswered == nil {
		d.Guard.End(a.req.Digest, a.grant.Target, end.ending())
	} else if d.watcher.watch(a.req.Digest, a.grant.Target, end.unanswered) {
		done.Unresolved = watchDuration
	}
	a.grant.Done(done)
}

// admit obtains a slot for an attempt that the guard allows. If it becomes known during
// the wait that a target was lost with the same request in flight, admit gives the slot
// back and begins again with the request as a suspect.
func (d *Dispatcher) admit(ctx context.Context, req *Request, exclude []config.ID) (*broker.Grant, *result.Result) {
	for {
		suspect, refusal := d.Guard.Begin(ctx, req.Digest, req.StartBy)
		if refusal != nil {
			return nil, refusal
		}
		grant, refusal := d.acquire(ctx, req, exclude, suspect)
		if refusal == nil && d.Guard.Confirm(req.Digest) {
			return grant, nil
		}
		d.Guard.End(req.Digest, 0, EndedNotRun)
		if refusal != nil {
			return nil, refusal
		}
		// Outcome NOT_RUN would count against the target, which is not at fault.
		grant.Done(broker.Completion{Outcome: v1.Outcome_ABANDONED})
	}
}

// copyDigest returns the digest by which the scheduler bounds how many requests with
// the same content run before one is answered. It is zero (no bound) for a suspect,
// since the guard lets only one run of a suspect proceed at a time.
func copyDigest(digest uint64, suspect bool) uint32 {
	if suspect {
		return 0
	}
	return uint32(digest)
}

func (d *Dispatcher) acquire(ctx context.Context, req *Request, exclude []config.ID, suspect bool) (*broker.Grant, *result.Result) {
	ctx, span := d.Tracer.Start(ctx, "wait")
	defer span.End()
	return d.Acquirer.Acquire(ctx, broker.Demand{
		Pool:       req.Pool.Name,
		Region:     d.regionFor(req),
		Workspace:  config.IDOf(req.Workspace.Name),
		Estimate:   req.Estimate,
		Deadline:   req.StartBy,
		Prefix:     req.Prefix,
		Digest:     copyDigest(req.Digest, suspect),
		BodyBytes:  uint32(len(req.Body)),
		Exclude:    exclude,
		DataCentre: req.Workspace.DataCentre,
		Trace:      scheduling.EncodeTrace(span.SpanContext()),
	})
}

// regionFor returns the region to whose scheduler the demand is sent: the router's own
// region if it has targets that the workspace may use or if no region has, otherwise
// the first region in the target list that has.
func (d *Dispatcher) regionFor(req *Request) string {
	own := d.Store.Fleet().Self.Region
	found := ""
	for _, t := range req.Config.TargetsOf(req.Pool.Name) {
		zone, ok := req.Config.Zone(t.Zone)
		if !ok || !config.InDataCentre(zone, req.Workspace.DataCentre) {
			continue
		}
		if zone.Region == own {
			return own
		}
		if found == "" {
			found = zone.Region
		}
	}
	if found == "" {
		return own
	}
	return found
}

// mayRetry decides whether another attempt is allowed and waits for the retry delay. A
// non-idempotent request is repeated only if it is proved that no attempt ran. No
// request is repeated once the caller has received a part of an answer.
func (d *Dispatcher) mayRetry(ctx context.Context, req *Request, sink *trackingSink, end attemptEnd, n int) bool {
	if end.outcome == v1.Outcome_ABANDONED {
		return false
	}
	decision := d.Guard.Retry(retry.Attempt{
		Number:     n,
		Ran:        end.result.Ran,
		Idempotent: req.Idempotent,
		Delivered:  sink.started,
		Deadline:   req.StartBy,
	})
	if decision.Retry {
		return sleep(ctx, decision.Delay) == nil
	}
	if decision.Code != v1.Code_CODE_UNSPECIFIED && end.result.Ran == v1.Ran_NO {
		end.result.Code = decision.Code
		end.result.RetryAfter = defaultRetryAfter
	}
	return false
}

// defaultRetryAfter is sent to callers whose request ran nowhere and may not be retried
// by the router.
const defaultRetryAfter = time.Second
