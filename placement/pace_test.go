package placement_test

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/chiveseam/chiveseam/placement"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/targetload"
)

// paces draws the pace of a machine on the deployment padani-geo-grown: about every 600 ms another one,
// 2.5 for 15% of the time. Answers state it if stated is set.
type paces struct {
	random *rand.Rand
	stated bool
	pace   float64
	until  time.Time
}

func (p *paces) at(now time.Time) float64 {
	if p == nil {
		return 1
	}
	if !now.Before(p.until) {
		p.pace, p.until = 1, now.Add(time.Duration((300+600*p.random.Float64())*float64(time.Millisecond)))
		if p.random.Float64() < 0.15 {
			p.pace = 2.5
		}
	}
	return p.pace
}

// state tells the load of an engine to the router that gets an answer.
func (p *paces) state(now time.Time, e *engine, b *placement.Balancer) {
	if p != nil && p.stated {
		b.SetLoad(now, e.id, 0, targetload.Figures{Running: len(e.running), Waiting: len(e.queue), Slots: e.slots, Pace: p.at(now)})
	}
}

// stepPlain works on the requests in the slots of a target of a plain service for one tick.
func (w *world) stepPlain(e *engine) {
	var kept, ended []*job
	jobs := append(e.running, e.queue...)
	for range e.slots {
		for budget := float64(tick/time.Millisecond) / e.paces.at(w.now); budget > 0 && len(jobs) > 0; jobs = jobs[1:] {
			done := min(budget, jobs[0].unread)
			budget -= done
			if jobs[0].unread -= done; jobs[0].unread > 0 {
				kept = append(kept, jobs[0])
				continue
			}
			ended = append(ended, jobs[0])
		}
	}
	e.running, e.queue = kept, jobs
	for _, j := range ended {
		w.firstToken(e, j)
		j.balancer.End(w.now, j.ticket, placement.Succeeded)
	}
}

// policy is a way to choose the target of a request.
type policy int

const (
	ownView    policy = iota // targets state no pace
	twoChoices               // the better of two random targets, by the own view
	shared                   // targets state their paces
	perfect                  // the target that is in fact best
	policies
)

// send lets a router place a request by a policy.
func (w *world) send(p policy, router int, d *placement.Demand) {
	t := w.workspaces[d.Workspace]
	t.asked++
	if p == twoChoices {
		pair := w.random.Perm(len(w.engines))[:2]
		d.Excluded = func(id string) bool { return id != w.engines[pair[0]].id && id != w.engines[pair[1]].id }
	}
	b := w.routers[router]
	refusal := b.Admit(w.now, d)
	c, err := b.Choose(w.now, d)
	if refusal != nil || err != nil {
		t.refused++
		return
	}
	if p == perfect {
		c = placement.Choice{Target: w.best(d).id}
	}
	w.startRequest(b, d.Workspace, d, c)
}

// best returns the engine or target that in fact answers a request first. Reading a shared part again
// counts five times, as in the costs of a Balancer.
func (w *world) best(d *placement.Demand) *engine {
	cost := func(e *engine) float64 {
		work := 0.0
		for _, j := range e.queue {
			work += j.unread
		}
		if e.work > 0 {
			return e.paces.at(w.now) * (e.work + work/float64(e.slots) + float64(len(e.running))/100)
		}
		if !e.cached[d.Parts[0].ID] {
			work += 5 * float64(d.Parts[0].Tokens)
		}
		return e.paces.at(w.now) * (work + float64(d.Parts[1].Tokens))
	}
	return slices.MinFunc(w.engines, func(a, b *engine) int { return cmp.Compare(cost(a), cost(b)) })
}

// runPaces runs the plain service of padani-geo-grown (3 targets of 6 slots, 15 ms of work, objective
// 150 ms) or a fifth of its engines, for 15 s after a start of 3 s. For a second of each three, 1.7 times
// as many requests as rate come in a second.
func runPaces(p policy, seed uint64, routers int, rate float64, plain bool) *world {
	slots, speeds := 32, slices.Repeat([]float64{61.8}, 28)
	if plain {
		slots, speeds = 6, []float64{1, 1, 1}
	}
	w := newWorldWithSlots(seed, routers, slots, 0, speeds...)
	w.staggered, w.answerTime = true, 500*time.Millisecond
	w.reportEvery = max(reportInterval, time.Duration(routers)*time.Second/600).Round(tick)
	for _, b := range w.routers {
		b.SetReportInterval(w.reportEvery)
	}
	for i, e := range w.engines {
		e.paces = &paces{random: rand.New(rand.NewPCG(seed, uint64(100+i))), stated: p == shared}
		if plain {
			e.work, w.objective = 15, 150*time.Millisecond
		}
	}
	for _, length := range []time.Duration{3 * time.Second, 15 * time.Second} {
		w.workspaces["w"] = &workspaceCounts{}
		w.run(length, func() {
			factor := 1.0
			if w.now.Unix()%3 == 0 {
				factor = 1.7
			}
			for i := range w.routers {
				if w.poisson(rate * factor / float64(routers)) {
					w.send(p, i, w.drawDemand(plain))
				}
			}
		})
	}
	return w
}

// drawDemand draws a request of the plain service, or one with a long, medium or short prompt.
func (w *world) drawDemand(plain bool) *placement.Demand {
	d := &placement.Demand{Service: serviceName, Workspace: "w", LatencyObjective: w.objective, Remaining: 10 * time.Second}
	if !plain {
		kind := []int{0, 0, 0, 1, 1, 2, 2, 2, 2, 2}[w.random.IntN(10)]
		d.Parts = []placement.Part{
			{ID: uint64(100*kind + w.random.IntN(20)), Tokens: []int{13_300, 6_300, 350}[kind]},
			{ID: w.random.Uint64(), Tokens: []int{3_720, 2_890, 1_110}[kind]},
		}
	}
	return d
}

// compare runs all policies, and returns their counts and mean times in ms.
func compare(t *testing.T, routers int, rate float64, plain bool) (counts [policies]workspaceCounts, mean [policies]float64) {
	for p := range policies {
		w := runPaces(p, 0, routers, rate, plain)
		c := *w.workspaces["w"]
		counts[p], mean[p] = c, c.latency.Seconds()*1000/float64(c.asked-c.refused)
		t.Logf("%d routers, %.0f a second, %-17s %3d late, %2d refused of %5d, mean %4.1f ms, %.2f bytes of paces in a report", routers, rate,
			[]string{"own view", "two choices", "paces", "perfect knowledge"}[p], c.late, c.refused, c.asked, mean[p], float64(w.paceBytes)/float64(w.reports))
	}
	return counts, mean
}

// Guards against herding: routers with the same figures send all requests to the target that just looked
// idle, or to a slow machine, at the usual load of padani-geo-grown and at twice as much. At the usual
// load no request may be late; paces must help against the own view and two random choices.
func TestPacesSpeedUpPlainServices(t *testing.T) {
	is := is.New(t)
	for _, routers := range []int{71, 84, 195} {
		for _, rate := range []float64{246, 492} {
			counts, mean := compare(t, routers, rate, true)
			is.True(rate > 246 || counts[shared].late == 0)
			for _, other := range []policy{ownView, twoChoices} {
				is.True(counts[shared].late <= counts[other].late)
				is.True(mean[shared] < mean[other])
			}
		}
	}
}

// Guards against waits at engines on slow machines, at 12 requests a second and engine. The mean time
// must be shorter than by the own view; requests that are late or refused may not become more by more
// than chance (three standard deviations of the difference).
func TestPacesSpeedUpEngines(t *testing.T) {
	is := is.New(t)
	counts, mean := compare(t, 84, 12*28, false)
	is.True(mean[shared] < mean[ownView])
	with, without := float64(counts[shared].late+counts[shared].refused), float64(counts[ownView].late+counts[ownView].refused)
	is.True(with <= without+3*math.Sqrt(with+without))
}

// Guards against herding in the moment after a report: a target that is as fast as usual again gets at
// most half of the requests of 195 routers that know nothing of the two others.
func TestRoutersDoNotAllChooseTheTargetThatJustLookedIdle(t *testing.T) {
	w := newWorldWithSlots(1, 195, 6, 0, 1, 1, 1)
	chosen := map[string]int{}
	for _, b := range w.routers {
		b.MergeReport(w.now, &v1.LoadReport{Router: "x", Sequence: 1, States: &v1.TargetStates{
			Target: []uint32{placement.Hash("e0")}, PacePercent: []uint32{100},
		}})
		c, _ := b.Choose(w.now, w.drawDemand(true))
		chosen[c.Target]++
	}
	t.Log(chosen)
	is.New(t).True(chosen["e0"] <= len(w.routers)/2)
}

// Guards against harm by absurd, stale and foreign figures: whatever they say, each target stays in use,
// predictions are bounded, nothing is left after some seconds, and nothing is told that others said. The
// three figures of earlier deployments change nothing.
func TestAbsurdPacesDoNoHarm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorldWithSlots(1, 1, 6, 0, 1, 1, 1)
		b := w.routers[0]
		b.SetReportInterval(reportInterval)
		usual, _ := b.Choose(w.now, w.drawDemand(true))
		b.SetLoad(w.now, usual.Target, 0, targetload.Figures{Running: 6, Waiting: 40, Slots: 6})
		column := rapid.SliceOfN(rapid.Uint32(), 0, 5)
		for i := range rapid.IntRange(0, 5).Draw(t, "reports") {
			b.MergeReport(w.now, &v1.LoadReport{Router: "x", Sequence: uint64(i + 1), States: &v1.TargetStates{
				Target:  rapid.SliceOfN(rapid.SampledFrom([]uint32{placement.Hash("e0"), placement.Hash("e1"), 7}), 1, 5).Draw(t, "targets"),
				Running: column.Draw(t, "running"), PacePercent: column.Draw(t, "pace"), AgeMs: column.Draw(t, "age"),
			}})
			b.SetLoad(w.now, "e2", 5, targetload.Figures{Slots: 1, Pace: rapid.Float64Min(0).Draw(t, "other start")})
			for _, e := range w.engines {
				d := w.drawDemand(true)
				d.Excluded = func(id string) bool { return id != e.id }
				c, err := b.Choose(w.now, d)
				if err != nil || c.Predicted <= 0 || c.Predicted > 10*usual.Predicted || e.id == "e2" && c.Pace > targetload.ExpectedPace {
					t.Fatalf("%s: %v, predicted %v, pace %v", e.id, err, c.Predicted, c.Pace)
				}
			}
			r := &v1.LoadReport{}
			if b.FillReport(w.now, r); r.States != nil {
				t.Fatal("told what another router had said")
			}
			w.now = w.now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
		}
		w.now = w.now.Add(3 * time.Second)
		if c, _ := b.Choose(w.now, w.drawDemand(true)); c.Pace != 0 && c.Pace != targetload.ExpectedPace {
			t.Fatalf("pace %v is still believed", c.Pace)
		}
	})
}

// Guards against datagrams that grow with the number of slow machines: each of 20 paces is told once, at
// most eight in a report, in 73 bytes.
func TestReportsCarryFewPaces(t *testing.T) {
	w := newWorldWithSlots(1, 1, 32, 0, slices.Repeat([]float64{50}, 20)...)
	w.routers[0].SetReportInterval(325 * time.Millisecond)
	for _, e := range w.engines {
		w.routers[0].SetLoad(w.now, e.id, 0, targetload.Figures{Slots: 32, Pace: 2.5})
	}
	for _, want := range []int{8, 8, 4, 0} {
		r := &v1.LoadReport{}
		w.routers[0].FillReport(w.now.Add(200*time.Millisecond), r)
		is.New(t).True(len(r.States.GetTarget()) == want && proto.Size(&v1.LoadReport{States: r.States}) <= 73)
	}
}
