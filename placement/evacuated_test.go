package placement_test

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/placement"
	"github.com/chiveseam/chiveseam/routing"
)

// Guards against requests, and fetches from caches, that reach an evacuated zone, also if the target was searched
// just before, or another region or a zone of no known region; and against refusals that do not tell so.
func TestNothingIsSentToOtherZones(t *testing.T) {
	for _, cause := range []error{placement.ErrEvacuated, placement.ErrRegion} {
		is, now := is.New(t), time.Unix(1000, 0)
		b := placement.New(placement.Options{Router: "r", ShareWindow: time.Second, ZoneRegions: map[string]string{"a": "north", "b": "south"}})
		b.SetServices(map[string]routing.Service{serviceName: {Name: serviceName, Engine: &routing.Engine{FetchTimePerToken: time.Microsecond}}}, 0)
		d := &placement.Demand{
			Service: serviceName, LatencyObjective: time.Second, Remaining: 9 * time.Second,
			Parts: []placement.Part{{ID: 7, Tokens: 9000}, {ID: 8, Tokens: 10}},
		}
		for _, zone := range []string{"a", "b", "x"} {
			b.SetTarget(routing.Target{ID: zone, Service: serviceName, Zone: zone, Slots: 4})
		}
		b.AddCachedParts(now, "b", d.Parts[:1])
		b.AddCachedParts(now, "x", d.Parts[:1])
		if cause == placement.ErrRegion {
			d.Regions = routing.Regions{"north"}
		}
		is.NoErr(b.Admit(now, d))
		if cause == placement.ErrEvacuated {
			b.SetEvacuated(now, "b", true)
			b.SetEvacuated(now, "x", true)
		}
		c, err := b.Choose(now, d)
		is.NoErr(err)
		is.Equal(c.Target+c.Donor, "a")
		b.RemoveTarget("a")
		var refusal *placement.Refusal
		is.True(errors.As(b.Admit(now, d), &refusal))
		is.True(errors.Is(refusal, placement.ErrNoTarget))
		is.Equal(refusal.Err, cause)
		is.True(refusal.RetryAfter > 0)
		is.True(refusal.RetryAfter <= 3*time.Second) // callers wait up to a third of the time that they have
		b.SetEvacuated(now, "b", false)
		is.Equal(b.EvacuationEndedAt("b").Equal(now), cause == placement.ErrEvacuated)
		_, err = b.Choose(now, d)
		is.Equal(err == nil, cause == placement.ErrEvacuated)
	}
}

// Load pattern of the milestone: a third of the targets leaves within one second while 0.8 of the capacity is
// in use, and returns later. Guards against shares and refusals that follow too late: a second after that, the
// remaining targets are used but not overloaded, so that hardly any answer is late.
func TestThirdOfTheTargetsLeaves(t *testing.T) {
	// capacity is the number of requests per second that one engine can serve.
	const routers, engines, zones, capacity = 12, 12, 3, 50_000.0 / 3300
	w := newWorld(1, routers, engines*50_000, slices.Repeat([]float64{50}, engines)...)
	// play runs for some seconds and returns what was asked, refused and late in them.
	play := func(d time.Duration) (sum workspaceCounts) {
		for _, c := range w.workspaces {
			*c = workspaceCounts{}
		}
		w.run(d, func() {
			if w.poisson(0.8 * engines * capacity) {
				w.sendRequest(w.anyRouter(), fmt.Sprint("w", w.random.IntN(10)), w.random.Uint64(), 100, 3000)
			}
		})
		for _, c := range w.workspaces {
			sum.asked, sum.inTime, sum.late, sum.refused = sum.asked+c.asked, sum.inTime+c.inTime, sum.late+c.late, sum.refused+c.refused
		}
		return sum
	}
	set := func(evacuated bool) {
		for _, b := range w.routers {
			play(time.Second / routers)
			b.SetEvacuated(w.now, "1", evacuated)
		}
		play(time.Second)
	}
	for _, b := range w.routers {
		for i := range engines {
			b.SetTarget(routing.Target{ID: fmt.Sprintf("e%d", i), Service: serviceName, Zone: fmt.Sprint(i % zones), Slots: 64})
		}
	}
	play(10 * time.Second)
	set(true)
	short := play(10 * time.Second)
	set(false)
	after := play(5 * time.Second)
	t.Logf("while the zone is evacuated: %+v, then: %+v", short, after)
	if float64(short.inTime) < 0.9*10*capacity*engines*(zones-1)/zones || short.late > short.asked/50 || after.refused+after.late > after.asked/50 {
		t.Error("shares and refusals do not follow the capacity")
	}
}
