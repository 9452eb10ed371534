package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chiveseam/chiveseam/routing"
)

const (
	// watchWait is how long a watch waits for a change. The store allows 30 s;
	// keep-alive probes end a watch whose connection went silent, and reads find
	// what a watch does not hear.
	watchWait = 25 * time.Second
	// watchPause lets changes gather between two watches; it doubles up to
	// maxWatchPause while each watch brings changes. Changes must be in force within
	// two seconds.
	watchPause    = 200 * time.Millisecond
	maxWatchPause = 800 * time.Millisecond
	// calmAfter is the time without changes after which they are taken at once again.
	calmAfter = 2 * time.Second
	// minPause and maxPause bound the pause after a failed call. Changes must be in
	// force within two seconds, and all routers share the store's rate.
	minPause = 50 * time.Millisecond
	maxPause = 400 * time.Millisecond
	// longAbsence is the time without an answer from which the store counts as
	// having been away.
	longAbsence = time.Second
)

// link is the state of one watch of the store.
type link struct {
	edge  *Edge
	what  string
	lost  bool
	since time.Time
	pause time.Duration
}

// failed logs the loss of the store once, and waits.
func (l *link) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if !l.lost {
		l.lost = true
		l.since = time.Now()
		l.pause = minPause
		level.Warn(l.edge.logger).Log("event", "store_lost", "watch", l.what, "error", err)
	}
	pause(ctx, l.pause/2+rand.N(l.pause))
	l.pause = min(2*l.pause, maxPause)
}

// pause waits, or until the duty ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// worked logs the return of the store and tells for how long it was away.
func (l *link) worked() time.Duration {
	if !l.lost {
		return 0
	}
	l.lost = false
	away := time.Since(l.since)
	level.Info(l.edge.logger).Log("event", "store_back", "watch", l.what, "away_ms", away.Milliseconds())
	return away
}

// watchConfiguration keeps the table current.
func (e *Edge) watchConfiguration(ctx context.Context) error {
	l := &link{edge: e, what: "configuration"}
	var after uint64
	for ctx.Err() == nil {
		table, revision, err := e.readConfiguration(ctx, after)
		if err != nil {
			if errors.Is(err, ErrHistoryLost) {
				level.Info(e.logger).Log("event", "history_lost", "watch", l.what, "revision", after)
				after = 0
				continue
			}
			l.failed(ctx, err)
			// A long watch would not tell when the store is back; reading it whole does.
			after = 0
			continue
		}
		l.worked()
		after = revision
		if table != nil {
			e.apply(table, revision)
			pause(ctx, watchPause)
		}
	}
	return nil
}

func (e *Edge) readConfiguration(ctx context.Context, after uint64) (*routing.Table, uint64, error) {
	if after == 0 {
		return e.source.Configuration(ctx)
	}
	return e.source.WatchConfiguration(ctx, after, watchWait)
}

// apply puts a table in force unless it is older than the one in force.
func (e *Edge) apply(t *routing.Table, revision uint64) {
	old := e.table.Load()
	if old != nil && t.Version <= old.Version {
		level.Info(e.logger).Log("event", "configuration_ignored", "version", t.Version, "in_force", old.Version)
		return
	}
	e.mu.Lock()
	e.book.SetServices(t.Services, t.Limits.TokensPerSecond)
	e.mu.Unlock()
	e.table.Store(t)
	e.metrics.version.Set(float64(t.Version))
	level.Info(e.logger).Log("event", "configuration_applied", "version", t.Version, "revision", revision,
		"tokens_per_second", t.Limits.TokensPerSecond)
}

// watchTargets keeps the targets current.
func (e *Edge) watchTargets(ctx context.Context) error {
	l := &link{edge: e, what: "targets"}
	var after uint64
	gather := watchPause
	for ctx.Err() == nil {
		asked := time.Now()
		changes, revision, err := e.readTargets(ctx, after)
		if errors.Is(err, ErrHistoryLost) {
			level.Info(e.logger).Log("event", "history_lost", "watch", l.what, "revision", after)
			after = 0
			continue
		}
		if err != nil {
			l.failed(ctx, err)
			after = 0
			continue
		}
		e.updateTargets(changes, after == 0, l.worked())
		after = revision
		if len(changes) > 0 {
			gather = nextGather(gather, time.Since(asked))
			pause(ctx, gather)
		}
	}
	return nil
}

// nextGather returns the pause after a watch that brought changes after a wait.
func nextGather(last, waited time.Duration) time.Duration {
	if waited > calmAfter {
		return watchPause
	}
	return min(2*last, maxWatchPause)
}

func (e *Edge) readTargets(ctx context.Context, after uint64) ([]TargetChange, uint64, error) {
	if after == 0 {
		return e.source.Targets(ctx)
	}
	return e.source.WatchTargets(ctx, after, watchWait)
}

func (e *Edge) updateTargets(changes []TargetChange, complete bool, away time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if away >= longAbsence {
		e.directory.back(now)
	}
	for _, c := range changes {
		if c.Err != nil {
			level.Warn(e.logger).Log("event", "registration_unreadable", "target", c.ID, "revision", c.Revision, "error", c.Err)
		}
	}
	var events []event
	if complete {
		events = e.directory.replace(now, changes)
	} else {
		for _, c := range changes {
			events = append(events, e.directory.change(now, c)...)
		}
	}
	for _, c := range changes {
		if c.Revision > e.newest.Load() {
			e.newest.Store(c.Revision)
		}
	}
	e.useTargets(events)
	e.targetsRead.Store(true)
}

// expireTargets gives up targets that did not come back after the store's absence.
func (e *Edge) expireTargets() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.useTargets(e.directory.expire(time.Now()))
}

// useTargets passes changes on to the book. The lock is held.
func (e *Edge) useTargets(events []event) {
	for _, ev := range events {
		t := ev.target
		if ev.removed {
			e.book.RemoveTarget(t.ID)
			e.pool.drop(t.Address)
			level.Info(e.logger).Log("event", "target_gone", "target", t.ID, "service", t.Service)
			continue
		}
		e.book.SetTarget(t)
		level.Info(e.logger).Log("event", "target_updated", "target", t.ID, "service", t.Service, "address", t.Address,
			"draining", t.Draining, "sequence", t.Sequence, "zone", t.Zone)
	}
}
