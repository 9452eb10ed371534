package deal

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/pool"
)

// Holder keeps the allotment of a shard for its scheduler.
//
// A Holder is not safe for concurrent use. It starts no goroutine and reads no
// clock.
type Holder struct {
	self    pool.Router
	shard   int
	options Options
	now     time.Time
	started bool

	targets []pool.Target
	usage   pool.Usage
	// settledAt is when the scheduler knows the requests in flight; zero is not
	// known yet.
	settledAt time.Time
	// stale is set from SlotsChanged to the next usage: slots that are no longer
	// held may have come into use after the last.
	stale bool
	// slots were told to the scheduler last, with yield to give up of them.
	slots map[config.ID]int
	yield map[string]int
	mode  mode
	// leaseEnd is when the slots of the allotment lapse.
	leaseEnd time.Time

	dealer pool.Router
	// firstSeq is that of the first report to dealer.
	firstSeq uint64
	version  uint64
	scarce   bool

	seq      uint64
	sent     sentTimes
	reported Report
	// lastReport is when reported was sent.
	lastReport time.Time
	retired    bool
	// urgent is set when a report is due after Options.Interval.
	urgent  bool
	actions []HolderAction
}

// mode is where the slots of a holder come from.
type mode int

const (
	// leased slots are those of an allotment whose lease holds, or none.
	leased mode = iota
	// lapsed slots are those that the last allotment and the static division
	// have in common.
	lapsed
	// static slots are those of the static division.
	static
)

// NewHolder returns the holder of a shard on the incarnation self. It holds
// nothing: the scheduler gets pool.SlotsAllotted without slots before its
// targets. Step returns SlotsChanged as soon as that changes.
func NewHolder(self pool.Router, shard int, o Options) *Holder {
	return &Holder{self: self, shard: shard, options: o.withDefaults(), slots: map[config.ID]int{}, yield: map[string]int{}}
}

// Step lets time pass to now, takes in the event and returns what follows. A
// now before that of an earlier step counts as that. The returned slice is
// valid until the next call. A Report goes to its Dealer.
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
	h.lapse()
	h.handle(event)
	h.report()
	return h.actions
}

func (h *Holder) handle(event HolderEvent) {
	switch e := event.(type) {
	case Allotment:
		h.allotted(e)
	case TargetsChanged:
		h.targets = dealt(e.Targets)
		h.applyStatic()
	case DealerChanged:
		h.changeDealer(e.Dealer)
	case UsageChanged:
		h.usage = e.Usage
		h.stale = false
		if h.settledAt.IsZero() {
			h.settledAt = h.now.Add(h.options.Settle)
		}
	case Tick:
	}
}

// Retire returns the last report of a holder that gives its role up. Its
// scheduler must grant nothing more, and its requests in flight are taken over
// by the next holder. It returns false if no dealer is known.
func (h *Holder) Retire(now time.Time) (Report, bool) {
	if h.dealer == (pool.Router{}) {
		return Report{}, false
	}
	h.retired = true
	h.seq++
	return Report{Shard: h.shard, Holder: h.self, Seq: h.seq, Dealer: h.dealer, Retired: true}, true
}

// changeDealer sends the reports from here on to another dealer. What is held
// stays until its lease ends.
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

// allotted takes an allotment over unless it is late, doubled or of another
// dealer.
func (h *Holder) allotted(a Allotment) {
	if a.Holder != h.self || a.Shard != h.shard || a.Dealer != h.dealer || a.Version <= h.version {
		return
	}
	sentAt, ok := h.sent.at(a.Answers)
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
	h.mode = leased
	h.setSlots(maps.Clone(a.Slots), maps.Clone(a.Yield))
}

// lapse replaces the slots of an allotment whose lease is over. Slots that the
// static division adds wait until the leases of all others are over too, if
// the dealer is lost to all.
func (h *Holder) lapse() {
	if h.mode == leased && !h.now.Before(h.leaseEnd) {
		h.mode = lapsed
		h.urgent = true
	}
	if h.mode == lapsed && !h.now.Before(h.leaseEnd.Add(2*h.options.Renewal)) {
		h.mode = static
		h.urgent = true
	}
	h.applyStatic()
}

func (h *Holder) applyStatic() {
	if h.mode == leased {
		return
	}
	slots := Static(h.targets, h.shard, h.options.Shards)
	if h.mode == lapsed {
		held := h.held()
		for id, n := range slots {
			slots[id] = min(n, held[id])
		}
	}
	h.setSlots(slots, nil)
}

// held returns the slots by target without those that were yielded.
func (h *Holder) held() map[config.ID]int {
	held := maps.Clone(h.slots)
	for id, n := range h.usage.Yielded {
		held[id] -= n
		if held[id] <= 0 {
			delete(held, id)
		}
	}
	return held
}

// yieldLeft returns the slots by data centre that are still to be given up.
func (h *Holder) yieldLeft() map[string]int {
	left := maps.Clone(h.yield)
	for _, t := range h.targets {
		left[t.DataCentre] -= h.usage.Yielded[t.ID]
	}
	maps.DeleteFunc(left, isDone)
	return left
}

func isDone[K comparable](_ K, n int) bool { return n <= 0 }

// setSlots tells the scheduler of a change.
func (h *Holder) setSlots(slots map[config.ID]int, yield map[string]int) {
	maps.DeleteFunc(slots, isDone)
	maps.DeleteFunc(yield, isDone)
	if maps.Equal(slots, h.held()) && maps.Equal(yield, h.yieldLeft()) {
		return
	}
	if slots == nil {
		slots = map[config.ID]int{}
	}
	if yield == nil {
		yield = map[string]int{}
	}
	h.slots, h.yield = slots, yield
	h.stale = true
	h.usage.Yielded = nil
	told := pool.SlotsAllotted{Slots: maps.Clone(slots), Yield: maps.Clone(yield)}
	h.actions = append(h.actions, SlotsChanged{told})
}

// report tells the dealer of a change at once, but for Options.Interval, and of
// the rest each Options.Renewal.
func (h *Holder) report() {
	if !h.settled() || h.stale || h.dealer == (pool.Router{}) {
		return
	}
	since := h.now.Sub(h.lastReport)
	due := since >= h.options.Renewal || h.seq < h.firstSeq
	if !due && since >= h.options.Interval {
		due = h.urgent || h.changed()
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

// settled tells whether routers had the time to tell their requests in flight.
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

// holdings returns the targets that are held or in use, ordered by ID.
func (h *Holder) holdings() []Holding {
	var list []Holding
	slots := h.held()
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
