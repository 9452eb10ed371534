package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/chiveseam/chiveseam/placement"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/routing"
)

// BenchmarkChoose measures the choice among the 140 engines of a large deployment, each of
// which has the prompts of many callers in its cache.
func BenchmarkChoose(b *testing.B) {
	const engines, cachedParts = 140, 60
	now := time.Unix(1000, 0)
	balancer := placement.New(placement.Options{Router: "r", ShareWindow: 4 * time.Second, PeerTimeout: 3 * time.Second})
	balancer.SetServices(map[string]routing.Service{
		"llm": {Name: "llm", Engine: &routing.Engine{Slots: 16, KVCacheTokens: 600_000, FetchTimePerToken: time.Microsecond}},
	}, 1e6)
	report := &v1.LoadReport{Router: "q", Incarnation: 1, Sequence: 1}
	for i := range engines {
		id := fmt.Sprint("e", i)
		balancer.SetTarget(routing.Target{ID: id, Service: "llm", Slots: 16})
		report.Targets = append(report.Targets, &v1.TargetLoad{Target: placement.Hash(id), Running: uint32(i % 16), Unread: 1000})
		for k := range cachedParts {
			report.Parts = append(report.Parts, &v1.PartRead{Target: placement.Hash(id), Part: uint64(i*cachedParts/4 + k), Tokens: 5000})
		}
	}
	balancer.MergeReport(now, report)
	d := placement.Demand{Service: "llm", Workspace: "shop", LatencyObjective: time.Second, Remaining: 10 * time.Second}
	b.ResetTimer()
	for i := range b.N {
		now = now.Add(time.Millisecond)
		d.Parts = []placement.Part{{ID: uint64(i % (engines * cachedParts / 4)), Tokens: 5000}, {ID: uint64(1<<40 + i), Tokens: 3000}}
		balancer.Admit(now, &d)
		if c, err := balancer.Choose(now, &d); err == nil {
			balancer.End(now, balancer.Begin(now, &d, c), placement.Succeeded)
		}
	}
}
