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

// Acquirer obtains slots.
type Acquirer interface {
	Acquire(ctx context.Context, demand broker.Demand) (*broker.Grant, *result.Result)
}

// Guard decides about requests that may crash targets and about repeating
// attempts. Its methods are safe for concurrent use.
type Guard interface {
	// Begin is called before each attempt. It returns a refusal for a request
	// that must not run, and waits while a suspect runs elsewhere, until startBy
	// at most. It reports whether the request is a suspect.
	Begin(ctx context.Context, digest uint64, startBy time.Time) (bool, *result.Result)
	// Confirm reports, once a slot was granted, whether the attempt may still be
	// made. If not, it ends as EndedNotRun and may be begun again.
	Confirm(digest uint64) bool
	// End is called after each attempt that was begun. For one that was given up
	// without an answer it is called when its connection is no longer watched.
	End(digest uint64, target config.ID, ending Ending)
	// Retry decides whether an attempt may be followed by another one.
	Retry(attempt retry.Attempt) retry.Decision
	// Observe is called once for each request.
	Observe()
}

// Ending is what an attempt showed of the request.
type Ending int

const (
	// EndedOpen: neither blame nor proof of innocence.
	EndedOpen Ending = iota
	// EndedNotRun: no target executed the attempt.
	EndedNotRun
	// EndedCrashed: the connection broke while the target had the request.
	EndedCrashed
	// EndedAnswered: the target answered in full.
	EndedAnswered
)

// Usage is told what each workspace received.
type Usage interface {
	Delivered(workspace, pool string, cost uint32)
}

// Options are the parts and limits of a Dispatcher.
type Options struct {
	Store    *state.Store
	Acquirer Acquirer
	Guard    Guard
	Usage    Usage
	Tracer   trace.Tracer
	// DialTimeout bounds the time to connect to a target.
	DialTimeout time.Duration
	// FirstByte and BetweenTokens bound a target's silence where the
	// configuration says nothing.
	FirstByte     time.Duration
	BetweenTokens time.Duration
}

// Dispatcher executes requests. It is safe for concurrent use.
type Dispatcher struct {
	Options
	transports *transports
	costs      *costMeans
	watcher    *watcher
}

// New returns a dispatcher.
func New(opts Options) *Dispatcher {
	return &Dispatcher{
		Options:    opts,
		transports: newTransports(opts.DialTimeout),
		costs:      newCostMeans(),
		watcher:    newWatcher(opts.Guard),
	}
}

type timeLimits struct {
	firstByte     time.Duration
	betweenTokens time.Duration
}

func (d *Dispatcher) limits(accepted *config.Accepted) timeLimits {
	limits := timeLimits{firstByte: d.FirstByte, betweenTokens: d.BetweenTokens}
	if ms := accepted.Proto.GetLimits().GetFirstByteTimeoutMs(); ms > 0 {
		limits.firstByte = time.Duration(ms) * time.Millisecond
	}
	if ms := accepted.Proto.GetLimits().GetBetweenTokensTimeoutMs(); ms > 0 {
		limits.betweenTokens = time.Duration(ms) * time.Millisecond
	}
	return limits
}

// Do executes a request and relays its answer to the sink. The result is the
// final one; when it is not OK and the sink's head was not written, the caller
// of Do answers by itself.
func (d *Dispatcher) Do(ctx context.Context, req *Request, sink Sink) *result.Result {
	ctx, cancel := context.WithDeadline(ctx, req.EndBy)
	defer cancel()
	d.Guard.Observe()
	counting := &countingSink{Sink: sink}
	ran := v1.Ran_NO
	var exclude []config.ID
	for n := 1; ; n++ {
		end, target := d.once(ctx, req, counting, exclude)
		ran = combine(ran, end.result.Ran)
		end.result.Ran = ran
		if target == nil || end.result.Complete() || !d.mayRetry(ctx, req, counting, end, n) {
			return end.result
		}
		exclude = append(exclude, config.IDOf(target.Name))
	}
}

// combine returns what is true of all attempts together.
func combine(earlier, last v1.Ran) v1.Ran {
	if last == v1.Ran_NO {
		return earlier
	}
	return last
}

// once makes one attempt. The target is nil if none was granted.
func (d *Dispatcher) once(ctx context.Context, req *Request, sink *countingSink, exclude []config.ID) (attemptEnd, *v1.Target) {
	grant, refusal := d.admit(ctx, req, exclude)
	if refusal != nil {
		return attemptEnd{result: refusal}, nil
	}
	target, ok := req.Config.Target(grant.Target)
	if !ok {
		target, ok = d.Store.Config().Target(grant.Target)
	}
	if !ok {
		grant.Done(broker.End{Outcome: v1.Outcome_UNUSED})
		d.Guard.End(req.Digest, 0, EndedNotRun)
		return attemptEnd{result: result.New(v1.Code_NO_TARGET, v1.Ran_NO, "granted target is not configured")}, nil
	}
	a := &attempt{d: d, req: req, target: target, grant: grant, sink: sink}
	end := a.run(ctx)
	d.end(a, end)
	if end.outcome != v1.Outcome_NOT_RUN {
		d.Usage.Delivered(req.Workspace.Name, req.Pool.Name, a.spent)
		d.costs.observe(req, a.spent)
	}
	return end, target
}

// end tells the guard how an attempt ended and gives its slot back. The slot is
// held until other routers know of a loss.
func (d *Dispatcher) end(a *attempt, end attemptEnd) {
	done := broker.End{Cost: a.spent, Outcome: end.outcome, Service: end.service}
	if end.open == nil {
		d.Guard.End(a.req.Digest, a.grant.Target, end.ending())
	} else if d.watcher.watch(a.req.Digest, a.grant.Target, end.open) {
		done.Unresolved = watchTime
	}
	a.grant.Done(done)
}

// admit obtains a slot for an attempt that the guard allows. A request of which
// a loss became known while it waited for the slot is begun again as a suspect.
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
		// The target is not to blame, as it would be by NOT_RUN.
		grant.Done(broker.End{Outcome: v1.Outcome_ABANDONED})
	}
}

// copyDigest is the digest by which a scheduler bounds the copies of a request.
// The guard lets a suspect run alone.
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

// regionFor returns the region whose scheduler gets the demand: the router's
// own if it has targets that the workspace may use, else the first that has.
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

// mayRetry decides whether another attempt is allowed and waits before it. A
// non-idempotent request is repeated only when it is proved that no attempt
// ran; no request is repeated once the caller has a part of an answer.
func (d *Dispatcher) mayRetry(ctx context.Context, req *Request, sink *countingSink, end attemptEnd, n int) bool {
	if end.outcome == v1.Outcome_ABANDONED {
		return false
	}
	verdict := d.Guard.Retry(retry.Attempt{
		Number:     n,
		Ran:        end.result.Ran,
		Idempotent: req.Idempotent,
		Delivered:  sink.started,
		Deadline:   req.StartBy,
	})
	if verdict.Retry {
		return sleep(ctx, verdict.Delay) == nil
	}
	if verdict.Code != v1.Code_CODE_UNSPECIFIED && end.result.Ran == v1.Ran_NO {
		end.result.Code = verdict.Code
		end.result.RetryAfter = retryAfter
	}
	return false
}

// retryAfter is told to callers whose request ran nowhere.
const retryAfter = time.Second
