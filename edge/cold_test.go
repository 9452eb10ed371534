package edge

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/routing"
)

// Guards against heartbeats that count as changes of a target, which would reset its state and flood the
// log since the time for which it is cold counts down, and against a registration that is read again and
// counts as a new one.
func TestHeartbeatsOfColdTargetsAreNoChanges(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	d := newDirectory(2 * time.Second)
	cold := target1
	cold.ColdRemaining = 3 * time.Second
	is.Equal(len(d.update(now, TargetChange{ID: "i-1", Target: cold})), 1)
	is.Equal(len(d.takeReceived()), 1)
	is.Equal(len(d.update(now, TargetChange{ID: "i-1", Target: cold})), 0)
	is.Equal(len(d.takeReceived()), 0)
	cold.Sequence, cold.ColdRemaining = 2, 1800*time.Millisecond
	is.Equal(len(d.update(now, TargetChange{ID: "i-1", Target: cold})), 0)
	is.Equal(d.takeReceived(), []routing.Target{cold})
	is.Equal(d.targets["i-1"].ColdRemaining, 1800*time.Millisecond)
}

// Guards against a burst at an idle target that turns cold again without a restart, by a heartbeat: it
// gets what it takes, and callers are refused with the reason.
func TestColdTargetGetsWhatItTakes(t *testing.T) {
	target := newTestTarget(t, "t1", func(s *receivedRequest) { s.answer(200, "x") })
	f := newFixture(t, target)
	services := []routing.Service{{Name: "s", ColdStart: 3 * time.Second, ColdPerSecond: 4}}
	table := routing.NewTable(2, testRoutes(), services, routing.Limits{IdleTimeout: 10 * time.Second}, map[string]string{"key": "shop"})
	f.source.publish(table, target.registration())
	f.await(func() bool { return f.edge.table.Load().Version == 2 })
	cold := target.registration()
	cold.Sequence, cold.ColdRemaining = 2, 3*time.Second
	f.source.publish(table, cold)
	f.await(func() bool { return f.logs.contains(`"event":"target_cold"`, `"source":"registration"`) })
	for began := time.Now(); time.Since(began) < 2*time.Second; time.Sleep(10 * time.Millisecond) {
		f.client().call("POST", "/once/")
	}
	t.Logf("%d requests in 2 s", len(target.requests()))
	f.is.True(len(target.requests()) <= 8) // 4 in any second
	f.is.True(f.logs.contains(`"event":"request_refused"`, `"cause":"cold"`, `"ineligible":"cold:1"`))
	target.crash()
	f.await(func() bool {
		f.client().call("POST", "/once/")
		return f.logs.contains(`"event":"target_cold"`, `"source":"refused"`)
	})
}
