package e2e

import (
	"testing"
	"time"
)

// oneWayLoadRounds is the number of rounds of calls while connections work in one
// direction only. They take longer than the silence limit and three attempts to
// return to the scheduler.
const oneWayLoadRounds = 4

// Guards against requests that wait for a scheduler that cannot answer them. The
// connections of the other routers to the scheduler work in one direction only,
// while its own connections to them work, so that it counts as reachable. Each
// request must get its slot within its deadline, and no key may run twice.
func TestSchedulerIsReachedInOneDirection(t *testing.T) {
	t.Parallel()
	for _, direction := range []struct {
		name               string
		toTarget, toClient bool
	}{
		{"answers of the scheduler are lost", false, true},
		{"requests to the scheduler are lost", true, false},
	} {
		t.Run(direction.name, func(t *testing.T) {
			t.Parallel()
			c, scheduler := newSingleSlotCluster(t)
			relay := newRelay(t, scheduler.peer)
			scheduler.relay = relay
			scheduler.kill()
			scheduler.restart()
			c.awaitRouters()
			l := startSchedulerLoad(t, c.routersExcept(scheduler), "small", loadCallers)
			for _, k := range keyKinds {
				s := startResender(c, k.addKey)
				defer s.stop(t)
			}
			l.awaitMore(t, 4*loadCallers)
			relay.setSilent(direction.toTarget, direction.toClient)
			for range oneWayLoadRounds {
				began := time.Now()
				l.awaitMore(t, 4*loadCallers)
				t.Logf("%d more after %v", 4*loadCallers, time.Since(began))
			}
			relay.setSilent(false, false)
			l.awaitMore(t, 4*loadCallers)
			l.expectAllServed(t)
		})
	}
}
