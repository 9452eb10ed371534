package deal

import (
	"cmp"
	"slices"
	"time"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/pool"
)

// party is what the dealer knows of a holder.
type party struct {
	shard  int
	holder pool.Router
	report Report
	// heard is when report came, and joined when the first one did.
	heard, joined time.Time
	// slots is what the holder has, or the allotment that was sent last if it
	// is not confirmed. yield is what was to be given up of it.
	slots map[config.ID]int
	yield map[string]int
	// pending holds the allotments that the holder has not confirmed.
	pending []pendingAllotment
	// unanswered is set while report was not answered.
	unanswered bool
	// allotted is when the last allotment was sent.
	allotted time.Time
}

type pendingAllotment struct {
	version uint64
	slots   map[config.ID]int
}

// take takes a newer report over.
func (p *party) take(now time.Time, r Report) {
	p.report = r
	p.heard = now
	p.unanswered = !r.Retired
	p.pending = slices.DeleteFunc(p.pending, func(a pendingAllotment) bool { return a.version <= r.Version })
	if len(p.pending) == 0 {
		p.slots = slotsOf(r.Holdings)
	}
}

// bounds returns the most slots by target that the holder may hold or use: what
// it reported, and what any allotment gives that it may apply later.
func (p *party) bounds() map[config.ID]int {
	most := map[config.ID]int{}
	for _, held := range p.report.Holdings {
		most[held.Target] = max(held.Slots, held.Busy)
	}
	for _, a := range p.pending {
		for id, n := range a.slots {
			most[id] = max(most[id], n)
		}
	}
	return most
}

// free returns how many of its allotted slots of a target were not in use.
func (p *party) free(id config.ID) int {
	i, found := slices.BinarySearchFunc(p.report.Holdings, id, func(held Holding, id config.ID) int {
		return cmp.Compare(held.Target, id)
	})
	if !found {
		return p.slots[id]
	}
	return max(p.slots[id]-p.report.Holdings[i].Busy, 0)
}

func compareParties(a, b *party) int {
	return cmp.Or(
		cmp.Compare(a.shard, b.shard),
		cmp.Compare(a.holder.Name, b.holder.Name),
		cmp.Compare(a.holder.Incarnation, b.holder.Incarnation),
	)
}
