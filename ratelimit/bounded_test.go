package ratelimit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chiveseam/chiveseam/ratelimit"
)

// boundedFleet is a set of routers that share the permits of one target.
type boundedFleet struct {
	limiters []*ratelimit.Limiter
	owners   []*ratelimit.Candidates
	clocks   []time.Duration
}

// newBoundedFleet returns n routers whose clocks differ by up to 100 ms. Each of them also knows some of
// the routers that have left, as one that missed their farewell does.
func newBoundedFleet(random *rand.Rand, now time.Time, n int, rate, most float64) *boundedFleet {
	f := &boundedFleet{}
	for i := range n {
		var others []string
		for k := range n + 5 {
			if k != i && (k < n || random.IntN(2) == 0) {
				others = append(others, fmt.Sprint("r", k))
			}
		}
		f.owners = append(f.owners, ratelimit.NewCandidates(fmt.Sprint("r", i), others))
		f.clocks = append(f.clocks, time.Duration(random.Int64N(int64(100*time.Millisecond))))
		f.limiters = append(f.limiters, ratelimit.NewBounded(now.Add(f.clocks[i]), 12345, rate, most))
	}
	return f
}

// send sends a request from router i if it has a permit.
func (f *boundedFleet) send(now time.Time, i int) bool {
	if f.limiters[i].Wait(now.Add(f.clocks[i]), f.owners[i]) > 0 {
		return false
	}
	f.limiters[i].Take()
	return true
}

// mostInASecond returns the largest number of the times within a second.
func mostInASecond(times []time.Time) int {
	most, first := 0, 0
	for last := range times {
		for times[last].Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// Guards against bursts at cold targets: after any silence, with routers that do not agree on who has
// left and clocks that differ by up to 100 ms, no second has more requests than the bound.
func TestNoSecondExceedsTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(6, 90).Draw(t, "routers")
		rate := rapid.Float64Range(0.2, 40).Draw(t, "rate")
		most := max(1, rate*rapid.Float64Range(1, 3).Draw(t, "overage")+rapid.Float64Range(0, 10).Draw(t, "slack"))
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		now := time.Unix(1_700_000_000, random.Int64N(1e9))
		f := newBoundedFleet(random, now, n, rate, most)
		var sent []time.Time
		idle := false
		for range 300 {
			now = now.Add(time.Duration(random.IntN(60)) * time.Millisecond)
			if random.IntN(30) == 0 {
				idle = !idle
			}
			for i := 0; i < n && !idle; i++ {
				for f.send(now, i) {
					sent = append(sent, now)
				}
			}
		}
		if got := mostInASecond(sent); float64(got) > most {
			t.Fatalf("%d requests in a second, %.2f are allowed", got, most)
		}
	})
}

// Guards against permits that expire unused: under load, a target gets at least half of what it takes,
// also if a third of the requests come to one router.
func TestBoundedPermitsAreUsed(t *testing.T) {
	for _, c := range []struct {
		routers                      int
		rate, most, perRouter, first float64
	}{
		{90, 6.1, 14.15, 10, 10}, {71, 8.8, 18.2, 10, 10}, {90, 6.1, 14.15, 2.5, 2.5}, {6, 6.1, 6.1, 10, 10}, {90, 6.1, 6.1, 10, 10},
		{90, 6.1, 14.15, 10, 450}, {84, 2, 2, 10, 10},
	} {
		random, now, got := rand.New(rand.NewPCG(7, 7)), time.Unix(1_700_000_000, 0), 0.0
		f := newBoundedFleet(random, now, c.routers, c.rate, c.most)
		const seconds, step = 60, 5 * time.Millisecond
		for n := range c.routers * int(seconds*time.Second/step) {
			demand := c.perRouter
			if n%c.routers == 0 {
				now, demand = now.Add(step), c.first
			}
			if random.Float64() < demand*step.Seconds() && f.send(now, n%c.routers) {
				got++
			}
		}
		t.Logf("%+v: %.2f of the rate", c, got/seconds/c.rate)
		if got < 0.5*seconds*c.rate {
			t.Errorf("%+v: less than half of the rate is used", c)
		}
	}
}
