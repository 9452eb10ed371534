package fleet_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/fleet"
)

// TestLeavingRouterIsProbedUntilItRestarts covers a router that is started again after a
// planned stop while the platform does not answer. The other routers only know its leaving
// incarnation, and it knows no other router, so it can rejoin only if the others keep
// contacting it.
func TestLeavingRouterIsProbedUntilItRestarts(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	opts := fleet.DefaultOptions()
	a, b := instance("a", 1), instance("b", 1)
	v := fleet.New(a, opts)
	v.ApplyList(now, list(1, a, b))
	v.MarkLeaving(now, "b", 1)
	contacts := 0
	for end := now.Add(5 * opts.ProbeInterval); now.Before(end); now = now.Add(opts.PushInterval) {
		v.Tick(now)
		for _, m := range v.DueContacts(now) {
			if m.Name == "b" {
				contacts++
			}
		}
	}
	is.True(contacts >= 4) // about one every ProbeInterval
	restarted := fleet.New(instance("b", 2), opts)
	is.True(!v.Merge(now, restarted.StateFor("a")).Ignored)
	v.Tick(now)
	is.Equal(len(v.Reachable()), 2)
}
