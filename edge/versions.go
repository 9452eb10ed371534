package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chiveseam/chiveseam/placement"
	"github.com/chiveseam/chiveseam/routing"
	"github.com/chiveseam/chiveseam/streams"
)

const (
	// minGapDelay is the delay before this router reads what it has missed of the store's history: its watch or another
	// router usually tells it sooner. The random delay that follows is at most maxGapDelay, since the store keeps its
	// history for some seconds only.
	minGapDelay = 1500 * time.Millisecond
	maxGapDelay = 5 * time.Second
)

// recoverVersions finds out, after each start and whenever this router may have missed some, which software versions the
// services have had for as long as a stream may last, until ctx ends.
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
// running tell them, or the store the changes that were missed. If all have started, the first one reads the store's
// history of registrations, and tells the others.
func (e *Edge) recoverVersionsOnce(ctx context.Context) {
	for {
		if !sleepUntil(ctx, e.readyForHistory) {
			return
		}
		sleep(ctx, e.historyDelay())
		if ctx.Err() != nil || e.versionsKnown() {
			return
		}
		if e.missedVersions() {
			if err := e.confirmVersions(); err != nil && !errors.Is(err, ErrHistoryLost) {
				sleep(ctx, maxRetryPause)
				continue
			}
			if e.versionsKnown() {
				return
			}
		}
		history, err := e.source.TargetHistory(ctx)
		if err == nil {
			e.mergeHistory(history)
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

// readyForHistory reports whether this router reaches the store, has read it and has heard of the others, and whether the history
// shows what the store has lost.
func (e *Edge) readyForHistory() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.outage.ongoing() == nil && e.storeEpoch.settled() && e.targetsRead.Load() && e.table.Load() != nil && e.members.Informed(time.Now())
}

// historyDelay returns a random delay, so that one router reads the history and the others hear its report first.
func (e *Edge) historyDelay() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	spread := time.Duration(e.members.LiveCount(now)) * e.members.Interval(now)
	if e.versionsKnownLongEnough(now) {
		return minGapDelay + rand.N(min(spread, maxGapDelay)+1)
	}
	return rand.N(spread + 1)
}

// missedVersions reports whether versions may have come and gone since the latest change that this router knows of.
func (e *Edge) missedVersions() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.origins.Coverage().IsKnown() && e.origins.HasGap()
}

// versionsKnown reports whether all versions are known that services have had for as long as any stream may
// last, up to the latest read of all registrations.
func (e *Edge) versionsKnown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.origins.HasGap() && e.versionsKnownLongEnough(time.Now())
}

// versionsKnownLongEnough reports whether the versions that are known are all for as long as any stream may last. The
// caller holds e.mu.
func (e *Edge) versionsKnownLongEnough(now time.Time) bool {
	longest := time.Duration(0)
	for route := range e.table.Load().Routes() {
		if route.RetryPolicy == routing.Resumable {
			longest = max(longest, e.streamAges.of(now, route))
		}
	}
	return e.origins.VersionsKnownFor(now) >= longest
}

// mergeHistory applies the store's history of registrations.
func (e *Edge) mergeHistory(past TargetHistory) {
	history := streams.History{Registrations: make([]streams.Registration, 0, len(past.Changes)), Whole: past.Whole, Until: past.Until, Restored: past.Until.Epoch > 0}
	for _, c := range past.Changes {
		switch {
		case c.Removed:
			history.Registrations = append(history.Registrations, streams.Registration{Target: c.ID, Removed: true, Revision: c.Revision})
		case c.Err == nil:
			t := c.Target
			history.Registrations = append(history.Registrations, streams.Registration{
				Target: c.ID, New: c.New, Service: placement.Hash(t.Service), Version: placement.VersionHash(t.Version),
				Started: time.UnixMilli(t.StartedUnixMs), Sequence: t.Sequence, Revision: c.Revision,
			})
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.origins.MergeHistory(now, history, e.settings.Heartbeat)
	level.Info(e.logger).Log("event", "version_history_read", "changes", len(past.Changes), "whole", past.Whole,
		"known_for_ms", e.origins.VersionsKnownFor(now).Milliseconds())
}
