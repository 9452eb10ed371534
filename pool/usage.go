package pool

import (
	"cmp"
	"maps"
	"slices"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/fairshare"
)

// Backlog is what the workspaces of one data centre want of the pool.
type Backlog struct {
	// DataCentre is that of workspaces which are restricted to one side. It is
	// empty for workspaces that may use all targets.
	DataCentre string
	// Share is the sum of the shares of the backlogged workspaces.
	Share uint64
	// Need is the number of their slots in use and of their waiting demands.
	Need int
	// Level is the mean counter of the backlogged workspaces weighted by share,
	// in 1/fairshare.Scale cost units.
	Level uint64
	// ActiveShare is the sum of the shares of the workspaces that use slots
	// while none of their demands waits.
	ActiveShare uint64
	// Active is the number of slots that those use.
	Active int
}

// Usage is what a scheduler uses and wants of its targets.
type Usage struct {
	// Backlogs has at most one entry for each data centre, in their order.
	Backlogs []Backlog
	// Busy holds the slots in use by target, spare slots that were handed out
	// included.
	Busy map[config.ID]int
	// Yielded holds the slots by target that were given up since the last
	// SlotsAllotted because of its Yield.
	Yielded map[config.ID]int
	// Rate is the service of the slots in use in cost units a second, zero as
	// long as it is not known.
	Rate uint64
}

// SlotsAllotted sets how many slots of each target the scheduler may use, if
// other schedulers use the rest. Absent targets have none. A target's Slots
// stay what it could serve: a demand is not refused for want of a target
// because none of its slots are allotted now.
type SlotsAllotted struct {
	Slots map[config.ID]int
	// Yield is the number of slots by data centre to give up, whichever come
	// free first.
	Yield map[string]int
}

func (SlotsAllotted) event() {}

func (s *Scheduler) allot(e SlotsAllotted) {
	s.allotted = maps.Clone(e.Slots)
	if s.allotted == nil {
		s.allotted = map[config.ID]int{}
	}
	s.yield = maps.Clone(e.Yield)
	clear(s.yielded)
	s.limitSlots()
	for _, t := range s.sortedTargets() {
		s.yieldFree(t)
		s.updateOpen(t)
		s.touch(t)
	}
	s.revokeUnusable()
}

// limitSlots applies the allotment to the targets.
func (s *Scheduler) limitSlots() {
	for _, t := range s.targets {
		t.usable = t.Slots
		if s.allotted != nil {
			t.usable = min(t.Slots, s.allotted[t.ID]-s.yielded[t.ID])
		}
	}
	s.countSlots()
}

// yieldFree gives free slots of t up as far as they are to be yielded.
func (s *Scheduler) yieldFree(t *target) {
	n := min(t.free(), s.yield[t.DataCentre])
	if n <= 0 {
		return
	}
	s.yield[t.DataCentre] -= n
	s.yielded[t.ID] += n
	t.usable -= n
}

// Settled tells whether the scheduler knows the requests in flight, as far as
// routers have joined: it does not wait for Options.SettleTime.
func (s *Scheduler) Settled() bool {
	return !s.settling.active
}

// Usage returns what is used and wanted now. Its cost grows with targets and
// workspaces.
func (s *Scheduler) Usage() Usage {
	u := Usage{Busy: map[config.ID]int{}, Yielded: maps.Clone(s.yielded)}
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

// backlogSum sums up the backlogged workspaces of a data centre.
type backlogSum struct {
	Backlog
}

// add counts a workspace. A backlogged one moves the mean level towards its
// counter by the part of its share.
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
