package edge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// newZoneFixture starts a router with the target "in" in zone b and the target "out" in zone a.
func newZoneFixture(t *testing.T) (*fixture, *testTarget) {
	in, out := newTestTarget(t, "in", echo), newTestTarget(t, "out", echo)
	in.zone, out.zone = "b", "a"
	return newFixture(t, in, out), in
}

// received sends requests on a new connection and returns how many of them a target got.
func (f *fixture) received(target *testTarget) int {
	before := len(target.requests())
	c := f.client()
	for range 8 {
		resp, _, err := c.call("GET", "/idempotent/")
		f.is.NoErr(err)
		f.is.Equal(resp.Status, 200)
	}
	return len(target.requests()) - before
}

// pause keeps the router from sending requests to a target.
func (f *fixture) pause(target string) {
	f.edge.mu.Lock()
	defer f.edge.mu.Unlock()
	f.edge.balancer.Pause(time.Now(), target, time.Minute)
}

// Guards against an evacuation that is not obeyed, or not ended, as long as one of the three ways works by
// which a router learns of it: its watch, a complete read, and the reports of a router that is not cut off
// from the store. The key of a zone without targets is obeyed and logged too, one without a zone ignored.
func TestEvacuationIsLearnedInEachWay(t *testing.T) {
	for _, way := range []string{sourceWatch, sourceRead, sourceReport} {
		t.Run(way, func(t *testing.T) {
			f, in := newZoneFixture(t)
			operator := f.source
			switch way {
			case sourceWatch:
				f.edge.mu.Lock()
				f.edge.noteStoreRead(time.Now().Add(time.Minute)) // no periodic read
				f.edge.mu.Unlock()
			case sourceRead:
				f.source.watchesStalled.Store(true)
			case sourceReport:
				operator = f.newPeer().source
				f.source.setFailure(errStoreAway)
			}
			f.is.True(f.received(in) > 0)
			operator.evacuate("", false)
			operator.evacuate("nowhere", false)
			operator.evacuate("b", false)
			f.await(func() bool { return f.edge.isEvacuated("b") })
			f.is.Equal(f.received(in), 0)
			f.is.True(f.logs.contains(`"zone_evacuated"`, `"zone":"b"`, `"targets":1`, `"source":"`+way+`"`))
			f.await(func() bool { return f.edge.isEvacuated("nowhere") })
			f.is.True(f.logs.contains(`"zone_evacuated"`, `"zone":"nowhere"`, `"targets":0`))
			f.is.True(way == sourceReport || f.logs.contains(`"evacuation_ignored"`))
			operator.evacuate("b", true)
			f.await(func() bool { return !f.edge.isEvacuated("b") })
			f.pause("out")
			f.is.Equal(f.received(in), 8)
			f.is.True(f.logs.contains(`"evacuation_ended"`, `"zone":"b"`, `"source":"`+way+`"`))
		})
	}
}

// Guards against a router that starts during an evacuation and sends requests before it has read the keys,
// and against callers that wait, or are told that a request may have run, when all targets are evacuated.
func TestRouterStartsDuringAnEvacuation(t *testing.T) {
	target := newTestTarget(t, "in", echo)
	target.zone = "b"
	f := &fixture{t: t, is: is.New(t), source: newFakeSource(), done: make(chan error, 1), logs: &logRecorder{}}
	f.source.evacuate("b", false)
	f.run([]*testTarget{target})
	began := time.Now()
	resp, _, err := f.client().call("POST", "/once/")
	f.is.NoErr(err)
	f.is.Equal(resp.Status, 503)
	f.is.Equal(ranHeader(resp), "NO")
	f.is.True(resp.Header.Get("Retry-After") != "")
	f.is.True(time.Since(began) < time.Second)
	f.is.Equal(len(target.requests()), 0)
	f.is.True(f.logs.contains(`"request_refused"`, "zones are evacuated", "evacuated:1"))
}

// Guards against requests that were admitted, or for which a target was chosen, when the evacuation begins
// and that are sent to the zone all the same: they reach another target.
func TestAdmittedRequestDoesNotReachAnEvacuatedZone(t *testing.T) {
	f, in := newZoneFixture(t)
	c := f.client()
	c.send("POST", "/once/", "Expect: 100-continue\r\nContent-Length: 2\r\n", "")
	_, err := c.br.ReadString('\n') // the request is admitted
	f.is.NoErr(err)
	_, err = c.br.ReadString('\n')
	f.is.NoErr(err)
	f.source.evacuate("b", false)
	f.await(func() bool { return f.edge.isEvacuated("b") })
	_, err = io.WriteString(c.conn, "ab")
	f.is.NoErr(err)
	resp, _, err := c.receive("POST")
	f.is.NoErr(err)
	f.is.Equal(resp.Status, 200)

	// From here on, the choice of the target does not know that the zone is evacuated.
	f.edge.mu.Lock()
	f.edge.balancer.SetEvacuated(time.Now(), "b", false)
	f.edge.mu.Unlock()
	f.pause("out")
	resp, _, err = f.client().call("POST", "/once/")
	f.is.NoErr(err)
	f.is.Equal(resp.Status, 503)
	f.is.Equal(ranHeader(resp), "NO")
	f.is.Equal(len(in.requests()), 0)
	f.is.True(f.logs.contains("attempt_failed", errEvacuated.Error(), "not_sent"))
}

var errCut = errors.New("cut off from the store")

// cutSource is the store as a router calls it that is cut off from it at times. A watch that would return
// then stalls.
type cutSource struct {
	routerSource
	cut func() bool
}

func (s cutSource) Configuration(ctx context.Context) (Publication, Revision, error) {
	if s.cut() {
		return Publication{}, Revision{}, errCut
	}
	return s.routerSource.Configuration(ctx)
}

func (s cutSource) WatchConfiguration(ctx context.Context, after Revision, wait time.Duration) (Publication, Revision, error) {
	p, revision, err := s.routerSource.WatchConfiguration(ctx, after, wait)
	if s.cut() {
		<-ctx.Done()
		return Publication{}, Revision{}, ctx.Err()
	}
	return p, revision, err
}

const (
	// evacuateTime is evacuate_ms of the deployments.
	evacuateTime = 5 * time.Second
	// batchedTime is the time in which a watch must deliver an evacuation while the configuration changes.
	batchedTime = time.Second
	// missingTime is the least time for which an evacuation stays in force that a restored store lacks.
	missingTime = 2 * time.Second
)

// Guards against routers that obey an evacuation later than allowed: while changes of the configuration are
// batched, while a third of the routers is cut off from the store, after a start, and through a restore of
// the store from a copy that lacks the key; and against one that nobody ends. Two zones are evacuated, each
// on its own.
func TestFleetObeysEvacuationsInTime(t *testing.T) {
	for _, n := range []int{6, 90} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playEvacuation(t, n) })
		})
	}
}

func playEvacuation(t *testing.T, n int) {
	ctx, cancel := context.WithCancel(t.Context())
	defer synctest.Wait()
	defer cancel()
	store := newSharedStore(1)
	store.setTable(1)
	cut := false
	f := &offlineFleet{
		store: store, routers: make([]*Edge, n), stop: make([]context.CancelFunc, n), random: rand.New(rand.NewPCG(1, 2)), loss: 0.05,
		cut: func(i int) bool { return cut && i%3 == 0 },
	}
	for i := range n {
		f.start(ctx, i)
	}
	time.Sleep(3 * time.Second)
	empty := store.copy()
	// within waits until all routers for which counts returns true have the state of zone b.
	within := func(what string, limit time.Duration, evacuated bool, counts func(i int) bool) {
		t.Helper()
		began := time.Now()
		for i := 0; i < n; {
			if !counts(i) || f.routers[i].isEvacuated("b") == evacuated {
				i++
				continue
			}
			if time.Since(began) > limit {
				t.Fatalf("%s: router %d: evacuated %v after %v", what, i, !evacuated, limit)
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Logf("%d routers, %s: %v", n, what, time.Since(began))
	}
	// keep checks for a time that no router that serves requests leaves the state.
	keep := func(what string, d time.Duration) {
		t.Helper()
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			for i, e := range f.routers {
				if e.table.Load() != nil && !e.isEvacuated("b") {
					t.Fatalf("%s: router %d is not evacuated %v before the end", what, i, time.Until(end))
				}
			}
		}
	}
	all := func(int) bool { return true }

	for version := range uint64(10) {
		store.setTable(2 + version)
		time.Sleep(100 * time.Millisecond)
	}
	cut = true
	store.evacuate("a", false)
	store.evacuate("b", false)
	within("while the configuration changes", batchedTime, true, func(i int) bool { return i%3 != 0 })
	within("cut off from the store", evacuateTime, true, all)
	cut = false
	f.stop[1]()
	f.start(ctx, 1)
	keep("after a start", 3*time.Second)
	store.evacuate("b", true)
	within("end", evacuateTime, false, all)
	for i, e := range f.routers {
		if !e.isEvacuated("a") {
			t.Fatalf("router %d ended the evacuation of another zone", i)
		}
	}

	store.evacuate("b", false)
	within("again", evacuateTime, true, all)
	store.restore(empty)
	keep("restored", 1500*time.Millisecond)
	store.evacuate("b", false)
	keep("written again", 5*time.Second)
	store.restore(empty)
	keep("restored without the key", missingTime)
	within("missing", evacuateTime, false, all)
}
