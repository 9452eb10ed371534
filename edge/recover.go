package edge

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chiveseam/chiveseam/placement"
	"github.com/chiveseam/chiveseam/rendezvous"
)

// Inspector asks model engines what they keep. Implementations are safe for
// concurrent use.
type Inspector interface {
	// Kept returns the prompt parts in the KV cache of the engine at an address.
	Kept(ctx context.Context, address string) ([]placement.Part, error)
}

const (
	// meetTime is the time after a start in which routers find each other: some
	// reports.
	meetTime = 700 * time.Millisecond
	// elderMargin is the age difference from which another router is taken as having
	// run before this one's start, beyond the spread of a common start.
	elderMargin = 3 * time.Second
	// maxAsked bounds the engines that one router asks: the call delays an engine's
	// work, and in a large fleet a router that starts knows few of the others yet.
	maxAsked = 8
)

// recoverKept learns what engines keep after a start. A router that finds older
// ones is told by them. When all have started anew, each asks a part of the
// engines, and tells the others.
func (e *Edge) recoverKept(ctx context.Context) error {
	pause(ctx, meetTime)
	for (!e.targetsRead.Load() || e.table.Load() == nil) && ctx.Err() == nil {
		pause(ctx, minPause)
	}
	if e.elder.Load() {
		return nil
	}
	for _, t := range e.ownEngines() {
		parts, err := e.inspector.Kept(ctx, t.address)
		if err != nil {
			level.Warn(e.logger).Log("event", "kept_parts_unknown", "target", t.id, "error", err)
			continue
		}
		e.mu.Lock()
		e.book.AddCachedParts(time.Now(), t.id, parts)
		e.mu.Unlock()
		level.Info(e.logger).Log("event", "kept_parts_read", "target", t.id, "parts", len(parts))
	}
	return nil
}

type engineAddress struct{ id, address string }

// ownEngines returns the engines that this router asks: of those that it ranks first
// for among the routers it has found, the ones that it ranks highest for.
func (e *Edge) ownEngines() []engineAddress {
	own := e.rankedEngines()
	self := e.settings.Name
	slices.SortFunc(own, func(a, b engineAddress) int {
		return cmp.Compare(rendezvous.Score(b.id, self), rendezvous.Score(a.id, self))
	})
	return own[:min(len(own), maxAsked)]
}

// rankedEngines returns the engines that this router ranks first for.
func (e *Edge) rankedEngines() []engineAddress {
	table := e.table.Load()
	e.mu.Lock()
	defer e.mu.Unlock()
	routers := append(e.book.PeerNames(), e.settings.Name)
	var own []engineAddress
	for id, t := range e.directory.targets {
		owner, _ := rendezvous.Owner(id, routers)
		if owner == e.settings.Name && table != nil && table.Services[t.Service].Engine != nil {
			own = append(own, engineAddress{id, t.Address})
		}
	}
	return own
}
