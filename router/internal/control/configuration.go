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
	// readTick is how often a reader is asked whether a read is due.
	readTick     = 50 * time.Millisecond
	fetchTimeout = 2 * time.Second
	watchers     = 2
)

// RunConfiguration is the duty that reads the platform's configuration.
func (c *Control) RunConfiguration(ctx context.Context) error {
	reader := c.newReader("configuration")
	return c.runReader(ctx, reader, func(wait time.Duration) error {
		published, err := c.opts.Platform.Configuration(ctx, c.seenRevision(), wait)
		c.opts.Observer.PlatformCall("configuration", outcome(err))
		if err == nil {
			c.offer(ctx, published, rollout.Platform)
		}
		return err
	})
}

func (c *Control) newReader(value string) *rollout.Reader {
	opts := rollout.DefaultReaderOptions()
	opts.Watchers = watchers
	opts.WatchWait = c.opts.WatchWait
	opts.FallbackInterval = c.opts.FallbackPoll
	self := c.opts.Self
	return rollout.NewReader(opts, value, self.Name, self.Zone, newRand(), time.Now())
}

func newRand() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// runReader reads when the reader says so.
func (c *Control) runReader(ctx context.Context, reader *rollout.Reader, read func(wait time.Duration) error) error {
	ticker := time.NewTicker(readTick)
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

// zoneRouters returns the reachable routers of the router's own zone.
func (c *Control) zoneRouters() []string {
	var names []string
	for _, m := range c.opts.Store.Fleet().Reachable {
		if m.Zone == c.opts.Self.Zone {
			names = append(names, m.Name)
		}
	}
	return names
}

// seenRevision returns the highest revision that was judged, so that a watch
// does not return a rejected revision again and again.
func (c *Control) seenRevision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	version, _ := c.tracker.InForce()
	revision := version.Revision
	for _, rejection := range c.tracker.Rejections() {
		revision = max(revision, rejection.Version.Revision)
	}
	return revision
}

func (c *Control) offer(ctx context.Context, published *v1.PublishedConfiguration, source string) {
	c.mu.Lock()
	actions := c.tracker.Offer(time.Now(), rollout.Offer{
		Revision: published.Revision,
		Payload:  published.Payload,
		Source:   source,
	})
	c.mu.Unlock()
	c.perform(ctx, actions)
}

// trackPeers lets the tracker follow the view. Without an instance list the
// peers are not known: a router that took itself for the only one would be
// ready at once, with whatever a stale platform gives it.
func (c *Control) trackPeers(ctx context.Context, now time.Time) {
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
	c.perform(ctx, actions)
}

// peerVersion takes in the configuration that a peer has in force.
func (c *Control) peerVersion(ctx context.Context, router string, version fleet.ConfigVersion) {
	seen := rollout.Version{Revision: version.Revision}
	copy(seen.Digest[:], version.Digest)
	c.mu.Lock()
	if own, _ := c.tracker.InForce(); version.Digest == "" && own.Revision == seen.Revision {
		// The digest came with an earlier message that was lost.
		seen = own
	}
	actions := c.tracker.SetPeerVersion(time.Now(), router, seen)
	c.mu.Unlock()
	c.perform(ctx, actions)
}

func (c *Control) perform(ctx context.Context, actions []rollout.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case rollout.Query:
			c.goPeer(func() { c.ask(ctx, a.Peer) })
		case rollout.Fetch:
			c.goPeer(func() { c.fetch(ctx, a) })
		case rollout.Apply:
			c.apply(a)
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

// goPeer runs one of a bounded number of calls of peers. A call over the bound
// is left out: the tracker asks again.
func (c *Control) goPeer(call func()) {
	select {
	case c.calls <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-c.calls }()
		call()
	}()
}

func (c *Control) ask(ctx context.Context, name string) {
	c.mu.Lock()
	member, ok := c.view.Lookup(name)
	c.mu.Unlock()
	if ok {
		c.exchange(ctx, member)
	}
}

func (c *Control) fetch(ctx context.Context, action rollout.Fetch) {
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
	c.offer(ctx, published, action.Peer)
}

// apply puts a configuration in force. The lock orders it with others, so that
// an older one never replaces a newer one.
func (c *Control) apply(a rollout.Apply) {
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

// Ready reports whether the router may serve.
func (c *Control) Ready() bool { return c.ready.Load() }

// Configuration implements peer.Exchanger.
func (c *Control) Configuration(minRevision uint64) (*v1.PublishedConfiguration, bool) {
	accepted := c.opts.Store.Config()
	if accepted == nil || accepted.Revision < minRevision {
		return nil, false
	}
	return &v1.PublishedConfiguration{Revision: accepted.Revision, Payload: accepted.Payload}, true
}

// Fill adds the configuration's progress and the reachable routers to a
// status.
func (c *Control) Fill(status *v1.RouterStatus) {
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
