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

// attempt is one execution of a request at one target. One goroutine uses it.
type attempt struct {
	dispatcher *Dispatcher
	req        *Request
	target     *v1.Target
	grant      *broker.Grant
	sink       *trackingSink
	usage      tokenUsage
	// prediction is the cost that the scheduler charges without a progress report.
	prediction pool.Prediction
	started    time.Time
	// lastReport is the time of the last progress report.
	lastReport time.Time
	// answerBegun is set once the scheduler was told that the answer has begun.
	answerBegun bool
	// finalCost is the cost in cost units, set when the attempt has ended.
	finalCost uint32
}

// attemptEnd describes how an attempt ended.
type attemptEnd struct {
	result  *result.Result
	outcome v1.Outcome
	// crashed is set when the connection broke while the target had the request.
	crashed bool
	// unanswered is the request of an attempt that was given up before an answer, if
	// its connection is to be watched; nil otherwise.
	unanswered *pendingRequest
	// serviceTime is the time that the attempt spent at the target.
	serviceTime time.Duration
}

// ending returns the value that Guard.End receives for the attempt.
func (e attemptEnd) ending() Ending {
	switch {
	case e.crashed:
		return EndedCrashed
	case e.result.Complete():
		return EndedAnswered
	case e.outcome == v1.Outcome_NOT_RUN:
		return EndedNotRun
	}
	return EndedInconclusive
}

// run executes the attempt and records its cost and its trace span.
func (a *attempt) run(ctx context.Context) attemptEnd {
	ctx, span := a.dispatcher.Tracer.Start(ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("chiveseam.target", a.target.Name)))
	defer span.End()
	a.started = time.Now()
	a.usage = newUsage(len(a.req.Body))
	a.lastReport = a.started
	a.prediction = a.initialPrediction()
	end := a.execute(ctx)
	end.serviceTime = time.Since(a.started)
	a.finalCost = a.cost(end, end.serviceTime)
	span.SetAttributes(attribute.String("chiveseam.code", end.result.Code.String()))
	return end
}

// cost returns the final cost in cost units. A request that did not run costs nothing.
func (a *attempt) cost(end attemptEnd, serviceTime time.Duration) uint32 {
	if end.outcome == v1.Outcome_NOT_RUN {
		return 0
	}
	if a.req.Pool.Kind == v1.PoolKind_ENGINE {
		return a.usage.cost(a.req.Pool)
	}
	return serviceCost(serviceTime, a.target)
}

// serviceCost returns the cost of a request to a service: the milliseconds at the
// target, scaled to a target of the reference speed. A SpeedPercent of zero stands for
// the reference speed.
func serviceCost(serviceTime time.Duration, target *v1.Target) uint32 {
	const referencePercent = 100
	percent := max(target.SpeedPercent, 1)
	if target.SpeedPercent == 0 {
		percent = referencePercent
	}
	return max(uint32(serviceTime.Milliseconds())*percent/referencePercent, 1)
}

// execute sends the request and relays the answer.
func (a *attempt) execute(ctx context.Context) attemptEnd {
	// The watchdog ends only the attempt's first connection (connCtx), not ctx, so that
	// a stream may be resumed on another connection.
	connCtx, cancelConn := context.WithCancelCause(ctx)
	defer cancelConn(nil)
	if a.req.MayStart != nil && !a.req.MayStart() {
		return attemptEnd{
			result:  result.New(v1.Code_KEY_RIGHT_LAPSED, v1.Ran_NO, "the right to execute the key lapsed while the request waited"),
			outcome: v1.Outcome_NOT_RUN,
		}
	}
	limits := a.dispatcher.limits(a.req.Config)
	wd := newWatchdog(cancelConn, min(limits.firstByte, time.Until(a.req.EndBy)))
	defer wd.stop()
	p := a.dispatcher.transports.start(ctx, a.target, a.req)
	if !p.wait(connCtx) {
		return a.unansweredEnd(ctx, connCtx, p)
	}
	defer p.cancel(nil)
	if p.err != nil {
		return a.failedEnd(ctx, connCtx, p.err)
	}
	stop := context.AfterFunc(connCtx, func() { p.cancel(context.Cause(connCtx)) })
	defer stop()
	wd.setLimit(limits.betweenTokens)
	if err := a.relay(ctx, p.resp, wd); err != nil {
		return a.failedEnd(ctx, connCtx, err)
	}
	return a.answeredEnd(p.resp)
}

// unansweredEnd returns the end of an attempt that is given up before its target has
// answered. The connection is kept if the target may go on executing the request.
func (a *attempt) unansweredEnd(ctx, connCtx context.Context, p *pendingRequest) attemptEnd {
	if !p.sent() {
		p.close()
		return a.failedEnd(ctx, connCtx, p.err)
	}
	end := a.failedEnd(ctx, connCtx, context.Cause(connCtx))
	if end.outcome == v1.Outcome_ABANDONED && stopsOnDisconnect(a.req.Pool) {
		p.close()
		return end
	}
	end.unanswered = p
	return end
}

func (a *attempt) relay(ctx context.Context, resp *http.Response, wd *watchdog) error {
	if isEventStream(resp.Header) && resp.StatusCode == http.StatusOK {
		ctx, span := a.dispatcher.Tracer.Start(ctx, "stream")
		defer span.End()
		s := &stream{attempt: a, sink: a.sink}
		return s.relay(ctx, resp, wd)
	}
	defer resp.Body.Close()
	a.reportAnswerBegun()
	document, err := a.relayPlain(resp, a.sink, wd)
	if err == nil {
		a.usage.observePlain(document)
	}
	return err
}

// reportAnswerBegun tells the scheduler once that the target has begun to answer: with
// the head of a plain answer, or with the first event of a stream.
func (a *attempt) reportAnswerBegun() {
	if !a.answerBegun {
		a.answerBegun = true
		a.grant.ReportFirstByte()
	}
}

// answeredEnd returns the end of an attempt whose target answered in full.
func (a *attempt) answeredEnd(resp *http.Response) attemptEnd {
	code := v1.Code_OK
	if resp.StatusCode >= http.StatusInternalServerError {
		code = v1.Code_TARGET_ERROR
	}
	return attemptEnd{
		result:  result.New(code, v1.Ran_YES, "target %s answered %d", a.target.Name, resp.StatusCode),
		outcome: outcomeOf(resp.StatusCode),
	}
}

// outcomeOf separates the status codes that are a fault of the target from those that
// may be due to the request.
func outcomeOf(status int) v1.Outcome {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return v1.Outcome_FAILED
	}
	return v1.Outcome_SERVED
}

// failedEnd classifies an error of an attempt. The cause that ended ctx takes
// precedence over the cause that ended connCtx, the context of its first connection.
func (a *attempt) failedEnd(ctx, connCtx context.Context, err error) attemptEnd {
	cause := context.Cause(ctx)
	if cause == nil {
		cause = context.Cause(connCtx)
	}
	switch {
	case errors.Is(err, errNotSent):
		return attemptEnd{
			result:  result.New(v1.Code_NO_TARGET, v1.Ran_NO, "target %s: %v", a.target.Name, err),
			outcome: v1.Outcome_NOT_RUN,
		}
	case errors.Is(cause, errIdleTimeout):
		a.dispatcher.transports.closeIdle(a.target)
		return a.lostEnd(v1.Code_TARGET_TIMEOUT, "target %s fell silent", false)
	case errors.Is(cause, context.DeadlineExceeded):
		return a.lostEnd(v1.Code_TARGET_TIMEOUT, "target %s did not finish by the deadline", false)
	case errors.Is(err, errCallerGone), errors.Is(cause, context.Canceled):
		return attemptEnd{
			result:  result.New(v1.Code_CANCELLED, v1.Ran_UNKNOWN, "the caller went away"),
			outcome: v1.Outcome_ABANDONED,
		}
	case errors.Is(err, errCloseDelimited):
		return a.lostEnd(v1.Code_ANSWER_TRUNCATED, "target %s does not mark the end of its answer", false)
	case errors.Is(err, errTruncated):
		return a.lostEnd(v1.Code_ANSWER_TRUNCATED, "the answer of target %s ended short", true)
	}
	a.dispatcher.transports.closeIdle(a.target)
	return a.lostEnd(v1.Code_TARGET_LOST, "the connection to target %s was lost", true)
}

// lostEnd returns the end of an attempt of which it is unknown whether the request ran.
func (a *attempt) lostEnd(code v1.Code, format string, crashed bool) attemptEnd {
	return attemptEnd{
		result:  result.New(code, v1.Ran_UNKNOWN, format, a.target.Name),
		outcome: v1.Outcome_LOST,
		crashed: crashed,
	}
}

// cancelOnClose is a response body that cancels the request's context when it is
// closed.
type cancelOnClose struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

func (c *cancelOnClose) Close() error {
	defer c.cancel(nil)
	return c.ReadCloser.Close()
}
