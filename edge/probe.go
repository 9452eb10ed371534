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
	// probePeriod is the time after which one of the routers reads the store again, so
	// that a change that no watch hears is in force everywhere within two seconds: this
	// period, the wait for the first router, a report, and hearTime.
	probePeriod = time.Second
	// minProbeInterval bounds the reads that other routers' reports cause.
	minProbeInterval = 300 * time.Millisecond
	// hearTime is how long a router's own watch may take to hear what another one has
	// heard: a slow store, and a lost packet.
	hearTime = 300 * time.Millisecond
)

// probeStore reads the store beside the watches: a watch may hear nothing while
// changes are made. The routers share this work, and tell each other what they
// have seen; one that is behind reads at once.
func (e *Edge) probeStore(ctx context.Context) error {
	l := &link{edge: e, what: "probe"}
	for {
		read := e.readStore
		select {
		case <-ctx.Done():
			return nil
		case <-e.ahead:
			if !e.stillBehind(ctx) {
				continue
			}
			read = e.readNewer
		case <-time.After(e.untilProbe()):
			if !e.probeDue() {
				continue
			}
		}
		if over := e.outage.lasting(); over != nil {
			await(ctx, over, outagePatience)
			continue
		}
		if err := read(ctx); err != nil {
			l.note(ctx, err)
			pause(ctx, maxPause)
			continue
		}
		l.worked()
		pause(ctx, minProbeInterval)
	}
}

// untilProbe returns when this router reads the store unless another one does before.
// The routers are spread so far that the others are told of the first one's read.
func (e *Edge) untilProbe() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	spread := time.Duration(e.members.LiveCount(now)+1) * e.members.Interval(now)
	last := e.lastRead
	if last.Before(e.started) {
		// The watches read the store at the start.
		last = e.started
	}
	return max(time.Until(last.Add(probePeriod)), 0) + rand.N(spread)
}

// probeDue reports whether no router has read the store for the period.
func (e *Edge) probeDue() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Since(e.lastRead) >= probePeriod
}

// readAt notes a read of the whole store. The lock is held.
func (e *Edge) readAt(at time.Time) {
	if at.After(e.lastRead) {
		e.lastRead = at
	}
}

// readStore reads the configuration and all targets.
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
	e.readAt(began)
	return nil
}

// readNewer reads that of which another router has seen something newer.
func (e *Edge) readNewer(ctx context.Context) error {
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

func (e *Edge) probeConfiguration(ctx context.Context) error {
	table, revision, err := e.source.Configuration(ctx)
	if err != nil || table == nil {
		return err
	}
	if old := e.table.Load(); old == nil || table.Version > old.Version {
		level.Warn(e.logger).Log("event", "watch_behind", "watch", "configuration", "version", table.Version)
		e.apply(table, revision)
	}
	return nil
}

func (e *Edge) probeTargets(ctx context.Context) error {
	// What is listed is not older than what was told before the read.
	told := e.told.Load()
	targets, _, err := e.source.Targets(ctx)
	if err != nil {
		return err
	}
	e.updateTargets(targets, true, 0)
	e.checked.Store(max(told, e.checked.Load()))
	return nil
}

// compareViews wakes the probe if another router has seen something newer.
func (e *Edge) compareViews(r *v1.LoadReport) {
	e.told.Store(max(e.told.Load(), r.TargetsRevision))
	e.toldVersion.Store(max(e.toldVersion.Load(), r.ConfigurationVersion))
	if !e.configurationBehind() && !e.targetsBehind() {
		return
	}
	select {
	case e.ahead <- struct{}{}:
	default:
	}
}

// stillBehind gives the router's own watches their time to hear what another router
// has seen, and reports whether they did not.
func (e *Edge) stillBehind(ctx context.Context) bool {
	pause(ctx, hearTime)
	return staysBehind(ctx, &e.configurationRests, e.configurationBehind) ||
		staysBehind(ctx, &e.targetsRest, e.targetsBehind)
}

// staysBehind reports whether a watch is behind, also once it has let changes gather.
func staysBehind(ctx context.Context, rests *atomic.Int64, behind func() bool) bool {
	left := time.Until(time.Unix(0, rests.Load()))
	if left > 0 && behind() {
		pause(ctx, left+hearTime)
	}
	return behind()
}

// configurationBehind reports whether another router has a newer configuration. A
// router that has none yet reads it anyway.
func (e *Edge) configurationBehind() bool {
	table := e.table.Load()
	return table != nil && e.toldVersion.Load() > table.Version
}

// targetsBehind reports whether another router has seen a later registration.
func (e *Edge) targetsBehind() bool {
	return e.told.Load() > max(e.newest.Load(), e.checked.Load())
}
