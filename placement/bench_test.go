package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/chiveseam/chiveseam/placement"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/routing"
)

// BenchmarkChoose measures a choice among the engines of a grown deployment, each
// of which keeps the prompts of many callers.
func BenchmarkChoose(b *testing.B) {
	const engines, kept = 140, 60
	now := time.Unix(1000, 0)
	book := placement.New(placement.Options{Router: "r", ShareWindow: 4 * time.Second, PeerTimeout: 3 * time.Second})
	book.SetServices(map[string]routing.Service{
		"llm": {Name: "llm", Engine: &routing.Engine{Slots: 16, KVCacheTokens: 600_000, FetchTimePerToken: time.Microsecond}},
	}, 1e6)
	report := &v1.LoadReport{Router: "q", Incarnation: 1, Sequence: 1}
	for i := range engines {
		id := fmt.Sprint("e", i)
		book.SetTarget(routing.Target{ID: id, Service: "llm", Slots: 16})
		report.Targets = append(report.Targets, &v1.TargetLoad{Target: placement.Hash(id), Running: uint32(i % 16), Unread: 1000})
		for k := range kept {
			report.Parts = append(report.Parts, &v1.PartRead{Target: placement.Hash(id), Part: uint64(i*kept/4 + k), Tokens: 5000})
		}
	}
	book.Merge(now, report)
	d := placement.Demand{Service: "llm", Workspace: "shop", Want: time.Second, Left: 10 * time.Second}
	b.ResetTimer()
	for i := range b.N {
		now = now.Add(time.Millisecond)
		d.Parts = []placement.Part{{ID: uint64(i % (engines * kept / 4)), Tokens: 5000}, {ID: uint64(1<<40 + i), Tokens: 3000}}
		book.Asked(now, &d)
		if c, err := book.Choose(now, &d); err == nil {
			book.End(now, book.Begin(now, &d, c), placement.Succeeded)
		}
	}
}
