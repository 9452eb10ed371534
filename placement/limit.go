package placement

import "time"

const (
	// overShareWait is the longest wait of a workspace that uses exactly its share, as a
	// part of Demand.LatencyObjective. Above the share, the longest wait is divided by the use in
	// multiples of the share, which leaves the rest of the time for workspaces below
	// their share (figures: docs/DESIGN.md, choosing a target).
	overShareWait = 0.12
	// withinShareWait is the longest wait of a request that keeps its workspace within its share, as
	// a multiple of Demand.LatencyObjective: a late answer is worth less than one in time, but more
	// than none.
	withinShareWait = 2.0
	// maxUseRatio limits the use of a workspace above its share to this multiple of
	// ShareUsage.LeastRefusedUse. The deployments' rule of fairness allows a ratio of 2.
	maxUseRatio = 1.4
	// minRetryAfter and maxRetryAfterShare bound the time after which a refused caller is
	// told to retry. In 100 ms several requests end at the targets. The upper bound is a part
	// of the time until the caller gives up; callers wait up to a third of that time.
	minRetryAfter      = 100 * time.Millisecond
	maxRetryAfterShare = 0.3
)

// waitLimit says how long a request may wait at a target until its prompt is processed.
type waitLimit struct {
	// waited is the time since the request arrived, and maxWait the limit of waited plus
	// the predicted wait at the target.
	waited  time.Duration
	maxWait time.Duration
	// unlimited requests are never refused: requests that were sent before, and requests to
	// plain services, whose targets reject requests themselves when they are full.
	unlimited  bool
	shareUsage ShareUsage
}

// waitLimit returns how long a request may wait.
func (b *Balancer) waitLimit(now time.Time, d *Demand) waitLimit {
	if d.plain() || d.Repeated {
		return waitLimit{unlimited: true}
	}
	l := waitLimit{waited: d.Waited, maxWait: min(time.Duration(withinShareWait*float64(d.LatencyObjective)), d.Remaining)}
	l.shareUsage = b.shares.shareUsage(now, d.Workspace)
	if l.shareUsage.Share == 0 || d.WithinShare || b.shares.belowShare(d.Workspace) {
		return l
	}
	l.maxWait = time.Duration(overShareWait * float64(d.LatencyObjective) / max(l.shareUsage.Use, 1))
	return l
}

// admits reports whether the limit allows the request to be sent to a candidate.
func (l waitLimit) admits(c candidate) bool {
	return l.unlimited || l.waited+duration(c.wait) <= l.maxWait
}

// refusal returns the error for a request that is sent to no target, with the time after
// which the limit may admit it at the best one.
func (b *Balancer) refusal(now time.Time, d *Demand, found search) *Refusal {
	l := found.limit
	r := &Refusal{
		Err: ErrSaturated, Cause: CauseWait, Predicted: duration(found.best.predicted),
		Wait: duration(found.best.wait), Limit: l.maxWait, ViewAge: b.ViewAge(now), ShareUsage: l.shareUsage,
	}
	if l.shareUsage.Use > 1 {
		r.Err = ErrOverShare
	}
	r.RetryAfter = b.clampRetryAfter(l.waited+duration(found.best.wait)-l.maxWait, d)
	return r
}

// leadRefusal returns the error for a request that would take its workspace too far ahead of another
// one, with the time until it has credit again. Most refusals under load are of this kind, so the targets
// are not assessed.
func (b *Balancer) leadRefusal(now time.Time, d *Demand, after time.Duration) *Refusal {
	return &Refusal{
		Err: ErrOverShare, Cause: CauseLead, RetryAfter: b.clampRetryAfter(after, d),
		ViewAge: b.ViewAge(now), ShareUsage: b.shares.shareUsage(now, d.Workspace),
	}
}

// duration converts milliseconds to a time.Duration.
func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// clampRetryAfter bounds the time after which a caller is told to retry by minRetryAfter and
// by maxRetryAfterShare of the time until it gives up; minRetryAfter has priority.
func (b *Balancer) clampRetryAfter(estimate time.Duration, d *Demand) time.Duration {
	longest := time.Duration(maxRetryAfterShare * float64(d.Remaining))
	return max(min(estimate, longest), minRetryAfter)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
