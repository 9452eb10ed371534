package deal

import (
	"maps"
	"slices"
	"time"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/pool"
)

// driftParts is the part of a lease, as a divisor, that clocks may differ by
// within it.
const driftParts = 32

// Dealer divides the slots of a pool between the holders of its shards.
//
// A Dealer is not safe for concurrent use. It starts no goroutine and reads no
// clock.
type Dealer struct {
	self    pool.Router
	options Options
	now     time.Time
	// learning is set until all shards have reported, or any lease of an
	// earlier dealer is over.
	learning   bool
	learnUntil time.Time

	targets []pool.Target
	parties []*party
	levels  levels
	version uint64
	// dirty is set when something changed since the last deal.
	dirty    bool
	lastDeal time.Time
	actions  []Allotment
}

// NewDealer returns a dealer without targets on the incarnation self. Its
// first step starts the time in which it learns what the holders have.
func NewDealer(self pool.Router, o Options) *Dealer {
	return &Dealer{self: self, options: o.withDefaults(), learning: true, levels: newLevels()}
}

// Step lets time pass to now, takes in the event and returns the allotments to
// send. A now before that of an earlier step counts as that. The returned slice
// is valid until the next call.
func (d *Dealer) Step(now time.Time, event DealerEvent) []Allotment {
	d.actions = d.actions[:0]
	if d.learnUntil.IsZero() {
		d.now = now
		d.learnUntil = now.Add(d.leaseTime())
	}
	if now.After(d.now) {
		d.now = now
	}
	d.handle(event)
	d.expire()
	d.learn()
	if d.dirty && d.now.Sub(d.lastDeal) >= d.options.Interval {
		d.deal()
	}
	return d.actions
}

func (d *Dealer) handle(event DealerEvent) {
	switch e := event.(type) {
	case Report:
		d.report(e)
	case TargetsChanged:
		d.targets = dealt(e.Targets)
		d.dirty = true
	case Tick:
	}
}

// leaseTime is how long after a report came the lease that it began may hold.
func (d *Dealer) leaseTime() time.Duration {
	return d.options.Lease + d.options.Lease/driftParts
}

// report takes a report over unless it is late or doubled.
func (d *Dealer) report(r Report) {
	if r.Dealer != d.self || r.Shard < 0 || r.Shard >= d.options.Shards {
		return
	}
	p := &party{shard: r.Shard, holder: r.Holder, joined: d.now}
	i, found := slices.BinarySearchFunc(d.parties, p, compareParties)
	if found {
		p = d.parties[i]
		if r.Seq <= p.report.Seq {
			return
		}
	} else {
		d.parties = slices.Insert(d.parties, i, p)
		p.slots = slotsOf(r.Holdings)
		d.levels.forget(r.Shard)
	}
	p.take(d.now, r)
	d.dirty = true
}

func slotsOf(holdings []Holding) map[config.ID]int {
	slots := map[config.ID]int{}
	for _, held := range holdings {
		if held.Slots > 0 {
			slots[held.Target] = held.Slots
		}
	}
	return slots
}

// expire drops the holders whose slots may be dealt again.
func (d *Dealer) expire() {
	before := len(d.parties)
	d.parties = slices.DeleteFunc(d.parties, d.expired)
	if len(d.parties) < before {
		d.dirty = true
	}
}

// expired tells whether the lease of a holder is over, and either the next
// holder of its shard has told which slots are still in use, or time enough for
// that has passed.
func (d *Dealer) expired(p *party) bool {
	silent := d.now.Sub(p.heard)
	if silent >= d.options.Reclaim {
		return true
	}
	if !p.report.Retired && silent < d.leaseTime() {
		return false
	}
	return slices.ContainsFunc(d.parties, func(next *party) bool {
		return next != p && next.shard == p.shard && next.heard.After(p.heard) && !next.report.Retired
	})
}

// learn ends the learning once it is known what all shards hold.
func (d *Dealer) learn() {
	if !d.learning {
		return
	}
	seen := map[int]bool{}
	for _, p := range d.parties {
		seen[p.shard] = true
	}
	if len(seen) == d.options.Shards || !d.now.Before(d.learnUntil) {
		d.learning = false
		d.dirty = true
	}
}

// deal divides the slots and sends the allotments that changed or are due.
func (d *Dealer) deal() {
	d.dirty = false
	d.lastDeal = d.now
	if d.learning || d.targets == nil {
		for _, p := range d.parties {
			d.renew(p)
		}
		return
	}
	bounds := make([]map[config.ID]int, len(d.parties))
	var live []int
	left := map[config.ID]int{}
	for _, t := range d.targets {
		left[t.ID] = t.Slots
	}
	for i, p := range d.parties {
		if d.waits(p) {
			d.renew(p)
			continue
		}
		bounds[i] = p.bounds()
		if !d.silent(p) {
			live = append(live, i)
			continue
		}
		subtract(left, bounds[i])
	}
	wanted, scarce := d.divide(live, left)
	d.send(live, wanted, bounds, scarce)
}

// silent tells whether a holder seems not to take allotments in.
func (d *Dealer) silent(p *party) bool {
	return p.report.Retired || d.now.Sub(p.heard) >= 2*d.options.Renewal+d.options.Interval
}

func subtract(left, used map[config.ID]int) {
	for id, n := range used {
		if _, ok := left[id]; ok {
			left[id] = max(left[id]-n, 0)
		}
	}
}

// waits tells whether a new holder has no slots yet because the lease of the
// one before it may hold. The requests that it knows are then among the slots
// of that one.
func (d *Dealer) waits(p *party) bool {
	if len(p.slots) > 0 || d.now.Sub(p.joined) >= d.leaseTime() {
		return false
	}
	return slices.ContainsFunc(d.parties, func(earlier *party) bool {
		return earlier.shard == p.shard && earlier.joined.Before(p.joined)
	})
}

// renew answers a report with what the holder has.
func (d *Dealer) renew(p *party) {
	if d.answerDue(p) {
		d.allot(p, portion{p.slots, nil}, false)
	}
}

// answerDue tells whether the lease of the holder is to be renewed.
func (d *Dealer) answerDue(p *party) bool {
	return p.unanswered && d.now.Sub(p.allotted) >= d.options.Renewal/2
}

// send lowers allotments at once, and raises them as far as no other holder may
// have the slots.
func (d *Dealer) send(live []int, wanted []portion, bounds []map[config.ID]int, scarce bool) {
	room := map[config.ID]int{}
	for _, t := range d.targets {
		room[t.ID] = t.Slots
	}
	for _, most := range bounds {
		for id, n := range most {
			room[id] -= n
		}
	}
	for n, i := range live {
		p := d.parties[i]
		slots := map[config.ID]int{}
		for _, id := range slices.Sorted(maps.Keys(wanted[n].slots)) {
			most, want := bounds[i][id], wanted[n].slots[id]
			more := max(min(want-most, room[id]), 0)
			room[id] -= more
			if want = min(want, most+more); want > 0 {
				slots[id] = want
			}
		}
		if d.answerDue(p) || !maps.Equal(slots, p.slots) || !maps.Equal(wanted[n].yield, p.yield) {
			d.allot(p, portion{slots, wanted[n].yield}, scarce)
		}
	}
}

func (d *Dealer) allot(p *party, to portion, scarce bool) {
	d.version++
	p.slots = to.slots
	p.yield = to.yield
	p.pending = append(p.pending, pendingAllotment{d.version, to.slots})
	p.unanswered = false
	p.allotted = d.now
	d.actions = append(d.actions, Allotment{
		Shard: p.shard, Holder: p.holder, Dealer: d.self, Version: d.version,
		Answers: p.report.Seq, Slots: maps.Clone(to.slots), Yield: maps.Clone(to.yield), Scarce: scarce,
	})
}
