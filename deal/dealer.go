package deal

import (
	"maps"
	"slices"
	"time"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/pool"
)

// clockDriftDivisor: during a lease, clocks may drift apart by 1/clockDriftDivisor of it.
const clockDriftDivisor = 32

// Dealer divides the slots of a pool between the holders of its shards.
//
// A Dealer is not safe for concurrent use. It starts no goroutine and reads no clock.
type Dealer struct {
	self    pool.Router
	options Options
	now     time.Time
	// learning is set until all shards have reported or learnUntil has passed, when all leases
	// of an earlier dealer have ended. Holders keep the slots that they have until then.
	learning   bool
	learnUntil time.Time

	// targets are those that get new work, ordered by ID; nil if they are not known yet.
	targets []pool.Target
	// holders are those with slots that are not dealt again yet, in the order of compareHolders.
	holders []*holderState
	levels  levels
	// version is that of the last allotment.
	version uint64
	// dirty is set if a report, the targets or the holders have changed since the last deal.
	dirty    bool
	lastDeal time.Time
	// allotments are the result of the current step.
	allotments []Allotment
}

// NewDealer returns a dealer without targets that runs on the router incarnation self. Its
// first step starts the time in which it learns which slots the holders have.
func NewDealer(self pool.Router, o Options) *Dealer {
	return &Dealer{self: self, options: o.withDefaults(), learning: true, levels: newLevels()}
}

// Step advances the time to now, takes in the event and returns the allotments to send to
// holders. A now before that of an earlier step counts as that earlier time. The returned
// slice is valid until the next call.
func (d *Dealer) Step(now time.Time, event DealerEvent) []Allotment {
	d.allotments = d.allotments[:0]
	if d.learnUntil.IsZero() {
		d.now = now
		d.learnUntil = now.Add(d.leaseWithDrift())
	}
	if now.After(d.now) {
		d.now = now
	}
	d.handle(event)
	d.removeExpired()
	d.endLearning()
	if d.dirty && d.now.Sub(d.lastDeal) >= d.options.Interval {
		d.deal()
	}
	return d.allotments
}

func (d *Dealer) handle(event DealerEvent) {
	switch e := event.(type) {
	case Report:
		d.handleReport(e)
	case TargetsChanged:
		d.targets = assignableTargets(e.Targets)
		d.dirty = true
	case Tick:
	}
}

// leaseWithDrift returns the longest time, by the dealer's clock, from the arrival of a report
// to the end of the lease that the report starts.
func (d *Dealer) leaseWithDrift() time.Duration {
	return d.options.Lease + d.options.Lease/clockDriftDivisor
}

// handleReport takes in a report, unless it is late, a duplicate, meant for another dealer or
// of a shard that does not exist.
func (d *Dealer) handleReport(r Report) {
	if r.Dealer != d.self || r.Shard < 0 || r.Shard >= d.options.Shards {
		return
	}
	h := &holderState{shard: r.Shard, holder: r.Holder, firstReport: d.now}
	i, found := slices.BinarySearchFunc(d.holders, h, compareHolders)
	if found {
		h = d.holders[i]
		if r.Seq <= h.report.Seq {
			return
		}
	} else {
		d.holders = slices.Insert(d.holders, i, h)
		h.slots = slotsByTarget(r.Holdings)
		d.levels.endBacklogs(r.Shard)
	}
	h.applyReport(d.now, r)
	d.dirty = true
}

// slotsByTarget returns the held slots by target.
func slotsByTarget(holdings []Holding) map[config.ID]int {
	slots := map[config.ID]int{}
	for _, held := range holdings {
		if held.Slots > 0 {
			slots[held.Target] = held.Slots
		}
	}
	return slots
}

// removeExpired removes the holders whose slots may be dealt again.
func (d *Dealer) removeExpired() {
	before := len(d.holders)
	d.holders = slices.DeleteFunc(d.holders, d.expired)
	if len(d.holders) < before {
		d.dirty = true
	}
}

// expired reports whether the slots of a holder may be dealt again. The holder must have
// retired or its lease must have ended, and another holder of its shard must have reported
// since then, because that report lists the slots that are still in use. Without such a
// report, the slots are dealt again after Options.Reclaim.
func (d *Dealer) expired(h *holderState) bool {
	silent := d.now.Sub(h.lastReport)
	if silent >= d.options.Reclaim {
		return true
	}
	if !h.report.Retired && silent < d.leaseWithDrift() {
		return false
	}
	return slices.ContainsFunc(d.holders, func(next *holderState) bool {
		return next != h && next.shard == h.shard && next.lastReport.After(h.lastReport) && !next.report.Retired
	})
}

// endLearning ends the learning once all shards have reported or learnUntil has passed.
func (d *Dealer) endLearning() {
	if !d.learning {
		return
	}
	seen := map[int]bool{}
	for _, h := range d.holders {
		seen[h.shard] = true
	}
	if len(seen) == d.options.Shards || !d.now.Before(d.learnUntil) {
		d.learning = false
		d.dirty = true
	}
}

// deal divides the slots and sends the allotments that have changed or are due. While the
// dealer is learning or knows no targets, holders keep what they have.
func (d *Dealer) deal() {
	d.dirty = false
	d.lastDeal = d.now
	if d.learning || d.targets == nil {
		for _, h := range d.holders {
			d.renewLease(h)
		}
		return
	}
	bounds := make([]map[config.ID]int, len(d.holders))
	var live []int
	left := map[config.ID]int{}
	for _, t := range d.targets {
		left[t.ID] = t.Slots
	}
	for i, h := range d.holders {
		if d.waitsForPredecessor(h) {
			d.renewLease(h)
			continue
		}
		bounds[i] = h.upperBounds()
		if !d.unresponsive(h) {
			live = append(live, i)
			continue
		}
		subtract(left, bounds[i])
	}
	wanted, scarce := d.divide(live, left)
	d.sendAllotments(live, wanted, bounds, scarce)
}

// unresponsive reports whether the holder has retired or seems not to receive allotments,
// since it has not reported for two renewals.
func (d *Dealer) unresponsive(h *holderState) bool {
	return h.report.Retired || d.now.Sub(h.lastReport) >= 2*d.options.Renewal+d.options.Interval
}

// subtract subtracts the used slots of each target from those that are left, down to zero.
func subtract(left, used map[config.ID]int) {
	for id, n := range used {
		if _, ok := left[id]; ok {
			left[id] = max(left[id]-n, 0)
		}
	}
}

// waitsForPredecessor reports whether a new holder gets no slots yet because the lease of an
// earlier holder of its shard may still hold. The requests in flight that the new holder
// reports then use slots of the earlier one.
func (d *Dealer) waitsForPredecessor(h *holderState) bool {
	if len(h.slots) > 0 || d.now.Sub(h.firstReport) >= d.leaseWithDrift() {
		return false
	}
	return slices.ContainsFunc(d.holders, func(earlier *holderState) bool {
		return earlier.shard == h.shard && earlier.firstReport.Before(h.firstReport)
	})
}

// renewLease answers the report of a holder, if that is due, with the slots that it has.
func (d *Dealer) renewLease(h *holderState) {
	if d.renewalDue(h) {
		d.allot(h, assignment{h.slots, nil}, false)
	}
}

// renewalDue reports whether the holder waits for an answer to its report, and half of
// Options.Renewal has passed since its last allotment.
func (d *Dealer) renewalDue(h *holderState) bool {
	return h.unanswered && d.now.Sub(h.lastAllotment) >= d.options.Renewal/2
}

// sendAllotments lowers allotments at once, and raises them only by slots that no other
// holder may have. bounds are the upper bounds of what each holder may have.
func (d *Dealer) sendAllotments(live []int, wanted []assignment, bounds []map[config.ID]int, scarce bool) {
	unassigned := map[config.ID]int{}
	for _, t := range d.targets {
		unassigned[t.ID] = t.Slots
	}
	for _, bound := range bounds {
		for id, n := range bound {
			unassigned[id] -= n
		}
	}
	for n, i := range live {
		h := d.holders[i]
		slots := map[config.ID]int{}
		for _, id := range slices.Sorted(maps.Keys(wanted[n].slots)) {
			bound, want := bounds[i][id], wanted[n].slots[id]
			extra := max(min(want-bound, unassigned[id]), 0)
			unassigned[id] -= extra
			if want = min(want, bound+extra); want > 0 {
				slots[id] = want
			}
		}
		if d.renewalDue(h) || !maps.Equal(slots, h.slots) || !maps.Equal(wanted[n].yield, h.yield) {
			d.allot(h, assignment{slots, wanted[n].yield}, scarce)
		}
	}
}

// allot adds an allotment for a holder to the result of the step.
func (d *Dealer) allot(h *holderState, to assignment, scarce bool) {
	d.version++
	h.slots = to.slots
	h.yield = to.yield
	h.pending = append(h.pending, pendingAllotment{d.version, to.slots})
	h.unanswered = false
	h.lastAllotment = d.now
	d.allotments = append(d.allotments, Allotment{
		Shard: h.shard, Holder: h.holder, Dealer: d.self, Version: d.version,
		Answers: h.report.Seq, Slots: maps.Clone(to.slots), Yield: maps.Clone(to.yield), Scarce: scarce,
	})
}
