package edge

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log/level"
)

const (
	// loadBalancerDelay is the time after which the load balancer has removed a router that is not
	// ready: it checks once a second and acts after two failed checks.
	loadBalancerDelay = 2500 * time.Millisecond
	// stopMargin is the part of the grace time that is left for the process to exit by itself.
	stopMargin = 300 * time.Millisecond
	// finalAnswerTime is the part of stopMargin in which requests that are still open are answered.
	finalAnswerTime = 150 * time.Millisecond
	// stopPoll is the interval at which stop checks for open connections.
	stopPoll = 20 * time.Millisecond
	// maxBacklogTime limits the time to accept the connections that wait when the listener is to be closed.
	maxBacklogTime = 500 * time.Millisecond
)

var errStopping = errors.New("router is stopping")

// stop ends readiness, accepts requests until the load balancer has reacted, and then waits for
// those in progress to finish. It returns at the latest stopMargin before the grace time ends.
func (e *Edge) stop() {
	deadline := time.Now().Add(e.settings.Grace - stopMargin)
	e.mu.Lock()
	e.stopDeadline = deadline
	e.mu.Unlock()
	e.stopping.Store(true)
	level.Info(e.logger).Log("event", "stopping", "open", e.callers.count())
	time.Sleep(min(loadBalancerDelay, time.Until(deadline)))
	e.refuseNew.Store(true)
	e.closeListener(min(maxBacklogTime, time.Until(deadline)))
	for time.Now().Before(deadline) {
		e.callers.closeIdle()
		if e.callers.count() == 0 {
			return
		}
		time.Sleep(stopPoll)
	}
	level.Warn(e.logger).Log("event", "stop_cut_requests", "open", e.callers.count())
}

// closeListener closes the listener once no connections wait to be accepted, at the latest after limit. The
// kernel resets those that still wait then.
func (e *Edge) closeListener(limit time.Duration) {
	for end := time.Now().Add(limit); hasPending(e.listener) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	e.listener.Close()
}

// endRequests refuses new requests, cancels those in progress and waits for up to finalAnswerTime until their
// callers are answered.
func (e *Edge) endRequests() {
	e.stopping.Store(true)
	e.refuseNew.Store(true)
	e.abortRequests(errStopping)
	for end := time.Now().Add(finalAnswerTime); ; time.Sleep(stopPoll) {
		e.callers.interruptReads()
		if e.callers.count() == 0 || time.Now().After(end) {
			return
		}
	}
}

// endedByStop reports whether a request's context was cancelled by endRequests.
func endedByStop(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errStopping) }

// mayAttempt reports whether an attempt of a request may begin. While the router refuses new requests, only a
// further attempt may, if it can be answered within the route's objective before the stop ends it. The caller
// holds e.mu.
func (e *Edge) mayAttempt(now time.Time, tries int, objective time.Duration) bool {
	return !e.refuseNew.Load() || tries > 1 && now.Add(objective).Before(e.stopDeadline)
}
