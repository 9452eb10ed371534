package edge

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chiveseam/chiveseam/evacuation"
)

// Revision is a position in the history of the store. The zero value is before all others.
type Revision = evacuation.Revision

// latestRevision holds the latest of the revisions that it was given. It is safe for concurrent use.
type latestRevision struct {
	mu     sync.Mutex
	latest Revision
}

func (l *latestRevision) load() Revision {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.latest
}

// raise replaces the revision unless it is later than r.
func (l *latestRevision) raise(r Revision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Compare(l.latest) > 0 {
		l.latest = r
	}
}

// storeEpoch is the latest epoch of the store that this router has seen. It is safe for concurrent
// use.
type storeEpoch struct {
	mu    sync.Mutex
	known bool
	epoch uint64
	// since is when this router first saw the epoch.
	since time.Time
	// ended is closed when the epoch ends.
	ended chan struct{}
}

// observe records the epoch of an answer. It returns whether the answer is of an earlier epoch than
// others before it, and whether it is the first of a new one.
func (s *storeEpoch) observe(epoch uint64) (stale, restored bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.known {
		s.known, s.epoch, s.since, s.ended = true, epoch, time.Now(), make(chan struct{})
		return false, false
	}
	if epoch <= s.epoch {
		return epoch < s.epoch, false
	}
	s.epoch, s.since = epoch, time.Now()
	close(s.ended)
	s.ended = make(chan struct{})
	return false, true
}

// restoreSettleTime is the time after a restore of the store in which the targets that run register again.
const restoreSettleTime = 3 * time.Second

// settled reports whether what the store has lost in a restore shows in its history.
func (s *storeEpoch) settled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known && (s.epoch == 0 || time.Since(s.since) >= restoreSettleTime)
}

// during returns a context that ends with ctx or with an epoch, at once if that is not the latest one.
func (s *storeEpoch) during(ctx context.Context, epoch uint64) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.known && s.epoch != epoch {
		cancel()
		return ctx, cancel
	}
	ended := s.ended
	go func() {
		select {
		case <-ended:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// observeEpoch records the epoch of an answer of the store. It returns ErrHistoryLost for an answer of
// an earlier epoch, which came late. At the first answer of a new epoch, the watches of the old one
// end and read everything again; registrations may be older or missing for a while.
func (e *Edge) observeEpoch(epoch uint64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	// Another call of the new epoch must not apply its answer before the directory knows of the restore.
	stale, restored := e.storeEpoch.observe(epoch)
	if stale {
		return ErrHistoryLost
	}
	if restored {
		e.metrics.storeRestores.Inc()
		level.Warn(e.logger).Log("event", "store_restored", "epoch", epoch)
		e.directory.storeRestored(time.Now())
	}
	return nil
}
