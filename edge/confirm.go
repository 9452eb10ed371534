package edge

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chiveseam/chiveseam/placement"
	"github.com/chiveseam/chiveseam/routing"
	"github.com/chiveseam/chiveseam/streams"
)

const (
	// confirmTimeout bounds the calls to the store that bring what is known of the versions up to its present revision.
	confirmTimeout = time.Second
	// confirmPause, times the number of live routers, is the pause of each between two confirmations: they share the
	// rate limit of the store.
	confirmPause = 5 * time.Millisecond
)

var (
	// errNotCovered: versions may have come and gone between what is known of them and the present revision of the store.
	errNotCovered = errors.New("edge: versions are not known up to the revision of the store")
	// errOutage: the store is known not to answer.
	errOutage = errors.New("edge: the store is away")
)

// confirmations are reads of the store that requests share. Its zero value is ready; it is safe for concurrent use.
type confirmations struct {
	mu sync.Mutex
	// running is set while there is a read, or the pause after it, and next is what the requests wait for that came
	// since it began.
	running bool
	next    *confirmation
}

// confirmation is the result of one read: err may be read once done is closed.
type confirmation struct {
	done chan struct{}
	err  error
}

// begin returns a read that begins after the call, at once or after the one that is running and a pause.
func (c *confirmations) begin(read func() error, pause func() time.Duration) *confirmation {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next == nil {
		c.next = &confirmation{done: make(chan struct{})}
	}
	joined := c.next
	if !c.running {
		c.running = true
		go c.run(read, pause)
	}
	return joined
}

// run reads for as long as requests wait for it.
func (c *confirmations) run(read func() error, pause func() time.Duration) {
	for {
		c.mu.Lock()
		r := c.next
		c.next = nil
		c.running = r != nil
		c.mu.Unlock()
		if r == nil {
			return
		}
		r.err = read()
		close(r.done)
		time.Sleep(pause())
	}
}

// hasOneVersion reports whether each service of the route has had targets of at most one version for as long as a stream
// may last that a caller takes up now. This router may be out of step without knowing it, so that it asks the store for
// what it has not heard, after the request has come. It waits for the answer until the deadline of the request at the longest.
func (e *Edge) hasOneVersion(route *routing.Route, deadline time.Time) bool {
	e.mu.Lock()
	several := e.mayHaveSeveralVersions(route)
	wait := min(originWait+e.confirmPause(), time.Until(deadline))
	e.mu.Unlock()
	if several {
		return false
	}
	c := e.confirmations.begin(e.confirmVersions, func() time.Duration {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.confirmPause()
	})
	select {
	case <-c.done:
	case <-time.After(wait):
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return c.err == nil && !e.mayHaveSeveralVersions(route)
}

// confirmPause returns the pause between two confirmations. The caller holds e.mu.
func (e *Edge) confirmPause() time.Duration {
	return time.Duration(e.members.LiveCount(time.Now())+1) * confirmPause
}

// mayHaveSeveralVersions reports whether a service of the route may have had targets of several versions
// since a stream may have begun that a caller takes up now, if all versions are known up to now: this router may not have
// been told of one that was there before it started. The caller holds e.mu.
func (e *Edge) mayHaveSeveralVersions(route *routing.Route) bool {
	now := time.Now()
	for _, s := range route.Services {
		if e.origins.MayHaveSeveralVersions(now, placement.Hash(s.Service), e.streamAges.of(now, route)) {
			return true
		}
	}
	return false
}

// confirmVersions brings what is known of the versions up to a revision that the store has after the call. If the store
// no longer has the changes up to there, it must be found out anew which versions there were.
func (e *Edge) confirmVersions() error {
	if e.outage.ongoing() != nil {
		return errOutage // logged already
	}
	ctx, cancel := context.WithTimeout(e.tomb.Context(context.Background()), confirmTimeout)
	defer cancel()
	e.mu.Lock()
	known := e.origins.Coverage()
	e.mu.Unlock()
	err := e.readVersionsSince(ctx, known)
	if err == nil {
		return nil
	}
	level.Info(e.logger).Log("event", "versions_unconfirmed", "error", err)
	if errors.Is(err, ErrHistoryLost) {
		e.mu.Lock()
		e.origins.LoseHistory(known.Until)
		e.mu.Unlock()
		e.wakeVersionHistory()
	}
	return err
}

// readVersionsSince is confirmVersions with the calls to the store.
func (e *Edge) readVersionsSince(ctx context.Context, known streams.Coverage) error {
	if !known.IsKnown() {
		return errNotCovered
	}
	changes, until, err := e.source.MissedTargetChanges(ctx, known.Until)
	if err == nil {
		err = e.observeEpoch(until.Epoch)
	}
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seeVersions(changes)
	e.origins.ReadChanges(known.Until, until)
	if !e.origins.Covers(until) {
		return errNotCovered
	}
	return nil
}

// readRegistrations reads all registrations, and notes their versions.
func (e *Edge) readRegistrations(ctx context.Context) ([]TargetChange, Revision, error) {
	changes, at, err := e.source.Targets(ctx)
	if err == nil {
		e.mu.Lock()
		e.seeVersions(changes)
		covered := e.origins.ReadAll(time.Now(), at)
		e.mu.Unlock()
		if !covered {
			e.wakeVersionHistory()
		}
	}
	return changes, at, err
}

// watchRegistrationChanges waits for changes of registrations, and notes their versions.
func (e *Edge) watchRegistrationChanges(ctx context.Context, after Revision, wait time.Duration) ([]TargetChange, Revision, error) {
	changes, next, err := e.source.WatchTargets(ctx, after, wait)
	if err == nil {
		e.mu.Lock()
		e.seeVersions(changes)
		e.origins.ReadChanges(after, next)
		e.mu.Unlock()
	}
	return changes, next, err
}

// seeVersions notes the versions of registrations. The caller holds e.mu.
func (e *Edge) seeVersions(changes []TargetChange) {
	for _, c := range changes {
		if !c.Removed && c.Err == nil {
			e.origins.SeeVersion(placement.Hash(c.Target.Service), placement.VersionHash(c.Target.Version))
		}
	}
}

// wakeVersionHistory makes recoverVersions find out which versions there were.
func (e *Edge) wakeVersionHistory() {
	select {
	case e.wakeHistory <- struct{}{}:
	default:
	}
}
