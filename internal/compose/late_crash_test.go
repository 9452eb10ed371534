package compose

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/requestkey"
)

// TestCrashAfterGiveUpCountsAsLoss checks that a request which crashes its targets only after
// the router has given the attempt up is refused after two losses. The caller sends it again
// at each failure. Without the watch on such attempts, the crash is not counted against the
// request, and it takes down one target after another.
func TestCrashAfterGiveUpCountsAsLoss(t *testing.T) {
	is := is.New(t)
	sim := New(Options{
		Seed: 1, Routers: 4, Zones: 2, Targets: 6,
		Keys: requestkey.Options{
			Lifetime: time.Minute, Right: 10 * time.Second, ClockError: time.Second, StartReserve: 15 * time.Second,
		},
	})
	sim.Run(readyTime)
	for _, target := range sim.Targets {
		target.Late = true
	}
	op := &Operation{Number: 1, Workspace: workspaceNames[0], CrashesTargets: true}
	var sendNext func(tries int)
	sendNext = func(tries int) {
		if tries > 0 {
			sim.SendThen(op, sim.Routers[tries%len(sim.Routers)], func() { sendNext(tries - 1) })
		}
	}
	sendNext(maxTries)
	sim.Run(settleTime)
	is.NoErr(sim.Violation)
	is.True(len(op.lostTargets) > 0)  // the request crashed a target
	is.True(len(op.lostTargets) <= 2) // the request crashed no more than two targets
}
