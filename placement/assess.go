package placement

import (
	"math"
	"time"
)

const (
	// rereadWeight is the weight of reading a shared part anew, beside its own time:
	// it delays the requests behind it (figures: docs/DESIGN.md, choosing a target).
	rereadWeight = 4.0
	// fetchSetup is the time in ms that a fetch takes beside its tokens, and
	// fetchWeight the weight of its time, since a fetch takes memory and the links of
	// both ends (figures: docs/DESIGN.md, choosing a target).
	fetchSetup  = 10.0
	fetchWeight = 20.0
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
	if d.plain() {
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

func (b *Book) assess(now time.Time, s *service, t *target, d *Demand, p *prompt) candidate {
	t.measure(now)
	c := candidate{target: t, slowness: t.slowness}
	c.running, c.unread = t.load()
	penalty := faultWeight * t.faultShare * milliseconds(d.Want)
	if b.zones.silent(now, t.Zone) {
		penalty += zonePenalty
	}
	if d.plain() {
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
