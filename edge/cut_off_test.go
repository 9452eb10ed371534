package edge

import (
	"errors"
	"fmt"
	"net/http"
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
				cutOff.source.pastTargets = []TargetChange{{ID: targets[1].id, Target: targets[1].registration()}, {ID: targets[1].id, Removed: true}}
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

// Guards against ORDER: a router that was stopped while other routers ran takes the versions that it knows for all.
// A router that runs alone goes on.
func TestRouterThatWasStoppedDoesNotTrustItsVersions(t *testing.T) {
	for _, alone := range []bool{false, true} {
		t.Run(fmt.Sprintf("alone %v", alone), func(t *testing.T) {
			var breaks atomic.Bool
			targets := versionedTargets(t, &breaks)
			f := newFixture(t, targets[0])
			if !alone {
				f.newPeer(targets[0])
			}
			f.source.mu.Lock()
			f.source.historyLost = true
			f.source.mu.Unlock()
			f.edge.mu.Lock() // no report is sent without it
			time.Sleep(interruptionTime + 300*time.Millisecond)
			f.edge.mu.Unlock()
			status, _ := f.resumeStream("nobody's")
			f.is.Equal(status == http.StatusOK, alone)
			f.is.Equal(f.logs.contains(`"event":"interrupted"`), !alone)
		})
	}
}
