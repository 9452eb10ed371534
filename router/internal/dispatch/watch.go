package dispatch

import (
	"time"

	"github.com/chiveseam/chiveseam/config"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const (
	// watchTime is how long the connection of an attempt that was given up
	// without an answer is kept, so that the loss of its target is seen.
	watchTime = 10 * time.Second
	// maxWatched bounds the connections that are kept so.
	maxWatched = 64
)

// watcher keeps connections of attempts that were given up without an answer.
// It is safe for concurrent use.
type watcher struct {
	guard Guard
	// slots holds an element for each connection that is kept.
	slots chan struct{}
	time  time.Duration
}

func newWatcher(guard Guard) *watcher {
	return &watcher{guard: guard, slots: make(chan struct{}, maxWatched), time: watchTime}
}

// watch tells the guard how the round trip of a digest at a target ends: as
// crashed if the connection breaks within the watcher's time, as open if not.
// It reports whether the connection is kept; if not, the guard has been told.
func (w *watcher) watch(digest uint64, target config.ID, p *pending) bool {
	select {
	case w.slots <- struct{}{}:
		go w.run(digest, target, p)
		return true
	default:
		p.close()
		w.guard.End(digest, target, EndedOpen)
		return false
	}
}

func (w *watcher) run(digest uint64, target config.ID, p *pending) {
	defer func() { <-w.slots }()
	w.guard.End(digest, target, w.await(p))
}

// await returns how the round trip ended.
func (w *watcher) await(p *pending) Ending {
	defer p.close()
	timer := time.NewTimer(w.time)
	defer timer.Stop()
	select {
	case <-p.done:
		if p.err != nil {
			return EndedCrashed
		}
	case <-timer.C:
	}
	return EndedOpen
}

// cancellable reports whether a target of the pool stops a request when its
// connection is closed. Such a request is not watched once its caller has left.
func cancellable(p *v1.Pool) bool {
	return p.Kind == v1.PoolKind_ENGINE
}
