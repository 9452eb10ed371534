package pool

import (
	"github.com/chiveseam/chiveseam/breaker"
	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/fairshare"
)

// Status is a snapshot of a scheduler.
type Status struct {
	// Queued counts the waiting demands.
	Queued int
	// Targets is ordered by ID.
	Targets []TargetStatus
	// Counters is ordered by workspace, as RouterJoined takes them.
	Counters []Counter
	// SpareSlots counts the slots that are handed out ahead.
	SpareSlots int
	// FreeSlots counts the slots that are neither busy nor handed out.
	FreeSlots int
	// PeerSpares holds the free slots of the reachable other regions.
	PeerSpares map[string]int
	Granted    uint64
	Refused    uint64
}

// TargetStatus is the use of one target.
type TargetStatus struct {
	ID config.ID
	// Slots is the number that the scheduler may use.
	Slots int
	Busy  int
	// Spare counts the slots that are handed out ahead.
	Spare int
	// Down is set while the breaker admits no request.
	Down    bool
	Leaving bool
}

// Status returns a snapshot. Its cost grows with targets and workspaces.
func (s *Scheduler) Status() Status {
	status := Status{
		Queued:     s.waiting,
		Counters:   s.Counters(),
		SpareSlots: len(s.spares.byID),
		FreeSlots:  s.freeSlots(),
		PeerSpares: map[string]int{},
		Granted:    s.granted,
		Refused:    s.refused,
	}
	for _, r := range s.remotes {
		status.PeerSpares[r.Name] = r.free
	}
	for _, t := range s.sortedTargets() {
		status.Targets = append(status.Targets, TargetStatus{
			ID:      t.ID,
			Slots:   t.usable,
			Busy:    t.busy,
			Spare:   t.spares,
			Down:    t.breaker.State(s.now) == breaker.Open,
			Leaving: t.Leaving,
		})
	}
	return status
}

// Queued returns the number of waiting demands.
func (s *Scheduler) Queued() int {
	return s.waiting
}

// Counters returns the counters of all workspaces, ordered by workspace.
// Routers keep them and bring them to a new scheduler in RouterJoined.
func (s *Scheduler) Counters() []Counter {
	return toCounters(s.counters.Snapshot())
}

// CounterStep is the change from which on a counter is worth sending again to
// the routers that may rebuild the scheduler.
func (s *Scheduler) CounterStep() uint64 {
	const stepsPerCost = 2
	return uint64(s.options.InitialCost) * fairshare.Scale / stepsPerCost
}

// Differs tells whether c is to be sent to a router that has seen old: its
// backlog began or ended, or its value changed by the step.
func (c Counter) Differs(old Counter, step uint64) bool {
	change := max(c.Value, old.Value) - min(c.Value, old.Value)
	return c.Workspace != old.Workspace || c.Backlogged != old.Backlogged || change >= step
}

// Counter returns the counter of one workspace, for the router that serves it.
func (s *Scheduler) Counter(workspace config.ID) Counter {
	return Counter{
		Workspace:  workspace,
		Value:      s.counters.Value(workspace),
		Backlogged: s.counters.Backlogged(workspace),
	}
}

// PeerCounters returns a message for the schedulers of the same pool in other
// regions: the workspaces that are backlogged here or there. The counters are
// net service and not those of Counters.
func (s *Scheduler) PeerCounters(region string) PeerCounters {
	s.versions++
	return PeerCounters{
		Region:     region,
		Epoch:      uint64(s.startedAt.UnixNano()),
		Version:    s.versions,
		Counters:   toCounters(s.counters.ServiceCounters()),
		SpareSlots: s.freeSlots(),
	}
}

func (s *Scheduler) freeSlots() int {
	free := 0
	if s.settling.active {
		return free
	}
	for _, t := range s.open {
		free += t.free()
	}
	return free
}
