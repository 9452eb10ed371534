package pool

import (
	"github.com/chiveseam/chiveseam/breaker"
	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/fairshare"
)

// Status is a snapshot of a scheduler's queue, targets and counters.
type Status struct {
	// Queued is the number of demands in the queues.
	Queued int
	// Targets is ordered by ID.
	Targets []TargetStatus
	// Counters is ordered by workspace. It has the form of RouterJoined.Counters.
	Counters []Counter
	// SpareSlots is the number of spare slots that routers hold.
	SpareSlots int
	// FreeSlots is the number of slots that are neither busy nor spare slots of
	// routers, on targets that accept new requests. It is zero during
	// Options.SettleTime.
	FreeSlots int
	// PeerFreeSlots is the number of free slots of each reachable other region.
	PeerFreeSlots map[string]int
	// Granted and Refused count the demands since the scheduler was made.
	Granted uint64
	Refused uint64
}

// TargetStatus is the part of Status about one target.
type TargetStatus struct {
	ID config.ID
	// Slots is the number of slots that the scheduler may use, and Busy the number
	// that granted demands use.
	Slots int
	Busy  int
	// Spare is the number of spare slots that routers hold.
	Spare int
	// Down is set while the target's breaker is open and admits no request.
	Down    bool
	Leaving bool
}

// Status returns a snapshot. It takes time in proportion to the number of targets
// and workspaces.
func (s *Scheduler) Status() Status {
	status := Status{
		Queued:        s.waiting,
		Counters:      s.Counters(),
		SpareSlots:    len(s.spares.byID),
		FreeSlots:     s.freeSlots(),
		PeerFreeSlots: map[string]int{},
		Granted:       s.grantCount,
		Refused:       s.refusalCount,
	}
	for _, r := range s.remotes {
		status.PeerFreeSlots[r.Name] = r.free
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

// Queued returns Status.Queued without the cost of a whole Status.
func (s *Scheduler) Queued() int {
	return s.waiting
}

// Counters returns the counters of all workspaces, ordered by workspace. Routers
// keep them and send them to a new scheduler in RouterJoined.
func (s *Scheduler) Counters() []Counter {
	return toCounters(s.counters.Snapshot())
}

// CounterStep returns the change of Counter.Value from which on a counter is sent
// again to the routers, which may have to rebuild the scheduler with it: half of
// Options.InitialCost at share 1.
func (s *Scheduler) CounterStep() uint64 {
	const stepsPerCost = 2
	return uint64(s.options.InitialCost) * fairshare.Scale / stepsPerCost
}

// Differs reports whether c must be sent to a router that was sent old: its backlog
// began or ended, or its value changed by at least step.
func (c Counter) Differs(old Counter, step uint64) bool {
	change := max(c.Value, old.Value) - min(c.Value, old.Value)
	return c.Workspace != old.Workspace || c.Backlogged != old.Backlogged || change >= step
}

// Counter returns the counter of one workspace. It is sent to the router that serves
// the workspace.
func (s *Scheduler) Counter(workspace config.ID) Counter {
	return Counter{
		Workspace:  workspace,
		Value:      s.counters.Value(workspace),
		Backlogged: s.counters.Backlogged(workspace),
	}
}

// PeerCounters returns the next message for the schedulers of the same pool in other
// regions. It names the workspaces that are backlogged here or there. Its counters
// are the net service (fairshare.Counters.ServiceCounters), not those of Counters.
func (s *Scheduler) PeerCounters(region string) PeerCounters {
	s.peerVersion++
	return PeerCounters{
		Region:    region,
		Epoch:     uint64(s.startedAt.UnixNano()),
		Version:   s.peerVersion,
		Counters:  toCounters(s.counters.ServiceCounters()),
		FreeSlots: s.freeSlots(),
	}
}

func (s *Scheduler) freeSlots() int {
	free := 0
	if s.settling.active {
		return free
	}
	for _, t := range s.freeTargets {
		free += t.free()
	}
	return free
}
