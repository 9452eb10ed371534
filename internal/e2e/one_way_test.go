package e2e

import (
	"testing"
	"time"
)

// oneWayLoadRounds is the number of rounds of calls while links are one-way: more
// than the silence limit and three returns to the scheduler take.
const oneWayLoadRounds = 4

// The links of the other routers to the scheduler carry one direction only,
// while its own links to them work, so that it counts as reachable. Each request
// gets its slot within its deadline, and no key runs twice.
func TestSchedulerIsReachedInOneDirection(t *testing.T) {
	t.Parallel()
	for _, direction := range []struct {
		name               string
		toTarget, toClient bool
	}{
		{"it is not heard", false, true},
		{"it does not hear", true, false},
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
