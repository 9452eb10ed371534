package router

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const (
	// announceTime bounds the time to tell the neighbours of a planned stop.
	announceTime = time.Second
	// lameDuckTime is how long requests are still taken while balancers notice
	// that the router is not ready any more.
	lameDuckTime = 2 * time.Second
	drainPoll    = 50 * time.Millisecond
	handOverTime = 5 * time.Second
	// unlistedTime bounds the wait for a list without this router, by which the
	// others find the new owners of its keys.
	unlistedTime = 3 * time.Second
)

// drain is the planned stop. Readiness ends first, so that the balancer sends
// no new callers while those that it still sends are served.
func (r *Router) drain() {
	level.Info(r.logger).Log("event", "stop_begun")
	close(r.stopping)
	r.announceStop()
	r.pause(lameDuckTime)
	r.entryServer.SetKeepAlivesEnabled(false)
	r.entry.Stop()
	r.keys.Stop()
	r.finishRequests()
	r.awaitUnlisted()
	r.handOverKeys()
}

func (r *Router) announceStop() {
	ctx, cancel := context.WithTimeout(context.Background(), announceTime)
	defer cancel()
	r.control.Stop(ctx)
}

// handOverKeys passes the ledger on to the routers that own its keys next.
func (r *Router) handOverKeys() {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTime)
	defer cancel()
	for successor, parts := range r.keys.HandOver() {
		if err := r.handOverTo(ctx, successor, parts); err != nil {
			level.Warn(r.logger).Log("event", "hand_over_failed", "successor", successor, "error", err)
		}
	}
}

func (r *Router) handOverTo(ctx context.Context, successor string, parts []*v1.HandOverRequest) error {
	member, ok := r.store.Fleet().Known[successor]
	if !ok {
		return nil
	}
	for _, part := range parts {
		accepted, err := r.client.HandOver(ctx, member.PeerAddress, part)
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

func (r *Router) awaitUnlisted() {
	deadline := time.Now().Add(unlistedTime)
	for r.control.Listed() && time.Now().Before(deadline) {
		r.pause(drainPoll)
	}
}

// finishRequests waits until no request is open or the drain time is over.
func (r *Router) finishRequests() {
	deadline := time.Now().Add(r.settings.DrainTimeout)
	for r.entry.OpenRequests() > 0 && time.Now().Before(deadline) {
		r.pause(drainPoll)
	}
	if open := r.entry.OpenRequests(); open > 0 {
		level.Error(r.logger).Log("event", "requests_cut_off", "count", open)
	}
}

func (r *Router) pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.tomb.Dying():
	}
}
