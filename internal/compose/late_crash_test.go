package compose

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/requestkey"
)

// A request crashes each target after the router has given it up, and its
// caller sends it again at each failure.
func TestCrashAfterGiveUpIsBlamed(t *testing.T) {
	is := is.New(t)
	w := New(Options{
		Seed: 1, Routers: 4, Zones: 2, Targets: 6,
		Keys: requestkey.Options{
			Lifetime: time.Minute, Right: 10 * time.Second, ClockError: time.Second, StartReserve: 15 * time.Second,
		},
	})
	w.Run(startTimeout)
	for _, target := range w.Targets {
		target.Late = true
	}
	op := &Operation{Number: 1, Workspace: workspaceNames[0], Poison: true}
	var sendNext func(tries int)
	sendNext = func(tries int) {
		if tries > 0 {
			w.SendThen(op, w.Routers[tries%len(w.Routers)], func() { sendNext(tries - 1) })
		}
	}
	sendNext(maxTries)
	w.Run(quietTime)
	is.NoErr(w.Violation)
	is.True(len(op.lost) > 0)
	is.True(len(op.lost) <= 2) // targets lost to one request
}
