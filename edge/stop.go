package edge

import (
	"time"

	"github.com/go-kit/log/level"
)

const (
	// balancerNotice is the time in which the balancer takes a router out: it asks
	// once a second and acts on two misses.
	balancerNotice = 2500 * time.Millisecond
	// stopMargin is left of the grace for the process to end by itself.
	stopMargin = 300 * time.Millisecond
	stopPoll   = 20 * time.Millisecond
)

// stop ends readiness, takes requests until the balancer has noticed, then lets
// those in progress finish.
func (e *Edge) stop() {
	deadline := time.Now().Add(e.settings.Grace - stopMargin)
	e.stopping.Store(true)
	level.Info(e.logger).Log("event", "stopping", "open", e.callers.count())
	time.Sleep(min(balancerNotice, time.Until(deadline)))
	e.late.Store(true)
	e.listener.Close()
	for time.Now().Before(deadline) {
		e.callers.closeIdle()
		if e.callers.count() == 0 {
			return
		}
		time.Sleep(stopPoll)
	}
	level.Warn(e.logger).Log("event", "stop_cut_requests", "open", e.callers.count())
}
