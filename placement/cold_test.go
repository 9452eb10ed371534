package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/chiveseam/chiveseam/placement"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/routing"
)

// Figures of broadsheet-bkk-now-grown: what a cold target takes, and the most in any second.
const (
	coldPerSecond = 6.1
	coldOverage   = 1.5
	coldSlack     = 5
	coldMost      = coldPerSecond*coldOverage + coldSlack
	coldTime      = 3 * time.Second
)

// coldWorld is a world with three zones of engines that can be cold.
type coldWorld struct {
	*world
	// rate is the number of requests per second, and pick draws their routers.
	rate     float64
	pick     func(*world) int
	arrivals map[string][]time.Time
	// down engines refuse connections; started and remaining are what registrations say.
	down      map[string]bool
	started   map[string]int64
	remaining map[string]time.Duration
}

func newColdWorld(seed uint64, routers, engines, slots int, speed, rate float64, pick func(*world) int) *coldWorld {
	speeds := make([]float64, engines)
	for i := range speeds {
		speeds[i] = speed
	}
	w := &coldWorld{
		world: newWorldWithSlots(seed, routers, slots, 0, speeds...), rate: rate, pick: pick, arrivals: map[string][]time.Time{},
		down: map[string]bool{}, started: map[string]int64{}, remaining: map[string]time.Duration{},
	}
	w.reportLoss = 0.03
	w.reportEvery = max(reportInterval, time.Duration(routers)*time.Second/600).Round(tick)
	for i := range w.routers {
		w.startRouter(i, time.Time{})
	}
	return w
}

// startRouter replaces router i by one that knows the registrations only.
func (w *coldWorld) startRouter(i int, started time.Time) {
	w.routers[i] = placement.New(placement.Options{
		Router: fmt.Sprintf("r%d", i), ShareWindow: 4 * time.Second, PeerTimeout: 3 * time.Second,
		Started: started, Seeded: len(w.routers) > 1, ColdOverage: coldOverage, ColdSlack: coldSlack,
	})
	w.routers[i].SetServices(map[string]routing.Service{serviceName: {
		Name: serviceName, Engine: &routing.Engine{Slots: 64, KVCacheTokens: 600_000}, ColdStart: coldTime, ColdPerSecond: coldPerSecond,
	}}, 0)
	w.incarnations[i]++
	w.sequences[i] = 0
	w.register(i, false, everyEngine)
}

// register lets router i receive the registrations of the engines for which which returns true.
func (w *coldWorld) register(i int, draining bool, which func(k int) bool) {
	for k, e := range w.engines {
		if which(k) {
			w.routers[i].SetTarget(routing.Target{
				ID: e.id, Service: serviceName, Zone: fmt.Sprint("z", k%3), Slots: e.slots, StartedUnixMs: w.started[e.id], Draining: draining,
			})
			w.routers[i].RecordRegistration(w.now, e.id, w.remaining[e.id])
		}
	}
}

func nothing(time.Duration)  {}
func everyEngine(int) bool   { return true }
func firstEngine(k int) bool { return k == 0 }
func firstZone(k int) bool   { return k%3 == 0 }

// play advances the time by d. It calls each in each tick.
func (w *coldWorld) play(d time.Duration, each func(since time.Duration)) {
	start := w.now
	w.run(d, func() {
		each(w.now.Sub(start))
		for sent := w.rate * tick.Seconds(); sent > 0; sent-- {
			if w.random.Float64() < sent {
				w.send(w.pick(w.world))
			}
		}
	})
}

// send lets a router place a request, which a down engine refuses.
func (w *coldWorld) send(router int) {
	c, err := w.sendRequest(router, "shop", uint64(w.random.IntN(40)), 2000, 3000)
	if err != nil {
		return
	}
	if !w.down[c.Target] {
		w.arrivals[c.Target] = append(w.arrivals[c.Target], w.now)
		return
	}
	e := w.engine(c.Target)
	last := len(e.queue) - 1
	w.routers[router].End(w.now, e.queue[last].ticket, placement.Unreachable)
	w.routers[router].RecordRefused(w.now, c.Target)
	e.queue = e.queue[:last]
}

// crash ends all requests at an engine, which is cold for a time in its next registration.
func (w *coldWorld) crash(e *engine, remaining time.Duration) {
	for _, j := range append(e.queue, e.running...) {
		j.balancer.End(w.now, j.ticket, placement.Failed)
	}
	e.queue, e.running = nil, nil
	w.started[e.id], w.remaining[e.id] = 1, remaining
}

// check fails the test if an engine that is cold between two times got more than it takes in a second,
// or all of them less than a part of what they take.
func (w *coldWorld) check(t *testing.T, from, to time.Time, least float64, which func(k int) bool) {
	t.Helper()
	most, mean, engines := 0, 0.0, 0.0
	for k, e := range w.engines {
		if !which(k) {
			continue
		}
		engines++
		first, list := 0, w.arrivals[e.id]
		for last, at := range list {
			if at.Before(from) || !at.Before(to) {
				continue
			}
			mean++
			for list[first].Before(from) || at.Sub(list[first]) >= time.Second {
				first++
			}
			most = max(most, last-first+1)
		}
	}
	used := mean / engines / to.Sub(from).Seconds() / coldPerSecond
	t.Logf("at most %d requests in a second, %.2f are allowed; %.2f of the rate", most, coldMost, used)
	if float64(most) > coldMost || used < least {
		t.Errorf("more than allowed, or less than %.1f of the rate", least)
	}
}

// Guards against bursts at idle cold targets, while callers ask for several times what the others can
// serve: a zone of 35 or 20 targets returns from an evacuation, whose end routers learn within 300 ms, with
// equal and uneven callers and routers that are cut off from the others; all targets of the service turn cold,
// and routers that take themselves for the only one start at once or one by one.
func TestColdTargetsGetWhatTheyTake(t *testing.T) {
	never := func(int) time.Duration { return time.Hour }
	for name, c := range map[string]struct {
		routers, engines, cut int
		rate                  float64
		pick                  func(*world) int
		cold                  func(k int) bool
		start                 func(router int) time.Duration
		// least is the part of the rate that must be used; while all routers start, callers may be refused.
		least float64
	}{
		"35 targets":              {90, 105, 0, 3000, anyRouter, firstZone, never, 0.5},
		"few routers":             {6, 12, 0, 400, anyRouter, firstZone, never, 0.5},
		"uneven callers":          {71, 60, 0, 2000, unevenRouter, firstZone, never, 0.5},
		"zone of routers cut off": {71, 60, 24, 2000, anyRouter, firstZone, never, 0.5},
		"all targets":             {71, 40, 0, 1500, anyRouter, everyEngine, never, 0.5},
		"all routers start":       {71, 40, 0, 1500, anyRouter, everyEngine, func(int) time.Duration { return 0 }, 0},
		"all start in a second":   {71, 40, 0, 1500, anyRouter, everyEngine, func(i int) time.Duration { return time.Duration(i) * 2 * tick }, 0},
		"one after the other":     {71, 40, 0, 1500, anyRouter, everyEngine, func(i int) time.Duration { return time.Duration(i) * 50 * tick }, 0.5},
		"all start before":        {71, 40, 0, 1500, anyRouter, everyEngine, func(int) time.Duration { return -time.Second }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			w := newColdWorld(1, c.routers, c.engines, 64, 50, c.rate, c.pick)
			zone := c.cold(0) && !c.cold(1)
			for i := range w.routers {
				w.register(i, zone, c.cold)
			}
			w.play(2*time.Second, nothing)
			for i := range c.cut {
				w.isolated[i] = true
			}
			from := w.now.Add(2 * time.Second)
			w.play(2*time.Second+coldTime, func(time.Duration) {
				for i := range w.routers {
					if w.now.Sub(from) == c.start(i) {
						w.startRouter(i, w.now)
					}
					if zone && w.now.Sub(from) == time.Duration(i*7%60)*tick {
						w.register(i, false, c.cold)
						w.routers[i].MarkZoneCold(w.now, "z0")
					}
					if !zone && w.now.Equal(from) {
						for _, e := range w.engines {
							w.crash(e, coldTime)
						}
						w.register(i, false, c.cold)
					}
				}
			})
			w.check(t, from, from.Add(coldTime), c.least, c.cold)
		})
	}
}

// Guards against FAILBACK, which binds routers that are cut off, too: some that start while they are cut off take themselves for the
// fleet, and each of them sends all that a cold target takes, beside the others.
func TestRoutersThatStartCutOffLeaveColdTargetsToOthers(t *testing.T) {
	w := newColdWorld(6, 6, 3, 64, 50, 400, anyRouter)
	w.play(2*time.Second, nothing)
	from := w.now
	for _, e := range w.engines {
		w.crash(e, 2*coldTime)
	}
	for i := range w.routers {
		if i < 3 {
			w.isolated[i] = true
			w.startRouter(i, w.now)
		}
		w.register(i, false, everyEngine)
	}
	w.play(2*coldTime, nothing)
	w.check(t, from, from.Add(2*coldTime), 0.3, everyEngine)

	// They get their part once they hear the others.
	clear(w.isolated)
	w.play(time.Second, nothing)
	for _, e := range w.engines {
		w.crash(e, coldTime)
	}
	for i := range w.routers {
		w.register(i, false, everyEngine)
	}
	from = w.now
	w.play(coldTime, nothing)
	w.check(t, from, from.Add(coldTime), 0.5, everyEngine)
}

// Guards against a flood that goes on at the only target of a service, which turns cold in use and has
// room. Routers receive its registration 400 to 1,200 ms later. Until all know it, the load bounds what it
// gets; from then on, it gets no more than it takes.
func TestTargetThatTurnsColdUnderLoad(t *testing.T) {
	w := newColdWorld(3, 90, 1, 1000, 4000, 200, anyRouter)
	w.play(2*time.Second, nothing)
	turned, known, before := w.now, time.Time{}, len(w.arrivals["e0"])
	w.play(coldTime, func(since time.Duration) {
		all := true
		for i, b := range w.routers {
			if since == 400*time.Millisecond+time.Duration(i*37%160)*tick {
				b.RecordRegistration(w.now, "e0", coldTime)
			}
			all = all && b.IsCold(w.now, "e0")
		}
		if all && known.IsZero() {
			known = w.now
			t.Logf("%d requests in the %v before all routers knew it", len(w.arrivals["e0"])-before, since)
		}
	})
	w.check(t, known, turned.Add(coldTime), 0.5, everyEngine)
}

// Guards against a crashed target that gets a flood when it is back, before its new registration is
// received: the routers learn it from refused connections and from each other.
func TestCrashedTargetThatIsBackBeforeItsRegistration(t *testing.T) {
	w := newColdWorld(4, 71, 20, 64, 50, 600, anyRouter)
	w.play(2*time.Second, nothing)
	const late = 1600 * time.Millisecond
	w.crash(w.engines[0], coldTime-late)
	w.down["e0"] = true
	w.play(4*time.Second, nothing)
	delete(w.down, "e0")
	from := w.now
	w.play(coldTime, func(since time.Duration) {
		for i := range w.routers {
			if since == late {
				w.register(i, false, firstEngine)
			}
		}
	})
	w.check(t, from, from.Add(coldTime), 0, firstEngine)
}

// Guards against reports that make a target cold without reason: only those of the same start count, not
// absurd or old ones. A registration that says 0 counts 2 s after the event.
func TestReportsOfColdTargets(t *testing.T) {
	w := newColdWorld(5, 1, 1, 64, 50, 0, anyRouter)
	b, now := w.routers[0], w.now.Add(time.Second)
	for _, c := range []struct {
		remaining, age uint32
		incarnation    uint64
		cold           bool
	}{{3000, 0, 7, false}, {1 << 31, 0, 0, false}, {3000, 3000, 0, false}, {3000, 1000, 0, true}} {
		b.MergeReport(now, &v1.LoadReport{Router: "q", ColdTargets: []*v1.ColdTarget{{
			Target: placement.Hash("e0"), Incarnation: c.incarnation, RemainingMs: c.remaining, AgeMs: c.age,
		}}})
		if b.IsCold(now, "e0") != c.cold {
			t.Errorf("%+v", c)
		}
	}
	b.RecordRegistration(now.Add(900*time.Millisecond), "e0", 0)
	early := b.IsCold(now.Add(time.Second), "e0")
	b.RecordRegistration(now.Add(1100*time.Millisecond), "e0", 0)
	if !early || b.IsCold(now.Add(1100*time.Millisecond), "e0") {
		t.Error("a registration counts too soon, or not at all")
	}
}
