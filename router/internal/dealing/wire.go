package dealing

import (
	"cmp"
	"maps"
	"slices"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/deal"
	"github.com/chiveseam/chiveseam/pool"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

func reportMessage(id config.ID, r deal.Report) *v1.ShardReport {
	m := &v1.ShardReport{
		Shard:   uint32(id),
		Seq:     r.Seq,
		Version: r.Version,
		Rate:    r.Rate,
		Retired: r.Retired,
	}
	for _, b := range r.Backlogs {
		m.Backlogs = append(m.Backlogs, &v1.ShardBacklog{
			DataCentre:  b.DataCentre,
			Share:       b.Share,
			Need:        uint32(b.Need),
			Level:       b.Level,
			ActiveShare: b.ActiveShare,
			Active:      uint32(b.Active),
		})
	}
	for _, h := range r.Holdings {
		m.Targets = append(m.Targets, uint32(h.Target))
		m.Slots = append(m.Slots, uint32(h.Slots))
		m.Busy = append(m.Busy, uint32(h.Busy))
	}
	return m
}

// reportFromMessage returns the report of a holder to the dealer. If a list in the message
// is shorter than the list of targets, the missing numbers are zero.
func reportFromMessage(m *v1.ShardReport, shard config.Shard, holder, dealer pool.Router) deal.Report {
	r := deal.Report{
		Shard:   shard.Index,
		Holder:  holder,
		Seq:     m.Seq,
		Dealer:  dealer,
		Version: m.Version,
		Rate:    m.Rate,
		Retired: m.Retired,
	}
	for _, b := range m.Backlogs {
		r.Backlogs = append(r.Backlogs, pool.Backlog{
			DataCentre:  b.DataCentre,
			Share:       b.Share,
			Need:        int(b.Need),
			Level:       b.Level,
			ActiveShare: b.ActiveShare,
			Active:      int(b.Active),
		})
	}
	for i, target := range m.Targets {
		r.Holdings = append(r.Holdings, deal.Holding{
			Target: config.ID(target),
			Slots:  valueAt(m.Slots, i),
			Busy:   valueAt(m.Busy, i),
		})
	}
	return r
}

func allotmentMessage(id config.ID, a deal.Allotment) *v1.ShardAllotment {
	m := &v1.ShardAllotment{
		Shard:   uint32(id),
		Version: a.Version,
		Answers: a.Answers,
		Scarce:  a.Scarce,
	}
	for target := range a.Slots {
		m.Targets = append(m.Targets, uint32(target))
	}
	slices.SortFunc(m.Targets, cmp.Compare[uint32])
	for _, target := range m.Targets {
		m.Slots = append(m.Slots, uint32(a.Slots[config.ID(target)]))
	}
	for _, dataCentre := range slices.Sorted(maps.Keys(a.Yield)) {
		m.Yields = append(m.Yields, &v1.ShardYield{DataCentre: dataCentre, Slots: uint32(a.Yield[dataCentre])})
	}
	return m
}

// allotmentFromMessage returns the allotment of the dealer for a holder. If the list of
// slots in the message is shorter than the list of targets, the missing numbers are zero.
func allotmentFromMessage(m *v1.ShardAllotment, shard config.Shard, holder, dealer pool.Router) deal.Allotment {
	a := deal.Allotment{
		Shard:   shard.Index,
		Holder:  holder,
		Dealer:  dealer,
		Version: m.Version,
		Answers: m.Answers,
		Slots:   make(map[config.ID]int, len(m.Targets)),
		Yield:   make(map[string]int, len(m.Yields)),
		Scarce:  m.Scarce,
	}
	for _, y := range m.Yields {
		a.Yield[y.DataCentre] = int(y.Slots)
	}
	for i, target := range m.Targets {
		a.Slots[config.ID(target)] = valueAt(m.Slots, i)
	}
	return a
}

// valueAt returns the element of list at i, or zero if the list is shorter.
func valueAt(list []uint32, i int) int {
	if i >= len(list) {
		return 0
	}
	return int(list[i])
}
