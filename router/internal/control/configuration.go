package control

import (
	"context"
	"encoding/hex"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chiveseam/chiveseam/fleet"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/rollout"
)

const (
	// readCheckInterval is the time between two checks of whether a read from the
	// platform is due.
	readCheckInterval = 50 * time.Millisecond
	// fetchTimeout bounds the fetch of a configuration from another router.
	fetchTimeout = 2 * time.Second
	// watchersPerZone is the number of routers of an availability zone that watch the
	// platform for changes. The others poll it about every Options.FallbackPoll.
	watchersPerZone = 2
)

// RunConfiguration reads configurations from the platform until the context ends. It
// returns nil.
func (c *Control) RunConfiguration(ctx context.Context) error {
	reader := c.newReader("configuration")
	return c.runReader(ctx, reader, func(wait time.Duration) error {
		published, err := c.opts.Platform.Configuration(ctx, c.highestSeenRevision(), wait)
		c.opts.Observer.PlatformCall("configuration", outcome(err))
		if err == nil {
			c.offerConfiguration(ctx, published, rollout.Platform)
		}
		return err
	})
}

// newReader returns the reader that decides when this router reads a value, the
// configuration or the instance list, from the platform.
func (c *Control) newReader(value string) *rollout.Reader {
	opts := rollout.DefaultReaderOptions()
	opts.Watchers = watchersPerZone
	opts.WatchWait = c.opts.WatchWait
	opts.FallbackInterval = c.opts.FallbackPoll
	self := c.opts.Self
	return rollout.NewReader(opts, value, self.Name, self.Zone, newRand(), time.Now())
}

func newRand() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// runReader calls read whenever the reader says that a read is due. wait is how long the
// platform may hold the call open until the value changes. runReader returns nil when the
// context ends.
func (c *Control) runReader(ctx context.Context, reader *rollout.Reader, read func(wait time.Duration) error) error {
	ticker := time.NewTicker(readCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			reader.SetPeers(now, c.zoneRouters())
			wait, due := reader.Next(now)
			if !due {
				continue
			}
			err := read(wait)
			reader.Done(time.Now(), err == nil || isUnchanged(err))
		case <-ctx.Done():
			return nil
		}
	}
}

// zoneRouters returns the names of the reachable routers in this router's availability
// zone.
func (c *Control) zoneRouters() []string {
	var names []string
	for _, m := range c.opts.Store.Fleet().Reachable {
		if m.Zone == c.opts.Self.Zone {
			names = append(names, m.Name)
		}
	}
	return names
}

// highestSeenRevision returns the highest configuration revision that was accepted or
// rejected. A watch for changes after it does not return a rejected revision again.
func (c *Control) highestSeenRevision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	version, _ := c.tracker.InForce()
	revision := version.Revision
	for _, rejection := range c.tracker.Rejections() {
		revision = max(revision, rejection.Version.Revision)
	}
	return revision
}

// offerConfiguration offers a configuration to the tracker. source is rollout.Platform or
// the name of the router that it comes from.
func (c *Control) offerConfiguration(ctx context.Context, published *v1.PublishedConfiguration, source string) {
	c.mu.Lock()
	actions := c.tracker.Offer(time.Now(), rollout.Offer{
		Revision: published.Revision,
		Payload:  published.Payload,
		Source:   source,
	})
	c.mu.Unlock()
	c.performActions(ctx, actions)
}

// updateTracker tells the tracker the other routers and the time. It does not call
// SetPeers until there is an instance list or another router has been heard from: an
// empty set of peers would make the tracker ready at once, with whatever configuration an
// outdated replica of the platform returns.
func (c *Control) updateTracker(ctx context.Context, now time.Time) {
	c.mu.Lock()
	var names []string
	for _, m := range c.view.SyncPeers(now) {
		if m.Name != c.opts.Self.Name {
			names = append(names, m.Name)
		}
	}
	if c.view.ListRevision() > 0 || len(names) > 0 {
		c.tracker.SetPeers(names)
	}
	actions := c.tracker.Tick(now)
	c.mu.Unlock()
	c.performActions(ctx, actions)
}

// handlePeerVersion tells the tracker which configuration another router has in force.
func (c *Control) handlePeerVersion(ctx context.Context, router string, version fleet.ConfigVersion) {
	seen := rollout.Version{Revision: version.Revision}
	copy(seen.Digest[:], version.Digest)
	c.mu.Lock()
	if own, _ := c.tracker.InForce(); version.Digest == "" && own.Revision == seen.Revision {
		// The message has no digest, because an earlier message had it, which was lost.
		// The revision is this router's own, so the digest is taken to be the same.
		seen = own
	}
	actions := c.tracker.SetPeerVersion(time.Now(), router, seen)
	c.mu.Unlock()
	c.performActions(ctx, actions)
}

// performActions performs the actions that the tracker returns.
func (c *Control) performActions(ctx context.Context, actions []rollout.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case rollout.Query:
			c.goPeerCall(func() { c.askPeer(ctx, a.Peer) })
		case rollout.Fetch:
			c.goPeerCall(func() { c.fetchConfiguration(ctx, a) })
		case rollout.Apply:
			c.applyConfiguration(a)
		case rollout.Reject:
			c.opts.Observer.Rejected()
			level.Error(c.logger).Log("event", "configuration_rejected", "version", a.Version, "source", a.Source, "error", a.Err)
		case rollout.Conflict:
			level.Error(c.logger).Log("event", "configuration_conflict", "kept", a.Kept, "other", a.Other, "source", a.Source)
		case rollout.Ready:
			c.ready.Store(true)
			level.Info(c.logger).Log("event", "ready")
		}
	}
}

// goPeerCall runs a call to another router in a new goroutine. It drops the call if
// maxExchanges calls are in progress already, since the tracker asks for a dropped call
// again.
func (c *Control) goPeerCall(call func()) {
	select {
	case c.peerCallSlots <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-c.peerCallSlots }()
		call()
	}()
}

// askPeer exchanges state with a router, to learn which configuration it has in force.
func (c *Control) askPeer(ctx context.Context, name string) {
	c.mu.Lock()
	member, ok := c.view.Lookup(name)
	c.mu.Unlock()
	if ok {
		c.exchange(ctx, member)
	}
}

// fetchConfiguration fetches a configuration from another router and offers it to the
// tracker.
func (c *Control) fetchConfiguration(ctx context.Context, action rollout.Fetch) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	member := c.opts.Store.Fleet().Known[action.Peer]
	published, err := c.opts.Caller.FetchConfiguration(ctx, member.PeerAddress, action.MinRevision)
	if err != nil {
		c.logError("configuration_fetch_failed", err)
		c.mu.Lock()
		c.tracker.FetchFailed(time.Now(), action.Peer)
		c.mu.Unlock()
		return
	}
	c.offerConfiguration(ctx, published, action.Peer)
}

// applyConfiguration puts an accepted configuration into force. It does so under the
// lock, and only if the tracker has not accepted a later one meanwhile, so that an older
// configuration never replaces a newer one.
func (c *Control) applyConfiguration(a rollout.Apply) {
	c.mu.Lock()
	if version, _ := c.tracker.InForce(); version != a.Version {
		c.mu.Unlock()
		return
	}
	c.opts.Store.SetConfig(a.Configuration)
	c.view.SetConfig(fleet.ConfigVersion{Revision: a.Version.Revision, Digest: string(a.Version.Digest[:])})
	c.mu.Unlock()
	c.opts.Observer.Configuration(a.Version.Revision)
	level.Info(c.logger).Log("event", "configuration_applied", "version", a.Version)
	c.publishFleet()
}

// Ready reports whether the router may serve requests. Once true, it stays true.
func (c *Control) Ready() bool { return c.ready.Load() }

// Configuration returns the configuration in force, or false if there is none of
// minRevision or a later revision. It implements peer.Exchanger.
func (c *Control) Configuration(minRevision uint64) (*v1.PublishedConfiguration, bool) {
	accepted := c.opts.Store.Config()
	if accepted == nil || accepted.Revision < minRevision {
		return nil, false
	}
	return &v1.PublishedConfiguration{Revision: accepted.Revision, Payload: accepted.Payload}, true
}

// FillStatus sets the fields of a status that describe the configuration, the instance
// list and the reachable routers.
func (c *Control) FillStatus(status *v1.RouterStatus) {
	if accepted := c.opts.Store.Config(); accepted != nil {
		status.ConfigRevision = accepted.Revision
		status.ConfigDigest = hex.EncodeToString(accepted.Digest[:])
	}
	for _, m := range c.opts.Store.Fleet().Reachable {
		status.Peers = append(status.Peers, m.Name)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	status.ListRevision = c.view.ListRevision()
	if rejected := c.tracker.Rejections(); len(rejected) > 0 {
		newest := rejected[len(rejected)-1]
		status.RejectedRevision = newest.Version.Revision
		status.RejectedReason = newest.Err.Error()
	}
}
