package measure

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/chiveseam/chiveseam/fleet"
	"github.com/chiveseam/chiveseam/pool"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const benchCost = 1000

// BenchmarkSnapshot is the counters that go to the successors in each second.
func BenchmarkSnapshot(b *testing.B) {
	for _, workspaces := range []int{16, 350, 3500} {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			s := pool.New(pool.Options{})
			s.Step(epoch, pool.WorkspacesChanged{Workspaces: Fleet{Workspaces: workspaces}.workspaces()})
			b.ReportAllocs()
			for b.Loop() {
				s.Counters()
			}
		})
	}
}

// heapOf returns the bytes of the heap that build's result keeps.
func heapOf(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// instances returns the list of a fleet of the given size.
func instances(size int) *v1.InstanceList {
	list := &v1.InstanceList{Revision: 1, AsOfUnixMs: epoch.UnixMilli()}
	for i := range size {
		list.Instances = append(list.Instances, &v1.Instance{
			Name: fmt.Sprintf("router-%d", i), Incarnation: 1, Zone: fmt.Sprintf("zone-%d", i%10),
			PeerAddress: fmt.Sprintf("10.0.%d.%d:7070", i/256, i%256), State: v1.InstanceState_LIVE,
		})
	}
	return list
}

func view(list *v1.InstanceList, i int) *fleet.View {
	v := fleet.New(list.Instances[i], fleet.DefaultOptions())
	v.ApplyList(epoch, list)
	return v
}

var fleetSizes = []int{6, 24, 96, 330}

// BenchmarkViewTick is Tick and Next, which a router calls each 100 ms, and
// the answers of the routers that it contacts.
func BenchmarkViewTick(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("routers=%d", size), func(b *testing.B) {
			list := instances(size)
			v := view(list, 0)
			peers := map[string]*fleet.View{}
			for i := range size {
				peers[list.Instances[i].Name] = view(list, i)
			}
			b.ReportAllocs()
			now := epoch
			for b.Loop() {
				now = now.Add(100 * time.Millisecond)
				v.Tick(now)
				for _, m := range v.DueContacts(now) {
					v.Merge(now, peers[m.Name].StateFor(v.Self().Name))
				}
			}
		})
	}
}

// BenchmarkViewMerge is a heartbeat and its answer.
func BenchmarkViewMerge(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("routers=%d", size), func(b *testing.B) {
			list := instances(size)
			v, peer := view(list, 0), view(list, 1)
			b.ReportAllocs()
			now := epoch
			for b.Loop() {
				now = now.Add(time.Second)
				v.Merge(now, peer.StateFor(v.Self().Name))
				peer.Merge(now, v.StateFor(peer.Self().Name))
			}
		})
	}
}

// TestViewSizes logs the bytes of a router's view of the fleet.
func TestViewSizes(t *testing.T) {
	is := is.New(t)
	for _, size := range fleetSizes {
		list := instances(size)
		bytes := heapOf(func() any {
			v := view(list, 0)
			v.Tick(epoch)
			return v
		})
		t.Logf("%d routers: view of %.0f bytes beside the list", size, bytes)
		is.True(bytes < 1<<22)
	}
}

// TestHelloSize logs the bytes of the first batch of a stream by requests in
// flight, from which a scheduler is rebuilt.
func TestHelloSize(t *testing.T) {
	is := is.New(t)
	hello := &v1.Hello{Router: "router-100", Incarnation: 1 << 40, Zone: "zone-4", Counters: []*v1.PoolCounters{{Pool: 1 << 30}}}
	batch := &v1.EntryBatch{Hello: hello}
	empty := proto.Size(batch)
	const inFlight = 100
	for i := range inFlight {
		hello.InFlight = append(hello.InFlight, &v1.InFlight{Seq: uint64(1<<20 + i), Pool: 1 << 30, Workspace: 1 << 30, Target: 1 << 30, Charged: benchCost})
	}
	each := float64(proto.Size(batch)-empty) / inFlight
	t.Logf("hello of %d bytes and %.1f bytes a request in flight", empty, each)
	is.True(each < 64)
}
