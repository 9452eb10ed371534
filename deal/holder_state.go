package deal

import (
	"cmp"
	"slices"
	"time"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/pool"
)

// holderState is what the dealer knows of a holder.
type holderState struct {
	shard  int
	holder pool.Router
	// report is the last report of the holder.
	report Report
	// lastReport and firstReport are the times at which the last and the first report came.
	lastReport, firstReport time.Time
	// slots is the number of slots by target of the last allotment, or of the last report if that
	// confirms all allotments. yield is how many of the slots, by data centre, the holder was told
	// to give up.
	slots map[config.ID]int
	yield map[string]int
	// pending holds the allotments that the holder has not confirmed by a report.
	pending []pendingAllotment
	// unanswered is set while report waits for an allotment.
	unanswered bool
	// lastAllotment is the time at which the last allotment was sent.
	lastAllotment time.Time
}

type pendingAllotment struct {
	version uint64
	slots   map[config.ID]int
}

// applyReport replaces the last report by a newer one.
func (h *holderState) applyReport(now time.Time, r Report) {
	h.report = r
	h.lastReport = now
	h.unanswered = !r.Retired
	h.pending = slices.DeleteFunc(h.pending, func(a pendingAllotment) bool { return a.version <= r.Version })
	if len(h.pending) == 0 {
		h.slots = slotsByTarget(r.Holdings)
	}
}

// upperBounds returns the most slots of each target that the holder may hold or use: those that
// it reported, and those of any allotment that it may still apply.
func (h *holderState) upperBounds() map[config.ID]int {
	bounds := map[config.ID]int{}
	for _, held := range h.report.Holdings {
		bounds[held.Target] = max(held.Slots, held.Busy)
	}
	for _, a := range h.pending {
		for id, n := range a.slots {
			bounds[id] = max(bounds[id], n)
		}
	}
	return bounds
}

// freeSlots returns how many of the holder's slots of a target were not in use by its last
// report.
func (h *holderState) freeSlots(id config.ID) int {
	i, found := slices.BinarySearchFunc(h.report.Holdings, id, func(held Holding, id config.ID) int {
		return cmp.Compare(held.Target, id)
	})
	if !found {
		return h.slots[id]
	}
	return max(h.slots[id]-h.report.Holdings[i].Busy, 0)
}

// compareHolders orders holders by shard, then by router.
func compareHolders(a, b *holderState) int {
	return cmp.Or(
		cmp.Compare(a.shard, b.shard),
		cmp.Compare(a.holder.Name, b.holder.Name),
		cmp.Compare(a.holder.Incarnation, b.holder.Incarnation),
	)
}
