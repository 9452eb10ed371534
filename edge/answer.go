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

// giveBack ends a request for which there is no further attempt.
func (c *call) giveBack(err error) {
	switch {
	case c.reply.begun:
		c.abort(err)
	case c.failed != nil:
		c.logEnd("target_error", err)
		if err := c.reply.whole(c.failed); err != nil {
			c.logEnd("caller_gone", err)
		}
	case c.mayHaveRun:
		c.answer(result.New(v1.Code_TARGET_LOST, v1.Ran_UNKNOWN, "%v", err), http.StatusBadGateway, err)
	default:
		c.refuseFor(err)
	}
}

// refuseFor answers a request that has not run.
func (c *call) refuseFor(err error) {
	var refusal *placement.Refusal
	code, after := v1.Code_RETRY_BUDGET_EXHAUSTED, brokenRetry
	if errors.As(err, &refusal) {
		after = refusal.RetryAfter
		code = v1.Code_WAIT_EXCEEDS_DEADLINE
		switch refusal.Err {
		case placement.ErrNoTarget:
			code = v1.Code_NO_TARGET
		case placement.ErrOverShare:
			code = v1.Code_QUEUE_FULL
		}
		if refusal.Cause != "" {
			c.edge.metrics.refusals.WithLabelValues(string(refusal.Cause)).Inc()
		}
		c.log = log.With(c.log, "predicted_ms", refusal.Predicted.Milliseconds(), "cause", refusal.Cause,
			"wait_ms", refusal.Wait.Milliseconds(), "limit_ms", refusal.Limit.Milliseconds(), "cost", c.demand.Cost(),
			"view_age_ms", refusal.ViewAge.Milliseconds())
		c.log = log.With(c.log, shareUsageFields(refusal.ShareUsage)...)
	}
	c.refuse(code, http.StatusServiceUnavailable, after, err.Error())
}

// refuse answers that the request has not run and says when to come back.
func (c *call) refuse(code v1.Code, status int, after time.Duration, why string) {
	res := result.New(code, v1.Ran_NO, "%s", why)
	res.RetryAfter = after
	c.answer(res, status, errors.New(why))
}

func (c *call) answer(res *result.Result, status int, cause error) {
	c.edge.metrics.results.WithLabelValues(res.Code.String()).Inc()
	c.log = log.With(c.log, "code", int32(res.Code), "status", status, "retry_after_ms", res.RetryAfter.Milliseconds())
	if c.edge.refusals.allow(time.Now()) {
		c.logEnd("request_refused", cause)
	}
	if err := c.reply.result(res, status); err != nil {
		c.logEnd("caller_gone", err)
	}
}

// abandon ends a request whose caller left or whose time is over.
func (c *call) abandon(ctx context.Context) {
	if c.timeOver() && !errors.Is(ctx.Err(), context.Canceled) && !c.reply.begun {
		c.answer(result.New(v1.Code_TARGET_TIMEOUT, v1.Ran_UNKNOWN, "no answer in time"), http.StatusGatewayTimeout, context.DeadlineExceeded)
		return
	}
	c.abort(fmt.Errorf("caller left or time over: %w", context.Cause(ctx)))
}

func (c *call) timeOver() bool { return !time.Now().Before(c.giveUp) }

// abort breaks the caller's connection, so that the answer never looks whole.
func (c *call) abort(err error) {
	c.edge.metrics.aborted.Inc()
	c.logEnd("answer_aborted", err)
	c.reply.close = true
	c.reply.ended = false
}

func (c *call) logEnd(event string, err error) {
	level.Info(c.log).Log("event", event, "workspace", c.workspace, "sent", c.sent,
		"took_ms", time.Since(c.arrived).Milliseconds(), "reason", err)
}

func (c *call) logAttempt(a *attempt, f fate) {
	took := time.Since(a.began)
	c.edge.metrics.attempts.WithLabelValues(f.String()).Inc()
	if f == answered {
		c.edge.metrics.duration.Observe(time.Since(c.arrived).Seconds())
		level.Info(c.log).Log("event", "request_answered", "target", a.target.ID, "attempt", a.number,
			"first_ms", c.firstAfter.Milliseconds(), "took_ms", time.Since(c.arrived).Milliseconds(), "bytes", c.reply.bytes)
		return
	}
	level.Info(c.log).Log("event", "attempt_failed", "target", a.target.ID, "attempt", a.number,
		"fate", f, "crashed", a.crashed, "took_ms", took.Milliseconds(), "error", a.err)
}
