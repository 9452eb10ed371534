package exchange_test

import (
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
}

// newNetwork returns a network of n routers, of which the first ones are the seeds of all.
func newNetwork(n, seeds int) *network {
	w := &network{now: time.Unix(1000, 0), partitioned: func(int, int) bool { return false }, stopped: map[int]bool{}, index: map[netip.AddrPort]int{}}
	var known []netip.AddrPort
	for i := range seeds {
		known = append(known, address(i))
	}
	for i := range n {
		m := exchange.New(address(i), timeout, uint64(i+1))
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
			w.deliver(i, w.index[to.Address], &v1.LoadReport{Members: m.SampleMembers(w.now, false), Answer: to.Answer})
		}
	}
}

// deliver passes a report to its receiver, and the answer back if the report asks for one.
func (w *network) deliver(from, to int, r *v1.LoadReport) {
	if w.stopped[to] || w.partitioned(from, to) {
		return
	}
	w.members[to].HandleReport(w.now, address(from), r)
	if r.Answer {
		w.deliver(to, from, &v1.LoadReport{Members: w.members[to].SampleMembers(w.now, true)})
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
	m := exchange.New(address(0), timeout, 1)
	m.SetSeeds([]netip.AddrPort{address(0)})
	m.HandleReport(time.Unix(1000, 0), address(1), &v1.LoadReport{Members: []string{address(0).String(), "garbage"}})
	for _, to := range m.Recipients(time.Unix(1000, 0)) {
		is.True(to.Address != address(0))
	}
}
