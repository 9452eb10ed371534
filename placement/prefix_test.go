package placement_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/placement"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/routing"
)

// promptLoad is a tenth of the load and of the engines of broadsheet-bkk-now-grown.
type promptLoad struct {
	name string
	// factor is the load, where 1 is as many requests as the engines have slots for.
	factor float64
	// long and medium are the numbers of different shared parts of long and of medium prompts, and hot
	// the share of long prompts that begin with one hot part.
	long, medium int
	hot          float64
	// memory is that of an engine in tokens, and output what each request generates.
	memory, output int
}

var promptLoads = []promptLoad{
	{"0.5", 0.5, 81, 120, 0, 570_212, 200},
	{"0.8", 0.8, 81, 120, 0, 570_212, 200},
	{"1.2", 1.2, 81, 120, 0, 570_212, 200},
	{"0.5, twice the prompts", 0.5, 159, 240, 0, 570_212, 200},
	{"0.8, twice the prompts", 0.8, 159, 240, 0, 570_212, 200},
	{"0.8, hot prompt", 0.8, 81, 120, 0.78, 570_212, 200},
	{"0.8, half of the memory", 0.8, 81, 120, 0, 285_000, 200},
	{"0.5, a quarter of the memory", 0.5, 81, 120, 0, 142_000, 400},
	{"0.8, a quarter of the memory", 0.8, 81, 120, 0, 142_000, 400},
}

// promptResult sums up the results of runs of one load.
type promptResult struct {
	memoryCounts
	asked, refused int
}

// inTime returns the part of the requests that were answered within the objective.
func (r promptResult) inTime() float64 {
	late := slices.DeleteFunc(slices.Clone(r.firstTokens), func(t time.Duration) bool { return t <= wanted })
	return float64(len(r.firstTokens)-len(late)) / float64(r.asked)
}

func (r promptResult) String() string {
	slices.Sort(r.firstTokens)
	n, sum := len(r.firstTokens), time.Duration(0)
	for _, t := range r.firstTokens {
		sum += t
	}
	return fmt.Sprintf("first token %4d ms, p95 %4d ms, in time %.3f, refused %.3f, million tokens read again %.1f, moved %.1f, evicted %d, preempted %d",
		(sum / time.Duration(n)).Milliseconds(), r.firstTokens[n*95/100].Milliseconds(), r.inTime(),
		float64(r.refused)/float64(r.asked), float64(r.reread+r.preemptedTokens)/1e6, float64(r.moved)/1e6, r.evicted, r.preempted)
}

// runPrompts runs a load for 40 s, of which the last 30 count.
func runPrompts(r *promptResult, seed uint64, l promptLoad, fetch time.Duration, weighing bool) {
	const slots = 32
	speeds := make([]float64, 14)
	for i := range speeds {
		speeds[i] = 54.6 * []float64{0.7, 0.7, 1.7}[i%3]
	}
	w := newWorldWithSlots(seed, 9, slots, 0, speeds...)
	w.reportEvery, w.reportLoss, w.weighing, w.maxOutput = 280*time.Millisecond, 0.02, weighing, l.output
	w.settings = routing.Engine{Slots: slots, KVCacheTokens: l.memory, FetchTimePerToken: fetch}
	for _, e := range w.engines {
		e.memory = &engineMemory{capacity: l.memory}
	}
	capacity := float64(len(speeds)*slots) / answerDuration.Seconds()
	for i := range w.routers {
		w.routers[i] = w.newBalancer(i, capacity*(9_600+2*float64(l.output))) // tokens of a mean request
		w.routers[i].SetReportInterval(w.reportEvery)
	}
	w.memory = &r.memoryCounts
	w.memory.from = w.now.Add(10 * time.Second)
	w.run(40*time.Second, func() {
		for i, c := range []struct {
			share                  float64
			different, shared, own int
		}{{0.322, l.long, 13_300, 3_720}, {0.405, l.medium, 6_300, 2_890}, {0.273, 159, 350, 1_110}} {
			if !w.poisson(c.share * l.factor * capacity) {
				continue
			}
			// The inverse of the distribution function of a skew of 0.3.
			part := uint64(1000*(i+1) + int(float64(c.different)*math.Pow(w.random.Float64(), 1/0.7)))
			if i == 0 && w.random.Float64() < l.hot {
				part = 1
			}
			_, err := w.sendRequest(w.anyRouter(), "w", part, c.shared, c.own)
			w.count(&r.asked, 1)
			if err != nil {
				w.count(&r.refused, 1)
			}
		}
	})
}

// Load patterns: many long shared prompts at half, 0.8 and 1.2 of the capacity, twice as many prompts,
// one hot prompt with a quarter of the traffic, engines short of memory. Guards against a weighing that
// serves fewer requests in time, or lets engines read more tokens again, than a fixed weight.
func TestWeighingServesMoreInTimeAndReadsLessAgain(t *testing.T) {
	for _, fetch := range []time.Duration{0, fetchPerToken} {
		for _, l := range promptLoads {
			t.Run(fmt.Sprint(l.name, ", fetches ", fetch > 0), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				var off, on promptResult
				for seed := range uint64(5) {
					runPrompts(&off, seed, l, fetch, false)
					runPrompts(&on, seed, l, fetch, true)
				}
				t.Logf("off: %v", off)
				t.Logf("on:  %v", on)
				is.True(on.inTime() >= off.inTime())
				is.True(on.reread+on.preemptedTokens <= off.reread+off.preemptedTokens)
			})
		}
	}
}

// newMemoryBalancer returns a router with one engine of 10,000 tokens and a function that starts a
// request of one shared part and an own one, and returns how many of its tokens are not held.
func newMemoryBalancer() (*placement.Balancer, func(now time.Time, shared uint64) (int, *placement.Ticket)) {
	b := placement.New(placement.Options{Router: "r", ShareWindow: time.Second, PeerTimeout: time.Hour, PrefixWeighing: true})
	b.SetServices(map[string]routing.Service{serviceName: {Engine: &routing.Engine{Slots: 32, KVCacheTokens: 10_000}}}, 0)
	b.SetTarget(routing.Target{ID: "e0", Service: serviceName, Slots: 32})
	own := uint64(1 << 40)
	return b, func(now time.Time, shared uint64) (int, *placement.Ticket) {
		own++
		d := placement.Demand{
			Service: serviceName, LatencyObjective: time.Second, Remaining: time.Second, Repeated: true,
			Parts: []placement.Part{{ID: shared, Tokens: 2_000}, {ID: own, Tokens: 500}},
		}
		c, _ := b.Choose(now, &d)
		return c.SharedUnread, b.Begin(now, &d, c)
	}
}

// Guards against a part that counts as evicted while a request holds it, and against one that counts as
// held after newer ones have taken its memory, the requests of other routers included.
func TestMemoryIsSharedByRunningRequestsAndParts(t *testing.T) {
	is := is.New(t)
	b, send := newMemoryBalancer()
	now := time.Unix(1000, 0)
	_, held := send(now, 1)
	_, ended := send(now, 2)
	b.End(now, ended, placement.Succeeded)
	for shared := range uint64(6) {
		_, k := send(now, 100+shared)
		b.End(now, k, placement.Succeeded)
	}
	unread, again := send(now, 1)
	is.Equal(unread, 0) // part 1 is held
	b.End(now, again, placement.Succeeded)
	unread, again = send(now, 2)
	is.Equal(unread, 2_000) // part 2 was evicted
	b.End(now, again, placement.Succeeded)

	now = now.Add(time.Second)
	b.MergeReport(now, &v1.LoadReport{Router: "q", Incarnation: 1, Sequence: 1, Loads: &v1.TargetLoads{Target: []uint32{placement.Hash("e0")}, Running: []uint32{2}}})
	unread, again = send(now, 2)
	is.Equal(unread, 0)
	b.End(now, again, placement.Succeeded)
	// Two requests of another router at a time read 500 tokens each in a part of a second.
	now = now.Add(30 * time.Second)
	unread, again = send(now, 2)
	is.Equal(unread, 2_000)
	b.End(now, again, placement.Succeeded)
	unread, _ = send(now.Add(time.Second), 2)
	is.Equal(unread, 0) // the part that was held all the time takes no more memory than its own
	b.End(now, held, placement.Succeeded)
}

// Guards against memory that counts as held for ever after an engine has lost its cache, or after the
// configuration has stated no memory for a while.
func TestHeldMemoryIsReleased(t *testing.T) {
	is := is.New(t)
	for _, lose := range []func(b *placement.Balancer){
		func(b *placement.Balancer) { b.ClearCache("e0") },
		func(b *placement.Balancer) {
			for _, tokens := range []int{0, 10_000} {
				b.SetServices(map[string]routing.Service{serviceName: {Engine: &routing.Engine{Slots: 32, KVCacheTokens: tokens}}}, 0)
			}
		},
	} {
		b, send := newMemoryBalancer()
		now := time.Unix(1000, 0)
		_, before := send(now, 1)
		lose(b)
		_, after := send(now, 1)
		b.End(now, before, placement.Succeeded)
		b.End(now, after, placement.Succeeded)
		now = now.Add(time.Second)
		c, err := b.Choose(now, &placement.Demand{Service: serviceName, LatencyObjective: time.Second, Remaining: time.Second, Parts: []placement.Part{{ID: 1, Tokens: 1}}})
		is.NoErr(err)
		is.Equal(c.MemoryHeld, 0)
	}
}
