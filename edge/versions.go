package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chiveseam/chiveseam/placement"
	"github.com/chiveseam/chiveseam/routing"
	"github.com/chiveseam/chiveseam/streams"
)

// interruptionTime is the time without a report of this router after which it is held to have been stopped or to have
// got no processor. It is longer than the interval between two reports.
const interruptionTime = time.Second

// interrupted reports whether this router was stopped until just now, while other routers may have begun streams.
// The caller holds e.mu.
func (e *Edge) interrupted(now time.Time) bool {
	return !e.reportedAt.IsZero() && now.Sub(e.reportedAt) > interruptionTime && e.members.PeakRouters() > 1
}

// noteReport records that this router reports. After an interruption or a cut, other routers may have seen versions
// of which it has not heard. The caller holds e.mu.
func (e *Edge) noteReport(now time.Time) {
	interrupted := e.interrupted(now)
	if interrupted {
		level.Warn(e.logger).Log("event", "interrupted", "for_ms", now.Sub(e.reportedAt).Milliseconds())
	}
	if interrupted || e.cutOff(now) {
		e.origins.Interrupted()
		select {
		case e.wakeHistory <- struct{}{}:
		default:
		}
	}
	e.reportedAt = now
}

// cutOff reports whether versions may come of which this router does not hear: it does not reach the store, and not
// all other routers. The caller holds e.mu.
func (e *Edge) cutOff(now time.Time) bool {
	if e.outage.ongoing() == nil {
		return false
	}
	live := e.members.LiveCount(now)
	return live == 0 || live+1 < e.members.PeakRouters()
}

// recoverVersions finds out after each start and interruption which software versions the services have had for
// as long as a stream may last, until ctx ends.
func (e *Edge) recoverVersions(ctx context.Context) error {
	for ctx.Err() == nil {
		e.recoverVersionsOnce(ctx)
		select {
		case <-ctx.Done():
		case <-e.wakeHistory:
		}
	}
	return nil
}

// recoverVersionsOnce returns once the versions are known, or as far as the store has its history. Routers that were
// running tell them. If all have started, the first one reads the store's history of registrations, and tells the
// others.
func (e *Edge) recoverVersionsOnce(ctx context.Context) {
	for {
		if !sleepUntil(ctx, e.readyForHistory) {
			return
		}
		sleep(ctx, e.historyDelay())
		if ctx.Err() != nil || e.versionsKnown() {
			return
		}
		history, whole, err := e.source.TargetHistory(ctx)
		if err == nil {
			e.mergeHistory(history, whole)
			return
		}
		level.Warn(e.logger).Log("event", "version_history_unknown", "error", err)
		sleep(ctx, maxRetryPause)
	}
}

// sleepUntil waits until a condition holds. It returns false if ctx ends before that.
func sleepUntil(ctx context.Context, condition func() bool) bool {
	for !condition() {
		if ctx.Err() != nil {
			return false
		}
		sleep(ctx, minRetryPause)
	}
	return true
}

// readyForHistory reports whether this router reaches the store, has read it and has heard of the others.
func (e *Edge) readyForHistory() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.outage.ongoing() == nil && e.targetsRead.Load() && e.table.Load() != nil && e.members.Informed(time.Now())
}

// historyDelay returns a random delay, so that one router reads the history and the others hear its report first.
func (e *Edge) historyDelay() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	return rand.N(time.Duration(e.members.LiveCount(now))*e.members.Interval(now) + 1)
}

// versionsKnown reports whether all versions are known that services have had for as long as any stream may
// last.
func (e *Edge) versionsKnown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now, longest := time.Now(), time.Duration(0)
	for route := range e.table.Load().Routes() {
		if route.RetryPolicy == routing.Resumable {
			longest = max(longest, e.streamAges.of(now, route))
		}
	}
	return e.origins.VersionsKnownFor(now) >= longest
}

// mergeHistory applies the store's history of registrations.
func (e *Edge) mergeHistory(past []PastChange, whole bool) {
	history := streams.History{Registrations: make([]streams.Registration, 0, len(past)), Whole: whole}
	for _, c := range past {
		history.Restored = history.Restored || c.Revision.Epoch > 0
		switch {
		case c.Removed:
			history.Registrations = append(history.Registrations, streams.Registration{Target: c.ID, Removed: true})
		case c.Err == nil:
			t := c.Target
			history.Registrations = append(history.Registrations, streams.Registration{
				Target: c.ID, New: c.New, Service: placement.Hash(t.Service), Version: placement.VersionHash(t.Version),
				Started: time.UnixMilli(t.StartedUnixMs), Sequence: t.Sequence,
			})
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.origins.MergeHistory(now, history, e.settings.Heartbeat)
	level.Info(e.logger).Log("event", "version_history_read", "changes", len(past), "whole", whole,
		"known_for_ms", e.origins.VersionsKnownFor(now).Milliseconds())
}
