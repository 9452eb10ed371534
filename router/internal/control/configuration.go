package control

import (
	"context"
	"encoding/hex"
	"errors"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/fleet"
	"github.com/chiveseam/chiveseam/platform"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// rolloutState is the configuration's progress at this router.
type rolloutState struct {
	rejectedRevision uint64
	rejectedReason   string
}

const retryDelay = time.Second

// RunConfiguration is the duty that watches the platform's configuration.
func (c *Control) RunConfiguration(ctx context.Context) error {
	for ctx.Err() == nil {
		published, err := c.opts.Platform.Configuration(ctx, c.revision(), c.opts.WatchWait)
		c.opts.Observer.PlatformCall("configuration", outcome(err))
		if err == nil {
			c.offer(published)
			continue
		}
		if !errors.Is(err, platform.ErrUnchanged) {
			sleep(ctx, retryDelay)
		}
	}
	return nil
}

func outcome(err error) string {
	switch {
	case err == nil:
		return "changed"
	case errors.Is(err, platform.ErrUnchanged):
		return "unchanged"
	case errors.Is(err, platform.ErrRateLimited):
		return "rate_limited"
	}
	return "failed"
}

func (c *Control) revision() uint64 {
	if accepted := c.opts.Store.Config(); accepted != nil {
		return accepted.Revision
	}
	return 0
}

// offer puts a published configuration in force if it is newer and valid.
func (c *Control) offer(published *v1.PublishedConfiguration) {
	if published.Revision <= c.revision() {
		return
	}
	accepted, err := config.Accept(published.Revision, published.Payload)
	if err != nil {
		c.reject(published.Revision, err)
		return
	}
	c.opts.Store.SetConfig(accepted)
	c.opts.Observer.Configuration(accepted.Revision)
	level.Info(c.logger).Log("event", "configuration_applied", "revision", accepted.Revision)
	c.mu.Lock()
	c.view.SetConfig(fleet.ConfigVersion{Revision: accepted.Revision, Digest: string(accepted.Digest[:])})
	c.mu.Unlock()
	c.publishFleet()
}

func (c *Control) reject(revision uint64, err error) {
	c.mu.Lock()
	c.rollout = rolloutState{rejectedRevision: revision, rejectedReason: err.Error()}
	c.mu.Unlock()
	c.opts.Observer.Rejected()
	level.Error(c.logger).Log("event", "configuration_rejected", "revision", revision, "error", err)
}

// offerVersion fetches a configuration that a peer has in force.
func (c *Control) offerVersion(router string, version fleet.ConfigVersion) {
	if version.Revision <= c.revision() {
		return
	}
	member, ok := c.opts.Store.Fleet().Known[router]
	if !ok {
		return
	}
	go c.fetch(member.PeerAddress, version.Revision)
}

func (c *Control) fetch(address string, revision uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	published, err := c.opts.Caller.FetchConfiguration(ctx, address, revision)
	if err != nil {
		c.logError("configuration_fetch_failed", err)
		return
	}
	c.offer(published)
}

const fetchTimeout = 2 * time.Second

// Configuration implements peer.Exchanger.
func (c *Control) Configuration(minRevision uint64) (*v1.PublishedConfiguration, bool) {
	accepted := c.opts.Store.Config()
	if accepted == nil || accepted.Revision < minRevision {
		return nil, false
	}
	return &v1.PublishedConfiguration{Revision: accepted.Revision, Payload: accepted.Payload}, true
}

// Fill adds the configuration's progress to a status.
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
	status.RejectedRevision = c.rollout.rejectedRevision
	status.RejectedReason = c.rollout.rejectedReason
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
