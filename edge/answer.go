package edge

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/chiveseam/chiveseam/placement"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/result"
)

// finishWithError ends a request that is not tried again because of err. It aborts an answer that
// has begun, otherwise it forwards the last error answer of a target, or answers that the request
// may have run, or refuses it.
func (c *call) finishWithError(err error) {
	errorAnswer := c.errorAnswer.Load()
	switch {
	case c.reply.begun:
		c.abort(err)
	case errorAnswer != nil:
		c.logEnd("target_error", err)
		if err := c.sendHeld(errorAnswer, c.errorHold); err != nil {
			c.logEnd("caller_gone", err)
		}
	case c.mayHaveRun:
		c.sendResult(result.New(v1.Code_TARGET_LOST, v1.Ran_UNKNOWN, "%v", err), http.StatusBadGateway, err)
	default:
		c.refuseUnexecuted(err)
	}
}

// refuseUnexecuted answers a request that no target has run. The code and the time to retry come
// from err if it is a *placement.Refusal.
func (c *call) refuseUnexecuted(err error) {
	if errors.Is(err, errStopping) {
		c.refuseStopping()
		return
	}
	code, after := v1.Code_RETRY_BUDGET_EXHAUSTED, targetFailureRetryAfter
	if errors.As(err, &c.refusal) {
		after = c.refusal.RetryAfter
		code = v1.Code_WAIT_EXCEEDS_DEADLINE
		switch {
		case errors.Is(err, placement.ErrNoTarget):
			code = v1.Code_NO_TARGET
		case errors.Is(err, placement.ErrOverShare):
			code = v1.Code_QUEUE_FULL
		}
		if c.refusal.Cause != "" {
			c.edge.metrics.refusals.WithLabelValues(string(c.refusal.Cause)).Inc()
		}
	}
	c.refuse(code, http.StatusServiceUnavailable, after, err.Error())
}

// refuse answers that the request has not run, and after how long it may be retried; 0 states no
// time.
func (c *call) refuse(code v1.Code, status int, after time.Duration, reason string) {
	res := result.New(code, v1.Ran_NO, "%s", reason)
	res.RetryAfter = after
	c.sendResult(res, status, errors.New(reason))
}

// refuseStopping answers that the request has not run because the router is stopping, and closes the
// connection.
func (c *call) refuseStopping() {
	c.reply.close = true
	c.refuse(v1.Code_STOPPING, http.StatusServiceUnavailable, stoppingRetryAfter, errStopping.Error())
}

// refuseUnread answers a request whose body could not be read, for the reason err. The connection ends after that.
func (c *call) refuseUnread(conn *callerConn, err error) {
	defer c.settleLink()
	defer c.bodyHold.close()
	switch {
	case c.edge.requestCtx.Err() != nil:
		c.refuseStopping()
	case errors.Is(err, errMemory) || c.bodyHold.revoked():
		c.reply.close = true
		c.refuse(v1.Code_ROUTER_BUSY, http.StatusServiceUnavailable, busyRetryAfter, "no memory for the request")
	default:
		conn.answerUnreadable(c.req, err)
	}
}

// sendResult answers with a result of the router itself, counts it and logs the cause.
func (c *call) sendResult(res *result.Result, status int, cause error) {
	c.edge.metrics.results.WithLabelValues(res.Code.String()).Inc()
	if c.edge.refusalLog.allow(time.Now()) {
		c.log = log.With(c.log, c.refusalFields(res, status)...)
		c.logEnd("request_refused", cause)
	}
	if err := c.reply.sendResult(res, status); err != nil {
		c.logEnd("caller_gone", err)
	}
}

// refusalFields returns the log fields of the router's own answer: its result, and the figures of the
// refusal.
func (c *call) refusalFields(res *result.Result, status int) []any {
	fields := []any{"code", int32(res.Code), "status", status, "retry_after_ms", res.RetryAfter.Milliseconds(), "queued_ms", c.queued.Milliseconds()}
	if r := c.refusal; r != nil {
		fields = append(fields, "predicted_ms", r.Predicted.Milliseconds(), "cause", r.Cause, "wait_ms", r.Wait.Milliseconds(),
			"limit_ms", r.Limit.Milliseconds(), "cost", c.demand.Cost(), "view_age_ms", r.ViewAge.Milliseconds())
		fields = append(fields, shareUsageFields(r.ShareUsage)...)
		if ineligible := r.Ineligible.String(); ineligible != "" {
			fields = append(fields, "ineligible", ineligible)
		}
	}
	return fields
}

// abandon ends a request whose caller has left, whose deadline has passed or that lasts longer than the router's
// planned stop.
func (c *call) abandon(ctx context.Context) {
	if endedByStop(ctx) {
		c.finishWithError(errStopping)
		return
	}
	if c.deadlinePassed() && !errors.Is(ctx.Err(), context.Canceled) && !c.reply.begun {
		c.sendResult(result.New(v1.Code_TARGET_TIMEOUT, v1.Ran_UNKNOWN, "no answer in time"), http.StatusGatewayTimeout, context.DeadlineExceeded)
		return
	}
	c.abort(fmt.Errorf("caller left or time over: %w", context.Cause(ctx)))
}

func (c *call) deadlinePassed() bool { return !time.Now().Before(c.deadline) }

// abort makes the caller's connection close in the middle of the answer, so that the caller cannot
// take the answer for complete.
func (c *call) abort(err error) {
	c.edge.metrics.aborted.Inc()
	c.logEnd("answer_aborted", err)
	c.reply.close = true
	c.reply.ended = false
}

func (c *call) logEnd(event string, err error) {
	level.Info(c.log).Log("event", event, "workspace", c.workspace, "sent", c.sentCount,
		"took_ms", time.Since(c.arrived).Milliseconds(), "reason", err)
}

// logAttempt counts and logs the end of an attempt.
func (c *call) logAttempt(a *attempt, outcome attemptOutcome) {
	took := time.Since(a.began)
	c.edge.metrics.attempts.WithLabelValues(outcome.String()).Inc()
	logger := log.With(c.log, "close_delimited", a.closeDelimited)
	if a.end != "" {
		logger = log.With(logger, "end_evidence", a.end)
	}
	if c.route.Stream {
		logger = log.With(logger, "events", a.events.ended, "open_event_bytes", a.events.open,
			"first_event_id", a.events.firstID, "last_event_id", a.events.lastID, "start_ms", a.statedStart,
			"unidentified_events", a.events.tally.unidentified, "malformed_events", a.events.tally.malformed,
			"unknown_line_events", a.events.tally.unknown, "cr_ended_events", a.events.tally.crEnded)
	}
	if a.spoiled != "" {
		logger = log.With(logger, "spoiled", a.spoiled)
	}
	if steps := a.events.largerSteps(); steps > 0 {
		logger = log.With(logger, "larger_steps", steps)
	}
	if gap := a.events.gap(); gap != nil {
		logger = log.With(logger, "gap_after", gap.After, "gap_step", gap.Distance, "usual_step", gap.Usual,
			"usual_steps", gap.Hits, "other_steps", gap.Outliers)
	}
	if outcome == answered {
		c.edge.metrics.duration.Observe(time.Since(c.arrived).Seconds())
		level.Info(logger).Log("event", "request_answered", "target", a.target.ID, "attempt", a.number,
			"first_ms", c.firstByteLatency.Milliseconds(), "took_ms", time.Since(c.arrived).Milliseconds(), "bytes", c.reply.bytes)
		return
	}
	if a.crashed {
		logger = log.With(logger, "workspace", c.workspace, "prompt_parts", c.promptPartsText(), "answering_ms", a.answeringTime().Milliseconds(),
			"target_gone", a.targetGone)
	}
	level.Info(logger).Log("event", "attempt_failed", "target", a.target.ID, "attempt", a.number,
		"fate", outcome, "crashed", a.crashed, "took_ms", took.Milliseconds(), "error", a.err)
}

// maxLoggedParts limits the list of prompt parts in a log line, in bytes.
const maxLoggedParts = 512

// promptPartsText returns the list of prompt parts as the caller sent it, for the logs.
func (c *call) promptPartsText() string {
	text := c.req.Header.Get(c.edge.headers.PromptParts)
	return text[:min(len(text), maxLoggedParts)]
}

// answeringTime returns the time since the first bytes of the answer's body; 0 if none have come.
func (a *attempt) answeringTime() time.Duration {
	if a.firstByteAt.IsZero() {
		return 0
	}
	return time.Since(a.firstByteAt)
}
