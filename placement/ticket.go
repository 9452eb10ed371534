package placement

import (
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// Outcome is how a request ended at its target.
type Outcome int

const (
	// Succeeded: the target answered in full.
	Succeeded Outcome = iota
	// Unknown: the request ended without showing whether the target is healthy, such as when
	// the caller left.
	Unknown
	// Unsent: the request was not sent, for a reason that says nothing of the target.
	Unsent
	// Rejected: the target answered that it did not run the request.
	Rejected
	// Failed: the target answered with an error, or its answer is malformed or did not come
	// in full.
	Failed
	// Unreachable: there is no connection to the target, or it broke before the request was
	// sent.
	Unreachable
)

// Ticket is the handle of one request in flight at a target. Begin returns it, and the caller
// passes it to FirstToken and End. It must not be used concurrently with its Balancer.
type Ticket struct {
	target *target
	choice Choice
	// baseline is the time to the first token in ms that the model of the service predicts,
	// without the target's slowness.
	baseline float64
	// workspace and cost are those of the request's demand; cost is 0 for plain services.
	workspace string
	cost      float64
	sentAt    time.Time
	firstSeen bool
	ended     bool
	// held is the memory of the target that the request holds.
	held heldMemory
}

// Admit counts a request in the share of its workspace and decides whether some target may get it
// now; if not, its error is a *Refusal. Callers call it once for each request from a caller, not for
// its retries. Requests of a service without usable targets do not count: there is no capacity to
// share.
func (b *Balancer) Admit(now time.Time, d *Demand) error {
	b.fleet.countRequest(now)
	if d.plain() || !b.HasUsableTargetIn(d.Regions, d.Service, 0, now) {
		_, err := b.pick(now, d, b.search(now, d))
		return err
	}
	b.shares.addOwn(now, d.Workspace, d.Cost(), 0)
	g := b.shares.admit(now, d.Workspace, d.Cost())
	if !g.admitted && !d.Repeated {
		return b.leadRefusal(now, d, g.after)
	}
	d.WithinShare = g.guaranteed
	found := b.search(now, d)
	d.found = &found
	_, err := b.pick(now, d, found)
	return err
}

// Begin records that a request is sent to the chosen target. It returns nil if the target has
// been removed since.
func (b *Balancer) Begin(now time.Time, d *Demand, c Choice) *Ticket {
	t, ok := b.targets[c.Target]
	if !ok {
		return nil
	}
	b.changes++
	ticket := &Ticket{target: t, choice: c, sentAt: now}
	base, slope := t.service.model.line()
	ticket.baseline = base + slope*float64(c.Backlog+c.Unread)
	t.takePermit()
	t.cold.Take()
	t.running++
	t.unread += c.Unread
	t.markChanged()
	t.breaker.Admit(now)
	if !d.plain() {
		ticket.workspace, ticket.cost = d.Workspace, d.Cost()
		b.shares.addOwn(now, d.Workspace, 0, ticket.cost)
		b.recordPrompt(now, t, d.Parts)
		ticket.held = t.hold(d, c)
	}
	return ticket
}

// recordPrompt adds a prompt to the cache of a target. Its last part is unique to the request:
// no other request needs it, so it is not reported to the other routers.
func (b *Balancer) recordPrompt(now time.Time, t *target, parts []Part) {
	last := len(parts) - 1
	b.recordParts(now, t, parts[:last])
	t.cache.use(now, parts[last]).last = true
}

// recordParts adds prompt parts to the cache of a target, or marks them as used, and queues
// them for the reports to the other routers.
func (b *Balancer) recordParts(now time.Time, t *target, parts []Part) {
	for _, p := range parts {
		part := t.cache.use(now, p)
		if now.Sub(part.reportedAt) < partReportInterval {
			continue
		}
		part.reportedAt, part.reportedHere = now, true
		b.unreportedParts = append(b.unreportedParts, &v1.PartRead{Target: t.hash, Part: p.ID, Tokens: uint32(p.Tokens)})
	}
}

// FirstToken records that the first token came, or the answer of a plain service. It has no effect
// on a nil ticket and on later calls.
func (b *Balancer) FirstToken(now time.Time, k *Ticket) {
	if k == nil || k.firstSeen {
		return
	}
	k.firstSeen = true
	t := k.target
	t.unread -= k.choice.Unread
	t.markChanged()
	k.recordReached(now)
	if k.choice.Running >= max(t.Slots, 1) {
		// The time includes the wait for a slot of a full target, so it is no sample for the
		// model.
		return
	}
	observed := milliseconds(now.Sub(k.sentAt))
	// The predictions multiply by the pace, so that it must not count as slowness as well.
	observed /= t.pace(now, observed)
	if k.choice.Cold {
		t.service.cold.observe(observed, k.baseline)
		return
	}
	if t.service.model.ready() {
		t.latencyRatio.observe(now, observed, k.baseline)
	}
	t.service.model.observe(now, float64(k.choice.Backlog+k.choice.Unread), observed)
}

// slotTimeGain is the weight of a new sample in the moving mean target.slotTime.
const slotTimeGain = 0.1

// End records that a request has ended and how. It has no effect on a nil ticket and on later
// calls.
func (b *Balancer) End(now time.Time, k *Ticket, outcome Outcome) {
	if k == nil || k.ended {
		return
	}
	k.ended = true
	t := k.target
	t.running--
	k.held.release(milliseconds(now.Sub(k.sentAt)), outcome)
	t.markChanged()
	if !k.firstSeen {
		t.unread -= k.choice.Unread
	}
	if k.cost > 0 && (outcome == Unsent || outcome == Unreachable || outcome == Rejected) {
		// The request has not run, so it took no capacity from the other workspaces.
		b.shares.addOwn(now, k.workspace, 0, -k.cost)
	}
	b.recordOutcome(now, k, outcome)
}

// recordOutcome updates the circuit breaker, the fault rate and the slot time of the target.
func (b *Balancer) recordOutcome(now time.Time, k *Ticket, outcome Outcome) {
	t := k.target
	switch outcome {
	case Succeeded:
		k.recordReached(now)
		t.breaker.Success(now)
		t.faults.observe(now, false)
		slotTime := milliseconds(now.Sub(k.sentAt))
		if t.slotTime == 0 {
			t.slotTime = slotTime
		}
		t.slotTime += slotTimeGain * (slotTime - t.slotTime)
	case Rejected:
		k.recordReached(now)
		t.breaker.Success(now)
		t.faults.observe(now, true)
	case Failed:
		t.breaker.Failure(now)
		t.faults.observe(now, true)
	case Unreachable:
		t.breaker.Trip(now)
		t.faults.observe(now, true)
	case Unknown, Unsent:
		t.breaker.Release(now)
	}
}

// ClearCache clears the cached parts of a target that has crashed or was replaced.
func (b *Balancer) ClearCache(id string) {
	if t, ok := b.targets[id]; ok {
		t.cache.clear()
	}
}
