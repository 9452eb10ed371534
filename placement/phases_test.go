package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// phasesSeconds is the simulated length of a run with phases, and warmupSeconds the time
	// at its start in which engines process the shared prompts for the first time.
	phasesSeconds = 24
	warmupSeconds = 3
)

// drawPhases draws the times in which some of the workspaces send a multiple of their usual
// rate. Phases of several workspaces begin and end together.
func drawPhases(random *rand.Rand, loads []load) {
	for range 2 + random.IntN(4) {
		from := time.Duration((warmupSeconds + 15*random.Float64()) * float64(time.Second))
		p := phase{from: from, to: from + time.Duration((2+6*random.Float64())*float64(time.Second))}
		for range 1 + random.IntN(len(loads)/2) {
			l := &loads[random.IntN(len(loads))]
			p.factor = 4 + 8*random.Float64()
			l.phases = append(l.phases, p)
		}
	}
}

// restrictToZones lets the callers of about half of the workspaces reach only the routers of
// one zone.
func restrictToZones(random *rand.Rand, loads []load, routers int) {
	const zones = 4
	for i := range loads {
		if random.IntN(2) == 0 {
			continue
		}
		for r := random.IntN(zones); r < routers; r += zones {
			loads[i].routers = append(loads[i].routers, r)
		}
	}
}

// runPhases runs a large fleet of routers, which report to each other seldom, with engines of
// few slots and workspaces whose rates rise and fall. It returns what runLoads returns.
func runPhases(seed uint64) (map[string][]secondResult, float64) {
	random := rand.New(rand.NewPCG(seed, 3))
	speeds := make([]float64, 16+random.IntN(16))
	throughput := 0.0
	for i := range speeds {
		speeds[i] = 35 + 20*random.Float64()
		throughput += 1000 * speeds[i]
	}
	routers := 12 + random.IntN(12)
	loads := make([]load, 8+random.IntN(8))
	for i := range loads {
		loads[i] = load{
			name: fmt.Sprintf("w%d", i), prompts: 10 + random.IntN(60),
			shared: 2_000 + random.IntN(10_000), own: 1_000 + random.IntN(4_000),
		}
		// Together the workspaces ask for about the throughput of the engines, in unequal
		// shares.
		tokensPerSecond := throughput / float64(len(loads)) * (0.2 + 1.6*random.Float64())
		loads[i].rate = tokensPerSecond / float64(loads[i].shared+loads[i].own+200)
	}
	drawPhases(random, loads)
	restrictToZones(random, loads, routers)
	w := newWorldWithSlots(seed, routers, 16, throughput*(0.8+0.8*random.Float64()), speeds...)
	w.reportEvery = 280 * time.Millisecond
	w.reportLoss = 0.03
	return w.runLoads(loads, phasesSeconds)
}

// Guards against an incident on the deployment broadsheet-bkk-grown: while the rates of
// workspaces rose and fell, workspaces that asked for far more than their shares and had requests
// refused in every second got a third of what others got.
func TestSharesStayFairWhileLoadsChange(t *testing.T) {
	for seed := *fairFirst; seed < *fairFirst+*phasesCount; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			results, largest := runPhases(seed)
			checkAllFair(t, warmupSeconds, results, largest)
		})
	}
}

// Guards against a cause of the same incident on the deployment broadsheet-bkk-grown: a workspace
// whose requests had been refused and that then stopped sending still limited the use of the
// others, so that all of them got nothing.
func TestIdleWorkspaceDoesNotLimitOthers(t *testing.T) {
	is := is.New(t)
	const idleFrom, length = 8, 14
	w := newWorldWithSlots(1, 8, 16, 800_000, 50, 50, 50, 50, 50, 50, 50, 50, 50, 50, 50, 50)
	loads := []load{
		{name: "gone", rate: 120, prompts: 4, shared: 2_000, own: 2_000, phases: []phase{{idleFrom * time.Second, time.Hour, 0}}},
		{name: "a", rate: 180, prompts: 4, shared: 6_000, own: 2_000},
		{name: "b", rate: 180, prompts: 4, shared: 6_000, own: 2_000},
	}
	w.reportEvery = 280 * time.Millisecond
	results, _ := w.runLoads(loads, length)
	for _, name := range []string{"a", "b"} {
		before := 0.0
		for _, s := range results[name][warmupSeconds:idleFrom] {
			before += s.begun / (idleFrom - warmupSeconds)
		}
		after := 0.0
		for at := idleFrom; at < length; at++ {
			t.Logf("%s: second %d: %.0f tokens begun, %.0f before", name, at, results[name][at].begun, before)
			is.True(results[name][at].begun > 0)
			after += results[name][at].begun / (length - idleFrom)
		}
		is.True(after > before) // the others share the capacity of the idle workspace
	}
}
