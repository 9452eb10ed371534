package deal

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/pool"
)

// Holder keeps the slots that a shard has, as the dealer allots them, for the shard's
// scheduler. It runs on the router that has the role of the shard.
//
// A Holder is not safe for concurrent use. It starts no goroutine and reads no clock.
type Holder struct {
	self    pool.Router
	shard   int
	options Options
	now     time.Time
	started bool

	targets []pool.Target
	usage   pool.Usage
	// settledAt is the time from which the scheduler knows the requests in flight; zero before
	// the first usage.
	settledAt time.Time
	// usageStale is set from SlotsChanged to the next UsageChanged. In between, usage may lack
	// slots that came into use just before the scheduler had to give them up.
	usageStale bool
	// slots is the number of slots by target that the scheduler was told last, and yield how many
	// of them, by data centre, it was told to give up.
	slots      map[config.ID]int
	yield      map[string]int
	slotSource slotSource
	// leaseEnd is the time at which the lease of the allotment ends.
	leaseEnd time.Time

	dealer pool.Router
	// firstSeq is the number of the first report to dealer.
	firstSeq uint64
	// version is that of the last allotment of dealer; zero if there is none.
	version uint64
	scarce  bool

	// seq is the number of the last report.
	seq      uint64
	sent     sentTimes
	reported Report
	// lastReport is the time at which reported was sent.
	lastReport time.Time
	retired    bool
	// urgent is set if a report is due as soon as Options.Interval has passed since the last.
	urgent  bool
	actions []HolderAction
}

// slotSource says what determines the slots of a holder.
type slotSource int

const (
	// leased: the last allotment, whose lease has not ended. Before the first allotment, the
	// holder has no slots.
	leased slotSource = iota
	// lapsed: the lease has ended, and the holder keeps the slots that it has and that are also
	// in its part of the static division.
	lapsed
	// static: the holder's whole part of the static division.
	static
)

// NewHolder returns the holder of a shard on the router incarnation self. It holds no slots.
// The caller sends the scheduler an empty pool.SlotsAllotted before the scheduler gets targets,
// and passes on each SlotsChanged that Step returns.
func NewHolder(self pool.Router, shard int, o Options) *Holder {
	return &Holder{self: self, shard: shard, options: o.withDefaults(), slots: map[config.ID]int{}, yield: map[string]int{}}
}

// Step advances the time to now, takes in the event and returns the resulting actions. A now
// before that of an earlier step counts as that earlier time. The returned slice is valid until
// the next call. The caller sends a Report to the router Report.Dealer.
func (h *Holder) Step(now time.Time, event HolderEvent) []HolderAction {
	h.actions = h.actions[:0]
	if h.retired {
		return nil
	}
	if !h.started {
		h.started = true
		h.now = now
		h.leaseEnd = now.Add(h.options.Lease)
	}
	if now.After(h.now) {
		h.now = now
	}
	h.expireLease()
	h.handle(event)
	h.reportIfDue()
	return h.actions
}

func (h *Holder) handle(event HolderEvent) {
	switch e := event.(type) {
	case Allotment:
		h.handleAllotment(e)
	case TargetsChanged:
		h.targets = assignableTargets(e.Targets)
		h.applyStatic()
	case DealerChanged:
		h.changeDealer(e.Dealer)
	case UsageChanged:
		h.usage = e.Usage
		h.usageStale = false
		if h.settledAt.IsZero() {
			h.settledAt = h.now.Add(h.options.Settle)
		}
	case Tick:
	}
}

// Retire returns the last report of a holder whose router gives up the role of the shard. The
// scheduler must grant nothing more. The next holder takes over its requests in flight. It
// returns false if no dealer is known.
func (h *Holder) Retire(now time.Time) (Report, bool) {
	if h.dealer == (pool.Router{}) {
		return Report{}, false
	}
	h.retired = true
	h.seq++
	return Report{Shard: h.shard, Holder: h.self, Seq: h.seq, Dealer: h.dealer, Retired: true}, true
}

// changeDealer sends further reports to another dealer. The holder keeps its slots until their
// lease ends.
func (h *Holder) changeDealer(dealer pool.Router) {
	if dealer == h.dealer {
		return
	}
	h.dealer = dealer
	h.firstSeq = h.seq + 1
	h.version = 0
	h.sent = nil
	h.urgent = true
}

// handleAllotment applies an allotment unless it is not newer than the last one, its lease has
// ended, or it is meant for another holder or comes from another dealer.
func (h *Holder) handleAllotment(a Allotment) {
	if a.Holder != h.self || a.Shard != h.shard || a.Dealer != h.dealer || a.Version <= h.version {
		return
	}
	sentAt, ok := h.sent.timeOf(a.Answers)
	if !ok {
		return
	}
	end := sentAt.Add(h.options.Lease)
	if !end.After(h.now) {
		return
	}
	h.version = a.Version
	h.scarce = a.Scarce
	h.leaseEnd = end
	h.slotSource = leased
	h.setSlots(maps.Clone(a.Slots), maps.Clone(a.Yield))
}

// expireLease replaces the slots of an allotment whose lease has ended. Slots that only the
// static division contains are added two renewals later, when the leases of all other holders
// have ended too if all of them have lost the dealer.
func (h *Holder) expireLease() {
	if h.slotSource == leased && !h.now.Before(h.leaseEnd) {
		h.slotSource = lapsed
		h.urgent = true
	}
	if h.slotSource == lapsed && !h.now.Before(h.leaseEnd.Add(2*h.options.Renewal)) {
		h.slotSource = static
		h.urgent = true
	}
	h.applyStatic()
}

// applyStatic sets the slots by the static division unless the lease holds.
func (h *Holder) applyStatic() {
	if h.slotSource == leased {
		return
	}
	slots := StaticDivision(h.targets, h.shard, h.options.Shards)
	if h.slotSource == lapsed {
		held := h.heldSlots()
		for id, n := range slots {
			slots[id] = min(n, held[id])
		}
	}
	h.setSlots(slots, nil)
}

// heldSlots returns the slots by target without those that the scheduler has yielded.
func (h *Holder) heldSlots() map[config.ID]int {
	held := maps.Clone(h.slots)
	for id, n := range h.usage.Yielded {
		held[id] -= n
		if held[id] <= 0 {
			delete(held, id)
		}
	}
	return held
}

// remainingYield returns the number of slots that are still to be yielded, by data centre.
func (h *Holder) remainingYield() map[string]int {
	left := maps.Clone(h.yield)
	for _, t := range h.targets {
		left[t.DataCentre] -= h.usage.Yielded[t.ID]
	}
	maps.DeleteFunc(left, notPositive)
	return left
}

func notPositive[K comparable](_ K, n int) bool { return n <= 0 }

// setSlots tells the scheduler the slots and the yield if they have changed.
func (h *Holder) setSlots(slots map[config.ID]int, yield map[string]int) {
	maps.DeleteFunc(slots, notPositive)
	maps.DeleteFunc(yield, notPositive)
	if maps.Equal(slots, h.heldSlots()) && maps.Equal(yield, h.remainingYield()) {
		return
	}
	if slots == nil {
		slots = map[config.ID]int{}
	}
	if yield == nil {
		yield = map[string]int{}
	}
	h.slots, h.yield = slots, yield
	h.usageStale = true
	h.usage.Yielded = nil
	allotted := pool.SlotsAllotted{Slots: maps.Clone(slots), Yield: maps.Clone(yield)}
	h.actions = append(h.actions, SlotsChanged{allotted})
}

// reportIfDue sends a report if Options.Renewal has passed since the last one or the dealer is
// new, and after Options.Interval if there was a significant change.
func (h *Holder) reportIfDue() {
	if !h.settled() || h.usageStale || h.dealer == (pool.Router{}) {
		return
	}
	since := h.now.Sub(h.lastReport)
	due := since >= h.options.Renewal || h.seq < h.firstSeq
	if !due && since >= h.options.Interval {
		due = h.urgent || h.significantChange()
	}
	if !due {
		return
	}
	h.seq++
	h.reported = h.currentReport()
	h.lastReport = h.now
	h.urgent = false
	h.sent = h.sent.add(h.seq, h.now, h.options.Lease)
	h.actions = append(h.actions, h.reported)
}

// settled reports whether routers have had the time to tell the scheduler their requests in
// flight.
func (h *Holder) settled() bool {
	return !h.settledAt.IsZero() && !h.now.Before(h.settledAt)
}

func (h *Holder) currentReport() Report {
	r := Report{
		Shard: h.shard, Holder: h.self, Seq: h.seq,
		Dealer: h.dealer, Version: h.version,
		Holdings: h.holdings(), Rate: h.usage.Rate,
	}
	limit := sumSlots(h.targets)
	for _, b := range h.usage.Backlogs {
		b.Need = min(b.Need, limit)
		r.Backlogs = append(r.Backlogs, b)
	}
	return r
}

// holdings returns the slots that are held or in use by target, ordered by ID.
func (h *Holder) holdings() []Holding {
	var list []Holding
	slots := h.heldSlots()
	for id, n := range slots {
		list = append(list, Holding{Target: id, Slots: n, Busy: h.usage.Busy[id]})
	}
	for id, n := range h.usage.Busy {
		if _, held := slots[id]; !held && n > 0 {
			list = append(list, Holding{Target: id, Busy: n})
		}
	}
	slices.SortFunc(list, func(a, b Holding) int { return cmp.Compare(a.Target, b.Target) })
	return list
}
