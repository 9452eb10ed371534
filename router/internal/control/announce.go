package control

import (
	"context"
	"sync"

	"golang.org/x/sync/errgroup"
)

// announcer swaps state with all routers that may serve requests. Requests that
// come while a round runs share the next one.
type announcer struct {
	// running holds an element while a round is running.
	running chan struct{}

	mu sync.Mutex
	// waiting is the round that has not begun, nil if there is none.
	waiting *announcement
}

// announcement is one round; done is closed when it ends.
type announcement struct {
	done chan struct{}
	// answered is set before done is closed if all routers have answered.
	answered bool
}

// Announce swaps state with all routers that may serve requests, so that they
// know what this router knew before the call. It returns when all have answered
// or failed, or when the context ends, and reports whether all have answered.
func (c *Control) Announce(ctx context.Context) bool {
	round := c.joinAnnouncement()
	select {
	case <-round.done:
		return round.answered
	case <-ctx.Done():
		return false
	}
}

// joinAnnouncement returns the round that begins next.
func (c *Control) joinAnnouncement() *announcement {
	a := &c.announcer
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.waiting == nil {
		a.waiting = &announcement{done: make(chan struct{})}
		go c.runAnnouncement(a.waiting)
	}
	return a.waiting
}

func (c *Control) runAnnouncement(round *announcement) {
	a := &c.announcer
	a.running <- struct{}{}
	defer func() { <-a.running }()
	a.mu.Lock()
	a.waiting = nil
	a.mu.Unlock()
	defer close(round.done)
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	var open errgroup.Group
	open.SetLimit(maxExchanges)
	for _, m := range c.servingPeers() {
		open.Go(func() error { return c.exchange(ctx, m) })
	}
	round.answered = open.Wait() == nil
}
