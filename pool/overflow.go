package pool

import (
	"slices"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/fairshare"
)

// overflow moves waiting demands to free slots of another region, in the order
// in which they would get slots here. What they cost there comes back with
// PeerCounters, so nothing is charged.
func (s *Scheduler) overflow(e Overflow) {
	var charges []fairshare.Charge
	for range e.Slots {
		d := s.nextFor(e.DataCentres)
		if d == nil {
			break
		}
		id := d.workspace.ID
		// The charge lets the next workspace take its turn within this step.
		charges = append(charges, s.counters.Reserve(id, s.counters.Estimate(id, d.estimate)))
		s.unqueue(d)
		s.forget(d)
		s.emit(Move{ID: d.id, Region: e.Region})
	}
	for i := range charges {
		s.counters.Refund(&charges[i])
	}
}

// nextFor returns the waiting demand that is first in line for a slot in one of
// the data centres and has not been moved before, or nil.
func (s *Scheduler) nextFor(dataCentres []string) *demand {
	var first *demand
	for _, dataCentre := range dataCentres {
		id, ok := s.counters.Next(dataCentre, func(id config.ID) bool {
			return s.workspaces[id].movable() != nil
		})
		if ok && (first == nil || s.counters.Before(id, first.workspace.ID)) {
			first = s.workspaces[id].movable()
		}
	}
	return first
}

// movable returns the first waiting demand of w that was not moved, or nil.
func (w *workspace) movable() *demand {
	var first *demand
	for _, c := range w.classes {
		i := slices.IndexFunc(c.queue, func(d *demand) bool { return !d.moved })
		if i >= 0 && (first == nil || c.queue[i].before(first)) {
			first = c.queue[i]
		}
	}
	return first
}
