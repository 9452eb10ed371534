package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const (
	// probePeriod is the time within which one of the routers reads the store, so
	// that a change that no watch hears is found in half of the time in which it
	// must be in force.
	probePeriod = time.Second
	// maxProbeInterval bounds the time between two reads of one router.
	maxProbeInterval = 30 * time.Second
	// minProbeInterval bounds the reads that other routers' reports cause.
	minProbeInterval = 300 * time.Millisecond
	// watchDelay is how long a router's own watch may take to hear what another one
	// has heard: the longest pause between two watches, and a slow store. The rest of
	// the two seconds is for the report and the read.
	watchDelay = maxWatchPause + 300*time.Millisecond
)

// probeStore reads the store beside the watches: a watch may hear nothing while
// changes are made. The routers share this work, and tell each other what they
// have seen; one that is behind reads at once.
func (e *Edge) probeStore(ctx context.Context) error {
	l := &link{edge: e, what: "probe"}
	// Reads that reports cause do not move the next one of the router's own, so that
	// the routers stay spread.
	due := time.NewTimer(e.probeInterval())
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
		case <-due.C:
			due.Reset(e.probeInterval())
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

func (e *Edge) probeInterval() time.Duration {
	e.mu.Lock()
	routers := e.members.Live(time.Now()) + 1
	e.mu.Unlock()
	interval := min(time.Duration(routers)*probePeriod, maxProbeInterval)
	return interval/2 + rand.N(interval)
}

// readStore reads the configuration and all targets.
func (e *Edge) readStore(ctx context.Context) error {
	if err := e.probeConfiguration(ctx); err != nil {
		return err
	}
	return e.probeTargets(ctx)
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
	pause(ctx, watchDelay)
	return e.configurationBehind() || e.targetsBehind()
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
