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
	// exchangeCheckInterval is the time between two checks of which routers are due for
	// an exchange.
	exchangeCheckInterval = 100 * time.Millisecond
	// maxExchanges bounds the number of exchanges in progress. It applies separately to
	// periodic exchanges, to announcements and to the calls that the tracker asks for.
	maxExchanges = 16
	// announceTimeout bounds each exchange of an announcement.
	announceTimeout = time.Second
)

// RunExchange exchanges state with other routers when the view says that they are due.
// When the context ends, it waits for the exchanges in progress and returns nil.
func (c *Control) RunExchange(ctx context.Context) error {
	ticker := time.NewTicker(exchangeCheckInterval)
	defer ticker.Stop()
	slots := make(chan struct{}, maxExchanges)
	var open sync.WaitGroup
	defer open.Wait()
	for {
		select {
		case now := <-ticker.C:
			c.tickView(ctx, now)
			c.startExchanges(ctx, now, slots, &open)
		case <-ctx.Done():
			return nil
		}
	}
}

// tickView advances the time of the view and the tracker and publishes the result.
func (c *Control) tickView(ctx context.Context, now time.Time) {
	c.mu.Lock()
	c.view.Tick(now)
	c.mu.Unlock()
	c.publishFleet()
	c.updateTracker(ctx, now)
}

// startExchanges starts an exchange with each router that is due, each in its own
// goroutine. If no slot is free, it skips the remaining routers.
func (c *Control) startExchanges(ctx context.Context, now time.Time, slots chan struct{}, open *sync.WaitGroup) {
	for _, m := range c.dueMembers(now) {
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

// dueMembers returns the routers that are due for an exchange. The view counts an attempt
// for each.
func (c *Control) dueMembers(now time.Time) []fleet.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.DueContacts(now)
}

// exchangeDue exchanges state with all routers that are due and waits for the answers.
func (c *Control) exchangeDue(ctx context.Context) {
	var open sync.WaitGroup
	for _, m := range c.dueMembers(time.Now()) {
		open.Go(func() { _ = c.exchange(ctx, m) })
	}
	open.Wait()
}

// servingPeers returns the other routers that may serve requests: those that are
// reachable, and those that are stopping but still answer.
func (c *Control) servingPeers() []fleet.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.DeleteFunc(c.view.SyncPeers(time.Now()), func(m fleet.Member) bool {
		return m.Name == c.opts.Self.Name
	})
}

// exchange sends this router's state to another router and merges the answer. Callers may
// ignore the error: the view has counted the attempt and finds by itself that the router
// has not answered.
func (c *Control) exchange(ctx context.Context, m fleet.Member) error {
	out := c.stateFor(m.Name)
	in, err := c.opts.Caller.Exchange(ctx, m.PeerAddress, out)
	if err != nil {
		return err
	}
	c.merge(ctx, time.Now(), in)
	return nil
}

// stateFor returns the message with this router's state for the router receiver.
func (c *Control) stateFor(receiver string) *v1.PeerState {
	c.mu.Lock()
	out := c.view.StateFor(receiver)
	c.mu.Unlock()
	for _, g := range c.opts.Gossip {
		g.Fill(out)
	}
	return out
}

// Exchange merges the state of another router and returns the state of this one. It
// implements peer.Exchanger.
func (c *Control) Exchange(in *v1.PeerState) *v1.PeerState {
	c.merge(context.Background(), time.Now(), in)
	return c.stateFor(in.Router)
}

// merge takes in a message of another router. A message that the view ignores changes
// nothing else either.
func (c *Control) merge(ctx context.Context, now time.Time, in *v1.PeerState) {
	c.mu.Lock()
	merged := c.view.Merge(now, in)
	if merged.List {
		c.observeListHistory()
	}
	c.mu.Unlock()
	if merged.Ignored {
		return
	}
	for _, g := range c.opts.Gossip {
		g.Merge(in)
	}
	c.handlePeerVersion(ctx, in.Router, merged.Config)
	if merged.List || merged.Leaving {
		c.publishFleet()
	}
}
