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
	// Unknown: the request ended without showing the target's health, such as when
	// the caller left.
	Unknown
	// Rejected: the target is alive and did not run the request.
	Rejected
	// Failed: the target answered with an error or a broken answer.
	Failed
	// Unreachable: no connection, or it was lost.
	Unreachable
)

// Ticket is one request under way at a target. It is not safe for concurrent use
// with its book.
type Ticket struct {
	target *target
	choice Choice
	// line is the pooled prediction without the target's own slowness, in ms.
	line  float64
	begun time.Time
	first bool
	ended bool
}

// Asked counts a request that came from a caller and for which there are targets; it
// is called once for each. Without targets shares mean nothing.
func (b *Book) Asked(now time.Time, d *Demand) {
	if !d.plain() {
		b.shares.addOwn(now, d.Workspace, d.Cost(), 0)
	}
}

// Begin records that a request is sent to the chosen target. It returns nil if
// the target is gone.
func (b *Book) Begin(now time.Time, d *Demand, c Choice) *Ticket {
	t, ok := b.targets[c.Target]
	if !ok {
		return nil
	}
	ticket := &Ticket{target: t, choice: c, begun: now}
	base, slope := t.service.model.line()
	ticket.line = base + slope*float64(c.Backlog+c.Unread)
	t.running++
	t.unread += c.Unread
	t.changed()
	t.health.Admit(now)
	if !d.plain() {
		b.shares.addOwn(now, d.Workspace, 0, d.Cost())
		b.keepPrompt(now, t, d.Parts)
	}
	return ticket
}

// keepPrompt records that a target reads a prompt. The last part belongs to the
// request itself: others do not ask for it, and need not know.
func (b *Book) keepPrompt(now time.Time, t *target, parts []Part) {
	own := len(parts) - 1
	b.keep(now, t, parts[:own])
	t.kept.use(parts[own])
}

// keep records that a target reads or uses prompt parts, for this router and the
// others.
func (b *Book) keep(now time.Time, t *target, parts []Part) {
	for _, p := range parts {
		part := t.kept.use(p)
		if now.Sub(part.told) < tellUses {
			continue
		}
		part.told, part.mine = now, true
		b.news = append(b.news, &v1.PartRead{Target: t.hash, Part: p.ID, Tokens: uint32(p.Tokens)})
	}
}

// First records the first token, or the answer of a plain service.
func (b *Book) First(now time.Time, k *Ticket) {
	if k == nil || k.first {
		return
	}
	k.first = true
	t := k.target
	t.unread -= k.choice.Unread
	t.changed()
	if k.choice.Running >= max(t.Slots, 1) {
		// The time at a full target holds the wait for a slot.
		return
	}
	observed := milliseconds(now.Sub(k.begun))
	if t.service.model.ready() {
		t.pace.observe(now, observed, k.line)
	}
	t.service.model.observe(now, float64(k.choice.Backlog+k.choice.Unread), observed)
}

// stayGain is the weight of one more sample in the mean time in a slot.
const stayGain = 0.1

// End records how a request ended.
func (b *Book) End(now time.Time, k *Ticket, outcome Outcome) {
	if k == nil || k.ended {
		return
	}
	k.ended = true
	t := k.target
	t.running--
	t.changed()
	if !k.first {
		t.unread -= k.choice.Unread
	}
	b.judge(now, k, outcome)
}

func (b *Book) judge(now time.Time, k *Ticket, outcome Outcome) {
	t := k.target
	switch outcome {
	case Succeeded:
		t.health.Success(now)
		t.faults.observe(now, false)
		stay := milliseconds(now.Sub(k.begun))
		if t.stay == 0 {
			t.stay = stay
		}
		t.stay += stayGain * (stay - t.stay)
	case Rejected:
		t.health.Success(now)
		t.faults.observe(now, true)
	case Failed:
		t.health.Failure(now)
		t.faults.observe(now, true)
	case Unreachable:
		t.health.Trip(now)
		t.faults.observe(now, true)
	case Unknown:
		t.health.Release(now)
	}
}

// Lost forgets what a target kept: it has crashed or was replaced.
func (b *Book) Lost(id string) {
	if t, ok := b.targets[id]; ok {
		t.kept.clear()
	}
}
