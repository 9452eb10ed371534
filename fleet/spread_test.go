package fleet_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/fleet"
)

const (
	leavingDeadline = 3 * time.Second
	measured        = 5 * time.Second
)

// perRouter returns a rate in units a second of one router.
func perRouter(total, size int) float64 {
	return float64(total) / measured.Seconds() / float64(size)
}

// TestSpreadOfLeaving measures how long a leaving mark takes from the first
// router that knows it to the last, and what that and the heartbeats cost.
func TestSpreadOfLeaving(t *testing.T) {
	for _, size := range []int{6, 24, 96, 330} {
		for _, loss := range []float64{0, 0.1, 0.3} {
			is := is.New(t)
			n := newNetwork(size, 7)
			n.loss = loss
			n.run(5 * time.Second)
			n.bytes, n.messages = 0, 0
			n.run(measured)
			idle, count := n.bytes, n.messages
			n.bytes = 0
			n.views["router-3"].MarkLeaving(n.now, "engine-9", 4)
			took, ok := n.until(leavingDeadline, func() bool {
				return n.all(func(v *fleet.View) bool { return v.Leaving("engine-9", 4) })
			})
			t.Logf("%3d routers, loss %.0f%%: known by all after %v; idle %.0f B/s and %.1f messages/s a router sent",
				size, loss*100, took, perRouter(idle, size), perRouter(count, size))
			is.True(ok)
		}
	}
}

// TestCostOfChanges measures what one change costs each router, beyond the
// heartbeats, and checks the rate of heartbeats against the limit of all control
// traffic, framing and TCP/IP headers included.
func TestCostOfChanges(t *testing.T) {
	const (
		limit    = 3000   // bytes a second of one router, all control traffic
		overhead = 9 + 52 // bytes of drpc framing and of TCP/IP headers
	)
	for _, size := range []int{24, 96, 330} {
		is := is.New(t)
		n := newNetwork(size, 7)
		n.run(measured)
		cost := func() (bytes, messages float64) {
			n.bytes, n.messages = 0, 0
			n.run(measured)
			return perRouter(n.bytes, size), perRouter(n.messages, size)
		}
		idle, messages := cost()
		n.views["router-3"].MarkLeaving(n.now, "engine-9", 4)
		mark, _ := cost()
		replaced := append(n.instances()[1:], instance("router-900", 1))
		n.views["router-3"].ApplyList(n.now, list(2, replaced...))
		change, _ := cost()
		t.Logf("%3d routers: idle %.0f B/s and %.1f messages/s sent; a mark %.0f B, a replaced router %.0f B in all a router",
			size, idle, messages, (mark-idle)*measured.Seconds(), (change-idle)*measured.Seconds())
		is.True(idle+messages*overhead < limit)
	}
}

// TestSpreadOfList checks that one router that reads the platform is enough.
func TestSpreadOfList(t *testing.T) {
	is := is.New(t)
	n := newNetwork(96, 3)
	n.run(5 * time.Second)
	next := slices.Delete(n.instances(), 5, 6)
	next = append(next, instance("router-900", 1))
	n.views["router-0"].ApplyList(n.now, list(2, next...))
	took, ok := n.until(leavingDeadline, func() bool {
		return n.all(func(v *fleet.View) bool { return v.ListRevision() == 2 })
	})
	t.Logf("list known by all 96 routers after %v", took)
	is.True(ok)
	m, known := n.views["router-95"].Lookup("router-900")
	is.True(known)
	is.Equal(m.PeerAddress, "10.0.3.132:7070")
}

// TestDeadRouterLosesRoles checks detection without a contact of one's own, of
// a router that is dead and of one that hears the others but is not heard.
func TestDeadRouterLosesRoles(t *testing.T) {
	const lost = "router-2"
	faults := []struct {
		name string
		set  func(n *network, on bool)
	}{
		{"dead", func(n *network, on bool) { n.dead[lost] = on }},
		{"not heard", func(n *network, on bool) { n.cut = func(from, _ string) bool { return on && from == lost } }},
	}
	for _, fault := range faults {
		for _, size := range []int{6, 96, 330} {
			is := is.New(t)
			n := newNetwork(size, 5)
			others := func(reach bool) func() bool {
				return func() bool {
					return n.all(func(v *fleet.View) bool {
						return v.Self().Name == lost || contains(v.Reachable(), lost) == reach
					})
				}
			}
			n.run(5 * time.Second)
			fault.set(n, true)
			took, ok := n.until(15*time.Second, others(false))
			t.Logf("%d routers, one %s: silent for all others after %v", size, fault.name, took)
			is.True(ok)
			fault.set(n, false)
			took, ok = n.until(15*time.Second, others(true))
			t.Logf("%d routers: reachable for all again after %v", size, took)
			is.True(ok)
		}
	}
}

// TestPartition checks that each side of a cut settles on its own members and
// that no member of one's own side is lost when the cut heals.
func TestPartition(t *testing.T) {
	for _, far := range []int{1, 5} {
		is := is.New(t)
		n := newNetwork(100, 11)
		side := func(name string) bool { return zoneIndex(name) < far }
		n.run(5 * time.Second)
		n.cut = func(a, b string) bool { return side(a) != side(b) }
		settled := func() bool {
			return n.all(func(v *fleet.View) bool {
				own := side(v.Self().Name)
				want := map[bool]int{true: 10 * far, false: 10 * (zones - far)}[own]
				reachable := v.Reachable()
				foreign := func(m fleet.Member) bool { return side(m.Name) != own }
				return len(reachable) == want && !slices.ContainsFunc(reachable, foreign)
			})
		}
		took, ok := n.until(60*time.Second, settled)
		t.Logf("%d of 10 zones cut off: settled after %v", far, took)
		is.True(ok)
		n.run(10 * time.Second)
		n.cut = func(string, string) bool { return false }
		kept := true
		took, ok = n.until(30*time.Second, func() bool {
			kept = kept && n.all(func(v *fleet.View) bool {
				own := v.ReachableIn(func(zone string) bool { return zone == v.Self().Zone })
				return len(own) == 10
			})
			return n.all(func(v *fleet.View) bool { return len(v.Reachable()) == 100 })
		})
		t.Logf("%d of 10 zones cut off: whole again after %v", far, took)
		is.True(ok)
		is.True(kept)
	}
}
