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

// zonedBalancer returns a balancer of one engine in each of the zones, all with the prompt of engineDemand
// in the caches of those in warm.
func zonedBalancer(now time.Time, zones, warm string) *placement.Balancer {
	b := placement.New(placement.Options{Router: "r", ShareWindow: 4 * time.Second, ZoneRegions: map[string]string{"a": "north", "b": "south", "c": "south"}})
	b.SetServices(map[string]routing.Service{serviceName: {Name: serviceName, Engine: &routing.Engine{Slots: 4, FetchTimePerToken: time.Microsecond}}}, 0)
	for _, zone := range zones {
		b.SetTarget(routing.Target{ID: "e" + string(zone), Service: serviceName, Zone: string(zone), Slots: 4})
	}
	for _, zone := range warm {
		b.AddCachedParts(now, "e"+string(zone), engineDemand().Parts[:1])
	}
	return b
}

func engineDemand() *placement.Demand {
	return &placement.Demand{
		Service: serviceName, Workspace: "shop", LatencyObjective: time.Second, Remaining: 9 * time.Second,
		Parts: []placement.Part{{ID: 7, Tokens: 9000}, {ID: 8, Tokens: 10}},
	}
}

// Guards against a request that is sent to an evacuated zone since its target was searched just before, and
// against fetches from caches there.
func TestNothingIsSentToAnEvacuatedZone(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := zonedBalancer(now, "ab", "b")
	d := engineDemand()
	is.NoErr(b.Admit(now, d))
	b.SetEvacuated(now, "b", true)
	c, err := b.Choose(now, d)
	is.NoErr(err)
	is.Equal(c.Target, "ea")
	is.Equal(c.Donor, "")
	b.SetEvacuated(now.Add(time.Second), "b", false)
	is.Equal(b.EvacuationEndedAt("b"), now.Add(time.Second))
	b.Pause(now, "eb", time.Minute)
	c, err = b.Choose(now, engineDemand())
	is.NoErr(err)
	is.Equal(c.Donor, "eb")
}

// Guards against callers that wait or are told nothing when all targets of a service are evacuated, and
// against the end of one evacuation that ends another one.
func TestRequestsAreRefusedIfAllZonesAreEvacuated(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := zonedBalancer(now, "ab", "")
	b.SetEvacuated(now, "a", true)
	b.SetEvacuated(now, "b", true)
	is.True(!b.HasUsableTarget(serviceName, now))
	var refusal *placement.Refusal
	is.True(errors.As(b.Admit(now, engineDemand()), &refusal))
	is.True(errors.Is(refusal, placement.ErrNoTarget))
	is.Equal(refusal.Err, placement.ErrEvacuated)
	is.Equal(refusal.Ineligible.String(), "evacuated:2")
	is.True(refusal.RetryAfter > 0)
	is.True(refusal.RetryAfter <= 3*time.Second) // callers wait up to a third of the time that they have
	b.SetEvacuated(now, "b", false)
	c, err := b.Choose(now, engineDemand())
	is.NoErr(err)
	is.Equal(c.Target, "eb")
	is.True(b.EvacuationEndedAt("a").IsZero())
}

// Load pattern of the milestone: a third of the targets leaves within one second while 0.8 of the capacity is
// in use, and returns later. Guards against shares and refusals that follow too late: a second after that, the
// remaining targets are used but not overloaded, so that hardly any answer is late.
func TestThirdOfTheTargetsLeaves(t *testing.T) {
	const (
		routers, engines, zones = 12, 12, 3
		// capacity is the number of requests per second that one engine can serve.
		capacity = 50_000.0 / 3300
	)
	w := newWorld(1, routers, engines*50_000, slices.Repeat([]float64{50}, engines)...)
	for _, b := range w.routers {
		for i := range engines {
			b.SetTarget(routing.Target{ID: fmt.Sprintf("e%d", i), Service: serviceName, Zone: fmt.Sprint(i % zones), Slots: 64})
		}
	}
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
		t.Logf("%v: %+v", d, sum)
		return sum
	}
	is := is.New(t)
	play(10 * time.Second)
	for _, b := range w.routers {
		play(time.Second / routers)
		b.SetEvacuated(w.now, "1", true)
	}
	play(time.Second)
	short := play(10 * time.Second)
	for _, b := range w.routers {
		b.SetEvacuated(w.now, "1", false)
	}
	play(time.Second)
	after := play(5 * time.Second)
	is.True(float64(short.inTime) >= 0.9*10*capacity*engines*(zones-1)/zones)
	is.True(short.late <= short.asked/50)
	is.True(after.refused+after.late <= after.asked/50)
}

// Guards against requests, and fetches from caches, that leave the allowed regions, also towards a zone of no
// known region, and against refusals that do not tell so.
func TestRequestsStayInAllowedRegions(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := zonedBalancer(now, "abx", "bx")
	d := engineDemand()
	d.Regions = routing.Regions{"north"}
	is.NoErr(b.Admit(now, d))
	c, err := b.Choose(now, d)
	is.NoErr(err)
	is.Equal(c.Target, "ea")
	is.Equal(c.Donor, "")
	d.Excluded = func(id string) bool { return id == "ea" }
	_, err = b.Choose(now, d)
	is.Equal(err.(*placement.Refusal).Ineligible.String(), "region:2,excluded:1")

	d = engineDemand()
	d.Regions = routing.Regions{"east"}
	is.True(!b.HasUsableTargetIn(d.Regions, serviceName, now))
	var refusal *placement.Refusal
	is.True(errors.As(b.Admit(now, d), &refusal))
	is.Equal(refusal.Err, placement.ErrRegion)
	is.True(errors.Is(refusal, placement.ErrNoTarget))
	is.True(refusal.RetryAfter > 0)
	c, err = b.Choose(now, engineDemand()) // a request without regions
	is.NoErr(err)
	is.True(c.Target == "eb" || c.Target == "ex")
}
