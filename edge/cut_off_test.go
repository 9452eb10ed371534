package edge

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against ORDER: a router that was cut off from the store and from the other routers while a version was
// registered lets the streams of that version go on at the only one that it knows, during the cut and after it.
func TestRouterThatWasCutOffDoesNotMixVersions(t *testing.T) {
	for _, back := range []bool{false, true} {
		t.Run(fmt.Sprintf("back %v", back), func(t *testing.T) {
			var breaks atomic.Bool
			targets := versionedTargets(t, &breaks)
			cutOff := newFixture(t, targets[0])
			cutOff.source.setFailure(errors.New("store away"))
			cutOff.await(func() bool { return cutOff.logs.contains("store_lost", "targets") })
			time.Sleep(3 * time.Second)
			other := newFixture(t, targets[1])
			id, begun := other.beginStream()
			if back {
				// The other version came and went meanwhile.
				cutOff.source.hideChanges(TargetChange{ID: targets[1].id, Target: targets[1].registration()}, TargetChange{ID: targets[1].id, Removed: true})
				cutOff.source.setFailure(nil)
				cutOff.await(func() bool { return cutOff.logs.contains("store_back", "targets") })
				time.Sleep(time.Second)
			}
			status, rest := cutOff.resumeStream(id)
			versions, _ := versionsIn(begun + rest)
			cutOff.is.Equal(versions, []string{"v2"})
			cutOff.is.Equal(status, http.StatusServiceUnavailable)
		})
	}
}

// Guards against the incident ORDER: in the time in which a router does not notice that it hears nothing more, or lags behind
// the store while reports to it are lost, it let streams of a new version go on at the only one that it knew.
func TestRouterOutOfStepDoesNotMixVersions(t *testing.T) {
	for name, outOfStep := range map[string]func(s *fakeSource){
		"store silent":      func(s *fakeSource) { s.silence(true) },
		"watch lags behind": func(*fakeSource) {},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var breaks atomic.Bool
			targets := versionedTargets(t, &breaks)
			f, other := newFixture(t, targets[0]), newFixture(t, targets[1])
			f.source.hideChanges(TargetChange{ID: targets[1].id, Target: targets[1].registration()})
			outOfStep(f.source)
			id, begun := other.beginStream()
			status, rest := f.resumeStream(id)
			versions, _ := versionsIn(begun + rest)
			f.is.Equal(versions, []string{"v2"})
			f.is.Equal(status, http.StatusServiceUnavailable)
			f.is.True(!f.logs.contains("store_lost"))
		})
	}
}

// Guards against LOST: a router that confirms with the store that there was no other version lets a stream of unknown origin
// go on, also one of many at once, with few calls.
func TestConfirmedVersionLetsStreamsGoOn(t *testing.T) {
	var breaks atomic.Bool
	targets := versionedTargets(t, &breaks)
	f := newFixture(t, targets[0], targets[2])
	const streams = 40
	calls := f.source.confirmations.Load()
	var group sync.WaitGroup
	for range streams {
		group.Go(func() {
			status, _ := f.resumeStream("nobody's")
			if status != http.StatusOK {
				t.Errorf("status %d", status)
			}
		})
	}
	group.Wait()
	calls = f.source.confirmations.Load() - calls
	f.is.True(calls > 0)
	f.is.True(calls < streams/2)
}

// Guards against ORDER: a router that was stopped while other routers ran takes the versions that it knows for all, also of
// the time in which it was stopped, and another version has come and gone, or the store no longer has the changes since. If
// the store shows that nothing has come, streams go on.
func TestRouterThatWasStoppedDoesNotTrustItsVersions(t *testing.T) {
	for name, c := range map[string]struct {
		alone, changed, historyLost bool
		status                      int
	}{
		"alone, nothing changed":  {true, false, false, http.StatusOK},
		"alone, another version":  {true, true, false, http.StatusServiceUnavailable},
		"nothing changed":         {false, false, false, http.StatusOK},
		"another version":         {false, true, false, http.StatusServiceUnavailable},
		"history lost":            {false, true, true, http.StatusServiceUnavailable},
		"alone, history lost":     {true, true, true, http.StatusServiceUnavailable},
		"history without changes": {false, false, true, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var breaks atomic.Bool
			targets := versionedTargets(t, &breaks)
			f := newFixture(t, targets[0])
			if !c.alone {
				f.newPeer(targets[0])
			}
			f.edge.mu.Lock() // neither reports nor the watch are applied without it
			time.Sleep(1300 * time.Millisecond)
			f.source.mu.Lock()
			f.source.historyLost = c.historyLost
			f.source.mu.Unlock()
			if c.changed {
				f.source.hideChanges(TargetChange{ID: targets[1].id, Target: targets[1].registration()}, TargetChange{ID: targets[1].id, Removed: true})
			}
			f.edge.mu.Unlock()
			status, _ := f.resumeStream("nobody's")
			f.is.Equal(status, c.status)
			f.is.Equal(f.logs.contains("versions_unconfirmed"), c.historyLost && c.changed)
		})
	}
}
