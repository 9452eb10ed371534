package edge

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/chiveseam/chiveseam/routing"
)

// recordRegistration records what a new registration says of the time for which its target is cold. The
// caller holds e.mu.
func (e *Edge) recordRegistration(now time.Time, t routing.Target) {
	if e.balancer.RecordRegistration(now, t.ID, t.ColdRemaining) {
		level.Info(e.logger).Log("event", "target_cold", "target", t.ID, "source", "registration", "remaining_ms", t.ColdRemaining.Milliseconds())
	}
}

// recordRefused records that a target has refused a connection. The caller holds e.mu.
func (e *Edge) recordRefused(now time.Time, id string) {
	if e.balancer.RecordRefused(now, id) {
		level.Info(e.logger).Log("event", "target_cold", "target", id, "source", "refused")
	}
}
