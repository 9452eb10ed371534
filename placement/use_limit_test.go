package placement_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/placement"
)

// Two workspaces ask for more than their shares. The prompts of one are in the caches of the
// targets and hardly wait, those of the other must be processed and wait. The limit of the
// wait alone would refuse mostly the second workspace; the limit of the use must refuse the
// first one too, so that the second gets at least half as much.
func TestCachedPromptsDoNotBypassShares(t *testing.T) {
	is := is.New(t)
	w := newWorld(5, 4, 100_000, 50, 50, 50, 50, 50, 50, 50, 50)
	w.run(12*time.Second, func() {
		for range 2 {
			if w.poisson(200) {
				w.sendRequest(w.anyRouter(), "kept", uint64(w.random.IntN(16)), 9_900, 100)
			}
		}
		if w.poisson(40) {
			w.sendRequest(w.anyRouter(), "read", uint64(100+w.random.IntN(8)), 1_000, 9_000)
		}
	})
	kept, read := w.workspaces["kept"], w.workspaces["read"]
	t.Logf("kept: %+v, read: %+v", *kept, *read)
	is.True(read.refused > 0)                                   // requests of the workspace with uncached prompts are refused
	is.True(2*(read.inTime+read.late) >= kept.inTime+kept.late) // it gets at least half as much
}

// Guards against refusals while targets have free capacity: only one workspace asks for more
// than its share, and the other gets all that it asks for.
func TestWorkspaceAboveShareIsServedWhileOthersGetAll(t *testing.T) {
	is := is.New(t)
	w := newWorld(6, 4, 100_000, 50, 50, 50, 50, 50, 50, 50, 50)
	w.run(8*time.Second, func() {
		if w.poisson(60) {
			w.sendRequest(w.anyRouter(), "large", uint64(w.random.IntN(8)), 9_900, 100)
		}
		if w.poisson(1) {
			w.sendRequest(w.anyRouter(), "small", uint64(100+w.random.IntN(8)), 1_000, 1_000)
		}
	})
	large, small := w.workspaces["large"], w.workspaces["small"]
	t.Logf("large: %+v, small: %+v", *large, *small)
	is.Equal(small.refused, 0)
	is.True(large.refused < large.asked/20)
}

// A router with little traffic is the only one, or is cut off from the others. There, a few
// refused requests of one workspace must not make it refuse another workspace: they do not
// show that the first one gets less than its share.
func TestFewRefusalsDoNotLimitOtherWorkspaces(t *testing.T) {
	is := is.New(t)
	w := newWorld(7, 1, 0, 50, 50)
	b := w.routers[0]
	ask := func(workspace string, begin bool) error {
		d := placement.Demand{
			Service: serviceName, Workspace: workspace, LatencyObjective: wanted, Remaining: time.Second,
			Parts: []placement.Part{{ID: 1, Tokens: 100}, {ID: w.random.Uint64(), Tokens: 50}},
		}
		if err := b.Admit(w.now, &d); err != nil {
			return err
		}
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
