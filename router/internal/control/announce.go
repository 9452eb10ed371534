package control

import (
	"context"
	"sync"

	"github.com/chiveseam/chiveseam/fleet"
)

// announcer runs the exchanges of state that Control.Announce needs. The exchanges with
// one router run one after another in a goroutine of their own, so that a router that
// does not answer does not delay the exchanges with others.
type announcer struct {
	// slots bounds the number of exchanges in progress, to all routers together.
	slots chan struct{}

	mu sync.Mutex
	// pending has an entry for each router with a goroutine that runs its exchanges. The
	// entry is the exchange that starts after the current one, or nil if there is none.
	// It is guarded by mu.
	pending map[string]*pendingExchange
}

// pendingExchange is an exchange of state with one router, which the calls of Announce
// that wait for it share.
type pendingExchange struct {
	member fleet.Member
	// done is closed when the exchange ends.
	done chan struct{}
	// err is the result. It is set before done is closed.
	err error
}

func newAnnouncer() announcer {
	return announcer{
		slots:   make(chan struct{}, maxExchanges),
		pending: map[string]*pendingExchange{},
	}
}

// Announce exchanges state with all other routers that may serve requests, so that they
// know what this router knew before the call. It returns when all exchanges have ended,
// or when the context ends, and reports whether all routers have answered. Concurrent
// calls share the exchanges that have not started.
func (c *Control) Announce(ctx context.Context) bool {
	var exchanges []*pendingExchange
	for _, m := range c.servingPeers() {
		exchanges = append(exchanges, c.joinExchange(m))
	}
	answered := true
	for _, next := range exchanges {
		select {
		case <-next.done:
			answered = answered && next.err == nil
		case <-ctx.Done():
			return false
		}
	}
	return answered
}

// joinExchange returns the next exchange with the router that has not started. It creates
// the exchange and starts the router's goroutine if there are none.
func (c *Control) joinExchange(m fleet.Member) *pendingExchange {
	a := &c.announcer
	a.mu.Lock()
	defer a.mu.Unlock()
	next, running := a.pending[m.Name]
	if next == nil {
		next = &pendingExchange{member: m, done: make(chan struct{})}
		a.pending[m.Name] = next
	}
	if !running {
		go c.runExchanges(m.Name)
	}
	return next
}

// runExchanges runs the exchanges with one router until none is waiting.
func (c *Control) runExchanges(name string) {
	a := &c.announcer
	for {
		a.slots <- struct{}{}
		next := a.takeNext(name)
		if next != nil {
			next.err = c.exchangeWithTimeout(next.member)
			close(next.done)
		}
		<-a.slots
		if next == nil {
			return
		}
	}
}

// takeNext returns the waiting exchange with a router, which then counts as started. If
// none is waiting, it returns nil and removes the router's entry, and the router's
// goroutine must end.
func (a *announcer) takeNext(name string) *pendingExchange {
	a.mu.Lock()
	defer a.mu.Unlock()
	next := a.pending[name]
	if next == nil {
		delete(a.pending, name)
		return nil
	}
	a.pending[name] = nil
	return next
}

// exchangeWithTimeout exchanges state with one router within announceTimeout.
func (c *Control) exchangeWithTimeout(m fleet.Member) error {
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	return c.exchange(ctx, m)
}
