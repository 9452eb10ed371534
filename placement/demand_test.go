package placement_test

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/chiveseam/chiveseam/fairshare"
	"github.com/chiveseam/chiveseam/routing"
)

// The size of the deployments, with fewer and faster engines: a report interval brings each engine as
// many requests that other routers do not see as there.
const (
	demandRouters, demandZones = 84, 3
	demandWorkspaces           = 30
	demandEngines              = 24
	demandEngineSpeed          = 260.0
	demandSeconds              = 22
	// usualLoad is the usual demand as a part of the engines' throughput.
	usualLoad = 0.8
	// retryDelay is the time after which a caller that retries at once asks again, and maxTries the
	// number of its requests.
	retryDelay = 20 * time.Millisecond
	maxTries   = 6
)

var (
	demandFirst = flag.Uint64("demand.first", 0, "first seed of the loads above capacity")
	demandCount = flag.Uint64("demand.count", 1, "number of seeds of the loads above capacity")
)

// demandDay is one run of the fleet with demand above capacity.
type demandDay struct {
	*world
	loads    []load
	capacity float64
	results  [][]secondResult
	// available is the part of the throughput that is available in each second.
	available [demandSeconds]float64
	// turns holds the seconds in which a demand or the throughput changes.
	turns [demandSeconds + 1]bool
	// atOnce is the part of the callers that retry at once.
	atOnce float64
	// moves is set if the callers of every other workspace stay within one zone, and move to the next
	// zone at each turn.
	moves bool
}

// demandKinds are the kinds of days by name.
var demandKinds = map[string]func(*demandDay, *rand.Rand){
	"surges": func(d *demandDay, random *rand.Rand) { d.surge(random) },
	"surges while callers move": func(d *demandDay, random *rand.Rand) {
		d.surge(random)
		d.moves = true
	},
	"surges with retries at once": func(d *demandDay, random *rand.Rand) {
		d.surge(random)
		d.atOnce = 1.0 / 3
	},
	"largest drops and returns": func(d *demandDay, random *rand.Rand) {
		d.addPhase(0, 7, 13, 0.02)
		d.addPhase(2+random.IntN(3), 5, 15, 10)
	},
	"burst of all": func(d *demandDay, random *rand.Rand) {
		from, length, factor := 6, 3+random.IntN(4), 1.7+0.6*random.Float64()
		for i := range d.loads {
			d.addPhase(i, from, from+length, factor)
		}
	},
	"a third of the targets leaves": func(d *demandDay, _ *rand.Rand) {
		d.turns[8], d.turns[16] = true, true
		for at := 8; at < 16; at++ {
			d.available[at] = 2.0 / 3
		}
	},
}

func (d *demandDay) addPhase(workspace, from, to int, factor float64) {
	d.turns[from], d.turns[to] = true, true
	l := &d.loads[workspace]
	l.phases = append(l.phases, phase{time.Duration(from) * time.Second, time.Duration(to) * time.Second, factor})
}

// surge lets three workspaces of rank 2 to 14 send 3 to 12 times their usual rate for 7 to 11 s.
func (d *demandDay) surge(random *rand.Rand) {
	for i, workspace := range random.Perm(13)[:3] {
		from := 4 + 3*i + random.IntN(2)
		d.addPhase(1+workspace, from, from+7+random.IntN(5), 3+9*random.Float64())
	}
}

func newDemandDay(seed uint64, kind string) *demandDay {
	random := rand.New(rand.NewPCG(seed, 4))
	d := &demandDay{results: make([][]secondResult, demandWorkspaces)}
	weights, cost, unread := 0.0, 0.0, 0.0
	for i := range demandWorkspaces {
		l := load{name: fmt.Sprintf("w%d", i), prompts: 1, shared: 100, own: 2_000 + random.IntN(2_000), rate: 1 / float64((i+1)*(i+1))}
		d.loads = append(d.loads, l)
		d.results[i] = make([]secondResult, demandSeconds)
		weights += l.rate
		cost += l.rate * l.cost()
		unread += l.rate * float64(l.own)
	}
	d.capacity = demandEngines * demandEngineSpeed * 1000 * cost / unread
	for i := range d.loads {
		d.loads[i].rate *= usualLoad * d.capacity / cost
	}
	for i := range d.available {
		d.available[i] = 1
	}
	demandKinds[kind](d, random)
	speeds := make([]float64, demandEngines)
	for i := range speeds {
		speeds[i] = demandEngineSpeed
	}
	d.world = newWorldWithSlots(seed, demandRouters, 312, d.capacity, speeds...)
	for _, b := range d.routers {
		b.LimitDraining(0)
	}
	d.reportEvery, d.reportLoss = 140*time.Millisecond, 0.03
	return d
}

// cost is the cost of a request in tokens.
func (l *load) cost() float64 { return float64(l.shared + l.own + 200) }

// retry is a request that a caller sends again at a time.
type retry struct {
	at               time.Time
	workspace, tries int
}

// play runs the day. Results count requests by the second in which they are sent.
func (d *demandDay) play() {
	start := d.now
	var retries []retry
	d.run(demandSeconds*time.Second, func() {
		since := d.now.Sub(start) - tick
		second := int(since / time.Second)
		if since%time.Second == 0 && second > 0 && d.available[second] != d.available[second-1] {
			d.setDraining(d.available[second] < 1)
		}
		send := func(workspace, tries int) {
			if d.send(workspace, second) || tries >= maxTries || d.random.Float64() >= d.atOnce {
				return
			}
			retries = append(retries, retry{d.now.Add(retryDelay), workspace, tries + 1})
		}
		for len(retries) > 0 && !d.now.Before(retries[0].at) {
			r := retries[0]
			retries = retries[1:]
			send(r.workspace, r.tries)
		}
		for i := range d.loads {
			for range d.arrivals(d.loads[i].rate * d.loads[i].rateFactor(since)) {
				send(i, 1)
			}
		}
	})
}

// arrivals draws the number of requests in a tick, for a rate per second.
func (d *demandDay) arrivals(rate float64) int {
	n, p := 0, d.random.Float64()
	for limit := math.Exp(-rate * tick.Seconds()); p > limit; n++ {
		p *= d.random.Float64()
	}
	return n
}

// send sends a request and reports whether it was admitted.
func (d *demandDay) send(workspace, second int) bool {
	l, s := &d.loads[workspace], &d.results[workspace][second]
	router := d.anyRouter()
	if d.moves && workspace%2 == 0 {
		zone := workspace
		for at := range second + 1 {
			if d.turns[at] {
				zone++
			}
		}
		router = router/demandZones*demandZones + zone%demandZones
	}
	s.asked += l.cost()
	choice, err := d.sendRequest(router, l.name, uint64(workspace), l.shared, l.own)
	if err != nil {
		s.refusedOrLate = true
		return false
	}
	s.begun += l.cost()
	s.refusedOrLate = s.refusedOrLate || choice.Predicted > wanted
	return true
}

// setDraining takes a third of the targets out of service, or puts them back.
func (d *demandDay) setDraining(draining bool) {
	for i := 0; i < len(d.engines); i += demandZones {
		e := d.engines[i]
		for _, b := range d.routers {
			b.SetTarget(routing.Target{ID: e.id, Service: serviceName, Slots: e.slots, Draining: draining})
		}
	}
}

// shortfall is the part that a workspace lacks, in one second, of the lesser of what it asked for and
// its max-min share of the whole fleet; below 0 if it got more.
func (d *demandDay) shortfall(workspace, second int) float64 {
	demands := make([]float64, len(d.loads))
	for i := range demands {
		demands[i] = d.results[i][second].asked
	}
	share, scarce := fairshare.MaxMinLevel(d.capacity*d.available[second], demands)
	s := d.results[workspace][second]
	entitled := s.asked
	if scarce {
		entitled = min(entitled, share)
	}
	if entitled == 0 {
		return 0
	}
	return 1 - s.begun/entitled
}

// Guards against shares that follow the demands of workspaces, or the throughput of the engines, only
// seconds after these have changed: workspaces whose demand surges and returns to normal, a burst of
// all, and a third of the targets that leaves. A workspace below its max-min share is not short by more
// than half of the lesser of its demand and its share for longer than one second after a turn.
func TestSharesFollowWithinASecond(t *testing.T) {
	for kind := range demandKinds {
		for seed := *demandFirst; seed < *demandFirst+*demandCount; seed++ {
			t.Run(fmt.Sprintf("%s/%d", kind, seed), func(t *testing.T) {
				d := newDemandDay(seed, kind)
				d.play()
				d.checkShortfalls(t)
				results, largest := make(map[string][]secondResult), 0.0
				for i, l := range d.loads {
					results[l.name] = d.results[i]
					largest = max(largest, l.cost())
				}
				checkAllFair(t, warmupSeconds, results, largest)
			})
		}
	}
}

// checkShortfalls checks the shortfalls of all workspaces, and logs the worst and the mean one, and how
// long shortfalls of more than half last.
func (d *demandDay) checkShortfalls(t *testing.T) {
	t.Helper()
	worst, sum, count, longest, served := 0.0, 0.0, 0, 0, 0.0
	for i := range d.loads {
		lasts := 0
		for second := warmupSeconds; second < demandSeconds; second++ {
			short := d.shortfall(i, second)
			served += d.results[i][second].begun
			if d.results[i][second].refusedOrLate {
				sum += max(short, 0)
				count++
			}
			if short <= 0.5 {
				lasts = 0
				continue
			}
			lasts++
			longest = max(longest, lasts)
			if !d.turns[second] {
				worst = max(worst, short)
				t.Errorf("second %d: w%d is short by %.2f of its share, asked %.0f tokens, got %.0f", second, i, short, d.results[i][second].asked, d.results[i][second].begun)
			}
		}
	}
	inTime, late := 0, 0
	for _, counts := range d.workspaces {
		inTime += counts.inTime
		late += counts.late
	}
	t.Logf("shortfall later than a second after a turn at worst %.2f (0: none above 0.5), mean of refused workspaces %.3f, longest %d s, served %.3f of the capacity, late %.3f of what was answered",
		worst, sum/float64(max(count, 1)), longest, served/d.capacity/(demandSeconds-warmupSeconds), float64(late)/float64(inTime+late))
}
