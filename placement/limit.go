package placement

import "time"

const (
	// overShare is the part of the wanted time that workspaces at their share may
	// wait for others at a target; those above it wait less in proportion, so that
	// the rest of the time is left for workspaces below their share (figures:
	// docs/DESIGN.md, choosing a target).
	overShare = 0.12
	// lateLimit is the multiple of the wanted time that workspaces below their share
	// may wait: a late answer is worth less, but more than none.
	lateLimit = 2.0
	// evenUse is how many times the use of a workspace that is refused another one
	// above its share may have: less than twice, which the deployment's rules allow.
	evenUse = 1.6
	// minRetryAfter and maxRetryShare bound what a refused caller is told: requests
	// end at a rate of several in 100 ms, and callers wait for up to a third of the
	// time that they have left.
	minRetryAfter = 100 * time.Millisecond
	maxRetryShare = 0.3
)

// limit is how long a request may wait for others at a target.
type limit struct {
	waited time.Duration
	most   time.Duration
	// unlimited requests are not refused: those that were sent before, and calls of
	// plain services, which refuse themselves when they are full.
	unlimited bool
	standing  Standing
	// ahead is set if the workspace has so much more than another one that is refused
	// that it gets nothing now, and evenAfter is when the two are closer.
	ahead     bool
	evenAfter time.Duration
}

func (b *Book) limit(now time.Time, d *Demand) limit {
	if d.plain() || d.Repeated {
		return limit{unlimited: true}
	}
	l := limit{waited: d.Waited, most: min(time.Duration(lateLimit*float64(d.Want)), d.Left)}
	l.standing = b.shares.standing(now, d.Workspace)
	use := l.standing.Use
	if use <= 1 {
		return l
	}
	l.most = time.Duration(overShare * float64(d.Want) / use)
	if even := evenUse * l.standing.Least; use > even {
		l.ahead = true
		l.evenAfter = time.Duration((1 - even/use) * float64(b.options.ShareWindow))
	}
	return l
}

func (l limit) admits(c candidate) bool {
	return l.unlimited || (!l.ahead && l.waited+duration(c.wait) <= l.most)
}

// refusal says why no target is admitted, and when the best one will be.
func (b *Book) refusal(now time.Time, d *Demand, found search) *Refusal {
	l := found.limit
	r := &Refusal{
		Err: ErrSaturated, Cause: CauseWait, Predicted: duration(found.best.predicted),
		Wait: duration(found.best.wait), Limit: l.most, Age: b.Age(now), Standing: l.standing,
	}
	if l.standing.Use > 1 {
		r.Err = ErrOverShare
	}
	if l.ahead {
		r.Cause = CauseLead
	}
	r.RetryAfter = b.bounded(max(l.waited+duration(found.best.wait)-l.most, l.evenAfter), d)
	return r
}

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func (b *Book) bounded(after time.Duration, d *Demand) time.Duration {
	longest := time.Duration(maxRetryShare * float64(d.Left))
	return max(min(after, longest), minRetryAfter)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
