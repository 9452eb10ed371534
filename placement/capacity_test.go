package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/routing"
)

// shareWhileLimited runs two workspaces that ask for more than six targets provide, two of which are held
// to a number of requests per second from second 8 to 14. It returns the share that a router computed at
// times in ms after the start.
func shareWhileLimited(perSecond float64, atMs ...int) []float64 {
	w := newWorld(3, 4, 300_000, 50, 50, 50, 50, 50, 50)
	for _, b := range w.routers {
		b.LimitDraining(perSecond)
	}
	setDraining := func(draining bool) {
		for i := range 2 {
			for _, b := range w.routers {
				b.SetTarget(routing.Target{ID: fmt.Sprintf("e%d", i), Service: serviceName, Slots: 64, Draining: draining})
			}
		}
	}
	start := w.now
	var computed []float64
	w.run(20*time.Second, func() {
		since := w.now.Sub(start)
		if since == 8*time.Second || since == 14*time.Second {
			setDraining(since == 8*time.Second)
		}
		for _, name := range []string{"a", "b"} {
			if w.poisson(70) {
				w.sendRequest(w.anyRouter(), name, 1, 100, 3_000)
			}
		}
		if len(computed) < len(atMs) && since == time.Duration(atMs[len(computed)])*time.Millisecond {
			computed = append(computed, w.routers[0].Overview(w.now).Share)
		}
	})
	return computed
}

// Load to answer: a third of the targets is evacuated at once and comes back. Guards against shares that
// follow over the ten seconds in which the throughput that the targets have shown is forgotten.
func TestShareFollowsEvacuationAtOnce(t *testing.T) {
	is := is.New(t)
	got := shareWhileLimited(0, 7_900, 8_200, 13_900, 14_200)
	t.Log(got)
	is.True(got[1] < 0.75*got[0]) // at once after the evacuation
	is.True(got[3] > 1.35*got[2]) // and at once after its end
	is.True(got[3] > 0.9*got[0])
}

// Cold targets provide the requests per second that they may get.
func TestColdTargetsCountForWhatTheyTake(t *testing.T) {
	is := is.New(t)
	evacuated, cold := shareWhileLimited(0, 8_200)[0], shareWhileLimited(6.1, 8_200)[0]
	t.Log(evacuated, cold)
	// Two workspaces share two cold targets that take 6.1 requests of 3,300 tokens per second each.
	is.True(cold-evacuated > 0.8*6.1*3_300 && cold-evacuated < 1.2*6.1*3_300)
}

// Deployments without evacuated and cold targets must share exactly as if there were no such limits,
// however unlike the learned speeds are.
func TestThroughputWithoutLimitsIsWhole(t *testing.T) {
	is := is.New(t)
	w := newWorld(4, 1, 200_000, 35, 35, 85)
	b := w.routers[0]
	b.LimitDraining(0)
	w.run(10*time.Second, func() {
		if w.poisson(60) {
			w.sendRequest(0, "a", 1, 100, 3_000)
		}
		is.Equal(b.AvailableThroughput(w.now), 1.0)
	})
	b.SetTarget(routing.Target{ID: "e2", Service: serviceName, Slots: 64, Draining: true})
	t.Log(b.AvailableThroughput(w.now))
	is.True(b.AvailableThroughput(w.now) > 0.35 && b.AvailableThroughput(w.now) < 0.55) // 70 of 155
}
