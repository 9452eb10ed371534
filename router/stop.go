package router

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const (
	// announceTimeout bounds the time to tell other routers of a planned stop.
	announceTimeout = time.Second
	// lameDuckDuration is how long requests are still accepted after readiness
	// ends, so that load balancers notice that the router is not ready.
	lameDuckDuration = 2 * time.Second
	// drainPollInterval is the time between two checks of a condition that the
	// planned stop waits for.
	drainPollInterval = 50 * time.Millisecond
	// handOverTimeout bounds the time to hand all request keys over.
	handOverTimeout = 5 * time.Second
	// listRemovalTimeout bounds the wait for an instance list without this router.
	// The other routers derive the new owners of its keys from that list.
	listRemovalTimeout = 3 * time.Second
)

// drain makes the planned stop. Readiness ends first, so that the load balancer
// sends no new callers. Requests that it sends before it notices are still served.
// New requests are refused after lameDuckDuration, and the request keys are handed
// over once the requests in progress have ended.
func (r *Router) drain() {
	level.Info(r.logger).Log("event", "stop_begun")
	close(r.stopping)
	r.announceStop()
	r.pause(lameDuckDuration)
	r.entryServer.SetKeepAlivesEnabled(false)
	r.entry.Stop()
	r.keys.Stop()
	r.awaitOpenRequests()
	r.awaitListRemoval()
	r.handOverKeys()
}

// announceStop marks this router as leaving and tells other routers.
func (r *Router) announceStop() {
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	r.control.Stop(ctx)
}

// handOverKeys sends the records of the request keys to the routers that own
// the keys from now on.
func (r *Router) handOverKeys() {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	for successor, parts := range r.keys.HandOver() {
		if err := r.handOverTo(ctx, successor, parts); err != nil {
			level.Warn(r.logger).Log("event", "hand_over_failed", "successor", successor, "error", err)
		}
	}
}

// handOverTo sends the parts to one successor, in order. It stops at the first
// part that the successor does not accept. A successor without a known address
// gets nothing, and that is not an error.
func (r *Router) handOverTo(ctx context.Context, successor string, parts []*v1.HandOverRequest) error {
	member, ok := r.store.Fleet().Known[successor]
	if !ok {
		return nil
	}
	for _, part := range parts {
		accepted, err := r.peerClient.HandOver(ctx, member.PeerAddress, part)
		if err != nil {
			return err
		}
		if !accepted {
			level.Warn(r.logger).Log("event", "hand_over_refused", "successor", successor)
			return nil
		}
	}
	return nil
}

// awaitListRemoval waits until the instance list in force does not contain this
// router as live, for listRemovalTimeout at most.
func (r *Router) awaitListRemoval() {
	deadline := time.Now().Add(listRemovalTimeout)
	for r.control.Listed() && time.Now().Before(deadline) {
		r.pause(drainPollInterval)
	}
}

// awaitOpenRequests waits until no request is in progress, for the drain-timeout
// setting at most. Requests still in progress then are cut off when Run closes the
// servers.
func (r *Router) awaitOpenRequests() {
	deadline := time.Now().Add(r.settings.DrainTimeout)
	for r.entry.OpenRequests() > 0 && time.Now().Before(deadline) {
		r.pause(drainPollInterval)
	}
	if open := r.entry.OpenRequests(); open > 0 {
		level.Error(r.logger).Log("event", "requests_cut_off", "count", open)
	}
}

// pause waits for the duration. It returns early if a component has failed.
func (r *Router) pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.tomb.Dying():
	}
}
