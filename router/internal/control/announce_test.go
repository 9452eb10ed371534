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

// news is the state that one router tells the others.
type news struct{ atomic.Uint64 }

func (n *news) Fill(out *v1.PeerState) { out.SuspectsSeq = n.Load() }
func (n *news) Merge(*v1.PeerState)    {}

// newAnnouncingRouter returns the control "a", which knows the others from the list.
func newAnnouncingRouter(t *testing.T, others ...string) (*network, *Control, *news) {
	t.Helper()
	n := newNetwork(t, append(others, "a")...)
	for _, c := range n.routers {
		c.applyList(time.Now(), n.list())
	}
	a := n.routers["a"]
	told := &news{}
	a.opts.Gossip = []Gossip{told}
	return n, a, told
}

// An announcement reaches the reachable routers and those in their planned
// stop, and leaves out one that went silent.
func TestAnnounceAsksServingRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, a, told := newAnnouncingRouter(t, "live", "stopping", "silent")
		n.setSilent("silent", true)
		n.run(is, time.Minute, "a", "live", "stopping")
		n.routers["stopping"].Stop(t.Context())
		is.Equal(len(a.opts.Store.Fleet().Reachable), 2) // a and live
		n.forget()
		told.Store(7)
		is.True(a.Announce(t.Context()))
		is.Equal(n.counts(), map[string]int{"live": 1, "stopping": 1})
		is.Equal(n.heard["live"], uint64(7))
		is.Equal(n.heard["stopping"], uint64(7))
	})
}

// A router without an answer makes an announcement fail: at the end of the
// caller's context, or else at the end of the announcement's own time.
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

// Announcements that come while exchanges run share the next ones, which carry
// all that was known before the calls.
func TestAnnouncementsShareExchanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, a, told := newAnnouncingRouter(t, "b", "c")
		n.held = make(chan struct{})
		const calls = 5
		answers := make(chan bool, calls)
		for call := range calls {
			told.Store(uint64(call))
			go func() { answers <- a.Announce(context.Background()) }()
			synctest.Wait()
		}
		is.Equal(n.counts(), map[string]int{"b": 1, "c": 1})
		close(n.held)
		for range calls {
			is.True(<-answers)
		}
		is.Equal(n.counts(), map[string]int{"b": 2, "c": 2})
		is.Equal(n.heard, map[string]uint64{"b": calls - 1, "c": calls - 1})
	})
}

// A silent router does not keep later announcements from the others.
func TestSilentRouterHoldsUpNoAnnouncement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, a, told := newAnnouncingRouter(t, "live", "silent")
		n.setSilent("silent", true)
		for call := range uint64(3) {
			ctx, cancel := context.WithTimeout(t.Context(), announceTimeout/10)
			defer cancel()
			told.Store(call)
			is.True(!a.Announce(ctx))
			is.Equal(n.heard["live"], call)
		}
		is.Equal(n.counts(), map[string]int{"live": 3, "silent": 1})
		a.Announce(t.Context()) // the contacts end
	})
}
