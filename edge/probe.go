package edge

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const (
	// probePeriod is the time after which one of the routers reads the complete store again. A change
	// that no watch delivers must be in force in all routers within two seconds: probePeriod, the
	// wait for the first router, a report and watchDelay add up to less.
	probePeriod = time.Second
	// minProbeInterval is the shortest time between two reads that reports of other routers cause.
	minProbeInterval = 300 * time.Millisecond
	// watchDelay is the time that a router's own watch may need to deliver what another router has
	// already seen: a slow store and a lost packet.
	watchDelay = 300 * time.Millisecond
)

// probeStore reads the store in addition to the watches, since a watch may stall and deliver
// nothing while changes are made. The routers share the periodic reads, and report the newest
// versions that they have seen. A router that is behind another one reads at once.
func (e *Edge) probeStore(ctx context.Context) error {
	l := &storeLink{edge: e, name: "probe"}
	for {
		read := e.readStore
		select {
		case <-ctx.Done():
			return nil
		case <-e.wakeProbe:
			if !e.stillBehind(ctx) {
				continue
			}
			read = e.readOutdated
		case <-time.After(e.untilProbe()):
			if !e.probeDue() {
				continue
			}
		}
		if ended := e.outage.ongoing(); ended != nil {
			waitFor(ctx, ended, maxProberWait)
			continue
		}
		if err := read(ctx); err != nil {
			l.logLoss(ctx, err)
			sleep(ctx, maxRetryPause)
			continue
		}
		l.succeeded()
		sleep(ctx, minProbeInterval)
	}
}

// untilProbe returns the time until this router reads the store unless another one does so before.
// It has a random part, long enough that the first router's report of its read reaches the others
// before they read too.
func (e *Edge) untilProbe() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	spread := time.Duration(e.members.LiveCount(now)+1) * e.members.Interval(now)
	last := e.lastStoreRead
	if last.Before(e.started) {
		// The watches read the store at the start.
		last = e.started
	}
	return max(time.Until(last.Add(probePeriod)), 0) + rand.N(spread)
}

// probeDue reports whether no router has read the complete store for probePeriod.
func (e *Edge) probeDue() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Since(e.lastStoreRead) >= probePeriod
}

// noteStoreRead records that a router read the complete store. The caller holds e.mu.
func (e *Edge) noteStoreRead(at time.Time) {
	if at.After(e.lastStoreRead) {
		e.lastStoreRead = at
	}
}

// readStore reads all that the operator has published, and all targets.
func (e *Edge) readStore(ctx context.Context) error {
	began := time.Now()
	if err := e.probeConfiguration(ctx); err != nil {
		return err
	}
	if err := e.probeTargets(ctx); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.noteStoreRead(began)
	return nil
}

// readOutdated reads the configuration, the targets or both if another router has newer ones.
func (e *Edge) readOutdated(ctx context.Context) error {
	if e.configurationBehind() {
		if err := e.probeConfiguration(ctx); err != nil {
			return err
		}
	}
	if e.targetsBehind() {
		return e.probeTargets(ctx)
	}
	return nil
}

// probeConfiguration reads the configuration and the evacuations, and applies what the watch has not
// delivered.
func (e *Edge) probeConfiguration(ctx context.Context) error {
	p, revision, err := e.readPublication(ctx)
	if err == nil {
		err = e.observeEpoch(revision.Epoch)
	}
	if err != nil {
		return err
	}
	e.applyEvacuations(p, revision, true)
	table := p.Table
	if table == nil {
		return nil
	}
	if old := e.table.Load(); old == nil || table.Version > old.Version {
		level.Warn(e.logger).Log("event", "watch_behind", "watch", "configuration", "version", table.Version)
		e.applyTable(table, revision)
	}
	return nil
}

// probeTargets reads and applies all target registrations.
func (e *Edge) probeTargets(ctx context.Context) error {
	// The read includes all changes up to a revision that was reported before it began.
	peerRevision := e.peerTargetsRevision.load()
	targets, revision, err := e.readRegistrations(ctx)
	if err == nil {
		err = e.observeEpoch(revision.Epoch)
	}
	if err != nil {
		return err
	}
	e.registrationsRead(targets, revision, true, 0)
	e.coveredTargetsRevision.raise(peerRevision)
	return nil
}

// compareWithPeer records the versions in another router's report and wakes probeStore if they are
// newer than this router's. The caller holds e.mu.
func (e *Edge) compareWithPeer(r *v1.LoadReport) {
	e.peerTargetsRevision.raise(Revision{Epoch: r.StoreEpoch, Number: r.TargetsRevision})
	e.peerConfigurationVersion.Store(max(e.peerConfigurationVersion.Load(), r.ConfigurationVersion))
	if !e.configurationBehind() && !e.targetsBehind() {
		return
	}
	select {
	case e.wakeProbe <- struct{}{}:
	default:
	}
}

// stillBehind waits for the time that the router's own watches may need to deliver what another
// router has seen. It reports whether the router is still behind then.
func (e *Edge) stillBehind(ctx context.Context) bool {
	targetsBehind := e.targetsBehindNow()
	sleep(ctx, watchDelay)
	return behindAfterPause(ctx, &e.configurationPausedUntil, e.configurationBehind) ||
		behindAfterPause(ctx, &e.targetsPausedUntil, targetsBehind)
}

// behindAfterPause reports whether a watch is behind. If the watch pauses to batch changes, it
// first waits until the watch has had time to deliver them after the pause.
func behindAfterPause(ctx context.Context, pausedUntil *atomic.Int64, behind func() bool) bool {
	left := time.Until(time.Unix(0, pausedUntil.Load()))
	if left > 0 && behind() {
		sleep(ctx, left+watchDelay)
	}
	return behind()
}

// startTime is the time from a router's start within which it takes no requests while other routers
// have a newer configuration: the store may have been restored from a copy older than that.
const startTime = 5 * time.Second

// startsBehind reports whether this router has started and read a configuration that is older than
// that of other routers.
func (e *Edge) startsBehind() bool {
	return time.Since(e.started) < startTime && e.configurationBehind()
}

// configurationBehind reports whether another router has a newer configuration. It returns false
// for a router that has none yet, since the watch then reads it anyway.
func (e *Edge) configurationBehind() bool {
	table := e.table.Load()
	return table != nil && e.peerConfigurationVersion.Load() > table.Version
}

// targetsBehind reports whether another router has seen a target registration that is later than
// this router's newest one and may not be included in its last complete read of the targets.
func (e *Edge) targetsBehind() bool {
	return e.targetsBehindOf(e.peerTargetsRevision.load())
}

// targetsBehindOf is targetsBehind for the revision that another router has seen.
func (e *Edge) targetsBehindOf(peer Revision) bool {
	return peer.Compare(e.targetsRevision.load()) > 0 && peer.Compare(e.coveredTargetsRevision.load()) > 0
}
