package edge

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chiveseam/chiveseam/evacuation"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// Sources from which a router learns of evacuations, in log lines.
const (
	sourceWatch  = "watch"
	sourceRead   = "read"
	sourceReport = "report"
)

// errEvacuated is the error of an attempt that was not sent since the zone of its target was evacuated
// after it had been chosen.
var errEvacuated = errors.New("zone of the target is evacuated")

// operatorRead is the answer to one call of the store.
type operatorRead struct {
	Publication
	// began is when the call began.
	began time.Time
}

// readPublication reads all that the operator has published.
func (e *Edge) readPublication(ctx context.Context) (operatorRead, Revision, error) {
	began := time.Now()
	p, revision, err := e.source.Configuration(ctx)
	return operatorRead{p, began}, revision, err
}

// watchPublication waits for changes of what the operator has published.
func (e *Edge) watchPublication(ctx context.Context, after Revision, wait time.Duration) (operatorRead, Revision, error) {
	p, revision, err := e.source.WatchConfiguration(ctx, after, wait)
	return operatorRead{Publication: p}, revision, err
}

// applyEvacuations applies the evacuations in an answer of the store, which is complete or that of a
// watch.
func (e *Edge) applyEvacuations(p operatorRead, revision Revision, complete bool) {
	changes := make([]evacuation.Change, 0, len(p.Evacuations))
	for _, c := range p.Evacuations {
		if c.Zone == "" {
			level.Warn(e.logger).Log("event", "evacuation_ignored", "epoch", c.Revision.Epoch, "revision", c.Revision.Number, "error", "key names no zone")
			continue
		}
		changes = append(changes, c)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if complete {
		e.enforceEvacuations(now, e.evacuations.Read(p.began, now, changes, revision), sourceRead)
		return
	}
	e.enforceEvacuations(now, e.evacuations.Watched(now, changes), sourceWatch)
}

// mergeEvacuations applies the evacuations in another router's report. The caller holds e.mu.
func (e *Edge) mergeEvacuations(now time.Time, report *v1.LoadReport) {
	e.enforceEvacuations(now, e.evacuations.MergeReport(now, report.Evacuations), sourceReport)
}

// enforceEvacuations puts beginnings and ends of evacuations in force. The caller holds e.mu.
func (e *Edge) enforceEvacuations(now time.Time, transitions []evacuation.Transition, source string) {
	if len(transitions) == 0 {
		return
	}
	for _, t := range transitions {
		e.balancer.SetEvacuated(now, t.Zone, !t.Ended)
		event := "zone_evacuated"
		if t.Ended {
			event = "evacuation_ended"
		}
		level.Warn(e.logger).Log("event", event, "zone", t.Zone, "epoch", t.Revision.Epoch, "revision", t.Revision.Number,
			"source", source, "age_ms", t.Age.Milliseconds(), "targets", e.balancer.TargetsInZone(t.Zone))
	}
	zones := e.evacuations.Evacuated()
	inForce := make(map[string]bool, len(zones))
	for _, zone := range zones {
		inForce[zone] = true
	}
	e.evacuatedZones.Store(&inForce)
	e.metrics.evacuatedZones.Set(float64(len(zones)))
}

// isEvacuated reports whether a zone is evacuated. It needs no lock.
func (e *Edge) isEvacuated(zone string) bool {
	zones := e.evacuatedZones.Load()
	return zones != nil && (*zones)[zone]
}
