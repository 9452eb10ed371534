package edge

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chiveseam/chiveseam/placement"
	"github.com/chiveseam/chiveseam/rendezvous"
	"github.com/chiveseam/chiveseam/routing"
)

// Inspector asks model engines for the contents of their KV caches and for their start. Implementations are safe for concurrent
// use; the platform package has one.
type Inspector interface {
	// Inspect asks the engine at an address.
	Inspect(ctx context.Context, address string) (*EngineState, error)
	// StartPath returns the path of a GET request to an engine whose answer says when its process started,
	// and StartTime that time as a Unix time in ms; 0 if the body does not state it.
	StartPath() string
	StartTime(body []byte) int64
}

// EngineState is what an engine says of itself.
type EngineState struct {
	// CachedParts are the prompt parts in its KV cache, the least recently used first.
	CachedParts []placement.Part
	// StartedUnixMs is the Unix time in milliseconds at which the process started; 0 if it is not stated.
	StartedUnixMs int64
	// Leaving is set if the engine leaves.
	Leaving bool
	// RateLimit is the number of requests per second that it takes from all routers together;
	// infinite if it sets no limit, not a number if what it states cannot be read.
	RateLimit float64
}

const (
	// discoveryTime is the time after the start in which routers find each other; it spans several
	// reports.
	discoveryTime = 700 * time.Millisecond
	// olderPeerMargin is the difference of start times above which another router was running
	// before this one started. It is larger than the differences when all routers start together.
	olderPeerMargin = 3 * time.Second
	// maxInspected is the largest number of engines that one router inspects: the call delays an
	// engine's work, and in a large fleet a starting router knows few of the other routers yet.
	maxInspected = 8
)

// recoverCachedParts finds out after a start which prompt parts the engines have in their KV
// caches. If older routers run, their reports tell this router. If all routers started together,
// each inspects some of the engines, and its reports tell the others.
func (e *Edge) recoverCachedParts(ctx context.Context) error {
	sleep(ctx, discoveryTime)
	for (!e.targetsRead.Load() || e.table.Load() == nil) && ctx.Err() == nil {
		sleep(ctx, minRetryPause)
	}
	if e.olderPeer.Load() {
		return nil
	}
	for _, t := range e.enginesToInspect() {
		if e.isEvacuated(t.Zone) {
			continue
		}
		state, err := e.inspector.Inspect(ctx, t.Address)
		if err == nil && t.StartedUnixMs != 0 && state.StartedUnixMs != 0 && state.StartedUnixMs != t.StartedUnixMs {
			err = errOtherProcess
		}
		if err != nil {
			level.Warn(e.logger).Log("event", "kept_parts_unknown", "target", t.ID, "error", err)
			continue
		}
		if state.Leaving {
			e.setLeaving(t)
		}
		if math.IsNaN(state.RateLimit) {
			level.Warn(e.logger).Log("event", "target_limit_unreadable", "target", t.ID)
		} else {
			e.setRateLimit(e.logger, t, state.RateLimit)
		}
		e.mu.Lock()
		e.balancer.AddCachedParts(time.Now(), t.ID, state.CachedParts)
		e.mu.Unlock()
		level.Info(e.logger).Log("event", "kept_parts_read", "target", t.ID, "parts", len(state.CachedParts))
	}
	return nil
}

// enginesToInspect returns at most maxInspected of ownedEngines: those with the highest rendezvous
// score for this router.
func (e *Edge) enginesToInspect() []routing.Target {
	own := e.ownedEngines()
	self := e.settings.Name
	slices.SortFunc(own, func(a, b routing.Target) int {
		return cmp.Compare(rendezvous.Score(b.ID, self), rendezvous.Score(a.ID, self))
	})
	return own[:min(len(own), maxInspected)]
}

// ownedEngines returns the engines that rendezvous hashing assigns to this router among the routers
// it knows, but for those in evacuated zones, and for cold ones, which have started lately and have nothing
// in their caches.
func (e *Edge) ownedEngines() []routing.Target {
	table := e.table.Load()
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	routers := append(e.balancer.PeerNames(), e.settings.Name)
	var own []routing.Target
	for id, t := range e.directory.targets {
		owner, _ := rendezvous.Owner(id, routers)
		if owner == e.settings.Name && !e.isEvacuated(t.Zone) && !e.balancer.IsCold(now, id) && table != nil && table.Services[t.Service].Engine != nil {
			own = append(own, t)
		}
	}
	return own
}
