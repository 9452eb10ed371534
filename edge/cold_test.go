package edge

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/routing"
)

// coldTable returns a table whose service has cold targets.
func coldTable(version uint64) *routing.Table {
	services := []routing.Service{{Name: "s", ColdStart: 3 * time.Second, ColdPerSecond: 4}}
	return routing.NewTable(version, testRoutes(), services, routing.Limits{IdleTimeout: 10 * time.Second}, map[string]string{"key": "shop"})
}

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

// Guards against a burst of one caller at an idle target that turns cold again without a restart: it gets
// what it takes, callers are refused with the reason, and the other router learns it by a report.
func TestColdTargetGetsWhatItTakes(t *testing.T) {
	target := newTestTarget(t, "t1", func(s *receivedRequest) { s.answer(200, "x") })
	f := newFixture(t, target)
	peer := f.newPeer(target)
	for _, r := range []*fixture{f, peer} {
		r.source.publish(coldTable(2), target.registration())
		r.await(func() bool { return r.edge.table.Load().Version == 2 })
	}
	time.Sleep(newRouterPause)
	cold := target.registration()
	cold.Sequence, cold.ColdRemaining = 2, 2*time.Second
	f.source.publish(coldTable(2), cold)
	f.await(func() bool { return f.logs.contains(`"event":"target_cold"`, `"source":"registration"`) })
	began, before, refused := time.Now(), len(target.requests()), 0
	peer.await(func() bool { return peer.isCold("t1") })
	for time.Since(began) < 1500*time.Millisecond {
		resp, _, err := f.client().call("POST", "/once/")
		f.is.NoErr(err)
		if resp.Status == 503 {
			refused++
		}
		time.Sleep(10 * time.Millisecond)
	}
	got := len(target.requests()) - before
	t.Logf("%d requests in 1.5 s, %d refused", got, refused)
	f.is.True(got <= 8) // 4 in any second
	f.is.True(refused > 0)
	f.is.True(f.logs.contains(`"event":"request_refused"`, `"cause":"cold"`, `"ineligible":"cold:1"`))
	f.await(func() bool { return !f.isCold("t1") })
	resp, _, err := f.client().call("POST", "/once/")
	f.is.NoErr(err)
	f.is.Equal(resp.Status, 200)
}

// newRouterPause is the time after which a router no longer counts as new.
const newRouterPause = 2 * time.Second

func (f *fixture) isCold(id string) bool {
	f.edge.mu.Lock()
	defer f.edge.mu.Unlock()
	return f.edge.balancer.IsCold(time.Now(), id)
}

// Guards against a flood at a target whose process has ended and starts again: the refused connection
// makes it count as cold.
func TestRefusedConnectionMakesATargetCold(t *testing.T) {
	target := newTestTarget(t, "t1", func(s *receivedRequest) { s.answer(200, "x") })
	f := newFixture(t, target)
	f.source.publish(coldTable(2), target.registration())
	f.await(func() bool { return f.edge.table.Load().Version == 2 })
	target.crash()
	f.await(func() bool {
		f.client().call("POST", "/once/")
		return f.isCold("t1")
	})
	f.is.Equal(f.logs.count(`"source":"refused"`), 1)
}
