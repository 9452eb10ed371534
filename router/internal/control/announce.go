package control

import (
	"context"
	"sync"

	"github.com/chiveseam/chiveseam/fleet"
)

// announcer swaps state with all routers that may serve requests. Each router
// has its own sequence of contacts, so that a silent one does not hold up the
// contacts of the others.
type announcer struct {
	// slots bounds the contacts that are open at the same time.
	slots chan struct{}

	mu sync.Mutex
	// waiting has an entry for each router with a sequence that runs: the
	// contact that has not begun, nil if there is none.
	waiting map[string]*contact
}

// contact is an exchange with one router; done is closed when it ends.
type contact struct {
	member fleet.Member
	done   chan struct{}
	// err is set before done is closed.
	err error
}

func newAnnouncer() announcer {
	return announcer{
		slots:   make(chan struct{}, maxExchanges),
		waiting: map[string]*contact{},
	}
}

// Announce swaps state with all routers that may serve requests, so that they
// know what this router knew before the call. It returns when all have answered
// or failed, or when the context ends, and reports whether all have answered.
// Calls share the contacts that have not begun.
func (c *Control) Announce(ctx context.Context) bool {
	var contacts []*contact
	for _, m := range c.servingPeers() {
		contacts = append(contacts, c.joinContact(m))
	}
	answered := true
	for _, next := range contacts {
		select {
		case <-next.done:
			answered = answered && next.err == nil
		case <-ctx.Done():
			return false
		}
	}
	return answered
}

// joinContact returns the contact with the router that begins next.
func (c *Control) joinContact(m fleet.Member) *contact {
	a := &c.announcer
	a.mu.Lock()
	defer a.mu.Unlock()
	next, running := a.waiting[m.Name]
	if next == nil {
		next = &contact{member: m, done: make(chan struct{})}
		a.waiting[m.Name] = next
	}
	if !running {
		go c.runContacts(m.Name)
	}
	return next
}

// runContacts makes the contacts with one router until none waits.
func (c *Control) runContacts(name string) {
	a := &c.announcer
	for {
		a.slots <- struct{}{}
		next := a.begin(name)
		if next != nil {
			next.err = c.contact(next.member)
			close(next.done)
		}
		<-a.slots
		if next == nil {
			return
		}
	}
}

// begin returns the contact that waits. It ends the sequence if there is none.
func (a *announcer) begin(name string) *contact {
	a.mu.Lock()
	defer a.mu.Unlock()
	next := a.waiting[name]
	if next == nil {
		delete(a.waiting, name)
		return nil
	}
	a.waiting[name] = nil
	return next
}

func (c *Control) contact(m fleet.Member) error {
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	return c.exchange(ctx, m)
}
