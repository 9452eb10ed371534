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
	// has heard: the pause between two watches, and a slow store.
	watchDelay = 500 * time.Millisecond
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
		select {
		case <-ctx.Done():
			return nil
		case <-e.ahead:
			pause(ctx, watchDelay)
			if !e.behind() {
				continue
			}
		case <-due.C:
			due.Reset(e.probeInterval())
		}
		if err := e.readStore(ctx); err != nil {
			l.failed(ctx, err)
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
	table, revision, err := e.source.Configuration(ctx)
	if err != nil {
		return err
	}
	if old := e.table.Load(); old == nil || table.Version > old.Version {
		level.Warn(e.logger).Log("event", "watch_behind", "watch", "configuration", "version", table.Version)
		e.apply(table, revision)
	}
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
	if !e.behind() {
		return
	}
	select {
	case e.ahead <- struct{}{}:
	default:
	}
}

// behind reports whether another router has seen something newer. A router that
// has no configuration yet reads it anyway.
func (e *Edge) behind() bool {
	table := e.table.Load()
	if table != nil && e.toldVersion.Load() > table.Version {
		return true
	}
	return e.told.Load() > max(e.newest.Load(), e.checked.Load())
}
