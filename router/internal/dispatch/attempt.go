package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/chiveseam/chiveseam/pool"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/result"
	"github.com/chiveseam/chiveseam/router/internal/broker"
)

// attempt is one execution of a request at one target.
type attempt struct {
	d          *Dispatcher
	req        *Request
	target     *v1.Target
	grant      *broker.Grant
	sink       *countingSink
	usage      usage
	prediction pool.Prediction
	started    time.Time
	// reported is the time of the last report of progress.
	reported  time.Time
	answering bool
	// spent is the final cost, once the attempt has ended.
	spent uint32
}

// attemptEnd is what an attempt showed.
type attemptEnd struct {
	result  *result.Result
	outcome v1.Outcome
	// crashed is set when the connection broke while the target had the request.
	crashed bool
	// open is the round trip of an attempt that was given up without an answer,
	// if its connection is to be watched; nil otherwise.
	open *pending
	// service is the time at the target.
	service time.Duration
}

func (e attemptEnd) ending() Ending {
	switch {
	case e.crashed:
		return EndedCrashed
	case e.result.Complete():
		return EndedAnswered
	case e.outcome == v1.Outcome_NOT_RUN:
		return EndedNotRun
	}
	return EndedOpen
}

// run executes the attempt.
func (a *attempt) run(ctx context.Context) attemptEnd {
	ctx, span := a.d.Tracer.Start(ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("chiveseam.target", a.target.Name)))
	defer span.End()
	a.started = time.Now()
	a.usage = newUsage(len(a.req.Body))
	a.reported = a.started
	a.prediction = a.predicted()
	end := a.execute(ctx)
	end.service = time.Since(a.started)
	a.spent = a.cost(end, end.service)
	span.SetAttributes(attribute.String("chiveseam.code", end.result.Code.String()))
	return end
}

// cost returns the final cost. A request that did not run costs nothing.
func (a *attempt) cost(end attemptEnd, service time.Duration) uint32 {
	if end.outcome == v1.Outcome_NOT_RUN {
		return 0
	}
	if a.req.Pool.Kind == v1.PoolKind_ENGINE {
		return a.usage.cost(a.req.Pool)
	}
	return serviceCost(service, a.target)
}

// serviceCost is the time at a target in milliseconds at the reference speed.
func serviceCost(service time.Duration, target *v1.Target) uint32 {
	const referencePercent = 100
	percent := max(target.SpeedPercent, 1)
	if target.SpeedPercent == 0 {
		percent = referencePercent
	}
	return max(uint32(service.Milliseconds())*percent/referencePercent, 1)
}

func (a *attempt) execute(ctx context.Context) attemptEnd {
	// An attempt that is given up ends by itself, so that the stream may be
	// resumed on another connection.
	conn, giveUp := context.WithCancelCause(ctx)
	defer giveUp(nil)
	if a.req.MayStart != nil && !a.req.MayStart() {
		return attemptEnd{
			result:  result.New(v1.Code_KEY_RIGHT_LAPSED, v1.Ran_NO, "the right to execute the key lapsed while the request waited"),
			outcome: v1.Outcome_NOT_RUN,
		}
	}
	limits := a.d.limits(a.req.Config)
	dog := newWatchdog(giveUp, min(limits.firstByte, time.Until(a.req.EndBy)))
	defer dog.stop()
	p := a.d.transports.begin(ctx, a.target, a.req)
	if !p.wait(conn) {
		return a.gaveUp(ctx, conn, p)
	}
	defer p.cancel(nil)
	if p.err != nil {
		return a.failed(ctx, conn, p.err)
	}
	stop := context.AfterFunc(conn, func() { p.cancel(context.Cause(conn)) })
	defer stop()
	dog.setLimit(limits.betweenTokens)
	if err := a.relay(ctx, p.resp, dog); err != nil {
		return a.failed(ctx, conn, err)
	}
	return a.served(p.resp)
}

// gaveUp ends an attempt whose target has not answered. The connection is kept
// if the target may execute the request on.
func (a *attempt) gaveUp(ctx, conn context.Context, p *pending) attemptEnd {
	if !p.sent() {
		p.close()
		return a.failed(ctx, conn, p.err)
	}
	end := a.failed(ctx, conn, context.Cause(conn))
	if end.outcome == v1.Outcome_ABANDONED && cancellable(a.req.Pool) {
		p.close()
		return end
	}
	end.open = p
	return end
}

func (a *attempt) relay(ctx context.Context, resp *http.Response, dog *watchdog) error {
	if isEventStream(resp.Header) && resp.StatusCode == http.StatusOK {
		ctx, span := a.d.Tracer.Start(ctx, "stream")
		defer span.End()
		s := &stream{attempt: a, sink: a.sink}
		return s.relay(ctx, resp, dog)
	}
	defer resp.Body.Close()
	a.answerBegins()
	document, err := a.relayWhole(resp, a.sink, dog)
	if err == nil {
		a.usage.observeWhole(document)
	}
	return err
}

// answerBegins tells that the target has begun to answer: with the head of a
// plain answer, or the first event of a stream.
func (a *attempt) answerBegins() {
	if !a.answering {
		a.answering = true
		a.grant.FirstByte()
	}
}

func (a *attempt) served(resp *http.Response) attemptEnd {
	code := v1.Code_OK
	if resp.StatusCode >= http.StatusInternalServerError {
		code = v1.Code_TARGET_ERROR
	}
	return attemptEnd{
		result:  result.New(code, v1.Ran_YES, "target %s answered %d", a.target.Name, resp.StatusCode),
		outcome: outcomeOf(resp.StatusCode),
	}
}

// outcomeOf tells answers that blame the target from those that may be due to
// the request.
func outcomeOf(status int) v1.Outcome {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return v1.Outcome_FAILED
	}
	return v1.Outcome_SERVED
}

// failed turns an error into the truth about the attempt. The end of the
// attempt's context goes before that of its first connection.
func (a *attempt) failed(ctx, conn context.Context, err error) attemptEnd {
	cause := context.Cause(ctx)
	if cause == nil {
		cause = context.Cause(conn)
	}
	switch {
	case errors.Is(err, errNotSent):
		return attemptEnd{
			result:  result.New(v1.Code_NO_TARGET, v1.Ran_NO, "target %s: %v", a.target.Name, err),
			outcome: v1.Outcome_NOT_RUN,
		}
	case errors.Is(cause, errSilent):
		a.d.transports.reset(a.target)
		return a.lost(v1.Code_TARGET_TIMEOUT, "target %s fell silent", false)
	case errors.Is(cause, context.DeadlineExceeded):
		return a.lost(v1.Code_TARGET_TIMEOUT, "target %s did not finish by the deadline", false)
	case errors.Is(err, errCallerGone), errors.Is(cause, context.Canceled):
		return attemptEnd{
			result:  result.New(v1.Code_CANCELLED, v1.Ran_UNKNOWN, "the caller went away"),
			outcome: v1.Outcome_ABANDONED,
		}
	case errors.Is(err, errNoEnd):
		return a.lost(v1.Code_ANSWER_TRUNCATED, "target %s does not mark the end of its answer", false)
	case errors.Is(err, errTruncated):
		return a.lost(v1.Code_ANSWER_TRUNCATED, "the answer of target %s ended short", true)
	}
	a.d.transports.reset(a.target)
	return a.lost(v1.Code_TARGET_LOST, "the connection to target %s was lost", true)
}

func (a *attempt) lost(code v1.Code, format string, crashed bool) attemptEnd {
	return attemptEnd{
		result:  result.New(code, v1.Ran_UNKNOWN, format, a.target.Name),
		outcome: v1.Outcome_LOST,
		crashed: crashed,
	}
}

// cancelOnClose releases a request's context when its body is closed.
type cancelOnClose struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

func (c *cancelOnClose) Close() error {
	defer c.cancel(nil)
	return c.ReadCloser.Close()
}
