package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/chiveseam/chiveseam/fleet"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const (
	// exchangeTick is how often the view is asked whom to contact.
	exchangeTick = 100 * time.Millisecond
	// maxExchanges bounds the contacts that are open at the same time.
	maxExchanges = 16
	// announceTimeout bounds an exchange of an announcement.
	announceTimeout = time.Second
)

// RunExchange is the duty that keeps contact with other routers.
func (c *Control) RunExchange(ctx context.Context) error {
	ticker := time.NewTicker(exchangeTick)
	defer ticker.Stop()
	slots := make(chan struct{}, maxExchanges)
	var open sync.WaitGroup
	defer open.Wait()
	for {
		select {
		case now := <-ticker.C:
			c.tick(ctx, now)
			c.startExchanges(ctx, now, slots, &open)
		case <-ctx.Done():
			return nil
		}
	}
}

func (c *Control) tick(ctx context.Context, now time.Time) {
	c.mu.Lock()
	c.view.Tick(now)
	c.mu.Unlock()
	c.publishFleet()
	c.trackPeers(ctx, now)
}

func (c *Control) startExchanges(ctx context.Context, now time.Time, slots chan struct{}, open *sync.WaitGroup) {
	for _, m := range c.due(now) {
		select {
		case slots <- struct{}{}:
		default:
			return
		}
		open.Go(func() {
			defer func() { <-slots }()
			_ = c.exchange(ctx, m)
		})
	}
}

func (c *Control) due(now time.Time) []fleet.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.DueContacts(now)
}

// exchangeDue contacts all routers that lack a change and waits for them.
func (c *Control) exchangeDue(ctx context.Context) {
	var open sync.WaitGroup
	for _, m := range c.due(time.Now()) {
		open.Go(func() { _ = c.exchange(ctx, m) })
	}
	open.Wait()
}

// servingPeers returns the other routers that may serve requests: the reachable
// ones, and those in their planned stop.
func (c *Control) servingPeers() []fleet.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.DeleteFunc(c.view.SyncPeers(time.Now()), func(m fleet.Member) bool {
		return m.Name == c.opts.Self.Name
	})
}

// exchange swaps state with one router. The view has counted an attempt that
// stays without an answer, so that its error may be ignored.
func (c *Control) exchange(ctx context.Context, m fleet.Member) error {
	out := c.stateFor(m.Name)
	in, err := c.opts.Caller.Exchange(ctx, m.PeerAddress, out)
	if err != nil {
		return err
	}
	c.merge(ctx, time.Now(), in)
	return nil
}

func (c *Control) stateFor(receiver string) *v1.PeerState {
	c.mu.Lock()
	out := c.view.StateFor(receiver)
	c.mu.Unlock()
	for _, g := range c.opts.Gossip {
		g.Fill(out)
	}
	return out
}

// Exchange implements peer.Exchanger.
func (c *Control) Exchange(in *v1.PeerState) *v1.PeerState {
	c.merge(context.Background(), time.Now(), in)
	return c.stateFor(in.Router)
}

func (c *Control) merge(ctx context.Context, now time.Time, in *v1.PeerState) {
	c.mu.Lock()
	merged := c.view.Merge(now, in)
	if merged.List {
		c.observeList()
	}
	c.mu.Unlock()
	if merged.Ignored {
		return
	}
	for _, g := range c.opts.Gossip {
		g.Merge(in)
	}
	c.peerVersion(ctx, in.Router, merged.Config)
	if merged.List || merged.Leaving {
		c.publishFleet()
	}
}
