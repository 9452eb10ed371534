package broker

import (
	"slices"
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// A demand may wait at the schedulers of several regions at a time. The request
// of the caller is the original; a copy is a request of its own with another
// number. The first grant is taken, the demand is withdrawn everywhere else, and
// a grant that crosses the withdrawal is given back as not run.

// copyTo sends a waiting demand to another region as well.
func (b *Broker) copyTo(l *link, m *v1.Copy) {
	r, ok := b.requests[m.Seq]
	if !ok || r.granted || r.link != l || r.original != nil || r.hasCopyIn(m.Region) {
		return
	}
	c := &request{demand: r.demand, home: r.home, reply: r.reply, original: r}
	c.demand.moved = true
	c.demand.Region = m.Region
	r.copies = append(r.copies, c)
	b.number(c)
	b.place(c, time.Now())
}

func (r *request) hasCopyIn(region string) bool {
	return slices.ContainsFunc(r.copies, func(c *request) bool { return c.demand.Region == region })
}

// take ends the waiting of a demand in all other regions than that of r, which
// is granted.
func (b *Broker) take(r *request) {
	if r.original != nil {
		r.original.taken = r
		b.withdraw(r.original)
		r.original.removeCopy(r)
		r = r.original
	}
	b.withdrawCopies(r)
}

func (b *Broker) withdrawCopies(r *request) {
	for _, c := range r.copies {
		b.withdraw(c)
	}
	r.copies = nil
}

// withdraw ends a waiting request at its scheduler.
func (b *Broker) withdraw(r *request) {
	delete(b.requests, r.seq)
	r.link.batch.Cancels = append(r.link.batch.Cancels, r.seq)
}

// takesCopies reports whether the region of a copy has a scheduler that is not
// passed over. The demand waits at home as well, so that nothing is gained by
// connecting to a lost one again and again.
func (b *Broker) takesCopies(c *request, now time.Time) bool {
	member, ok := b.schedulerOf(b.keyOf(c.demand), now)
	return ok && !b.avoid.avoids(member, now)
}

// dropLostCopies drops the copies on a lost link if no other scheduler of their
// region takes them.
func (b *Broker) dropLostCopies(l *link, now time.Time) {
	for _, r := range b.requests {
		if r.link == l && r.original != nil && !r.granted && !b.takesCopies(r, now) {
			b.dropCopy(r)
		}
	}
}

// dropCopy forgets a copy that the other region does not serve.
func (b *Broker) dropCopy(c *request) {
	delete(b.requests, c.seq)
	c.original.removeCopy(c)
}

// root returns the request of the caller.
func (r *request) root() *request {
	if r.original != nil {
		return r.original
	}
	return r
}

func (r *request) removeCopy(c *request) {
	r.copies = slices.DeleteFunc(r.copies, func(other *request) bool { return other == c })
}
