package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
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
	// minPause and maxPause bound the pause after a failed call. The store is read
	// again within three seconds of its return, from when on its changes must be in
	// force in time; all routers share its rate, and refused calls count.
	minPause = 50 * time.Millisecond
	maxPause = 1500 * time.Millisecond
	// longAbsence is the time without an answer from which the store counts as
	// having been away.
	longAbsence = time.Second
	// outagePatience is how long a duty waits for another one to find the store back,
	// before it tries by itself: only the other one's connection may be bad.
	outagePatience = 3 * time.Second
)

// outage lets one of the duties try the store while it is away, and the others wait.
// It is safe for concurrent use.
type outage struct {
	mu    sync.Mutex
	owner *link
	over  chan struct{}
}

// join returns nil for the duty that has to try, and for others a channel that is
// closed when the store is back.
func (o *outage) join(l *link) <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.owner == nil {
		o.owner = l
		o.over = make(chan struct{})
	}
	if o.owner == l {
		return nil
	}
	return o.over
}

// lasting returns a channel that is closed when the store is back, nil if it is not
// away.
func (o *outage) lasting() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.owner == nil {
		return nil
	}
	return o.over
}

// end is called by each duty that has reached the store.
func (o *outage) end() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.owner != nil {
		close(o.over)
		o.owner = nil
	}
}

// link is what one duty knows of its connection to the store.
type link struct {
	edge  *Edge
	what  string
	lost  bool
	since time.Time
	pause time.Duration
}

// note logs the loss of the store once.
func (l *link) note(ctx context.Context, err error) {
	if l.lost || ctx.Err() != nil {
		return
	}
	l.lost = true
	l.since = time.Now()
	l.pause = minPause
	level.Warn(l.edge.logger).Log("event", "store_lost", "watch", l.what, "error", err)
}

// failed notes the loss of the store and waits until the next try.
func (l *link) failed(ctx context.Context, err error) {
	l.note(ctx, err)
	if over := l.edge.outage.join(l); over != nil {
		await(ctx, over, outagePatience)
		return
	}
	pause(ctx, l.pause/2+rand.N(max(l.pause, minPause)))
	l.pause = min(2*l.pause, maxPause)
}

// await waits for an event, for a time at most.
func await(ctx context.Context, event <-chan struct{}, most time.Duration) {
	select {
	case <-ctx.Done():
	case <-event:
	case <-time.After(most):
	}
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
	l.edge.outage.end()
	if !l.lost {
		return 0
	}
	l.lost = false
	away := time.Since(l.since)
	level.Info(l.edge.logger).Log("event", "store_back", "watch", l.what, "away_ms", away.Milliseconds())
	return away
}

// feed is one kind of what the store publishes.
type feed[T any] struct {
	name  string
	read  func(context.Context) (T, uint64, error)
	watch func(ctx context.Context, after uint64, wait time.Duration) (T, uint64, error)
	// apply takes what was read or what has changed, and reports whether that was
	// anything. The store was away for that long before.
	apply func(value T, revision uint64, whole bool, away time.Duration) bool
	// rests takes the Unix time in nanoseconds until which changes gather.
	rests *atomic.Int64
}

// follow reads a feed and then watches it. When the history is lost or the store was
// away, it is read anew: a long watch would not tell when the store is back.
func follow[T any](ctx context.Context, e *Edge, f feed[T]) error {
	l := &link{edge: e, what: f.name}
	var after uint64
	gather := watchPause
	for ctx.Err() == nil {
		asked := time.Now()
		value, revision, err := f.next(ctx, after)
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
		if f.apply(value, revision, after == 0, l.worked()) {
			gather = nextGather(gather, time.Since(asked))
			f.rests.Store(time.Now().Add(gather).UnixNano())
			pause(ctx, gather)
		}
		after = revision
	}
	return nil
}

func (f feed[T]) next(ctx context.Context, after uint64) (T, uint64, error) {
	if after == 0 {
		return f.read(ctx)
	}
	return f.watch(ctx, after, watchWait)
}

// nextGather returns the pause after a watch that brought changes after a wait.
func nextGather(last, waited time.Duration) time.Duration {
	if waited > calmAfter {
		return watchPause
	}
	return min(2*last, maxWatchPause)
}

// watchConfiguration keeps the table current.
func (e *Edge) watchConfiguration(ctx context.Context) error {
	return follow(ctx, e, feed[*routing.Table]{
		name: "configuration", read: e.source.Configuration, watch: e.source.WatchConfiguration, rests: &e.configurationRests,
		apply: func(t *routing.Table, revision uint64, _ bool, _ time.Duration) bool {
			if t == nil {
				return false
			}
			e.apply(t, revision)
			return true
		},
	})
}

// watchTargets keeps the targets current.
func (e *Edge) watchTargets(ctx context.Context) error {
	return follow(ctx, e, feed[[]TargetChange]{
		name: "targets", read: e.source.Targets, watch: e.source.WatchTargets, rests: &e.targetsRest,
		apply: func(changes []TargetChange, _ uint64, whole bool, away time.Duration) bool {
			e.updateTargets(changes, whole, away)
			return len(changes) > 0
		},
	})
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
		e.newest.Store(max(e.newest.Load(), c.Revision))
	}
	var events []event
	if complete {
		events = e.directory.replace(now, changes)
	} else {
		for _, c := range changes {
			events = append(events, e.directory.change(now, c)...)
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
