package dispatch

import (
	"time"

	"github.com/chiveseam/chiveseam/config"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const (
	// watchDuration is how long the connection of an attempt that was given up before
	// an answer is kept open, so that a crash of its target is noticed.
	watchDuration = 10 * time.Second
	// maxWatched bounds the number of connections that are kept open to notice a crash.
	maxWatched = 64
)

// watcher watches the connections of attempts that were given up before an answer. It
// is safe for concurrent use.
type watcher struct {
	guard Guard
	// slots holds one element for each connection that is watched.
	slots chan struct{}
	// duration is how long a connection is watched.
	duration time.Duration
}

func newWatcher(guard Guard) *watcher {
	return &watcher{guard: guard, slots: make(chan struct{}, maxWatched), duration: watchDuration}
}

// watch tells the guard how the attempt at a target ends: EndedCrashed if its
// connection breaks within the watcher's duration, EndedInconclusive otherwise. If
// maxWatched connections are watched already, it closes the connection and tells the
// guard EndedInconclusive at once. It reports whether the connection is watched.
func (w *watcher) watch(digest uint64, target config.ID, p *pendingRequest) bool {
	select {
	case w.slots <- struct{}{}:
		go w.run(digest, target, p)
		return true
	default:
		p.close()
		w.guard.End(digest, target, EndedInconclusive)
		return false
	}
}

func (w *watcher) run(digest uint64, target config.ID, p *pendingRequest) {
	defer func() { <-w.slots }()
	w.guard.End(digest, target, w.await(p))
}

// await waits until the round trip ends or the watcher's duration has passed.
func (w *watcher) await(p *pendingRequest) Ending {
	defer p.close()
	timer := time.NewTimer(w.duration)
	defer timer.Stop()
	select {
	case <-p.done:
		if p.err != nil {
			return EndedCrashed
		}
	case <-timer.C:
	}
	return EndedInconclusive
}

// stopsOnDisconnect reports whether targets of the pool stop a request when its
// connection is closed. Such a request is not watched after its caller has
// disconnected.
func stopsOnDisconnect(p *v1.Pool) bool {
	return p.Kind == v1.PoolKind_ENGINE
}
