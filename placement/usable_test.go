package placement_test

import (
	"errors"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/placement"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/routing"
)

func plainTarget(id string, started int64) routing.Target {
	return routing.Target{ID: id, Service: "desk", Slots: 4, StartedUnixMs: started}
}

func plainDemand() *placement.Demand {
	return &placement.Demand{Service: "desk", LatencyObjective: time.Second, Remaining: 3 * time.Second}
}

// Failure: a target says that it leaves, its registration is still ready for a while, or lapses and
// comes back, and it gets requests. Only a new start of the target ends that.
func TestLeavingTargetGetsNoRequests(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := placement.New(placement.Options{Router: "r"})
	b.SetTarget(plainTarget("a", 5))
	is.True(b.SetLeaving(now, plainTarget("a", 5)))
	is.True(!b.SetLeaving(now, plainTarget("a", 5)))
	b.SetTarget(plainTarget("a", 5))
	is.True(!b.HasUsableTarget("desk", now))
	b.RemoveTarget("a")
	b.SetTarget(plainTarget("a", 5))
	_, err := b.Choose(now, plainDemand())
	is.True(errors.Is(err, placement.ErrNoTarget))
	b.SetTarget(plainTarget("a", 6))
	is.True(b.HasUsableTarget("desk", now))
	b.SetLeaving(now, plainTarget("a", 5)) // an answer of the earlier start comes late
	is.True(b.HasUsableTarget("desk", now))
}

// The other routers learn that a target leaves, also those that get to know it later. A late or wrong
// word on another start of the target changes nothing.
func TestLeavingIsToldWithTheIncarnation(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	a, b, later := placement.New(placement.Options{Router: "a"}), placement.New(placement.Options{Router: "b"}), placement.New(placement.Options{Router: "c"})
	a.SetTarget(plainTarget("x", 5))
	b.SetTarget(plainTarget("x", 5))
	a.SetLeaving(now, plainTarget("x", 5))
	r := &v1.LoadReport{Router: "a", Sequence: 1}
	a.FillReport(now, r)
	is.Equal(len(r.LeavingTargets), 1)
	for _, other := range []*placement.Balancer{b, later} {
		other.MergeReport(now, r)
	}
	is.True(!b.HasUsableTarget("desk", now))
	later.SetTarget(plainTarget("x", 5))
	is.True(!later.HasUsableTarget("desk", now))
	starting := placement.New(placement.Options{Router: "d"})
	starting.SetTarget(plainTarget("x", 5))
	starting.MergeReport(now, &v1.LoadReport{Router: "a", LeavingTargets: a.LeavingTargets()})
	is.True(!starting.HasUsableTarget("desk", now))
	b.SetTarget(plainTarget("x", 6))
	b.MergeReport(now, r)
	is.True(b.HasUsableTarget("desk", now))
}

// A target that asks for a pause gets no requests until its end, and a shorter one does not end it.
// If all targets pause, callers are refused at once with the shortest of the times.
func TestPausedTargetsGetNoRequests(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := placement.New(placement.Options{Router: "r"})
	b.SetTarget(plainTarget("a", 1))
	b.SetTarget(plainTarget("b", 1))
	b.Pause(now, plainTarget("a", 1), 2*time.Second)
	b.Pause(now, plainTarget("a", 1), time.Second)
	for range 5 {
		choice, err := b.Choose(now, plainDemand())
		is.NoErr(err)
		is.Equal(choice.Target, "b")
	}
	b.Pause(now, plainTarget("b", 1), 3*time.Second)
	_, err := b.Choose(now.Add(500*time.Millisecond), plainDemand())
	var refusal *placement.Refusal
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.RetryAfter, 1500*time.Millisecond)
	choice, err := b.Choose(now.Add(2*time.Second), plainDemand())
	is.NoErr(err)
	is.Equal(choice.Target, "a")
	b.RemoveTarget("b")
	b.Pause(now, plainTarget("a", 1), time.Hour)
	is.True(!b.HasUsableTarget("desk", now.Add(placement.MaxPause-time.Second)))
	b.Pause(now, plainTarget("a", 1), -time.Second)
	is.True(b.HasUsableTarget("desk", now.Add(placement.MaxPause)))
}

// Fault pattern: one engine after the other asks for a pause, until one of six is left. Guards
// against sending it the load of all: no more waits there than it can begin within twice the
// objective, which is the longest wait that placement allows, and the rest is refused at once.
func TestPausesDoNotOverloadTheLastTarget(t *testing.T) {
	is := is.New(t)
	const speed, promptTokens, perSecond = 50, 3100, 80
	w := newWorld(5, 4, 310_000, speed, speed, speed, speed, speed, speed)
	start, paused, longest := w.now, 0, 0
	w.run(12*time.Second, func() {
		if s := int(w.now.Sub(start).Seconds()); s > paused && s < len(w.engines) {
			paused = s
			for _, b := range w.routers {
				b.Pause(w.now, routing.Target{ID: fmt.Sprint("e", s)}, time.Minute)
			}
		}
		if w.poisson(perSecond) {
			w.sendRequest(w.anyRouter(), fmt.Sprint("shop", w.random.IntN(10)), w.random.Uint64(), 100, promptTokens-100)
		}
		longest = max(longest, len(w.engines[0].queue))
	})
	refused := 0
	for _, c := range w.workspaces {
		refused += c.refused
	}
	allowed := speed*2*int(wanted.Milliseconds())/promptTokens + perSecond*int(reportInterval.Milliseconds())/1000
	t.Logf("at most %d of %d allowed waited, %d refused", longest, allowed, refused)
	is.True(refused > 0)
	is.True(longest <= allowed)
}

// Routers learn limits from each other's answers: the newest answer counts, whatever the order of the
// reports, and only for the named start of the target. A router that starts is told all limits.
func TestNewestRateLimitCounts(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	a, b := placement.New(placement.Options{Router: "a"}), placement.New(placement.Options{Router: "b"})
	limited := func() bool {
		_, err := b.Choose(now, plainDemand())
		return errors.Is(err, placement.ErrSaturated)
	}
	a.SetTarget(plainTarget("x", 5))
	b.SetTarget(plainTarget("x", 5))
	is.True(a.SetRateLimit(now, plainTarget("x", 5), 0.5))
	is.True(!a.SetRateLimit(now, plainTarget("x", 5), 0.5))
	first := &v1.LoadReport{Router: "a", Sequence: 1}
	a.FillReport(now, first)
	b.MergeReport(now, first)
	is.True(limited())

	now = now.Add(100 * time.Millisecond)
	is.True(b.SetRateLimit(now, plainTarget("x", 5), math.Inf(1)))
	late := &v1.LoadReport{Router: "a", Sequence: 2, RateLimits: []*v1.TargetRateLimit{{Target: placement.Hash("x"), Incarnation: 5, PerSecond: 0.5, AgeMs: 100}}}
	b.MergeReport(now, late)
	is.True(!limited()) // the older answer comes later

	b.RemoveTarget("x")
	b.SetTarget(plainTarget("x", 6))
	b.MergeReport(now, &v1.LoadReport{Router: "a", Sequence: 3, RateLimits: a.RateLimits(now)})
	is.True(!limited()) // the target has started again

	b.RemoveTarget("x")
	b.SetTarget(plainTarget("x", 5))
	b.MergeReport(now, &v1.LoadReport{Router: "a", RateLimits: a.RateLimits(now)})
	is.True(limited())
	for _, perSecond := range []float64{math.NaN(), -1} {
		b.MergeReport(now, &v1.LoadReport{Router: "a", RateLimits: []*v1.TargetRateLimit{{Target: placement.Hash("x"), Incarnation: 5, PerSecond: perSecond}}})
		is.True(limited())
	}
}

// A stream goes on at targets of its software version only, and is not refused for the share of its
// workspace or its wait, since part of it has been delivered.
func TestDemandsOfAVersionGetItsTargetsOnly(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := placement.New(placement.Options{Router: "r"})
	for i, version := range []string{"v1", "v2", "v2", ""} {
		target := plainTarget(fmt.Sprint(i), 1)
		target.Version = version
		b.SetTarget(target)
	}
	for range 10 {
		d := plainDemand()
		d.Version = placement.VersionHash("v1")
		c, err := b.Choose(now, d)
		is.NoErr(err)
		is.Equal(c.Target, "0")
		b.Begin(now, d, c)
		d.Version = placement.VersionHash("")
		c, err = b.Choose(now, d)
		is.NoErr(err)
		is.Equal(c.Target, "3")
	}
	b.RemoveTarget("0")
	d := plainDemand()
	d.Version = placement.VersionHash("v1")
	_, err := b.Choose(now, d)
	is.True(errors.Is(err, placement.ErrNoTarget))

	// A target that has another version since its last registration is one of that.
	moved := plainTarget("3", 1)
	moved.Version = "v1"
	b.SetTarget(moved)
	c, err := b.Choose(now, d)
	is.NoErr(err)
	is.Equal(c.Target, "3")
}

// Guards against BUDGET and LIMIT: the registration of a target lapses and is made again, and the pause and the rate
// limit that the target asked for are forgotten. They end with the start of the target.
func TestPauseAndLimitOutlastALapsedRegistration(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := placement.New(placement.Options{Router: "r"})
	refused := func(now time.Time) bool {
		_, err := b.Choose(now, plainDemand())
		return err != nil
	}
	lapse := func(started int64) {
		b.RemoveTarget("x")
		b.SetTarget(plainTarget("x", started))
	}
	b.SetTarget(plainTarget("x", 5))
	b.Pause(now, plainTarget("x", 5), 10*time.Second)
	lapse(5)
	is.True(refused(now.Add(9 * time.Second)))
	is.True(!refused(now.Add(11 * time.Second)))
	lapse(6)
	is.True(!refused(now.Add(time.Second)))

	b.SetRateLimit(now, plainTarget("x", 6), 0.5)
	is.True(refused(now))
	lapse(6)
	is.True(refused(now))
	lapse(7)
	is.True(!refused(now))
}
