package pool

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/chiveseam/chiveseam/config"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const (
	benchRouters   = 330
	benchTargets   = 160
	benchPerTarget = 32
	benchDepth     = 4
)

// benchScheduler returns a scheduler whose slots are all busy. A tenth of the
// workspaces, but at least 16, have benchDepth waiting demands each. It also returns
// the IDs of the granted demands.
func benchScheduler(workspaces int) (*Scheduler, []DemandID, time.Time) {
	s := New(Options{})
	now := start
	targets := make([]Target, benchTargets)
	for i := range targets {
		targets[i] = Target{ID: config.ID(1 + i), Zone: fmt.Sprint("z", i%5), Slots: benchPerTarget, Speed: 1}
	}
	s.Step(now, TargetsChanged{targets})
	settings := make([]Workspace, workspaces)
	for i := range settings {
		settings[i] = Workspace{ID: config.ID(1 + i), Share: 1}
	}
	s.Step(now, WorkspacesChanged{settings})
	for i := range benchRouters {
		s.Step(now, RouterJoined{Router: benchRouter(i), Zone: fmt.Sprint("z", i%5)})
	}
	backlogged := max(16, workspaces/10)
	var granted []DemandID
	for i := range benchTargets*benchPerTarget + backlogged*benchDepth {
		d := benchDemand(i, backlogged, now)
		if len(s.Step(now, d)) > 0 {
			granted = append(granted, d.ID)
		}
	}
	return s, granted, now
}

func benchRouter(i int) Router {
	return Router{Name: fmt.Sprintf("router-%03d", i%benchRouters), Incarnation: 1}
}

func benchDemand(i, backlogged int, now time.Time) Demand {
	return Demand{
		ID:        DemandID{benchRouter(i), uint64(i)},
		Workspace: config.ID(1 + i%backlogged),
		Deadline:  now.Add(5 * time.Minute),
		Prefix:    uint32(i % 1000),
		Digest:    uint32(1 + i),
		BodyBytes: 1000,
	}
}

// BenchmarkEnqueueAndGrant measures the end of a granted demand, the grant of a
// waiting one that follows, and a new demand that is queued.
func BenchmarkEnqueueAndGrant(b *testing.B) {
	for _, workspaces := range []int{16, 350, 3500} {
		b.Run(fmt.Sprint(workspaces), func(b *testing.B) {
			s, granted, now := benchScheduler(workspaces)
			backlogged := max(16, workspaces/10)
			routers := make([]Router, benchRouters)
			for i := range routers {
				routers[i] = benchRouter(i)
			}
			seq := 1 << 20
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(time.Microsecond)
				oldest := granted[i%len(granted)]
				done := Done{ID: oldest, Cost: int64(50 + i%100), Outcome: v1.Outcome_SERVED, ServiceTime: time.Second}
				actions := s.Step(now, done)
				grant := actions[0].(Grant)
				granted[i%len(granted)] = grant.ID
				seq++
				s.Step(now, Demand{
					ID:        DemandID{routers[i%benchRouters], uint64(seq)},
					Workspace: config.ID(1 + i%backlogged),
					Deadline:  now.Add(5 * time.Minute),
					BodyBytes: 1000,
				})
			}
		})
	}
}

// BenchmarkUncontended measures a demand that is granted at once, while all slots of
// all targets are free, and its end.
func BenchmarkUncontended(b *testing.B) {
	s, granted, now := benchScheduler(3500)
	for len(granted) > 0 {
		actions := s.Step(now, Done{ID: granted[0], Cost: 100, Outcome: v1.Outcome_SERVED, ServiceTime: time.Second})
		granted = granted[1:]
		for _, a := range actions {
			granted = append(granted, a.(Grant).ID)
		}
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		d := benchDemand(1<<20+i, 350, now)
		s.Step(now, d)
		s.Step(now, Done{ID: d.ID, Cost: 100, Outcome: v1.Outcome_SERVED, ServiceTime: time.Second})
	}
}

// BenchmarkStateBytes measures the heap bytes for each target, workspace and waiting
// demand.
func BenchmarkStateBytes(b *testing.B) {
	const count = 10000
	for range b.N {
		s := New(Options{})
		targets := make([]Target, count)
		for i := range targets {
			targets[i] = Target{ID: config.ID(1 + i), Zone: "z", Speed: 1}
		}
		targets[0].Slots = 1
		before := heapBytes()
		s.Step(start, TargetsChanged{targets})
		b.ReportMetric(float64(heapBytes()-before)/count, "B/target")
		settings := make([]Workspace, count)
		for i := range settings {
			settings[i] = Workspace{ID: config.ID(1 + i), Share: 1}
		}
		before = heapBytes()
		s.Step(start, WorkspacesChanged{settings})
		b.ReportMetric(float64(heapBytes()-before)/count, "B/workspace")
		s.Step(start, RouterJoined{Router: router1})
		before = heapBytes()
		for i := range count {
			s.Step(start, Demand{
				ID:        DemandID{router1, uint64(i)},
				Workspace: config.ID(1 + i%100),
				Deadline:  start.Add(time.Minute),
			})
		}
		b.ReportMetric(float64(heapBytes()-before)/count, "B/demand")
		runtime.KeepAlive(s)
		runtime.KeepAlive(settings)
		runtime.KeepAlive(targets)
	}
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
