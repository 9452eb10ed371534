package placement_test

import (
	"errors"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/placement"
)

// caller is a request that its caller repeats until it is admitted or the deadline is over.
type caller struct {
	router   int
	own      uint64
	deadline time.Time
	obeys    bool
	next     time.Time
}

// Guards against refusals whose Retry-After costs the callers who obey it: of callers of the same
// workspace, those who wait as they are told must be admitted no less often than those who retry at once.
// The load is a workspace that asks for four times its share. The bound is what chance allows: two standard
// errors of the difference.
func TestCallersWhoObeyAreServedNoWorse(t *testing.T) {
	is := is.New(t)
	w := newWorld(8, 12, 300_000, 50, 50, 50, 50, 50, 50)
	w.reportEvery = 140 * time.Millisecond
	var waiting []caller
	served, ended := map[bool]float64{}, map[bool]float64{}
	try := func(c caller) {
		b := w.routers[c.router]
		d := placement.Demand{
			Service: serviceName, Workspace: "hot", LatencyObjective: wanted, Remaining: c.deadline.Sub(w.now), MaxOutputTokens: 100,
			Parts: []placement.Part{{ID: 1, Tokens: 100}, {ID: c.own, Tokens: 3_000}},
		}
		err := b.Admit(w.now, &d)
		var choice placement.Choice
		if err == nil {
			choice, err = b.Choose(w.now, &d)
		}
		if err == nil {
			w.startRequest(b, "hot", &d, choice)
			served[c.obeys]++
			ended[c.obeys]++
			return
		}
		var refusal *placement.Refusal
		is.True(errors.As(err, &refusal))
		after := retryDelay
		if c.obeys {
			after = refusal.RetryAfter
		}
		if c.next = w.now.Add(after); c.next.Before(c.deadline) {
			waiting = append(waiting, c)
			return
		}
		ended[c.obeys]++
	}
	w.workspaces["hot"] = &workspaceCounts{}
	w.run(30*time.Second, func() {
		due := waiting
		waiting = nil
		for _, c := range due {
			if w.now.Before(c.next) {
				waiting = append(waiting, c)
				continue
			}
			try(c)
		}
		for range 2 {
			if w.poisson(100) {
				try(caller{router: w.anyRouter(), own: w.random.Uint64(), deadline: w.now.Add(3 * time.Second), obeys: w.random.IntN(2) == 0})
			}
			if w.poisson(50) {
				w.sendRequest(w.anyRouter(), "other", 2, 100, 3_000)
			}
		}
	})
	obeying, atOnce := served[true]/ended[true], served[false]/ended[false]
	mean := (served[true] + served[false]) / (ended[true] + ended[false])
	chance := 2 * math.Sqrt(mean*(1-mean)*(1/ended[true]+1/ended[false]))
	t.Logf("admitted: %.3f of %.0f callers who obey, %.3f of %.0f who retry at once", obeying, ended[true], atOnce, ended[false])
	is.True(obeying >= atOnce-chance) // callers who obey are served no worse
}
