package edge

import (
	"time"

	"github.com/go-kit/log/level"
)

const (
	// loadBalancerDelay is the time after which the load balancer has removed a router that is not
	// ready: it checks once a second and acts after two failed checks.
	loadBalancerDelay = 2500 * time.Millisecond
	// stopMargin is the part of the grace time that is left for the process to exit by itself.
	stopMargin = 300 * time.Millisecond
	// stopPoll is the interval at which stop checks for open connections.
	stopPoll = 20 * time.Millisecond
)

// stop ends readiness, accepts requests until the load balancer has reacted, and then waits for
// those in progress to finish. It returns at the latest stopMargin before the grace time ends.
func (e *Edge) stop() {
	deadline := time.Now().Add(e.settings.Grace - stopMargin)
	e.stopping.Store(true)
	level.Info(e.logger).Log("event", "stopping", "open", e.callers.count())
	time.Sleep(min(loadBalancerDelay, time.Until(deadline)))
	e.refuseNew.Store(true)
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
