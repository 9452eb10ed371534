package placement_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	// fairWindowSeconds is the length of the windows over which the deployments' rule of
	// fairness compares workspaces, and fairToleranceRequests the shortfall that the rule
	// tolerates, in requests of the largest size.
	fairWindowSeconds     = 6
	fairToleranceRequests = 3
)

var (
	fairFirst = flag.Uint64("fair.first", 0, "first seed of the random loads")
	fairCount = flag.Uint64("fair.count", 60, "number of seeds of the random loads")

	phasesCount = flag.Uint64("phases.count", 20, "number of seeds of the loads with phases")
)

// secondResult sums up the requests of a workspace that arrived in one second.
type secondResult struct {
	// asked and begun are the cost in tokens of all requests, and of those that were sent to a
	// target.
	asked, begun float64
	// refusedOrLate is set if a request was refused or its first token was predicted to come
	// after the latency objective.
	refusedOrLate bool
}

// load is the traffic of a workspace.
type load struct {
	name string
	// rate is the usual number of requests per second.
	rate float64
	// prompts is the number of different shared prompt parts. shared and own are the
	// lengths in tokens of the shared part and of the part that is unique to a request.
	prompts     int
	shared, own int
	// phases are the times at which the rate is not the usual one.
	phases []phase
	// routers are the routers that the callers reach; empty if they reach all.
	routers []int
}

// phase is a time in which a workspace sends factor times its usual rate.
type phase struct {
	from, to time.Duration
	factor   float64
}

// rateFactor returns the factor of the usual rate at a time.
func (l *load) rateFactor(at time.Duration) float64 {
	for _, p := range l.phases {
		if at >= p.from && at < p.to {
			return p.factor
		}
	}
	return 1
}

// pickRouter draws the router that a request reaches.
func (l *load) pickRouter(w *world) int {
	if len(l.routers) == 0 {
		return w.anyRouter()
	}
	return l.routers[w.random.IntN(len(l.routers))]
}

// drawLoads draws the loads of three to six workspaces, two of them large.
func drawLoads(random *rand.Rand) []load {
	loads := make([]load, 3+random.IntN(4))
	for i := range loads {
		loads[i] = load{
			name: fmt.Sprintf("w%d", i), rate: 1 + 4*random.Float64(), prompts: 1 + random.IntN(30),
			shared: 500 + random.IntN(12_000), own: 50 + random.IntN(6_000),
		}
	}
	for i := range 2 {
		loads[i].rate = 20 + 100*random.Float64()
	}
	return loads
}

// runRandomLoads draws engines, routers and loads from a seed and runs them for length seconds.
// It returns what runLoads returns.
func runRandomLoads(seed uint64, length int) (map[string][]secondResult, float64) {
	random := rand.New(rand.NewPCG(seed, 2))
	loads := drawLoads(random)
	speeds := make([]float64, 4+random.IntN(6))
	for i := range speeds {
		speeds[i] = 30 + 30*random.Float64()
	}
	w := newWorld(seed, 2+random.IntN(6), 50_000+400_000*random.Float64(), speeds...)
	w.reportLoss = 0.05
	return w.runLoads(loads, length)
}

// runLoads sends loads for length seconds. It returns the results of each workspace by second,
// and the tokens of the largest request.
func (w *world) runLoads(loads []load, length int) (map[string][]secondResult, float64) {
	results := make(map[string][]secondResult)
	largest := 0.0
	for i, l := range loads {
		results[l.name] = make([]secondResult, length)
		largest = max(largest, float64(l.shared+l.own+200))
		w.addLoad(l, uint64(1000*(i+1)), results[l.name])
	}
	w.run(time.Duration(length)*time.Second, w.sendStreams)
	return results, largest
}

// Checks the deployments' rule of fairness for random loads: in each window of six seconds, a
// workspace with refused or late requests in every second gets at least half of what the best
// served workspace gets, or half of what it asked for if that is less, minus the tolerance of
// three requests of the largest size.
func TestRefusedWorkspacesGetHalfOfTheBestServed(t *testing.T) {
	for seed := *fairFirst; seed < *fairFirst+*fairCount; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			results, largest := runRandomLoads(seed, 15)
			checkAllFair(t, 3, results, largest)
		})
	}
}

// checkAllFair checks all workspaces in all windows that start at firstSecond or later.
func checkAllFair(t *testing.T, firstSecond int, results map[string][]secondResult, largest float64) {
	t.Helper()
	for name, seconds := range results {
		for from := firstSecond; from+fairWindowSeconds <= len(seconds); from++ {
			checkFair(t, name, from, results, largest)
		}
	}
}

// checkFair checks one workspace in the window that starts at second from. The rule applies
// only if the workspace had refused or late requests in each second of the window.
func checkFair(t *testing.T, name string, from int, results map[string][]secondResult, largest float64) {
	t.Helper()
	got, best := 0.0, 0.0
	entitled := 0.0
	for at := from; at < from+fairWindowSeconds; at++ {
		s := results[name][at]
		if !s.refusedOrLate {
			return
		}
		best = 0
		for _, other := range results {
			best = max(best, other[at].begun)
		}
		got += s.begun
		entitled += min(s.asked, best)
	}
	if got < entitled/2-fairToleranceRequests*largest {
		t.Errorf("from second %d workspace %s got %.0f tokens of %.0f", from, name, got, entitled)
	}
}
