package exchange_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chiveseam/chiveseam/exchange"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const timeout = 3 * time.Second

// address returns the address of router i.
func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 200), byte(1 + i%200)}), 7400)
}

// network delivers reports between routers in virtual time.
type network struct {
	now     time.Time
	members []*exchange.Members
	// partitioned reports whether two routers cannot reach each other.
	partitioned func(a, b int) bool
	stopped     map[int]bool
	index       map[netip.AddrPort]int
	// zones is the number of availability zones among which the routers are divided.
	zones int
	// betweenZones counts the reports sent to another zone, and received those that came to each
	// router from each other one.
	betweenZones int
	received     map[[2]int]int
}

// zone returns the availability zone of router i.
func (w *network) zone(i int) string { return fmt.Sprint("zone-", i%w.zones) }

// newNetwork returns a network of n routers in one zone, of which the first ones are the seeds of all.
func newNetwork(n, seeds int) *network { return newZonedNetwork(n, seeds, 1) }

func newZonedNetwork(n, seeds, zones int) *network {
	w := &network{
		now: time.Unix(1000, 0), partitioned: func(int, int) bool { return false }, stopped: map[int]bool{}, index: map[netip.AddrPort]int{},
		zones: zones, received: map[[2]int]int{},
	}
	var known []netip.AddrPort
	for i := range seeds {
		known = append(known, address(i))
	}
	for i := range n {
		m := exchange.New(address(i), w.zone(i), w.now, timeout, uint64(i+1))
		m.SetSeeds(known)
		w.members = append(w.members, m)
		w.index[address(i)] = i
	}
	return w
}

// step advances the time by d and sends one report of each router.
func (w *network) step(d time.Duration) {
	w.now = w.now.Add(d)
	for i, m := range w.members {
		if w.stopped[i] {
			continue
		}
		for _, to := range m.Recipients(w.now) {
			w.deliver(i, w.index[to.Address], &v1.LoadReport{
				Members: m.SampleMembers(w.now, false), Answer: to.Answer, Forward: to.Forward, Zone: w.zone(i), Forwards: true,
			})
		}
	}
}

// deliver passes a report to its receiver, which forwards it if the report asks for it, and the answer
// back if it asks for one.
func (w *network) deliver(from, to int, r *v1.LoadReport) {
	w.deliverThrough(from, from, to, r)
	if r.Answer && !w.stopped[to] && !w.partitioned(from, to) {
		w.deliver(to, from, &v1.LoadReport{Members: w.members[to].SampleMembers(w.now, true), Zone: w.zone(to), Forwards: true})
	}
}

// deliverThrough passes a report of the router origin from the router via to a receiver.
func (w *network) deliverThrough(origin, via, to int, r *v1.LoadReport) {
	if w.zone(via) != w.zone(to) {
		w.betweenZones++
	}
	if w.stopped[to] || w.partitioned(via, to) {
		return
	}
	w.received[[2]int{origin, to}]++
	w.members[to].HandleReport(w.now, address(origin), r)
	if r.Forward {
		for _, next := range w.members[to].ForwardTo(w.now, address(origin)) {
			w.deliverThrough(origin, to, w.index[next], &v1.LoadReport{Members: r.Members, Zone: r.Zone, Forwards: r.Forwards})
		}
	}
}

// run advances the time by d in steps of 100 ms.
func (w *network) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.step(100 * time.Millisecond)
	}
}

// TestRoutersFindEachOtherThroughOneSeed checks that all routers are live to each other
// within four seconds of a start where they know only one common address.
func TestRoutersFindEachOtherThroughOneSeed(t *testing.T) {
	for _, n := range []int{2, 6, 30} {
		is := is.New(t)
		w := newNetwork(n, 1)
		w.run(4 * time.Second)
		for _, m := range w.members {
			is.Equal(m.LiveCount(w.now), n-1)
		}
	}
}

// TestSilentRouterIsNoLongerCounted checks that a router that stops sending reports is not
// live after the timeout, and is live again soon after it resumes.
func TestSilentRouterIsNoLongerCounted(t *testing.T) {
	is := is.New(t)
	w := newNetwork(6, 3)
	w.run(2 * time.Second)
	w.stopped[5] = true
	w.run(timeout + time.Second)
	is.Equal(w.members[0].LiveCount(w.now), 4)
	is.Equal(w.members[0].PeakRouters(), 6) // the peak still includes the silent router
	w.stopped[5] = false
	w.run(2 * time.Second)
	is.Equal(w.members[0].LiveCount(w.now), 5)
}

// Guards against BUDGET: routers that start while they are cut off take themselves for the fleet, and together take more
// than there is of what the fleet divides.
func TestRoutersThatStartCutOffTakeNoMoreThanThereIs(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(rt, "routers")
		w := newNetwork(n, rapid.IntRange(2, min(n, 3)).Draw(rt, "seeds"))
		cutOff := make(map[int]bool)
		for i := range n {
			cutOff[i] = rapid.Bool().Draw(rt, "cut off")
		}
		w.partitioned = func(a, b int) bool { return cutOff[a] || cutOff[b] }
		for _, d := range []time.Duration{2 * time.Second, 10 * time.Second, 2 * time.Minute} {
			w.run(d)
			sum := 0.0
			for _, m := range w.members {
				sum += m.Part()
			}
			if sum > 1 {
				rt.Fatalf("after %v, with %v cut off: the parts of %d routers add up to %.2f", d, cutOff, n, sum)
			}
		}
		w.partitioned = func(int, int) bool { return false }
		w.run(5 * time.Second)
		for _, m := range w.members {
			if m.Part() < 1/float64(n+2) {
				rt.Fatalf("a router takes %.2f of what %d have", m.Part(), n)
			}
		}
	})
}

// A router that no other one knows has what there is, but for the part of one that it may not have heard of yet.
func TestLoneRouterTakesItsPart(t *testing.T) {
	is := is.New(t)
	w := newNetwork(1, 1)
	w.run(time.Second)
	is.Equal(w.members[0].Part(), 0.5)
}

// A silent router may be running, one that has left is not, and one that was never heard is none.
func TestSilentRoutersMayBeRunning(t *testing.T) {
	is := is.New(t)
	w := newNetwork(4, 4)
	w.stopped[3] = true
	w.run(2 * time.Second)
	w.stopped[1], w.stopped[2] = true, true
	w.members[0].HandleReport(w.now, address(2), &v1.LoadReport{Leaving: true})
	w.run(timeout + time.Second)
	is.Equal(w.members[0].Running(), []netip.AddrPort{address(1)})
	w.stopped[2] = false
	w.run(2 * time.Second)
	is.Equal(len(w.members[0].Running()), 2)
}

// A router that has started lately and hears few others counts all that it was told of, but for those that have left.
func TestRoutersThatWereNeverHeardCount(t *testing.T) {
	is := is.New(t)
	w := newNetwork(4, 4)
	w.stopped[1], w.stopped[2], w.stopped[3] = true, true, true
	w.run(2 * time.Second)
	is.Equal(w.members[0].PeakRouters(), 1)
	is.Equal(w.members[0].Routers(), 4) // with the seeds
	w.members[0].HandleReport(w.now, address(1), &v1.LoadReport{Members: []string{address(5).String(), address(6).String()}})
	is.Equal(w.members[0].Routers(), 6)
	w.members[0].HandleReport(w.now, address(1), &v1.LoadReport{Leaving: true})
	is.Equal(w.members[0].Routers(), 5)
}

// TestPartitionedRoutersFindEachOtherAgain guards against a fleet that stays split after
// a network partition: members that became silent must be tried again, also if all seeds
// are on one side and the partition lasted longer than the timeout.
func TestPartitionedRoutersFindEachOtherAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		n := rapid.IntRange(3, 8).Draw(t, "routers")
		side := rapid.SliceOfN(rapid.Bool(), n, n).Draw(t, "side")
		w := newNetwork(n, rapid.IntRange(1, 3).Draw(t, "seeds"))
		w.run(4 * time.Second)
		w.partitioned = func(a, b int) bool { return side[a] != side[b] }
		w.run(time.Duration(rapid.IntRange(1, 8).Draw(t, "seconds")) * time.Second)
		w.partitioned = func(int, int) bool { return false }
		w.run(4 * time.Second)
		for _, m := range w.members {
			is.Equal(m.LiveCount(w.now), n-1)
		}
	})
}

// TestLargeFleetsReportLessOften guards against reports whose number grows with the square
// of the fleet.
func TestLargeFleetsReportLessOften(t *testing.T) {
	is := is.New(t)
	small, large := newNetwork(6, 1), newNetwork(60, 1)
	small.run(time.Second)
	large.run(2 * time.Second)
	is.Equal(small.members[0].Interval(small.now), 100*time.Millisecond)
	is.True(large.members[0].Interval(large.now) >= 90*time.Millisecond)
}

// TestLeavingRouterIsRemovedImmediately guards against routers that count a stopped one
// until the timeout although it has announced that it leaves.
func TestLeavingRouterIsRemovedImmediately(t *testing.T) {
	is := is.New(t)
	w := newNetwork(3, 1)
	w.run(time.Second)
	w.members[0].HandleReport(w.now, address(2), &v1.LoadReport{Leaving: true})
	is.Equal(w.members[0].LiveCount(w.now), 1)
}

// TestOwnAddressGetsNoReports guards against a router that sends reports to itself because
// its own address is a seed or is named in a report of another router.
func TestOwnAddressGetsNoReports(t *testing.T) {
	is := is.New(t)
	m := exchange.New(address(0), "", time.Unix(1000, 0), timeout, 1)
	m.SetSeeds([]netip.AddrPort{address(0)})
	m.HandleReport(time.Unix(1000, 0), address(1), &v1.LoadReport{Members: []string{address(0).String(), "garbage"}})
	for _, to := range m.Recipients(time.Unix(1000, 0)) {
		is.True(to.Address != address(0))
	}
}

// Guards against reports between zones whose number grows with the square of the fleet, which was most
// of the traffic between zones. Deployment pattern: 84 routers in three zones.
func TestReportsToOtherZonesAreForwarded(t *testing.T) {
	is := is.New(t)
	const routers, zones, rounds = 84, 3, 30
	w := newZonedNetwork(routers, 3, zones)
	w.run(4 * time.Second)
	w.betweenZones, w.received = 0, map[[2]int]int{}
	w.run(rounds * 100 * time.Millisecond)
	is.Equal(w.betweenZones, rounds*routers*(zones-1))
	for from := range routers {
		for to := range routers {
			is.True(from == to || w.received[[2]int{from, to}] == rounds) // each report comes once
		}
	}
}

// Guards against reports that are lost for a whole zone when a router that forwards them has failed.
// Fault pattern: a sixth of the routers are killed at the same moment, and a zone is cut off later.
func TestFailedForwardersAreAvoided(t *testing.T) {
	is := is.New(t)
	const routers, zones = 84, 3
	w := newZonedNetwork(routers, 3, zones)
	w.run(4 * time.Second)
	for i := 3; i < routers; i += 6 {
		w.stopped[i] = true
	}
	w.run(time.Second) // more than forwarderFreshness
	w.received = map[[2]int]int{}
	w.run(time.Second)
	for from := range routers {
		for to := range routers {
			is.True(from == to || w.stopped[from] || w.stopped[to] || w.received[[2]int{from, to}] == 10)
		}
	}
	w.partitioned = func(a, b int) bool { return (a%zones == 0) != (b%zones == 0) }
	w.run(5 * time.Second)
	w.partitioned = func(int, int) bool { return false }
	w.run(4 * time.Second)
	for i, m := range w.members {
		is.True(w.stopped[i] || m.LiveCount(w.now) == routers-len(w.stopped)-1)
	}
}

// Guards against reports that get lost while routers of an older version, which do not forward, are
// in use: they get them directly.
func TestRoutersThatDoNotForwardGetReportsDirectly(t *testing.T) {
	is := is.New(t)
	m := exchange.New(address(0), "a", time.Unix(1000, 0), timeout, 1)
	now := time.Unix(1000, 0)
	for i := 1; i <= 20; i++ {
		m.HandleReport(now, address(i), &v1.LoadReport{Zone: "b", Forwards: i > 10})
	}
	direct, forwarding := 0, 0
	for _, to := range m.Recipients(now) {
		if to.Forward {
			forwarding++
			continue
		}
		direct++
	}
	is.Equal(direct, 10)
	is.Equal(forwarding, 1)
}
