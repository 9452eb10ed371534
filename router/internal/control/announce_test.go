package control

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// testGossip is a Gossip that sends its value to other routers in the field SuspectsSeq.
type testGossip struct{ atomic.Uint64 }

func (n *testGossip) Fill(out *v1.PeerState) { out.SuspectsSeq = n.Load() }
func (n *testGossip) Merge(*v1.PeerState)    {}

// newAnnouncingRouter returns a network of the router "a" and others, which all know each
// other from the instance list, with the Control and the Gossip of "a".
func newAnnouncingRouter(t *testing.T, others ...string) (*network, *Control, *testGossip) {
	t.Helper()
	n := newNetwork(t, append(others, "a")...)
	for _, c := range n.routers {
		c.applyList(time.Now(), n.list())
	}
	a := n.routers["a"]
	gossip := &testGossip{}
	a.opts.Gossip = []Gossip{gossip}
	return n, a, gossip
}

// An announcement must reach the reachable routers and those in their planned stop, which
// still serve requests. It must not wait for a router that has become unreachable.
func TestAnnounceReachesServingRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, a, told := newAnnouncingRouter(t, "live", "stopping", "silent")
		n.setSilent("silent", true)
		n.run(is, time.Minute, "a", "live", "stopping")
		n.routers["stopping"].Stop(t.Context())
		is.Equal(len(a.opts.Store.Fleet().Reachable), 2) // a and live
		n.resetCounts()
		told.Store(7)
		is.True(a.Announce(t.Context()))
		is.Equal(n.counts(), map[string]int{"live": 1, "stopping": 1})
		is.Equal(n.received["live"], uint64(7))
		is.Equal(n.received["stopping"], uint64(7))
	})
}

// If a router does not answer, the announcement must fail. It ends with the caller's
// context or after announceTimeout, whichever is first.
func TestAnnounceReportsMissingAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, a, _ := newAnnouncingRouter(t, "live", "silent")
		n.setSilent("silent", true)
		began := time.Now()
		is.True(!a.Announce(t.Context()))
		is.Equal(time.Since(began), announceTimeout)

		ctx, cancel := context.WithTimeout(t.Context(), announceTimeout/10)
		defer cancel()
		began = time.Now()
		is.True(!a.Announce(ctx))
		is.Equal(time.Since(began), announceTimeout/10)

		n.setSilent("silent", false)
		is.True(a.Announce(t.Context()))
	})
}

// Announcements that start while exchanges are in progress must share the next exchange
// with each router. It carries all that this router knew before the calls. An exchange
// for each call would multiply the messages.
func TestAnnouncementsShareExchanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, a, told := newAnnouncingRouter(t, "b", "c")
		n.release = make(chan struct{})
		const calls = 5
		answers := make(chan bool, calls)
		for call := range calls {
			told.Store(uint64(call))
			go func() { answers <- a.Announce(context.Background()) }()
			synctest.Wait()
		}
		is.Equal(n.counts(), map[string]int{"b": 1, "c": 1})
		close(n.release)
		for range calls {
			is.True(<-answers)
		}
		is.Equal(n.counts(), map[string]int{"b": 2, "c": 2})
		is.Equal(n.received, map[string]uint64{"b": calls - 1, "c": calls - 1})
	})
}

// An exchange with a router that does not answer takes announceTimeout. Meanwhile, later
// announcements must still reach the other routers.
func TestSilentRouterDoesNotDelayAnnouncementsToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, a, told := newAnnouncingRouter(t, "live", "silent")
		n.setSilent("silent", true)
		for call := range uint64(3) {
			ctx, cancel := context.WithTimeout(t.Context(), announceTimeout/10)
			defer cancel()
			told.Store(call)
			is.True(!a.Announce(ctx))
			is.Equal(n.received["live"], call)
		}
		is.Equal(n.counts(), map[string]int{"live": 3, "silent": 1})
		a.Announce(t.Context()) // waits for the end of the exchanges
	})
}
