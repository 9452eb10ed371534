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
	// watchWait is how long one watch call waits for a change; the store allows 30 s. Keep-alive
	// probes end a call whose connection has gone silent, and probeStore finds changes that a watch
	// does not deliver.
	watchWait = 25 * time.Second
	// After a watch call that brought changes, the watch pauses to batch further ones. The pause is
	// minBatchPause for the first changes after batchResetTime without any, and doubles up to
	// maxBatchPause while changes keep coming. Changes must be in force within two seconds.
	minBatchPause = 200 * time.Millisecond
	maxBatchPause = 800 * time.Millisecond
	// batchResetTime is the time without changes after which the pause is minBatchPause again.
	batchResetTime = 2 * time.Second
	// minRetryPause and maxRetryPause are the limits of storeLink.retryPause, the base of the random
	// pause after a failed call. The store must be read again within three seconds of its return,
	// since from then on changes must be in force within two seconds again. On the other hand all
	// routers share the store's rate limit, and refused calls count towards it.
	minRetryPause = 50 * time.Millisecond
	maxRetryPause = 1500 * time.Millisecond
	// minOutage is the time without an answer from which registrations may have lapsed because of
	// the outage.
	minOutage = time.Second
	// maxProberWait is how long a task waits for the prober to reach the store before it makes a
	// call itself, in case only the prober's connection is broken.
	maxProberWait = 3 * time.Second
)

// outage coordinates the tasks of a router while the store is unreachable: one of them, the prober,
// retries and the others wait. It is safe for concurrent use.
type outage struct {
	mu sync.Mutex
	// prober is nil while the store is reachable. mu guards prober and ended.
	prober *storeLink
	// ended is closed when a task has reached the store.
	ended chan struct{}
	// answeredAt is when the store last answered a call; zero before the first answer.
	answeredAt time.Time
}

// claim makes l the prober if there is none. It returns nil for the prober, and for other tasks a
// channel that is closed when the outage ends.
func (o *outage) claim(l *storeLink) <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.prober == nil {
		o.prober = l
		o.ended = make(chan struct{})
	}
	if o.prober == l {
		return nil
	}
	return o.ended
}

// ongoing returns a channel that is closed when the outage ends, or nil if there is none.
func (o *outage) ongoing() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.prober == nil {
		return nil
	}
	return o.ended
}

// end ends an outage. Each task calls it after a successful call to the store.
func (o *outage) end() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.answeredAt = time.Now()
	if o.prober != nil {
		close(o.ended)
		o.prober = nil
	}
}

// lastAnswer returns when the store last answered a call.
func (o *outage) lastAnswer() time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.answeredAt
}

// release lets another task become the prober if l is it.
func (o *outage) release(l *storeLink) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.prober == l {
		close(o.ended)
		o.prober = nil
	}
}

// storeLink is the state of one task's connection to the store. Only that task uses it.
type storeLink struct {
	edge *Edge
	// name identifies the task in logs.
	name string
	// lost is set from the first failed call until the next successful one.
	lost   bool
	lostAt time.Time
	// retryPause is the base of the next random pause before a retry.
	retryPause time.Duration
}

// logLoss logs the first failed call of an outage.
func (l *storeLink) logLoss(ctx context.Context, err error) {
	if l.lost || ctx.Err() != nil {
		return
	}
	l.lost = true
	l.lostAt = time.Now()
	l.retryPause = minRetryPause
	level.Warn(l.edge.logger).Log("event", "store_lost", "watch", l.name, "error", err)
}

// waitToRetry records a failed call and waits before the next one: the prober for a random time
// that grows with each failure, other tasks until the prober has reached the store, or
// maxProberWait.
func (l *storeLink) waitToRetry(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	l.logLoss(ctx, err)
	if ended := l.edge.outage.claim(l); ended != nil {
		waitFor(ctx, ended, maxProberWait)
		return
	}
	sleep(ctx, l.retryPause/2+rand.N(max(l.retryPause, minRetryPause)))
	l.retryPause = min(2*l.retryPause, maxRetryPause)
}

// waitFor waits until event is closed, the timeout has passed or ctx ends.
func waitFor(ctx context.Context, event <-chan struct{}, timeout time.Duration) {
	select {
	case <-ctx.Done():
	case <-event:
	case <-time.After(timeout):
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// succeeded records a successful call. It logs the end of an outage and returns how long that
// lasted; 0 if there was none.
func (l *storeLink) succeeded() time.Duration {
	l.edge.outage.end()
	if !l.lost {
		return 0
	}
	l.lost = false
	away := time.Since(l.lostAt)
	level.Info(l.edge.logger).Log("event", "store_back", "watch", l.name, "away_ms", away.Milliseconds())
	return away
}

// feed is one kind of data that the store publishes: what the operator has published, or the targets.
type feed[T any] struct {
	name string
	// read returns the complete data and the revision to watch from; watch waits for changes.
	read  func(context.Context) (T, Revision, error)
	watch func(ctx context.Context, after Revision, wait time.Duration) (T, Revision, error)
	// apply applies the data of read (complete) or of watch, and reports whether there was any. away
	// is the length of the outage that ended with this call; 0 if there was none.
	apply func(value T, revision Revision, complete bool, away time.Duration) bool
	// pausedUntil is set to the Unix time in nanoseconds at which the current pause for batching
	// ends.
	pausedUntil *atomic.Int64
	// known returns the revision from which to watch at first, zero to read everything; nil stands for
	// zero.
	known func() Revision
	// maxPause returns the longest pause for batching; nil stands for maxBatchPause.
	maxPause func() time.Duration
}

// follow reads a feed and then watches it until ctx ends. It reads the feed completely again when
// the store no longer has the history, and after each failed call: a watch call without changes
// would not return for a long time, and the end of an outage would go unnoticed until then.
func follow[T any](ctx context.Context, e *Edge, f feed[T]) error {
	l := &storeLink{edge: e, name: f.name}
	defer e.outage.release(l)
	var after Revision
	if f.known != nil {
		after = f.known()
	}
	batchPause := minBatchPause
	for ctx.Err() == nil {
		began := time.Now()
		value, revision, err := f.next(ctx, e, after)
		if errors.Is(err, ErrHistoryLost) && after != (Revision{}) {
			level.Info(e.logger).Log("event", "history_lost", "watch", l.name, "epoch", after.Epoch, "revision", after.Number)
			after = Revision{}
			continue
		}
		if err != nil {
			l.waitToRetry(ctx, err)
			after = Revision{}
			continue
		}
		if f.apply(value, revision, after == Revision{}, l.succeeded()) {
			batchPause = nextBatchPause(batchPause, time.Since(began))
			if f.maxPause != nil {
				batchPause = min(batchPause, f.maxPause())
			}
			f.pausedUntil.Store(time.Now().Add(batchPause).UnixNano())
			sleep(ctx, batchPause)
		}
		after = revision
	}
	return nil
}

// next returns the complete data if after is zero, and otherwise the changes after that revision. It
// fails with ErrHistoryLost if the epoch of the store ends meanwhile.
func (f feed[T]) next(ctx context.Context, e *Edge, after Revision) (value T, revision Revision, err error) {
	if after == (Revision{}) {
		value, revision, err = f.read(ctx)
	} else {
		during, cancel := e.storeEpoch.during(ctx, after.Epoch)
		defer cancel()
		value, revision, err = f.watch(during, after, watchWait)
		if during.Err() != nil && ctx.Err() == nil {
			err = ErrHistoryLost
		}
	}
	if err == nil {
		err = e.observeEpoch(revision.Epoch)
	}
	return value, revision, err
}

// nextBatchPause returns the pause after a call that brought changes. last is the pause before it,
// waited how long the call took.
func nextBatchPause(last, waited time.Duration) time.Duration {
	if waited > batchResetTime {
		return minBatchPause
	}
	return min(2*last, maxBatchPause)
}

// watchConfiguration keeps the configuration table and the evacuations up to date until ctx ends.
func (e *Edge) watchConfiguration(ctx context.Context) error {
	return follow(ctx, e, feed[operatorRead]{
		name: "configuration", read: e.readPublication, watch: e.watchPublication, pausedUntil: &e.configurationPausedUntil,
		apply: func(p operatorRead, revision Revision, complete bool, away time.Duration) bool {
			e.noteStoreReturn(away)
			e.applyEvacuations(p, revision, complete)
			if p.TableErr != nil {
				level.Warn(e.logger).Log("event", "configuration_unreadable", "epoch", revision.Epoch, "revision", revision.Number, "error", p.TableErr)
			}
			if p.Table != nil {
				e.applyTable(p.Table, revision)
			}
			return p.Changes > 0
		},
	})
}

// applyTable puts a table in force unless the one in force has the same or a newer version.
func (e *Edge) applyTable(t *routing.Table, revision Revision) {
	old := e.table.Load()
	if old != nil && t.Version <= old.Version {
		level.Info(e.logger).Log("event", "configuration_ignored", "version", t.Version, "in_force", old.Version)
		return
	}
	e.mu.Lock()
	e.balancer.SetServices(t.Services, t.Limits.TokensPerSecond)
	e.streamAges.replaceTable(time.Now(), old, t)
	e.mu.Unlock()
	e.table.Store(t)
	e.metrics.version.Set(float64(t.Version))
	level.Info(e.logger).Log("event", "configuration_applied", "version", t.Version, "epoch", revision.Epoch, "revision", revision.Number,
		"tokens_per_second", t.Limits.TokensPerSecond)
}

// updateTargets applies registrations of targets. complete says that the list holds all of them.
// away is the length of the outage of the store that has just ended; 0 if there was none.
func (e *Edge) updateTargets(changes []TargetChange, complete bool, away time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.applyRegistrations(time.Now(), changes, complete, away)
}

// applyRegistrations is updateTargets for a caller that holds e.mu.
func (e *Edge) applyRegistrations(now time.Time, changes []TargetChange, complete bool, away time.Duration) {
	if away >= minOutage {
		e.storeReturned(now)
	}
	for _, c := range changes {
		if c.Err != nil {
			level.Warn(e.logger).Log("event", "registration_unreadable", "target", c.ID, "revision", c.Revision.Number, "error", c.Err)
		}
		e.targetsRevision.raise(c.Revision)
	}
	var updates []targetUpdate
	if complete {
		updates = e.directory.replace(now, changes)
	} else {
		for _, c := range changes {
			updates = append(updates, e.directory.update(now, c)...)
		}
	}
	e.applyTargetUpdates(updates)
	e.targetsRead.Store(true)
}

// expireTargets removes targets that did not register again within the grace time after an outage.
func (e *Edge) expireTargets() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.applyTargetUpdates(e.directory.expire(e.lapsedBefore(time.Now())))
}

// applyTargetUpdates applies changes of targets to the placement balancer and the connection pool.
// The caller holds e.mu.
func (e *Edge) applyTargetUpdates(updates []targetUpdate) {
	now := time.Now()
	for _, update := range updates {
		t := update.target
		if update.removed {
			e.balancer.RemoveTarget(t.ID)
			e.targetConns.drop(t.Address)
			level.Info(e.logger).Log("event", "target_gone", "target", t.ID, "service", t.Service)
			continue
		}
		e.balancer.SetTarget(t)
		level.Info(e.logger).Log("event", "target_updated", "target", t.ID, "service", t.Service, "address", t.Address,
			"draining", t.Draining, "sequence", t.Sequence, "zone", t.Zone, "target_version", t.Version)
	}
	for _, t := range e.directory.takeReceived() {
		e.recordRegistration(now, t)
	}
}
