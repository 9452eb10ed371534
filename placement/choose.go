package placement

import (
	"time"
)

// Choose returns the best target for a request, or a *Refusal as its error. If the caller
// sends the request to the target it must call Begin, so that the load is counted.
func (b *Balancer) Choose(now time.Time, d *Demand) (Choice, error) {
	found := b.admitted(now, d)
	best, err := b.pick(now, d, found)
	if err != nil {
		return Choice{}, err
	}
	best.target.lastChoice = b.nextChoice()
	choice := Choice{
		ShareUsage: found.limit.shareUsage,
		Target:     best.target.ID, Unread: best.unread, Backlog: best.backlog, Running: best.running,
		Cold: b.isCold(now, best.target), Slowness: best.slowness, Predicted: duration(best.predicted), ViewAge: b.ViewAge(now),
		SharedUnread: best.sharedUnread, OthersCost: duration(best.others), MemoryHeld: best.target.memoryHeld(),
	}
	if best.target.service.paced(now) {
		choice.Pace = best.pace
	}
	if best.donor != nil {
		choice.Donor, choice.Fetched = best.donor.ID, best.fetched
	}
	return choice, nil
}

// pick returns the candidate that gets a request, or a *Refusal as its error.
func (b *Balancer) pick(now time.Time, d *Demand, found search) (candidate, error) {
	if found.best.target == nil {
		return candidate{}, b.noTarget(now, d, found)
	}
	best := found.best
	if !found.limit.admits(best) {
		if found.limit.shareUsage.Use > maxIdleTargetUse || found.bestIdle.target == nil {
			return candidate{}, b.refusal(now, d, found)
		}
		best = found.bestIdle
	}
	return best, nil
}

// noTarget returns the error for a request of a service without a target that may get it now.
func (b *Balancer) noTarget(now time.Time, d *Demand, found search) *Refusal {
	r := &Refusal{Err: ErrNoTarget, Ineligible: found.ineligible}
	limited, cold, paused := found.ineligible[RateLimited].Wait, found.ineligible[Cold].Wait, found.ineligible[Paused].Wait
	switch {
	case limited > 0 || cold > 0:
		r.Err, r.Cause, r.Wait = ErrSaturated, CauseRate, limited
		if limited == 0 || 0 < cold && cold < limited {
			r.Cause, r.Wait = CauseCold, cold
		}
		r.RetryAfter = b.clampRetryAfter(r.Wait, d)
		r.ViewAge, r.ShareUsage = b.ViewAge(now), found.limit.shareUsage
	case paused > 0:
		r.RetryAfter = max(paused, minRetryAfter)
	default:
		r.Err = found.ineligible.cause()
		r.RetryAfter = b.clampRetryAfter(noTargetRetryAfter, d)
	}
	return r
}

// noTargetRetryAfter is the time after which a caller is told to retry if its service has no
// usable target: crashed targets are back after some seconds, and circuit breakers admit a
// probe sooner.
const noTargetRetryAfter = time.Second

// search is the result of assessing all targets of a service for one request.
type search struct {
	// best is the candidate with the least cost, and bestIdle that with the least cost among
	// nearly idle targets. Their target fields are nil if there is no such candidate.
	best, bestIdle candidate
	limit          waitLimit
	ineligible     IneligibleTargets
	// at is the time of the search, and changes the value of Balancer.changes then.
	at      time.Time
	changes uint64
}

// maxSearchAge is the time for which Choose uses the search of Admit.
const maxSearchAge = 2 * time.Millisecond

// admitted returns the search of Admit for this request, or a new one if that is old or no
// longer holds.
func (b *Balancer) admitted(now time.Time, d *Demand) search {
	found := d.found
	d.found = nil
	if found == nil || found.changes != b.changes || now.Sub(found.at) > maxSearchAge {
		return b.search(now, d)
	}
	return *found
}

// search assesses the eligible targets of the request's service.
func (b *Balancer) search(now time.Time, d *Demand) search {
	found := search{at: now, changes: b.changes}
	s, ok := b.services[d.Service]
	if !ok {
		return found
	}
	found.limit = b.waitLimit(now, d)
	if s.weighing {
		s.settle(now)
	}
	p := b.newPromptInfo(s, d)
	// reserve is the best of the cold targets, as long as this router is new.
	var reserve candidate
	for _, t := range s.targets {
		if e := b.eligibility(now, t, d); e.reason != Eligible {
			found.ineligible.add(e)
			continue
		}
		c := b.assess(now, s, t, d, p)
		if t.rateLimit.unconfirmed(now) {
			c.cost = 0
		}
		if b.isNew(now) && b.isCold(now, t) {
			if reserve.target == nil || c.better(reserve) {
				reserve = c
			}
			continue
		}
		if found.best.target == nil || c.better(found.best) {
			found.best = c
		}
		if c.nearlyIdle(s) && (found.bestIdle.target == nil || c.better(found.bestIdle)) {
			found.bestIdle = c
		}
	}
	if found.best.target == nil {
		found.best = reserve
	}
	return found
}

const (
	// idleSlotShare is the part of its slots that a target may use and still be nearly idle.
	idleSlotShare = 0.0625
	// maxIdleTargetUse is the largest use, in multiples of its share, with which a workspace
	// is served by a nearly idle target if its wait at the best target exceeds the limit. The
	// idle target may have to process the prompt again; above this use, that would cost the
	// other workspaces more than it gives.
	maxIdleTargetUse = 1.5
)

// nearlyIdle reports whether the target has no prompt tokens to process and nearly all of
// its slots are free.
func (c candidate) nearlyIdle(s *service) bool {
	return c.backlog == 0 && float64(c.running) <= idleSlotShare*float64(c.target.slotsIn(s))
}

// better reports whether c has a lower cost than other, or the same cost and its target was
// chosen less recently.
func (c candidate) better(other candidate) bool {
	if c.cost != other.cost {
		return c.cost < other.cost
	}
	return c.target.lastChoice < other.target.lastChoice
}

// nextChoice returns the number of the current choice for target.lastChoice.
func (b *Balancer) nextChoice() uint64 {
	b.choices++
	return b.choices
}
