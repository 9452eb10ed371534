package placement_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/placement"
)

// Two workspaces ask for more than their share. The prompts of one are kept by the
// targets and wait for nothing, those of the other have to be read and wait.
func TestKeptPromptsAreNoLead(t *testing.T) {
	is := is.New(t)
	w := newWorld(5, 4, 100_000, 50, 50, 50, 50, 50, 50, 50, 50)
	w.run(12*time.Second, func() {
		for range 2 {
			if w.poisson(200) {
				w.send(w.anyRouter(), "kept", uint64(w.random.IntN(16)), 9_900, 100)
			}
		}
		if w.poisson(40) {
			w.send(w.anyRouter(), "read", uint64(100+w.random.IntN(8)), 1_000, 9_000)
		}
	})
	kept, read := w.tenants["kept"], w.tenants["read"]
	t.Logf("kept: %+v, read: %+v", *kept, *read)
	is.True(read.refused > 0)                                   // it is refused
	is.True(2*(read.inTime+read.late) >= kept.inTime+kept.late) // and gets half as much at least
}

// A workspace that asks for more than its share alone is not held back while
// targets have room.
func TestLeadOverWorkspacesThatGetAllIsNoReason(t *testing.T) {
	is := is.New(t)
	w := newWorld(6, 4, 100_000, 50, 50, 50, 50, 50, 50, 50, 50)
	w.run(8*time.Second, func() {
		if w.poisson(60) {
			w.send(w.anyRouter(), "large", uint64(w.random.IntN(8)), 9_900, 100)
		}
		if w.poisson(1) {
			w.send(w.anyRouter(), "small", uint64(100+w.random.IntN(8)), 1_000, 1_000)
		}
	})
	large, small := w.tenants["large"], w.tenants["small"]
	t.Logf("large: %+v, small: %+v", *large, *small)
	is.Equal(small.refused, 0)
	is.True(large.refused < large.asked/20)
}

// A router that serves little is alone or has lost sight of the others. A few refused
// requests of one workspace are no reason to refuse another one.
func TestFewRefusedRequestsHoldNobodyBack(t *testing.T) {
	is := is.New(t)
	w := newWorld(7, 1, 0, 50, 50)
	b := w.routers[0]
	ask := func(workspace string, begin bool) error {
		d := placement.Demand{
			Service: serviceName, Workspace: workspace, Want: wanted, Left: time.Second,
			Parts: []placement.Part{{ID: 1, Tokens: 100}, {ID: w.random.Uint64(), Tokens: 50}},
		}
		b.Asked(w.now, &d)
		choice, err := b.Choose(w.now, &d)
		if err == nil && begin {
			b.End(w.now, b.Begin(w.now, &d, choice), placement.Succeeded)
		}
		return err
	}
	for range 3 {
		is.NoErr(ask("unlucky", true))
		is.NoErr(ask("unlucky", false))
	}
	for range 30 {
		w.now = w.now.Add(100 * time.Millisecond)
		is.NoErr(ask("busy", true)) // targets are idle
	}
}
