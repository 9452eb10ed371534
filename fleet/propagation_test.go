package fleet_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/fleet"
)

const (
	spreadDeadline = 3 * time.Second
	measuredTime   = 5 * time.Second
)

// perRouterPerSecond returns the rate per second and router of a total over measuredTime.
func perRouterPerSecond(total, size int) float64 {
	return float64(total) / measuredTime.Seconds() / float64(size)
}

// TestLeavingMarkReachesAllRouters measures the time from the first router that learns a
// leaving mark to the last, also with lost messages, and the traffic of an idle fleet. It fails
// if the time exceeds spreadDeadline.
func TestLeavingMarkReachesAllRouters(t *testing.T) {
	for _, size := range []int{6, 24, 96, 330} {
		for _, loss := range []float64{0, 0.1, 0.3} {
			is := is.New(t)
			n := newNetwork(size, 7)
			n.loss = loss
			n.run(5 * time.Second)
			n.bytes, n.messages = 0, 0
			n.run(measuredTime)
			idle, count := n.bytes, n.messages
			n.bytes = 0
			n.views["router-3"].MarkLeaving(n.now, "engine-9", 4)
			took, ok := n.runUntil(spreadDeadline, func() bool {
				return n.allLive(func(v *fleet.View) bool { return v.Leaving("engine-9", 4) })
			})
			t.Logf("%3d routers, loss %.0f%%: known by all after %v; idle %.0f B/s and %.1f messages/s a router sent",
				size, loss*100, took, perRouterPerSecond(idle, size), perRouterPerSecond(count, size))
			is.True(ok)
		}
	}
}

// TestControlTrafficOfChanges measures the traffic that one change causes at each router in
// addition to the heartbeats. It checks that the heartbeats stay below the limit for all
// control traffic, with framing and TCP/IP headers included.
func TestControlTrafficOfChanges(t *testing.T) {
	const (
		limit    = 3000   // bytes per second of one router for all control traffic
		overhead = 9 + 52 // bytes of drpc framing and of TCP/IP headers per message
	)
	for _, size := range []int{24, 96, 330} {
		is := is.New(t)
		n := newNetwork(size, 7)
		n.run(measuredTime)
		cost := func() (bytes, messages float64) {
			n.bytes, n.messages = 0, 0
			n.run(measuredTime)
			return perRouterPerSecond(n.bytes, size), perRouterPerSecond(n.messages, size)
		}
		idle, messages := cost()
		n.views["router-3"].MarkLeaving(n.now, "engine-9", 4)
		mark, _ := cost()
		replaced := append(n.instances()[1:], instance("router-900", 1))
		n.views["router-3"].ApplyList(n.now, list(2, replaced...))
		change, _ := cost()
		t.Logf("%3d routers: idle %.0f B/s and %.1f messages/s sent; a mark %.0f B, a replaced router %.0f B in all a router",
			size, idle, messages, (mark-idle)*measuredTime.Seconds(), (change-idle)*measuredTime.Seconds())
		is.True(idle+messages*overhead < limit)
	}
}

// TestListReachesAllRouters checks that all routers get a new instance list if only one of them
// reads it from the platform.
func TestListReachesAllRouters(t *testing.T) {
	is := is.New(t)
	n := newNetwork(96, 3)
	n.run(5 * time.Second)
	next := slices.Delete(n.instances(), 5, 6)
	next = append(next, instance("router-900", 1))
	n.views["router-0"].ApplyList(n.now, list(2, next...))
	took, ok := n.runUntil(spreadDeadline, func() bool {
		return n.allLive(func(v *fleet.View) bool { return v.ListRevision() == 2 })
	})
	t.Logf("list known by all 96 routers after %v", took)
	is.True(ok)
	m, known := n.views["router-95"].Lookup("router-900")
	is.True(known)
	is.Equal(m.PeerAddress, "10.0.3.132:7070")
}

// TestSilentRouterBecomesUnreachable checks that all routers, also those that have no contact
// with the router themselves, find a silent router unreachable within 15 s and reachable again
// after it recovers. The router is either dead, or receives messages while all that it sends
// are lost.
func TestSilentRouterBecomesUnreachable(t *testing.T) {
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
					return n.allLive(func(v *fleet.View) bool {
						return v.Self().Name == lost || contains(v.Reachable(), lost) == reach
					})
				}
			}
			n.run(5 * time.Second)
			fault.set(n, true)
			took, ok := n.runUntil(15*time.Second, others(false))
			t.Logf("%d routers, one %s: silent for all others after %v", size, fault.name, took)
			is.True(ok)
			fault.set(n, false)
			took, ok = n.runUntil(15*time.Second, others(true))
			t.Logf("%d routers: reachable for all again after %v", size, took)
			is.True(ok)
		}
	}
}

// TestPartitionAndHeal checks that each side of a network partition finds exactly its own
// members reachable, and that no router loses a member of its own zone from view while the
// partition heals.
func TestPartitionAndHeal(t *testing.T) {
	for _, cutZones := range []int{1, 5} {
		is := is.New(t)
		n := newNetwork(100, 11)
		side := func(name string) bool { return zoneIndex(name) < cutZones }
		n.run(5 * time.Second)
		n.cut = func(a, b string) bool { return side(a) != side(b) }
		settled := func() bool {
			return n.allLive(func(v *fleet.View) bool {
				own := side(v.Self().Name)
				want := map[bool]int{true: 10 * cutZones, false: 10 * (zones - cutZones)}[own]
				reachable := v.Reachable()
				foreign := func(m fleet.Member) bool { return side(m.Name) != own }
				return len(reachable) == want && !slices.ContainsFunc(reachable, foreign)
			})
		}
		took, ok := n.runUntil(60*time.Second, settled)
		t.Logf("%d of 10 zones cut off: settled after %v", cutZones, took)
		is.True(ok)
		n.run(10 * time.Second)
		n.cut = func(string, string) bool { return false }
		ownZoneKept := true
		took, ok = n.runUntil(30*time.Second, func() bool {
			ownZoneKept = ownZoneKept && n.allLive(func(v *fleet.View) bool {
				own := v.ReachableIn(func(zone string) bool { return zone == v.Self().Zone })
				return len(own) == 10
			})
			return n.allLive(func(v *fleet.View) bool { return len(v.Reachable()) == 100 })
		})
		t.Logf("%d of 10 zones cut off: whole again after %v", cutZones, took)
		is.True(ok)
		is.True(ownZoneKept)
	}
}
