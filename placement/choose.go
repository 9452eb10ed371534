package placement

import (
	"time"
)

// Choose returns the best target for a demand. The error is a *Refusal. The
// caller must call Begin if it sends the request.
func (b *Book) Choose(now time.Time, d *Demand) (Choice, error) {
	found := b.search(now, d)
	if found.best.target == nil {
		return Choice{}, &Refusal{Err: ErrNoTarget, RetryAfter: b.bounded(noTargetRetry, d)}
	}
	best := found.best
	if !found.limit.admits(best) {
		if found.limit.ahead || found.limit.standing.Use > spareUse || found.spare.target == nil {
			return Choice{}, b.refusal(now, d, found)
		}
		best = found.spare
	}
	best.target.turn = b.nextTurn()
	choice := Choice{
		Standing: found.limit.standing,
		Target:   best.target.ID, Unread: best.miss, Backlog: best.unread, Running: best.running,
		Slowness: best.slowness, Predicted: duration(best.predicted), Age: b.Age(now),
	}
	if best.donor != nil {
		choice.Donor, choice.Fetched = best.donor.ID, best.fetched
	}
	return choice, nil
}

// noTargetRetry is when a caller without any target should come back: targets
// that crashed are back after some seconds, breakers try again sooner.
const noTargetRetry = time.Second

// search is what was found among the targets of a service.
type search struct {
	// best has the least cost of all, spare the least of those with room to spare.
	// Their targets are nil if there is none.
	best, spare candidate
	limit       limit
}

func (b *Book) search(now time.Time, d *Demand) search {
	var found search
	s, ok := b.services[d.Service]
	if !ok {
		return found
	}
	found.limit = b.limit(now, d)
	p := newPrompt(s, d)
	for _, t := range s.targets {
		if t.Draining || !t.health.Ready(now) || (d.Excluded != nil && d.Excluded(t.ID)) {
			continue
		}
		c := b.assess(now, s, t, d, p)
		if found.best.target == nil || c.better(found.best) {
			found.best = c
		}
		if c.hasRoom(s) && (found.spare.target == nil || c.better(found.spare)) {
			found.spare = c
		}
	}
	return found
}

const (
	// roomShare is the part of its slots up to which a target has room to spare.
	roomShare = 0.0625
	// spareUse is the use of its share up to which a workspace gets room to spare at
	// a target that does not keep its prompt: beyond it, moving prompts would cost
	// the others more than it gives.
	spareUse = 1.5
)

// hasRoom reports whether a target reads nothing and has nearly all of its slots
// free.
func (c candidate) hasRoom(s *service) bool {
	return c.unread == 0 && float64(c.running) <= roomShare*float64(c.target.slotsIn(s))
}

// better compares two candidates. Of equals the one that was chosen longest ago is
// taken.
func (c candidate) better(than candidate) bool {
	if c.cost != than.cost {
		return c.cost < than.cost
	}
	return c.target.turn < than.target.turn
}

func (b *Book) nextTurn() uint64 {
	b.turn++
	return b.turn
}
