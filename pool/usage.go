package pool

import (
	"cmp"
	"maps"
	"slices"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/fairshare"
)

// Backlog sums up the slots that the workspaces of one data centre use and need.
type Backlog struct {
	// DataCentre is Workspace.DataCentre of these workspaces. It is empty for
	// those that may use all targets.
	DataCentre string
	// Share is the sum of the shares of the backlogged workspaces.
	Share uint64
	// Need is the number of slots that the backlogged workspaces use, plus the
	// number of their waiting demands.
	Need int
	// Level is the mean of the counters of the backlogged workspaces, weighted by
	// share, in 1/fairshare.Scale cost units.
	Level uint64
	// ActiveShare is the sum of the shares of the workspaces that use slots
	// while none of their demands waits.
	ActiveShare uint64
	// Active is the number of slots that the workspaces in ActiveShare use.
	Active int
}

// Usage reports the slots that a scheduler uses and needs. The slots of a pool that
// several schedulers share are allotted by it, see SlotsAllotted.
type Usage struct {
	// Backlogs has at most one entry for each data centre, ordered by data centre.
	Backlogs []Backlog
	// Busy is the number of slots in use by target, including spare slots that
	// routers hold.
	Busy map[config.ID]int
	// Yielded is the number of slots by target that were given up since the last
	// SlotsAllotted because of its Yield.
	Yielded map[config.ID]int
	// Rate is the service rate of all slots in use in cost units a second, or zero
	// while it is not known.
	Rate uint64
}

// SlotsAllotted sets how many slots of each target the scheduler may use. It is for
// a pool whose slots several schedulers share. Target.Slots is not changed, so
// that a demand is not refused with NO_TARGET if its targets have no allotted slots
// at present.
type SlotsAllotted struct {
	// Slots is the number of allotted slots by target, and zero for targets that
	// are absent.
	Slots map[config.ID]int
	// Yield is the number of slots to give up, by data centre: those that become
	// free first.
	Yield map[string]int
}

func (SlotsAllotted) event() {}

func (s *Scheduler) handleSlotsAllotted(e SlotsAllotted) {
	s.allotted = maps.Clone(e.Slots)
	if s.allotted == nil {
		s.allotted = map[config.ID]int{}
	}
	s.slotsToYield = maps.Clone(e.Yield)
	clear(s.yieldedSlots)
	s.applyAllotment()
	for _, t := range s.sortedTargets() {
		s.yieldFreeSlots(t)
		s.updateFreeTargets(t)
		s.markForDispatch(t)
	}
	s.revokeUnusable()
}

// applyAllotment sets the number of usable slots of each target.
func (s *Scheduler) applyAllotment() {
	for _, t := range s.targets {
		t.usable = t.Slots
		if s.allotted != nil {
			t.usable = min(t.Slots, s.allotted[t.ID]-s.yieldedSlots[t.ID])
		}
	}
	s.countSlots()
}

// yieldFreeSlots gives up free slots of t while slots of its data centre are to be
// yielded.
func (s *Scheduler) yieldFreeSlots(t *target) {
	n := min(t.free(), s.slotsToYield[t.DataCentre])
	if n <= 0 {
		return
	}
	s.slotsToYield[t.DataCentre] -= n
	s.yieldedSlots[t.ID] += n
	t.usable -= n
}

// Settled reports whether the scheduler is not in Options.SettleTime. It then knows the
// requests in flight of all routers that have joined.
func (s *Scheduler) Settled() bool {
	return !s.settling.active
}

// Usage returns the current usage. It takes time in proportion to the number of
// targets and workspaces.
func (s *Scheduler) Usage() Usage {
	u := Usage{Busy: map[config.ID]int{}, Yielded: maps.Clone(s.yieldedSlots)}
	busy := 0
	for _, t := range s.targets {
		if used := t.busy + t.spares; used > 0 {
			u.Busy[t.ID] = used
			busy += t.busy
		}
	}
	if perSlot, ok := s.service.perSecond(); ok {
		u.Rate = uint64(perSlot * float64(busy))
	}
	u.Backlogs = s.backlogs()
	return u
}

func (s *Scheduler) backlogs() []Backlog {
	sums := map[string]*backlogSum{}
	for _, w := range s.sortedWorkspaces() {
		sum := sums[w.DataCentre]
		if sum == nil {
			sum = &backlogSum{Backlog: Backlog{DataCentre: w.DataCentre}}
			sums[w.DataCentre] = sum
		}
		sum.add(w, s.counters)
	}
	var list []Backlog
	for _, sum := range sums {
		if sum.Need+sum.Active > 0 {
			list = append(list, sum.Backlog)
		}
	}
	slices.SortFunc(list, func(a, b Backlog) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return list
}

// backlogSum adds up the Backlog of a data centre.
type backlogSum struct {
	Backlog
}

// add counts a workspace. Level is updated as a running weighted mean: a backlogged
// workspace moves it towards its counter by its part of the shares added so far.
func (b *backlogSum) add(w *workspace, counters *fairshare.Counters) {
	share := uint64(max(w.Share, 1))
	if !counters.Backlogged(w.ID) {
		b.Active += w.running
		if w.running > 0 {
			b.ActiveShare += share
		}
		return
	}
	b.Need += w.running + w.queued
	b.Share += share
	part := float64(share) / float64(b.Share)
	b.Level += uint64(int64(part * float64(int64(counters.Value(w.ID)-b.Level))))
}
