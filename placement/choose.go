package placement

import (
	"math"
	"time"
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
	overShare = 0.12
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
}

// Choose returns the best target for a demand. The error is a *Refusal. The
// caller must call Begin if it sends the request.
func (b *Book) Choose(now time.Time, d *Demand) (Choice, error) {
	found := b.search(now, d)
	if found.best.target == nil {
		return Choice{}, &Refusal{Err: ErrNoTarget, RetryAfter: b.bounded(noTargetRetry, d)}
	}
	best := found.best
	if !found.limit.admits(best) {
		if found.limit.use > spareUse || found.spare.target == nil {
			return Choice{}, b.refusal(d, found)
		}
		best = found.spare
	}
	best.target.turn = b.nextTurn()
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

// prompt is what a search needs to know of a demand's prompt.
type prompt struct {
	tokens int
	// own is the length of the last part, which belongs to the request itself.
	own int
	// first is the ID of the first part.
	first uint64
	// base and slope are the line of the service's times.
	base, slope float64
	kept        []keptPrefix
	// donor keeps the most of the prompt's beginning.
	donor   *target
	donated int
}

// keptPrefix is a target that keeps a prompt's beginning.
type keptPrefix struct {
	target *target
	tokens int
}

func newPrompt(s *service, d *Demand) *prompt {
	p := &prompt{}
	p.base, p.slope = s.model.line()
	if len(d.Parts) == 0 {
		return p
	}
	p.tokens = d.Prompt()
	p.own = d.Parts[len(d.Parts)-1].Tokens
	p.first = d.Parts[0].ID
	for _, t := range s.holders[d.Parts[0].ID] {
		p.kept = append(p.kept, keptPrefix{t, t.kept.prefix(d.Parts)})
	}
	if s.fetch > 0 {
		p.chooseDonor()
	}
	return p
}

// chooseDonor takes the target that keeps the most, of several the one with the
// least to read.
func (p *prompt) chooseDonor() {
	backlog := 0
	for _, k := range p.kept {
		_, unread := k.target.load()
		if k.tokens > p.donated || (k.tokens == p.donated && unread < backlog) {
			p.donor, p.donated, backlog = k.target, k.tokens, unread
		}
	}
}

// keptAt returns how much of the prompt's beginning a target keeps.
func (p *prompt) keptAt(t *target) int {
	for _, k := range p.kept {
		if k.target == t {
			return k.tokens
		}
	}
	return 0
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

func (b *Book) assess(now time.Time, s *service, t *target, d *Demand, p *prompt) candidate {
	t.measure(now)
	c := candidate{target: t, slowness: t.slowness}
	c.running, c.unread = t.load()
	penalty := faultWeight * t.faultShare * milliseconds(d.Want)
	if b.zones.silent(now, t.Zone) {
		penalty += zonePenalty
	}
	if d.Parts == nil {
		c.slowness = math.Round(t.slowness*plainSteps) / plainSteps
		c.predicted = c.slowness * p.base * (1 + float64(c.running)/float64(t.slotsIn(s)))
		c.cost = c.predicted + penalty
		return c
	}
	c.kept = p.keptAt(t)
	fetchTime := c.fetch(s, p)
	c.miss = p.tokens - c.kept - c.fetched
	c.wait = c.slowness*p.slope*float64(c.unread) + slotWait(s, t, c.running)
	c.predicted = c.wait + c.slowness*(p.base+p.slope*float64(c.miss)) + fetchTime
	reread := float64(max(c.miss-p.own, 0))
	c.cost = c.predicted + b.spread(t, p) + rereadWeight*c.slowness*p.slope*reread + (fetchWeight-1)*fetchTime + penalty
	return c
}

// spreadWeight is the most that one router's preference counts, in reports: what
// others have sent since their last report is not in the view.
const spreadWeight = 0.5

// spread is a preference among targets in ms. Without it, routers with the same view
// would all choose the same target between two reports. For a prompt that no target
// keeps all routers have the same preference, so that it is read once.
func (b *Book) spread(t *target, p *prompt) float64 {
	preference := t.preference
	if len(p.kept) == 0 {
		preference = float64(mix(p.first^t.seed)) / math.MaxUint64
	}
	return preference * spreadWeight * milliseconds(b.zones.interval)
}

// mix spreads the bits of x evenly (the finaliser of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// minFetch is the number of tokens from which a fetch is faster than reading.
const minFetch = 1024

// fetch takes what the target lacks from the donor, and returns the time in ms.
func (c *candidate) fetch(s *service, p *prompt) float64 {
	tokens := p.donated - c.kept
	if p.donor == nil || p.donor == c.target || tokens < minFetch {
		return 0
	}
	c.donor, c.fetched = p.donor, tokens
	return fetchSetup + float64(tokens)*s.fetch
}

// plainSteps rounds the slowness of plain targets, so that equals take turns.
const plainSteps = 4

// slotsIn returns the slots of a target, which its service states if it does not.
func (t *target) slotsIn(s *service) int {
	if t.Slots > 0 {
		return t.Slots
	}
	return max(s.slots, 1)
}

// fullShare is the part of its slots from which a target counts as full: what others
// have sent since their last report takes the rest.
const fullShare = 0.75

// slotWait is the time until a slot of a full engine comes free for one more
// request.
func slotWait(s *service, t *target, running int) float64 {
	slots := t.slotsIn(s)
	ahead := running - int(fullShare*float64(slots)) + 1
	if ahead <= 0 {
		return 0
	}
	stay := t.stay
	if stay == 0 {
		stay = initialStay
	}
	return float64(ahead) * stay / float64(slots)
}

// limit is how long a request may wait for others at a target.
type limit struct {
	waited time.Duration
	most   time.Duration
	// unlimited requests are not refused: those that were sent before, and calls of
	// plain services, which refuse themselves when they are full.
	unlimited bool
	use       float64
	level     float64
}

func (b *Book) limit(now time.Time, d *Demand) limit {
	if d.Parts == nil || d.Repeated {
		return limit{unlimited: true}
	}
	l := limit{waited: d.Waited, most: min(time.Duration(lateLimit*float64(d.Want)), d.Left)}
	l.use, l.level = b.shares.use(now, d.Workspace)
	if l.use > 1 {
		l.most = time.Duration(overShare * float64(d.Want) / l.use)
	}
	return l
}

func (l limit) admits(c candidate) bool {
	return l.unlimited || l.waited+duration(c.wait) <= l.most
}

// refusal says why no target is admitted, and when the best one will be.
func (b *Book) refusal(d *Demand, found search) *Refusal {
	l := found.limit
	r := &Refusal{Err: ErrSaturated, Predicted: duration(found.best.predicted), Level: l.level, Use: l.use}
	if l.use > 1 {
		r.Err = ErrOverShare
	}
	r.RetryAfter = b.bounded(l.waited+duration(found.best.wait)-l.most, d)
	return r
}

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func (b *Book) bounded(after time.Duration, d *Demand) time.Duration {
	longest := time.Duration(maxRetryShare * float64(d.Left))
	return max(min(after, longest), minRetryAfter)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
