package placement_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/placement"
)

// Checks what operators see of shares in logs: the figures of a refusal explain its cause, and
// the overview shows the use of all workspaces.
func TestRefusalAndOverviewGiveCause(t *testing.T) {
	is := is.New(t)
	w := newWorld(5, 4, 100_000, 50, 50, 50, 50)
	start := w.now
	causeCounts := map[placement.Cause]int{}
	send := func(workspace string, prompt uint64, shared, own int) {
		_, err := w.sendRequest(w.anyRouter(), workspace, prompt, shared, own)
		var refusal *placement.Refusal
		if !errors.As(err, &refusal) {
			return
		}
		causeCounts[refusal.Cause]++
		if refusal.Cause == placement.CauseLead {
			// Demands are measured over the last two seconds, so they are too low at the start.
			measured := w.now.Sub(start) >= 2*time.Second
			is.True(refusal.Asked > 1 && (!measured || refusal.Asked > refusal.HeldTo)) // it asks for more than it is held to
			is.True(refusal.HeldTo > refusal.LeastRefusedUse)                           // because of a refused workspace that gets less
		} else {
			is.True(refusal.Wait > refusal.Limit) // it would wait too long
		}
	}
	w.run(8*time.Second, func() {
		if w.poisson(150) {
			send("kept", uint64(w.random.IntN(16)), 9_900, 100)
		}
		if w.poisson(60) {
			send("read", uint64(100+w.random.IntN(8)), 1_000, 9_000)
		}
	})
	t.Logf("%v", causeCounts)
	is.True(causeCounts[placement.CauseLead] > 0 && causeCounts[placement.CauseWait] > 0)

	o := w.routers[0].Overview(w.now)
	is.True(o.Scarce && o.Share > 0 && o.Asked > o.Begun)
	is.Equal(len(o.Workspaces), 2)
	is.Equal(o.Workspaces[0].Name, "kept") // sorted by what they asked for
}
