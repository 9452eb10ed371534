package edge

import (
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/routing"
)

// deafConn loses the reports that come in while deaf is set.
type deafConn struct {
	datagramConn
	deaf *atomic.Bool
}

func (c deafConn) ReadFromUDPAddrPort(b []byte) (n int, from netip.AddrPort, err error) {
	for {
		n, from, err = c.datagramConn.ReadFromUDPAddrPort(b)
		if err != nil || !c.deaf.Load() {
			return n, from, err
		}
	}
}

// Guards against ORDER, which binds routers that are out of step, too: the route of a stream has come to another service, and another
// router has gone on with the stream there. A router that has not heard of that goes on at another version of that service. Routers in
// touch go on, at its version.
func TestMovedStreamThatAnotherRouterTookUpIsNotMixed(t *testing.T) {
	for name, c := range map[string]struct {
		targets []string
		// deaf is the number of the router that hears no reports; -1 for none. order holds the routers that take the streams up.
		deaf  int
		order []int
	}{
		"deaf, other versions":    {[]string{"A v1", "B v2", "B v3", "B v2", "B v3"}, 1, []int{0, 1, 2}},
		"deaf, its version too":   {[]string{"A v1", "B v2", "B v3", "B v1"}, 1, []int{0, 1, 2}},
		"deaf, asked first":       {[]string{"A v1", "B v2", "B v3", "B v2", "B v3"}, 1, []int{1, 0, 1, 2}},
		"in touch":                {[]string{"A v1", "B v2", "B v3", "B v2", "B v3"}, -1, []int{0, 1, 2}},
		"in touch, asked by many": {[]string{"A v1", "B v2", "B v3", "B v2", "B v3"}, -1, []int{2, 1, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet := newMovableFleet(t, 3, c.targets...)
			for _, f := range fleet {
				f.await(func() bool {
					f.edge.mu.Lock()
					defer f.edge.mu.Unlock()
					return f.edge.members.LiveCount(time.Now()) == 2
				})
				f.setTable(movedTable(2, leadsTo("A")))
			}
			played := make([]playedStream, 12)
			for i := range played {
				played[i].read(fleet[0], 2)
			}
			time.Sleep(300 * time.Millisecond) // all know where they began
			if c.deaf >= 0 {
				fleet[c.deaf].deaf.Store(true)
			}
			for _, f := range fleet {
				f.setTable(movedTable(3, leadsTo("B")))
			}
			if len(c.targets) == 4 {
				fleet[0].source.sendChange(TargetChange{ID: "t3", Removed: true, Revision: Revision{Number: 9}})
				fleet[0].await(func() bool { return fleet[0].logs.contains("target_gone", "t3") })
			}
			for _, router := range c.order {
				slices.Reverse(played)
				for i := range played {
					s, began := &played[i], time.Now()
					s.read(fleet[router], 2)
					if s.status != http.StatusOK && (s.status != http.StatusServiceUnavailable || router != c.deaf) {
						t.Errorf("router %d: %d", router, s.status)
					}
					if took := time.Since(began); took > 2*originWait {
						t.Errorf("router %d took %v", router, took)
					}
				}
			}
			for _, s := range played {
				if s.versionsOf("B") > 1 {
					t.Errorf("of two versions: %q", s.wrote)
				}
			}
		})
	}
}

// Guards against ORDER: a stream whose route has come to another service, and may not be resumed any more, goes on there at one version,
// and when its caller takes it up again, at another one, as nobody recorded it.
func TestMovedStreamThatMayNotGoOnStaysAtOneVersion(t *testing.T) {
	t.Parallel()
	fleet := newMovableFleet(t, 2, "A v1", "B v2", "B v3", "B v2", "B v3")
	for _, f := range fleet {
		f.setTable(movedTable(2, leadsTo("A")))
	}
	played := make([]playedStream, 12)
	for i := range played {
		played[i].read(fleet[0], 2)
	}
	for _, f := range fleet {
		f.setTable(movedTable(3, func(r *routing.Route) { leadsTo("B")(r); r.RetryPolicy = routing.AtMostOnce }))
	}
	for step := range 3 {
		slices.Reverse(played)
		for i := range played {
			s := &played[i]
			if s.read(fleet[step%2], 2); s.status != http.StatusOK {
				t.Errorf("step %d: %d", step, s.status)
			}
		}
	}
	for _, s := range played {
		if s.versionsOf("B") > 1 {
			t.Errorf("of two versions: %q", s.wrote)
		}
	}
}

// Guards against ORDER: a stream of unknown origin goes on at any version if its route may not be resumed any more, although it could
// be when the stream may have begun. It is refused until no such stream can last, unless the service has had one version only.
func TestStreamOfUnknownOriginIsRefusedAfterItsRouteChanged(t *testing.T) {
	for name, c := range map[string]struct {
		targets []string
		status  int
	}{
		"several versions": {[]string{"A v1", "A v2"}, http.StatusServiceUnavailable},
		"one version":      {[]string{"A v1", "A v1"}, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newMovableFleet(t, 1, c.targets...)[0]
			once := func(r *routing.Route) { leadsTo("A")(r); r.RetryPolicy = routing.AtMostOnce }
			f.setTable(movedTable(2, leadsTo("A")))
			f.setTable(movedTable(3, once))
			s := playedStream{id: "nobody's", wrote: []string{"A v1"}}
			s.read(f, 1)
			f.is.Equal(s.status, c.status)
			f.setTable(movedTable(4, once)) // changes nothing of that
			s.read(f, 1)
			f.is.Equal(s.status, c.status)
			time.Sleep(testRoutes()[0].Timeout + takeUpMargin + tableDelay + 100*time.Millisecond)
			s.read(f, 1)
			f.is.Equal(s.status, http.StatusOK)
		})
	}
}

// Guards against ORDER: a router has gone on with a stream whose route has come to another service, is killed before it tells the
// others, and starts again. It no longer knows the stream, which it or another router then lets go on at another version.
func TestMovedStreamOfARouterThatStartedAgainIsRefused(t *testing.T) {
	t.Parallel()
	fleet := newMovableFleet(t, 3, "A v1")
	for _, f := range fleet {
		f.await(func() bool {
			f.edge.mu.Lock()
			defer f.edge.mu.Unlock()
			return f.edge.members.LiveCount(time.Now()) == 2
		})
	}
	const taken, other = 7, 8
	again := fleet[2]
	for _, f := range fleet[:2] {
		f.edge.mu.Lock()
		earlier := uint64(again.edge.started.Add(-time.Minute).UnixNano())
		f.edge.takeUpAskers.Ask(time.Now(), taken, netip.MustParseAddrPort(again.peer), earlier-1, earlier)
		f.edge.mu.Unlock()
	}
	for range 2 {
		for _, f := range []*fixture{again, fleet[1]} {
			f.is.True(!f.edge.isNotTakenUp(taken, maxOriginQuestions))
			f.is.True(f.edge.isNotTakenUp(other, maxOriginQuestions))
		}
	}
}

// Guards against ORDER: a router that has started within a cut takes the few routers that it hears for most of all, and lets a stream go
// on that another one has taken up.
func TestMovedStreamNeedsMostOfTheRoutersEverNamed(t *testing.T) {
	t.Parallel()
	fleet := newMovableFleet(t, 2, "A v1")
	asking, heard := fleet[0].edge, netip.MustParseAddrPort(fleet[1].peer)
	fleet[0].is.True(asking.isNotTakenUp(7, maxOriginQuestions))
	asking.mu.Lock()
	asking.members.HandleReport(time.Now(), heard, &v1.LoadReport{Members: []string{"127.0.0.7:9", "127.0.0.8:9", "127.0.0.9:9"}})
	asking.mu.Unlock()
	fleet[0].is.True(!asking.isNotTakenUp(7, maxOriginQuestions))
}

// Guards against LOST: a router has asked for a moved stream in vain, and its caller comes to another one before the withdrawal, which
// waits in vain for the first one.
func TestWithdrawalSettlesAQuestionThatWaitsForIt(t *testing.T) {
	t.Parallel()
	fleet := newMovableFleet(t, 2, "A v1")
	e, deaf := fleet[0].edge, netip.MustParseAddrPort("127.0.0.9:9")
	e.mu.Lock()
	e.takeUpAskers.Ask(time.Now(), 7, deaf, 4, 5)
	q := e.askForTakeUp(7)
	e.mu.Unlock()
	time.Sleep(takeUpInterval / 2)
	e.mu.Lock()
	fleet[0].is.True(!q.settled())
	e.noteTakeUps(time.Now(), deaf, &v1.LoadReport{WithdrawnQuestion: 5, UnknownStreams: []uint64{7}})
	e.mu.Unlock()
	<-q.done
	e.mu.Lock()
	fleet[0].is.True(q.settled())
	e.mu.Unlock()
}
