package placement

import (
	"math"
	"time"
)

const (
	// sharedPrefillWeight is the extra cost of processing shared prompt tokens that are not
	// in the target's KV cache, as a multiple of the time that it takes. The time itself is
	// part of the prediction; the extra cost stands for the delay of the requests that
	// queue behind (figures: docs/DESIGN.md, choosing a target). Services whose cached prefixes are
	// weighed have candidate.costToOthers in its place.
	sharedPrefillWeight = 4.0
	// fetchSetupMs is the time in ms of a fetch of KV cache entries from another engine, in
	// addition to the time per token. fetchCostWeight is the cost of a fetch as a multiple
	// of its time, since it uses memory and the network links of both engines (figures:
	// docs/DESIGN.md, choosing a target).
	fetchSetupMs    = 10.0
	fetchCostWeight = 20.0
	// faultCostWeight is the extra cost of a target that fails all its requests, as a
	// multiple of Demand.LatencyObjective.
	faultCostWeight = 4.0
	// initialSlotTimeMs is the mean time in ms that a request holds a slot of an engine,
	// used until the first request at the target has succeeded.
	initialSlotTimeMs = 1500.0
)

// candidate is a target with its predicted times and cost for one request.
type candidate struct {
	target *target
	// cached is the number of leading prompt tokens that are in the target's KV cache.
	cached int
	// donor is the engine from whose KV cache the target fetches the next prompt tokens, fetched
	// their number; nil and 0 if it fetches none.
	donor   *target
	fetched int
	// unread is the number of tokens of the prompt that the target must process itself, and
	// backlog the number of prompt tokens of earlier requests that it must process first.
	unread  int
	backlog int
	// sharedUnread is the part of unread that other requests have in common.
	sharedUnread int
	// running is the number of requests of all routers at the target.
	running  int
	slowness float64
	// pace is the factor by which the machine of the target is believed to lengthen the work.
	pace float64
	// wait is the predicted time in ms until the target begins to process the prompt.
	wait float64
	// predicted is the predicted time to the first token in ms, including wait.
	predicted float64
	// others is the cost in ms of what the request takes from others: see costToOthers.
	others float64
	// cost is predicted plus penalties, in ms. The candidate with the least cost is chosen.
	cost float64
}

// promptInfo holds what Choose computes once for a request and then uses for each target.
type promptInfo struct {
	// tokens is the length of the whole prompt.
	tokens int
	// ownTokens is the length of the last part, which is unique to the request.
	ownTokens int
	// firstPart is the ID of the first part.
	firstPart uint64
	// base in ms and slope in ms per token predict the service's time to the first token.
	base, slope float64
	// holders are the targets that have the first part in their KV cache.
	holders []cachedPrefix
	// donor is the target with the longest cached prefix of the prompt, of donorTokens; nil
	// if no target has one or engines of the service cannot fetch.
	donor       *target
	donorTokens int
}

// cachedPrefix is the number of leading prompt tokens in the KV cache of a target.
type cachedPrefix struct {
	target *target
	tokens int
}

func (b *Balancer) newPromptInfo(s *service, d *Demand) *promptInfo {
	p := &promptInfo{}
	p.base, p.slope = s.model.line()
	if d.plain() {
		return p
	}
	p.tokens = d.PromptTokens()
	p.ownTokens = d.Parts[len(d.Parts)-1].Tokens
	p.firstPart = d.Parts[0].ID
	for _, t := range s.holders[d.Parts[0].ID] {
		p.holders = append(p.holders, cachedPrefix{t, t.cache.prefix(d.Parts)})
	}
	if s.fetchPerToken > 0 {
		b.chooseDonor(p, d)
	}
	return p
}

// chooseDonor sets the donor to the target with the longest cached prefix among those that may be one; among
// equals, to the one with the fewest tokens to process.
func (b *Balancer) chooseDonor(p *promptInfo, d *Demand) {
	backlog := 0
	for _, k := range p.holders {
		if !b.mayDonate(k.target, d) {
			continue
		}
		_, unread := k.target.load()
		if k.tokens > p.donorTokens || (k.tokens == p.donorTokens && unread < backlog) {
			p.donor, p.donorTokens, backlog = k.target, k.tokens, unread
		}
	}
}

// cachedAt returns the number of leading prompt tokens in the KV cache of a target.
func (p *promptInfo) cachedAt(t *target) int {
	for _, k := range p.holders {
		if k.target == t {
			return k.tokens
		}
	}
	return 0
}

// assess predicts the times of a request at a target and computes its cost.
func (b *Balancer) assess(now time.Time, s *service, t *target, d *Demand, p *promptInfo) candidate {
	t.measure(now)
	c := candidate{target: t, slowness: t.slowness * b.coldSlowness(now, t), pace: 1}
	c.running, c.backlog = t.load()
	penalty := faultCostWeight * t.faultShare * milliseconds(d.LatencyObjective)
	if b.zones.silent(now, t.Zone) {
		penalty += silentZonePenaltyMs
	}
	if d.plain() {
		c.slowness = math.Round(c.slowness*plainSlownessSteps) / plainSlownessSteps
		c.pace = t.pace(now, p.base)
		if s.paced(now) {
			c.running = b.occupancy(now, t)
		}
		c.predicted = c.slowness * c.pace * p.base * (1 + float64(c.running)/float64(t.slotsIn(s)))
		c.cost = c.predicted*b.spreadFactor(now, t) + penalty
		return c
	}
	c.cached = p.cachedAt(t)
	fetchTime := c.planFetch(s, p)
	c.unread = p.tokens - c.cached - c.fetched
	c.pace = t.pace(now, c.slowness*(p.base+p.slope*float64(c.backlog+c.unread)))
	slowness := c.slowness * c.pace
	c.wait = slowness*p.slope*float64(c.backlog) + slotWait(s, t, c.running)
	c.predicted = c.wait + slowness*(p.base+p.slope*float64(c.unread)) + fetchTime
	c.sharedUnread = max(c.unread-p.ownTokens, 0)
	c.others = sharedPrefillWeight * slowness * p.slope * float64(c.sharedUnread)
	if s.weighing {
		c.predicted += c.memoryWait(p)
		c.others = c.costToOthers(s, d, p)
	}
	c.cost = c.predicted + b.spreadPenalty(t, p) + c.others + (fetchCostWeight-1)*fetchTime + penalty
	return c
}

// spreadPenalty returns an extra cost in ms by which routers with the same view prefer
// different targets. Without it all of them would choose the same target between two reports.
// If no target has the prompt's first part in its cache, the penalty is the same at all
// routers, so that they send the prompt to one target and it is processed only once.
func (b *Balancer) spreadPenalty(t *target, p *promptInfo) float64 {
	preference := t.preference
	if len(p.holders) == 0 {
		preference = float64(mix(p.firstPart^t.idHash)) / math.MaxUint64
	}
	return preference * b.maxSpreadMs()
}

// maxSpreadMs returns the largest spread penalty in ms. The longer the interval of the reports and the
// more routers there are, the more requests have the others sent that the view does not show yet, and
// the less does a difference between two targets in the view mean. It grows with the square root of
// the number of routers (figures: docs/DESIGN.md, choosing a target).
func (b *Balancer) maxSpreadMs() float64 {
	return math.Sqrt(float64(len(b.peers)+1)) * milliseconds(b.zones.interval)
}

// mix hashes x with the finaliser of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// minFetchTokens is the number of tokens from which fetching them from another engine is
// faster than processing them.
const minFetchTokens = 1024

// planFetch decides whether the target fetches the prefix that it lacks from the donor, and
// returns the time of the fetch in ms; 0 if there is none.
func (c *candidate) planFetch(s *service, p *promptInfo) float64 {
	tokens := p.donorTokens - c.cached
	if p.donor == nil || p.donor == c.target || tokens < minFetchTokens {
		return 0
	}
	c.donor, c.fetched = p.donor, tokens
	return fetchSetupMs + float64(tokens)*s.fetchPerToken
}

// plainSlownessSteps is the number of steps in 1 to which the slowness of targets of plain
// services is rounded, so that targets of about the same speed get equal costs and take turns.
const plainSlownessSteps = 4

// slotsIn returns the number of slots of a target: its own if it states one, otherwise that
// of its service.
func (t *target) slotsIn(s *service) int {
	if t.Slots > 0 {
		return t.Slots
	}
	return max(s.slots, 1)
}

// fullSlotShare is the part of its slots from which a target counts as full: the rest is
// for requests that other routers have sent since their last report.
const fullSlotShare = 0.75

// slotWait returns the predicted time in ms until an engine has a free slot for one more
// request; 0 if it has one now. running is the number of requests at the engine.
func slotWait(s *service, t *target, running int) float64 {
	slots := t.slotsIn(s)
	// needed is the number of requests that must end before this one gets a slot.
	needed := running - int(fullSlotShare*float64(slots)) + 1
	if needed <= 0 {
		return 0
	}
	slotTime := t.slotTime
	if slotTime == 0 {
		slotTime = initialSlotTimeMs
	}
	return float64(needed) * slotTime / float64(slots)
}
