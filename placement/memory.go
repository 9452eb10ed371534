package placement

import (
	"container/list"
	"math"
	"time"
)

// memory models the KV cache memory of one engine, which running requests and cached prompt parts
// share. What this router's requests hold is known exactly. Other routers report the shared parts of
// their prompts but not the last ones, which they alone use; these are estimated from the number of
// their running requests and the usual size of a last part.
type memory struct {
	cache    *partCache
	capacity float64
	// pinned is the number of tokens of the parts that requests of this router hold, each part once,
	// and generated the number that these requests may generate.
	pinned    int
	generated int
	// unseen is the number of tokens of last parts that requests of other routers have read since the
	// model began, as of updated.
	unseen  float64
	updated time.Time

	// The following are computed by settle: inUse and held by every call, the others if they are older than
	// scanInterval.

	// inUse is the number of tokens in use, and held that of the tokens that running requests hold.
	inUse, held float64
	scannedAt   time.Time
	// recent is the number of tokens of shared parts that no request of this router holds, but that
	// were used so lately that a request of another router probably does.
	recent float64
	// horizon is the time in ms without use after which parts are evicted; infinite while there is
	// room and nothing is read.
	horizon float64
	// evictionCost is the cost in ms of evicting one more token.
	evictionCost float64
}

// requestMeans are moving means over the requests that this router has sent to the engines of a
// service: tokens of the last part of the prompt, tokens that may be generated, prompt tokens that the
// engine had to read, and the time in ms from sending the request to its end.
type requestMeans struct {
	last, output, unread, held float64
}

// requestMeansGain is the weight of a new request in requestMeans: a router of a large fleet sends
// about ten requests a second, so that the means follow in some seconds.
const requestMeansGain = 0.02

// observe adds a sample to a moving mean of requestMeans; 0 stands for no samples yet.
func observe(mean *float64, sample float64) {
	if *mean == 0 {
		*mean = sample
	}
	*mean += requestMeansGain * (sample - *mean)
}

// holdTime returns the mean time in ms that a request stays at a target.
func (t *target) holdTime() float64 {
	switch {
	case t.slotTime > 0:
		return t.slotTime
	case t.service.means.held > 0:
		return t.service.means.held
	}
	return initialSlotTimeMs
}

// advance adds the last parts that requests of other routers have read since the last call. Their rate
// follows from the number of running requests and the time that requests stay (Little's law).
func (m *memory) advance(now time.Time) {
	t := m.cache.target
	if !m.updated.IsZero() && now.After(m.updated) {
		m.unseen += float64(t.remote.running) / t.holdTime() * milliseconds(now.Sub(m.updated)) * t.service.means.last
	}
	m.updated = now
}

// used returns the number of tokens in use.
func (m *memory) used() float64 { return m.usedWith(m.oldest()) }

// usedWith returns the number of tokens that are in use if a part is still cached: all parts of the list,
// what requests have generated, and the last parts of other routers' requests that run or were read since
// the last use of the part. Last parts that were read before are evicted before it.
func (m *memory) usedWith(part *list.Element) float64 {
	t := m.cache.target
	unseen := float64(t.remote.running) * t.service.means.last
	if part != nil {
		unseen = max(unseen, m.unseen-part.Value.(*cachedPart).unseenAtUse)
	}
	return float64(m.cache.tokens) + unseen + m.generating()
}

// oldest returns the least recently used part that no request of this router holds; nil if there is none.
func (m *memory) oldest() *list.Element {
	e := m.cache.lru.Back()
	for e != nil && e.Value.(*cachedPart).users > 0 {
		e = e.Prev()
	}
	return e
}

// generating is the estimated number of tokens that running requests have generated. Over all of them,
// half of the tokens are there at any time.
func (m *memory) generating() float64 {
	t := m.cache.target
	return generatedSoFar * (float64(m.generated) + float64(t.remote.running)*t.service.means.output)
}

const generatedSoFar = 0.5

// heldTokens is the estimated number of tokens that running requests hold, which cannot be evicted.
func (m *memory) heldTokens() float64 {
	t := m.cache.target
	return float64(m.pinned) + m.recent + float64(t.remote.running)*t.service.means.last + m.generating()
}

// evict removes the least recently used parts that no request of this router holds while more tokens
// are in use than there is memory. It keeps the part that was used last.
func (m *memory) evict() {
	for e := m.oldest(); e != nil && e != m.cache.lru.Front() && m.usedWith(e) > m.capacity; e = m.oldest() {
		m.cache.remove(e)
	}
}

// touch records a use of a part, which is the last part of a prompt only if the caller says so.
func (m *memory) touch(now time.Time, p *cachedPart) {
	m.advance(now)
	p.uses = p.uses*decay(now.Sub(p.usedAt), usesHalfLife) + 1
	p.usedAt = now
	p.unseenAtUse = m.unseen
	p.last = false
}

// usesHalfLife is the half-life of a part's uses in its measured rate of use.
const usesHalfLife = 10 * time.Second

// pin records that a request of this router holds a part until unpin.
func (m *memory) pin(p *cachedPart) {
	if p.users == 0 {
		m.pinned += p.tokens
	}
	p.users++
}

// unpin records the end of a request that held a part. Parts that are no longer in the model, since
// the target has restarted, have no users.
func (m *memory) unpin(p *cachedPart) {
	if p.users == 0 {
		return
	}
	p.users--
	if p.users == 0 {
		m.pinned -= p.tokens
	}
}

// settle brings the model up to date.
func (m *memory) settle(now time.Time) {
	m.advance(now)
	m.evict()
	if now.Sub(m.scannedAt) >= scanInterval {
		m.scannedAt = now
		m.scanRecent(now)
		m.scanOldest(now)
	}
	m.inUse, m.held = m.used(), m.heldTokens()
}

// settle brings the models of all engines of a service up to date, so that parts which were evicted
// meanwhile do not count as cached.
func (s *service) settle(now time.Time) {
	if now.Sub(s.settledAt) < measureInterval {
		return
	}
	s.settledAt = now
	for _, t := range s.targets {
		t.measure(now)
	}
}

// scanInterval is the time between two computations that go through the list of parts.
const scanInterval = 200 * time.Millisecond

// scanRecent computes recent.
func (m *memory) scanRecent(now time.Time) {
	t := m.cache.target
	m.recent = 0
	if t.remote.running == 0 {
		return
	}
	window := max(t.holdTime(), milliseconds(partReportInterval))
	for e := m.cache.lru.Front(); e != nil; e = e.Next() {
		p := e.Value.(*cachedPart)
		if milliseconds(now.Sub(p.usedAt)) > window {
			return
		}
		if p.users == 0 && !p.last {
			m.recent += float64(p.tokens)
		}
	}
}

// scanOldest computes horizon and evictionCost.
func (m *memory) scanOldest(now time.Time) {
	m.horizon, m.evictionCost = math.Inf(1), 0
	t := m.cache.target
	oldest := m.oldest()
	if oldest == nil {
		return
	}
	running, _ := t.load()
	inflow := float64(running) / t.holdTime() * t.service.means.unread
	if inflow == 0 {
		return
	}
	used := m.used()
	p := oldest.Value.(*cachedPart)
	m.horizon = milliseconds(now.Sub(p.usedAt)) + max(m.capacity-used, 0)/inflow
	// The oldest tokens are those of the parts at the end of the list and, between their uses, last
	// parts of other routers' requests, which nobody needs any more.
	value, tokens, unseen := m.valueOf(now, oldest)
	m.evictionCost = value / max(tokens+unseen, 1)
}

// valuedParts is the number of parts at the end of the list whose mean value counts for evictionCost.
const valuedParts = 6

// valueOf returns the value in ms of the oldest parts, which is the expected time to read them again,
// their tokens, and the unseen tokens that were read between the uses of the first and the last.
func (m *memory) valueOf(now time.Time, oldest *list.Element) (value, tokens, unseen float64) {
	_, slope := m.cache.target.service.model.line()
	first := oldest.Value.(*cachedPart).unseenAtUse
	for e, n := oldest, 0; e != nil && n < valuedParts; e, n = e.Prev(), n+1 {
		p := e.Value.(*cachedPart)
		tokens += float64(p.tokens)
		unseen = p.unseenAtUse - first
		if !p.last {
			copies := float64(max(len(m.cache.holders[p.id]), 1))
			value += m.reuse(now, p) / copies * slope * float64(p.tokens)
		}
	}
	return value, tokens, unseen
}

// reuse returns the probability that a part is used again before it would be evicted.
func (m *memory) reuse(now time.Time, p *cachedPart) float64 {
	perMs := p.uses * decay(now.Sub(p.usedAt), usesHalfLife) * math.Ln2 / milliseconds(usesHalfLife)
	return 1 - math.Exp(-perMs*m.horizon)
}

// setMemory models the memory of a service's engine if its cached parts are weighed.
func (k *partCache) setMemory(s *service) {
	switch {
	case !s.weighing:
		for e := k.lru.Front(); e != nil && k.memory != nil; e = e.Next() {
			e.Value.(*cachedPart).users = 0
		}
		k.memory = nil
	case k.memory == nil:
		k.memory = &memory{cache: k, capacity: float64(s.kvTokens)}
	default:
		k.memory.capacity = float64(s.kvTokens)
	}
}

// heldMemory is what one request of this router holds in the memory of its target.
type heldMemory struct {
	memory *memory
	parts  []*cachedPart
	output int
}

// hold records that a request of this router starts at the target and holds its prompt and what it
// generates.
func (t *target) hold(d *Demand, c Choice) heldMemory {
	m := t.cache.memory
	if m == nil {
		return heldMemory{}
	}
	h := heldMemory{memory: m, parts: make([]*cachedPart, 0, len(d.Parts)), output: d.MaxOutputTokens}
	for _, p := range d.Parts {
		if e, ok := t.cache.byID[p.ID]; ok {
			part := e.Value.(*cachedPart)
			m.pin(part)
			h.parts = append(h.parts, part)
		}
	}
	m.generated += h.output
	means := &t.service.means
	observe(&means.last, float64(d.Parts[len(d.Parts)-1].Tokens))
	observe(&means.output, float64(d.MaxOutputTokens))
	observe(&means.unread, float64(c.Unread))
	return h
}

// release records the end of the request after it was at the target for heldMs. It has no effect if the
// model that it was recorded in is no longer used.
func (h heldMemory) release(heldMs float64, outcome Outcome) {
	if h.memory == nil || h.memory != h.memory.cache.memory {
		return
	}
	for _, p := range h.parts {
		h.memory.unpin(p)
	}
	h.memory.generated -= h.output
	if outcome == Succeeded {
		observe(&h.memory.cache.target.service.means.held, heldMs)
	}
}

// memoryHeld returns the estimated number of tokens that running requests hold at the target; 0 if its
// memory is not modelled.
func (t *target) memoryHeld() int {
	if t.cache.memory == nil {
		return 0
	}
	return int(t.cache.memory.held)
}
