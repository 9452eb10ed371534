package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/chiveseam/chiveseam/placement"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/routing"
)

// newBenchBalancer returns a balancer of a large deployment with 140 engines, each of which has the
// prompts of many callers in its cache.
func newBenchBalancer(now time.Time, tokensPerSecond float64) *placement.Balancer {
	balancer := placement.New(placement.Options{Router: "r", ShareWindow: 4 * time.Second, PeerTimeout: 3 * time.Second, PrefixWeighing: prefixWeighing})
	balancer.SetServices(map[string]routing.Service{
		"llm": {Name: "llm", Engine: &routing.Engine{Slots: 16, KVCacheTokens: 600_000, FetchTimePerToken: time.Microsecond}},
	}, tokensPerSecond)
	report := &v1.LoadReport{Router: "q", Incarnation: 1, Sequence: 1, Loads: &v1.TargetLoads{}}
	for i := range benchEngines {
		id := fmt.Sprint("e", i)
		balancer.SetTarget(routing.Target{ID: id, Service: "llm", Slots: 16})
		report.Loads.Target = append(report.Loads.Target, placement.Hash(id))
		report.Loads.Running = append(report.Loads.Running, uint32(i%16))
		report.Loads.Unread = append(report.Loads.Unread, 1000)
		for k := range benchCachedParts {
			report.Parts = append(report.Parts, &v1.PartRead{Target: placement.Hash(id), Part: uint64(i*benchCachedParts/4 + k), Tokens: 5000})
		}
	}
	balancer.MergeReport(now, report)
	return balancer
}

// prefixWeighing is the option PrefixWeighing of newBenchBalancer.
var prefixWeighing bool

const benchEngines, benchCachedParts = 140, 60

// benchParts returns the prompt of the i-th request.
func benchParts(i int) []placement.Part {
	return []placement.Part{{ID: uint64(i % (benchEngines * benchCachedParts / 4)), Tokens: 5000}, {ID: uint64(1<<40 + i), Tokens: 3000}}
}

// BenchmarkRefuse measures the refusal of requests of a workspace far above its share, while another one
// is refused too.
func BenchmarkRefuse(b *testing.B) {
	now := time.Unix(1000, 0)
	balancer := newBenchBalancer(now, 1e5)
	refused := 0
	b.ResetTimer()
	for i := range b.N {
		now = now.Add(300 * time.Microsecond)
		workspace := "large"
		if i%20 == 0 {
			workspace = "small"
		}
		d := placement.Demand{
			Service: "llm", Workspace: workspace, LatencyObjective: time.Second, Remaining: 10 * time.Second, Parts: benchParts(i),
		}
		err := balancer.Admit(now, &d)
		if err != nil {
			refused++
			continue
		}
		if c, err := balancer.Choose(now, &d); err == nil {
			balancer.End(now, balancer.Begin(now, &d, c), placement.Succeeded)
		}
	}
	b.ReportMetric(float64(refused)/float64(b.N), "refused/op")
}

// BenchmarkChoose measures the admission of a request and the choice of its engine.
func BenchmarkChoose(b *testing.B) {
	now := time.Unix(1000, 0)
	balancer := newBenchBalancer(now, 1e6)
	d := placement.Demand{Service: "llm", Workspace: "shop", LatencyObjective: time.Second, Remaining: 10 * time.Second}
	b.ResetTimer()
	for i := range b.N {
		now = now.Add(time.Millisecond)
		d.Parts = benchParts(i)
		balancer.Admit(now, &d)
		if c, err := balancer.Choose(now, &d); err == nil {
			balancer.End(now, balancer.Begin(now, &d, c), placement.Succeeded)
		}
	}
}

// BenchmarkChooseWeighing is BenchmarkChoose with the option PrefixWeighing.
func BenchmarkChooseWeighing(b *testing.B) {
	prefixWeighing = true
	defer func() { prefixWeighing = false }()
	BenchmarkChoose(b)
}
