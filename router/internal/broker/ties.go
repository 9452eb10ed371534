package broker

import (
	"slices"
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// A demand may wait at the schedulers of several regions at a time, as a tied
// request (Dean and Barroso, "The Tail at Scale", 2013). The request of the
// caller is the original; a tied one is a request of its own with another number.
// The first grant is taken, the demand is withdrawn everywhere else, and
// a grant that crosses the withdrawal is given back as unused.

// tieTo sends a waiting demand to another region as well.
func (b *Broker) tieTo(l *link, m *v1.Tie) {
	r, ok := b.requests[m.Seq]
	if !ok || r.granted || r.link != l || r.original != nil || r.hasTieIn(m.Region) {
		return
	}
	c := &request{demand: r.demand, home: r.home, reply: r.reply, original: r}
	c.demand.moved = true
	c.demand.Region = m.Region
	r.ties = append(r.ties, c)
	b.number(c)
	b.place(c, time.Now())
}

func (r *request) hasTieIn(region string) bool {
	return slices.ContainsFunc(r.ties, func(c *request) bool { return c.demand.Region == region })
}

// take ends the waiting of a demand in all other regions than that of r, which
// is granted.
func (b *Broker) take(r *request) {
	if r.original != nil {
		r.original.taken = r
		b.withdraw(r.original)
		r.original.removeTie(r)
		r = r.original
	}
	b.withdrawTies(r)
}

func (b *Broker) withdrawTies(r *request) {
	for _, c := range r.ties {
		b.withdraw(c)
	}
	r.ties = nil
}

// withdraw ends a waiting request at its scheduler.
func (b *Broker) withdraw(r *request) {
	delete(b.requests, r.seq)
	r.link.batch.Cancels = append(r.link.batch.Cancels, r.seq)
}

// takesTies reports whether the region of a tied demand has a scheduler that is not
// passed over. The demand waits at home as well, so that nothing is gained by
// connecting to a lost one again and again.
func (b *Broker) takesTies(c *request, now time.Time) bool {
	member, ok := b.schedulerOf(b.keyOf(c.demand), now)
	return ok && !b.avoid.avoids(member, now)
}

// dropLostTies drops the tied demands on a lost link if no other scheduler of their
// region takes them.
func (b *Broker) dropLostTies(l *link, now time.Time) {
	for _, r := range b.requests {
		if r.link == l && r.original != nil && !r.granted && !b.takesTies(r, now) {
			b.dropTie(r)
		}
	}
}

// dropTie forgets a tied demand that the other region does not serve.
func (b *Broker) dropTie(c *request) {
	delete(b.requests, c.seq)
	c.original.removeTie(c)
}

// root returns the request of the caller.
func (r *request) root() *request {
	if r.original != nil {
		return r.original
	}
	return r
}

func (r *request) removeTie(c *request) {
	r.ties = slices.DeleteFunc(r.ties, func(other *request) bool { return other == c })
}
