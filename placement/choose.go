package placement

import (
	"cmp"
	"time"

	"github.com/chiveseam/chiveseam/rendezvous"
)

const (
	// rereadWeight is the weight of reading a shared part that another target keeps,
	// beside its own time: it delays the requests behind it by as much.
	rereadWeight = 4.0
	// fetchSetup is the time in ms that a fetch takes beside its tokens, and
	// fetchWeight the weight of its time, since fetches share the links of both ends.
	fetchSetup  = 10.0
	fetchWeight = 20.0
	// overShare is the part of the wanted time that workspaces at their share may
	// wait for others at a target; those above it wait less in proportion, so that
	// the rest of the time is left for workspaces below their share.
	overShare = 0.25
	// lateLimit is the multiple of the wanted time that workspaces below their share
	// may wait: a late answer is worth less, but more than none.
	lateLimit = 2.0
	// minRetryAfter and maxRetryShare bound what a refused caller is told: requests
	// end at a rate of several in 100 ms, and callers wait for up to a third of the
	// time that they have left.
	minRetryAfter = 100 * time.Millisecond
	maxRetryShare = 0.3
	// faultWeight is the penalty in multiples of the wanted time for a target that
	// fails all its requests.
	faultWeight = 4.0
	// initialStay is the mean time in ms that a stream holds a slot, before there are
	// samples.
	initialStay = 1500.0
)

// candidate is a target with its prediction in ms.
type candidate struct {
	target *target
	// kept is the length of the prompt's beginning that the target keeps.
	kept     int
	donor    *target
	fetched  int
	miss     int
	unread   int
	running  int
	slowness float64
	// wait is the time until the target begins to read the prompt, in ms.
	wait      float64
	predicted float64
	cost      float64
	tie       uint64
}

// Choose returns the best target for a demand. The error is a *Refusal. The
// caller must call Begin if it sends the request.
func (b *Book) Choose(now time.Time, d *Demand) (Choice, error) {
	best, ok := b.best(now, d)
	if !ok {
		return Choice{}, &Refusal{Err: ErrNoTarget, RetryAfter: b.bounded(noTargetRetry, d)}
	}
	if refusal := b.admit(now, d, best); refusal != nil {
		return Choice{}, refusal
	}
	choice := Choice{
		Target: best.target.ID, Unread: best.miss, Backlog: best.unread, Running: best.running,
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

func (b *Book) best(now time.Time, d *Demand) (candidate, bool) {
	s, ok := b.services[d.Service]
	if !ok {
		return candidate{}, false
	}
	donor, donated := b.donor(s, d)
	var best candidate
	found := false
	for _, t := range s.targets {
		if t.Draining || !t.health.Ready(now) || (d.Excluded != nil && d.Excluded(t.ID)) {
			continue
		}
		c := b.assess(now, s, t, d, donor, donated)
		if !found || compare(c, best) < 0 {
			best, found = c, true
		}
	}
	return best, found
}

// donor returns the target that keeps the most of a prompt's beginning, and how
// much. Of several the one with the least to read is taken.
func (b *Book) donor(s *service, d *Demand) (*target, int) {
	if s.fetch == 0 || d.Parts == nil {
		return nil, 0
	}
	var donor *target
	donated, backlog := 0, 0
	for _, t := range s.targets {
		kept := t.kept.prefix(d.Parts)
		if kept == 0 || kept < donated {
			continue
		}
		_, unread := b.load(t)
		if kept > donated || unread < backlog {
			donor, donated, backlog = t, kept, unread
		}
	}
	return donor, donated
}

func compare(a, b candidate) int {
	if order := cmp.Compare(a.cost, b.cost); order != 0 {
		return order
	}
	return cmp.Compare(b.tie, a.tie)
}

func (b *Book) assess(now time.Time, s *service, t *target, d *Demand, donor *target, donated int) candidate {
	c := candidate{target: t}
	c.running, c.unread = b.load(t)
	penalty := faultWeight * t.faults.rate(now) * milliseconds(d.Want)
	if d.Parts == nil {
		c.predicted = b.plainWait(now, s, t, c.running)
		c.cost = c.predicted + penalty
		c.tie = rendezvous.Score(b.options.Router, t.ID)
		return c
	}
	c.kept = t.kept.prefix(d.Parts)
	fetchTime := c.fetch(s, donor, donated)
	c.miss = d.Prompt() - c.kept - c.fetched
	base, slope := s.model.line()
	c.slowness = b.factor(now, t)
	c.wait = c.slowness*slope*float64(c.unread) + slotWait(s, t, c.running)
	c.predicted = c.wait + c.slowness*(base+slope*float64(c.miss)) + fetchTime
	reread := float64(max(c.miss-d.Parts[len(d.Parts)-1].Tokens, 0))
	c.cost = c.predicted + rereadWeight*c.slowness*slope*reread + (fetchWeight-1)*fetchTime + penalty
	c.tie = rendezvous.Score(partName(d.Parts), t.ID)
	return c
}

// minFetch is the number of tokens from which a fetch is faster than reading.
const minFetch = 1024

// fetch takes what the target lacks from the donor, and returns the time in ms.
func (c *candidate) fetch(s *service, donor *target, donated int) float64 {
	tokens := donated - c.kept
	if donor == nil || donor == c.target || tokens < minFetch {
		return 0
	}
	c.donor, c.fetched = donor, tokens
	return fetchSetup + float64(tokens)*s.fetch
}

func partName(parts []Part) string {
	id := parts[0].ID
	var name [8]byte
	for i := range name {
		name[i] = byte(id >> (8 * i))
	}
	return string(name[:])
}

// plainWait predicts the time at a target of a plain service from its requests
// for each slot.
func (b *Book) plainWait(now time.Time, s *service, t *target, running int) float64 {
	base, _ := s.model.line()
	slots := max(t.Slots, 1)
	return b.factor(now, t) * base * (1 + float64(running)/float64(slots))
}

// slotWait is the time until a slot of a full engine comes free for one more
// request.
func slotWait(s *service, t *target, running int) float64 {
	slots := t.Slots
	if slots == 0 {
		slots = max(s.slots, 1)
	}
	ahead := running - slots + 1
	if ahead <= 0 {
		return 0
	}
	stay := t.stay
	if stay == 0 {
		stay = initialStay
	}
	return float64(ahead) * stay / float64(slots)
}

// admit returns nil if the request may be sent to the best target.
func (b *Book) admit(now time.Time, d *Demand, best candidate) *Refusal {
	if d.Parts == nil || d.Repeated {
		return nil
	}
	wait := d.Waited + duration(best.wait)
	cause := ErrSaturated
	limit := min(time.Duration(lateLimit*float64(d.Want)), d.Left)
	use, level := b.shares.use(now, d.Workspace)
	if use > 1 {
		cause = ErrOverShare
		limit = time.Duration(overShare * float64(d.Want) / use)
	}
	if wait <= limit {
		return nil
	}
	return &Refusal{Err: cause, RetryAfter: b.bounded(wait-limit, d), Predicted: duration(best.predicted), Level: level, Use: use}
}

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func (b *Book) bounded(after time.Duration, d *Demand) time.Duration {
	longest := time.Duration(maxRetryShare * float64(d.Left))
	return max(min(after, longest), minRetryAfter)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
