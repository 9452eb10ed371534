package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/config"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

var (
	start   = time.Unix(1e9, 0)
	router1 = Router{Name: "r1", Incarnation: 1}
)

// fixture is a scheduler with one joined router in zone z1, and the current time.
type fixture struct {
	*Scheduler
	now time.Time
}

func newFixture(o Options, targets ...Target) *fixture {
	f := &fixture{New(o), start}
	f.step(TargetsChanged{Targets: targets})
	f.step(WorkspacesChanged{Workspaces: []Workspace{
		{ID: 1, Share: 1, MaxQueued: 3, MaxQueuedBytes: 100},
		{ID: 2, Share: 1, DataCentre: "north"},
	}})
	f.step(RouterJoined{Router: router1, Zone: "z1"})
	return f
}

func (f *fixture) step(e Event) []Action { return f.Step(f.now, e) }

// submit submits a demand of workspace 1.
func (f *fixture) submit(seq uint64, wait time.Duration) []Action {
	return f.step(f.demandOf(seq, wait))
}

func (f *fixture) demandOf(seq uint64, wait time.Duration) Demand {
	return Demand{ID: id(seq), Workspace: 1, Deadline: f.now.Add(wait), BodyBytes: 10}
}

func (f *fixture) finish(seq uint64, outcome v1.Outcome) []Action {
	return f.step(Done{ID: id(seq), Cost: 100, Outcome: outcome, ServiceTime: time.Second})
}

func id(seq uint64) DemandID { return DemandID{router1, seq} }

func refusalCode(actions []Action) v1.Code {
	if len(actions) != 1 {
		return v1.Code_CODE_UNSPECIFIED
	}
	refusal, _ := actions[0].(Refuse)
	return refusal.Code
}

func grantedTarget(actions []Action) config.ID {
	for _, a := range actions {
		if g, ok := a.(Grant); ok {
			return g.Target
		}
	}
	return 0
}

func oneSlot() Target { return Target{ID: 10, Zone: "z1", Slots: 1, Speed: 1} }

func TestEarliestDeadlineFirst(t *testing.T) {
	is := is.New(t)
	f := newFixture(Options{}, oneSlot())
	f.submit(1, time.Minute)
	f.submit(2, time.Minute)
	f.submit(3, time.Second)
	f.submit(4, time.Minute)
	is.Equal(f.finish(1, v1.Outcome_SERVED), []Action{Grant{id(3), 10, 100, 0}})
	is.Equal(f.finish(3, v1.Outcome_SERVED), []Action{Grant{id(2), 10, 100, 0}})
}

func TestQueueBounds(t *testing.T) {
	is := is.New(t)
	f := newFixture(Options{}, oneSlot())
	f.submit(1, time.Minute)
	large := f.demandOf(2, time.Minute)
	large.BodyBytes = 101
	is.Equal(refusalCode(f.step(large)), v1.Code_QUEUE_FULL)
	for seq := uint64(3); seq < 6; seq++ {
		is.Equal(len(f.submit(seq, time.Minute)), 0)
	}
	is.Equal(refusalCode(f.submit(6, time.Minute)), v1.Code_QUEUE_FULL)
	is.Equal(len(f.submit(5, time.Minute)), 0) // a duplicate
	is.Equal(f.Status().Queued, 3)
}

// TestRefusesWhenWaitExceedsDeadline checks that a demand is refused at once if the
// expected wait exceeds its deadline, instead of after the wait.
func TestRefusesWhenWaitExceedsDeadline(t *testing.T) {
	is := is.New(t)
	f := newFixture(Options{InitialCost: 100}, oneSlot())
	for seq := uint64(1); seq <= minServiceSamples; seq++ {
		f.submit(seq, time.Minute)
		f.finish(seq, v1.Outcome_SERVED)
	}
	f.submit(100, time.Minute)
	f.submit(101, time.Minute)
	is.Equal(refusalCode(f.submit(102, 1500*time.Millisecond)), v1.Code_CODE_UNSPECIFIED) // ahead of 101
	actions := f.submit(103, 1900*time.Millisecond)                                       // 102 and 103 take 2 s
	is.Equal(refusalCode(actions), v1.Code_WAIT_EXCEEDS_DEADLINE)
	is.True(actions[0].(Refuse).RetryAfter >= minRetryAfter)
}

// TestDeadlinePassedWhilePaused checks that a demand whose deadline passed while the
// scheduler was paused is refused, although the same step frees a slot for it.
func TestDeadlinePassedWhilePaused(t *testing.T) {
	is := is.New(t)
	f := newFixture(Options{}, oneSlot())
	f.submit(1, time.Minute)
	f.submit(2, time.Second)
	at, ok := f.NextTick()
	is.True(ok)
	is.Equal(at, start.Add(time.Second))
	f.now = start.Add(time.Hour) // Done comes after the deadline of the waiting demand
	is.Equal(refusalCode(f.finish(1, v1.Outcome_SERVED)), v1.Code_DEADLINE_EXCEEDED)
	f.now = start // an earlier time is ignored
	is.Equal(refusalCode(f.submit(3, time.Second)), v1.Code_DEADLINE_EXCEEDED)
}

func TestNoTarget(t *testing.T) {
	is := is.New(t)
	f := newFixture(Options{}, oneSlot())
	d := f.demandOf(1, time.Minute)
	d.Exclude = []config.ID{10}
	is.Equal(refusalCode(f.step(d)), v1.Code_NO_TARGET)
	d = f.demandOf(2, time.Minute)
	d.Workspace = 2
	is.Equal(refusalCode(f.step(d)), v1.Code_NO_TARGET) // no target in its data centre
	d = f.demandOf(3, time.Minute)
	d.Workspace = 77
	is.Equal(refusalCode(f.step(d)), v1.Code_NOT_READY)
	f.submit(4, time.Minute)
	f.submit(5, time.Minute)
	leaving := oneSlot()
	leaving.Leaving = true
	is.Equal(refusalCode(f.step(TargetsChanged{[]Target{leaving}})), v1.Code_NO_TARGET)
}

func TestTargetChoice(t *testing.T) {
	is := is.New(t)
	f := newFixture(Options{},
		Target{ID: 10, Zone: "z1", Slots: 4, Speed: 1},
		Target{ID: 11, Zone: "z1", Slots: 4, Speed: 1.2},
		Target{ID: 12, Zone: "z2", Slots: 4, Speed: 9},
	)
	d := f.demandOf(1, time.Minute)
	d.Prefix = 5
	is.Equal(grantedTarget(f.step(d)), config.ID(11))                // own zone, faster
	is.Equal(grantedTarget(f.submit(2, time.Minute)), config.ID(10)) // more of its slots are free
	is.Equal(grantedTarget(f.submit(3, time.Minute)), config.ID(11)) // equally loaded, 11 is faster
	d.ID.Seq = 4                                                     //
	is.Equal(grantedTarget(f.step(d)), config.ID(11))                // served the prefix before
	d.ID.Seq = 5                                                     //
	d.Exclude = []config.ID{10, 11}                                  //
	is.Equal(grantedTarget(f.step(d)), config.ID(12))                // the others are excluded
	f.step(TargetReport{router1, 11, true})                          //
	is.Equal(grantedTarget(f.submit(6, time.Minute)), config.ID(10)) // unreachable from z1
	f.step(TargetReport{router1, 11, false})                         //
	is.Equal(grantedTarget(f.submit(7, time.Minute)), config.ID(10)) // 11 has 3 busy slots, 10 has 2
	is.Equal(f.affinity.lookup(5).targets[0], config.ID(12))         // the most recent target is first
	is.Equal(f.affinity.lookup(5).has(11), true)                     //
	is.Equal(newAffinity(1).lookup(5).has(11), false)                //
}

func TestAffinityMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	a := newAffinity(8)
	for prefix := range uint32(100) {
		a.record(prefix, 1)
		a.record(50, 2)
	}
	is.Equal(len(a.entries), 8)
	is.True(a.lookup(50).has(2))
}

// TestUnhealthyTargetIsProbed checks that a target which lost requests gets one probe
// after the breaker's delay, and other requests only after the probe was served.
func TestUnhealthyTargetIsProbed(t *testing.T) {
	is := is.New(t)
	f := newFixture(Options{}, Target{ID: 10, Zone: "z1", Slots: 8, Speed: 1})
	for seq := uint64(1); seq <= targetFailures; seq++ {
		f.submit(seq, time.Minute)
	}
	for seq := uint64(1); seq <= targetFailures; seq++ {
		f.finish(seq, v1.Outcome_LOST)
	}
	is.Equal(len(f.submit(11, time.Minute)), 0)
	is.Equal(len(f.submit(12, time.Minute)), 0)
	var probe []Action
	for len(probe) == 0 {
		at, ok := f.NextTick()
		is.True(ok)
		f.now = at
		probe = append(probe, f.step(Tick{})...)
	}
	is.Equal(probe, []Action{Grant{id(11), 10, defaultInitialCost, 0}}) // a single probe
	is.Equal(f.finish(11, v1.Outcome_SERVED), []Action{Grant{id(12), 10, 100, 0}})
}

// TestLostRouterHoldsItsSlots checks that the slots of a lost router stay busy for
// HoldTime, since its requests may still run, and that its waiting demands are dropped.
func TestLostRouterHoldsItsSlots(t *testing.T) {
	is := is.New(t)
	f := newFixture(Options{HoldTime: time.Second}, oneSlot())
	f.submit(1, time.Minute)
	f.submit(2, time.Minute)
	f.step(RouterLost{router1})
	f.step(RouterLost{router1})
	is.Equal(f.Status().Queued, 0)
	is.Equal(f.Status().FreeSlots, 0)
	is.Equal(len(f.submit(3, time.Minute)), 0) // the router has no stream
	f.now = start.Add(time.Second)
	f.step(Tick{})
	is.Equal(f.Status().FreeSlots, 1)
	is.Equal(len(f.routers), 0)
}

// TestRejoinReconciles checks that a router that joins again frees the slots of grants
// that it does not report, and that an earlier incarnation cannot replace a later one.
func TestRejoinReconciles(t *testing.T) {
	is := is.New(t)
	f := newFixture(Options{}, Target{ID: 10, Zone: "z1", Slots: 2, Speed: 1})
	f.submit(1, time.Minute)
	f.submit(2, time.Minute) // the grant does not reach the router
	f.submit(3, time.Minute)
	f.step(RouterJoined{Router: router1, Zone: "z1", InFlight: []InFlight{{ID: id(1), Workspace: 1, Target: 10, Charged: 50}}})
	is.Equal(f.Status().FreeSlots, 1)
	is.Equal(grantedTarget(f.submit(2, time.Minute)), config.ID(10)) // the router sends it again
	next := Router{Name: "r1", Incarnation: 2}
	f.step(RouterJoined{Router: next, Zone: "z1"})
	is.Equal(f.Status().FreeSlots, 0) // the old incarnation's slots are held
	f.step(RouterJoined{Router: router1, Zone: "z1"})
	is.Equal(f.joinedRouters["r1"].Router, next) // a late join of the old incarnation is ignored
}

// TestEmptySchedulerIsRebuilt checks that an empty scheduler takes over counters and
// requests in flight from a router, also of a target that is not listed.
func TestEmptySchedulerIsRebuilt(t *testing.T) {
	is := is.New(t)
	old := newFixture(Options{}, oneSlot())
	old.submit(1, time.Minute)
	f := newFixture(Options{}, oneSlot())
	f.step(RouterJoined{
		Router: router1, Zone: "z1", Counters: old.Counters(),
		InFlight: []InFlight{
			{ID: id(1), Workspace: 1, Target: 10, Charged: 256},
			{ID: id(9), Workspace: 1, Target: 99},
		},
	})
	is.Equal(f.Counter(1).Value, old.Counter(1).Value)
	is.Equal(len(f.submit(2, time.Minute)), 0) // the slot is busy
	f.step(RegionsChanged{[]Region{{Name: "west"}}})
	f.step(PeerCounters{Region: "west", Version: 1, FreeSlots: 4})
	f.step(PeerCounters{Region: "west", Version: 1, FreeSlots: 7}) // a duplicate
	is.Equal(f.Status().PeerFreeSlots["west"], 4)
	is.Equal(grantedTarget(f.finish(1, v1.Outcome_NOT_RUN)), config.ID(10))
	f.finish(9, v1.Outcome_SERVED)
	is.Equal(len(f.targets), 1) // the unlisted target is forgotten
}

// TestGrantWithoutReportsIsReleased checks that a slot is freed after MaxService without
// a report, so that a lost Done does not occupy it for ever.
func TestGrantWithoutReportsIsReleased(t *testing.T) {
	is := is.New(t)
	f := newFixture(Options{MaxService: time.Minute}, oneSlot())
	f.submit(1, time.Minute)
	f.now = start.Add(40 * time.Second)
	f.step(Progress{id(1), 10})
	f.now = start.Add(99 * time.Second)
	f.step(Tick{})
	is.Equal(f.Status().FreeSlots, 0)
	f.now = start.Add(100 * time.Second)
	f.step(Tick{})
	is.Equal(f.Status().FreeSlots, 1)
}

func findHandSpare(actions []Action) (HandSpare, bool) {
	for _, a := range actions {
		if spare, ok := a.(HandSpare); ok {
			return spare, true
		}
	}
	return HandSpare{}, false
}

func TestSpareSlots(t *testing.T) {
	is := is.New(t)
	f := newFixture(Options{MaxSpares: 1}, Target{ID: 10, Zone: "z1", Slots: 4, Speed: 1})
	spare, ok := findHandSpare(f.submit(1, time.Minute))
	is.True(ok)
	is.Equal(spare.Expires, start.Add(defaultSpareTTL))
	is.Equal(len(f.step(SpareUsed{spare.Spare, f.demandOf(2, time.Minute)})), 0) // half in use: no spare slot
	is.Equal(f.Status().Targets[0].Busy, 2)
	f.step(SpareUsed{spare.Spare, f.demandOf(2, time.Minute)}) // a duplicate
	is.Equal(f.Status().Targets[0].Busy, 2)
	f.step(SpareUsed{spare.Spare, f.demandOf(3, time.Minute)}) // the spare slot is no longer known
	is.Equal(f.Status().Targets[0].Busy, 3)
}

func TestSpareIsRevokedOnContention(t *testing.T) {
	is := is.New(t)
	f := newFixture(Options{MaxSpares: 1}, Target{ID: 10, Zone: "z1", Slots: 3, Speed: 1})
	spare, _ := findHandSpare(f.submit(1, time.Minute))
	f.submit(2, time.Minute)
	is.Equal(f.submit(3, time.Minute), []Action{RevokeSpare{router1, spare.Spare}})
	returned := SpareReturned{router1, spare.Spare}
	is.Equal(f.step(returned), []Action{Grant{id(3), 10, defaultInitialCost, 0}})
	is.Equal(len(f.step(returned)), 0) // a duplicate
}

func TestSpareExpires(t *testing.T) {
	is := is.New(t)
	f := newFixture(Options{MaxSpares: 1}, Target{ID: 10, Zone: "z1", Slots: 3, Speed: 1})
	f.submit(1, time.Minute)
	is.Equal(f.Status().SpareSlots, 1)
	f.now = start.Add(defaultSpareTTL + defaultSpareGrace)
	f.step(Tick{})
	is.Equal(f.Status().SpareSlots, 0)
	is.Equal(f.Status().FreeSlots, 2)
}

// TestPeerCountersOrderByTotalService checks that a workspace which was served in another
// region comes after one that was not.
func TestPeerCountersOrderByTotalService(t *testing.T) {
	is := is.New(t)
	f := newFixture(Options{InitialCost: 100}, Target{ID: 10, Zone: "z1", DataCentre: "north", Slots: 1, Speed: 1})
	f.submit(1, time.Minute)
	f.submit(2, time.Minute)
	other := f.demandOf(3, time.Minute)
	other.Workspace = 2
	f.step(other)
	for i, served := range []uint64{0, 1 << 20} {
		f.step(PeerCounters{Region: "west", Version: uint64(i + 1), Counters: []Counter{{2, served, true}}})
	}
	is.Equal(len(f.PeerCounters("east").Counters), 2)
	is.Equal(f.finish(1, v1.Outcome_SERVED), []Action{Grant{id(2), 10, 100, 0}}) // workspace 2 was served in west
}

// TestFailingTargetAttractsNoWork checks that a target that answers with errors opens its
// breaker. Since it answers quickly, its slots would be free all the time, and it would
// get all requests.
func TestFailingTargetAttractsNoWork(t *testing.T) {
	is := is.New(t)
	f := newFixture(Options{},
		Target{ID: 10, Zone: "z1", Slots: 8, Speed: 1},
		Target{ID: 11, Zone: "z2", Slots: 8, Speed: 1})
	for seq := uint64(1); seq <= targetFailures; seq++ {
		is.Equal(grantedTarget(f.submit(seq, time.Minute)), config.ID(10)) // own zone
		f.finish(seq, v1.Outcome_FAILED)
	}
	is.Equal(grantedTarget(f.submit(20, time.Minute)), config.ID(11))
}
