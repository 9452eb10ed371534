package e2e

import (
	"testing"
	"time"
)

// oneWayRounds is the number of rounds of calls while links are one-way: more
// than the silence limit and three returns to the scheduler take.
const oneWayRounds = 4

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
			c, holder := scheduledCluster(t)
			relay := newRelay(t, holder.peer)
			holder.advertised = relay.address()
			holder.kill()
			holder.restart()
			c.awaitFleet()
			l := startSchedulerLoad(t, c.others(holder), "small", loadCallers)
			for _, k := range keyKinds {
				s := startResender(c, k.add)
				defer s.stop(t)
			}
			l.awaitMore(t, 4*loadCallers)
			relay.silence(direction.toTarget, direction.toClient)
			for range oneWayRounds {
				began := time.Now()
				l.awaitMore(t, 4*loadCallers)
				t.Logf("%d more after %v", 4*loadCallers, time.Since(began))
			}
			relay.silence(false, false)
			l.awaitMore(t, 4*loadCallers)
			l.expectAllServed(t)
		})
	}
}
