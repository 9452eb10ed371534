package pool_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/pool"
)

// TestRebuiltSchedulerWaitsForRouters checks that a rebuilt scheduler grants no slot
// until all routers had time to report which are in use.
func TestRebuiltSchedulerWaitsForRouters(t *testing.T) {
	is := is.New(t)
	const settle = 100 * time.Millisecond
	start := time.Unix(1_800_000_000, 0)
	first, second := pool.Router{Name: "first", Incarnation: 1}, pool.Router{Name: "second", Incarnation: 1}
	s := pool.New(pool.Options{SettleTime: settle})
	s.Step(start, pool.WorkspacesChanged{Workspaces: []pool.Workspace{{ID: 1, Share: 1}}})
	s.Step(start, pool.TargetsChanged{Targets: []pool.Target{{ID: 1, Slots: 1, Speed: 1}, {ID: 2, Slots: 2, Speed: 1}}})
	s.Step(start, pool.RouterJoined{Router: first, InFlight: []pool.InFlight{
		{ID: pool.DemandID{Router: first, Seq: 1}, Workspace: 1, Target: 1},
	}})
	for seq := uint64(2); seq <= 3; seq++ {
		is.Equal(len(s.Step(start, pool.Demand{ID: pool.DemandID{Router: first, Seq: seq}, Workspace: 1})), 0)
	}
	s.Step(start, pool.RouterJoined{Router: second, InFlight: []pool.InFlight{
		{ID: pool.DemandID{Router: second, Seq: 1}, Workspace: 1, Target: 2},
	}})
	is.Equal(s.Status().FreeSlots, 0) // peers are told of no free slots meanwhile
	due, ok := s.NextTick()
	is.True(ok)
	is.Equal(due, start.Add(settle))
	is.Equal(len(s.Step(due.Add(-time.Nanosecond), pool.Tick{})), 0)
	granted := 0
	for _, action := range s.Step(due, pool.Tick{}) {
		g := action.(pool.Grant)
		is.Equal(int(g.Target), 2)
		granted++
	}
	is.Equal(granted, 1) // the one slot that is free
}

// TestFreshSchedulerGrantsAtOnce checks that the first demand of a new pool is granted at
// once, since no request is in flight.
func TestFreshSchedulerGrantsAtOnce(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1_800_000_000, 0)
	router := pool.Router{Name: "first", Incarnation: 1}
	s := pool.New(pool.Options{SettleTime: time.Second})
	s.Step(start, pool.WorkspacesChanged{Workspaces: []pool.Workspace{{ID: 1, Share: 1}}})
	s.Step(start, pool.TargetsChanged{Targets: []pool.Target{{ID: 1, Slots: 1, Speed: 1}}})
	s.Step(start, pool.RouterJoined{Router: router})
	is.Equal(len(s.Step(start, pool.Demand{ID: pool.DemandID{Router: router, Seq: 1}, Workspace: 1})), 1)
}

// TestRebuiltSchedulerWithIdleRouterFirst checks that a rebuilt scheduler, which an idle
// router joins first, grants at most one slot and hands out no spare slot until all
// routers had time to report which are in use.
func TestRebuiltSchedulerWithIdleRouterFirst(t *testing.T) {
	is := is.New(t)
	const settle = 100 * time.Millisecond
	start := time.Unix(1_800_000_000, 0)
	idle, busy := pool.Router{Name: "idle", Incarnation: 1}, pool.Router{Name: "busy", Incarnation: 1}
	s := pool.New(pool.Options{SettleTime: settle, MaxSpares: 4})
	s.Step(start, pool.WorkspacesChanged{Workspaces: []pool.Workspace{{ID: 1, Share: 1}}})
	s.Step(start, pool.TargetsChanged{Targets: []pool.Target{{ID: 1, Slots: 3, Speed: 1}}})
	s.Step(start, pool.RouterJoined{Router: idle})
	actions := 0
	for seq := uint64(1); seq <= 3; seq++ {
		actions += len(s.Step(start, pool.Demand{ID: pool.DemandID{Router: idle, Seq: seq}, Workspace: 1}))
	}
	is.Equal(actions, 1) // the first grant
	s.Step(start.Add(settle/2), pool.RouterJoined{Router: busy, InFlight: []pool.InFlight{
		{ID: pool.DemandID{Router: busy, Seq: 1}, Workspace: 1, Target: 1},
	}})
	due, ok := s.NextTick()
	is.True(ok)
	is.Equal(due, start.Add(settle))
	is.Equal(len(s.Step(due.Add(-time.Nanosecond), pool.Tick{})), 0)
	is.Equal(len(s.Step(due, pool.Tick{})), 1) // the one slot that is free
	is.True(s.Settled())
}

// TestLateInFlightReportRestartsSettling checks that a scheduler that has granted nothing
// waits for SettleTime again when a router reports requests in flight, during its first
// wait or after it.
func TestLateInFlightReportRestartsSettling(t *testing.T) {
	for _, at := range []time.Duration{50 * time.Millisecond, time.Second} {
		is := is.New(t)
		const settle = 100 * time.Millisecond
		start := time.Unix(1_800_000_000, 0)
		idle, busy := pool.Router{Name: "idle", Incarnation: 1}, pool.Router{Name: "busy", Incarnation: 1}
		s := pool.New(pool.Options{SettleTime: settle})
		s.Step(start, pool.WorkspacesChanged{Workspaces: []pool.Workspace{{ID: 1, Share: 1}}})
		s.Step(start, pool.TargetsChanged{Targets: []pool.Target{{ID: 1, Slots: 2, Speed: 1}}})
		s.Step(start, pool.RouterJoined{Router: idle})
		s.Step(start.Add(at), pool.RouterJoined{Router: busy, InFlight: []pool.InFlight{
			{ID: pool.DemandID{Router: busy, Seq: 1}, Workspace: 1, Target: 1},
		}})
		demand := pool.Demand{ID: pool.DemandID{Router: idle, Seq: 1}, Workspace: 1}
		is.Equal(len(s.Step(start.Add(at+settle-time.Nanosecond), demand)), 0)
		is.Equal(len(s.Step(start.Add(at+settle), pool.Tick{})), 1)
	}
}
