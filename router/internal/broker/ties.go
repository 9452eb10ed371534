package broker

import (
	"slices"
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// A demand may wait at the schedulers of several regions at once, as a tied request
// (Dean and Barroso, "The Tail at Scale", 2013). The caller's request in the home region
// is the original. Each tie is a request of its own with its own sequence number. The
// broker accepts the first grant and withdraws the demand everywhere else. A grant that
// a scheduler sends before it receives the withdrawal is returned as unused.

// addTie sends a waiting demand to another region as well, as its scheduler asks.
func (b *Broker) addTie(l *link, m *v1.Tie) {
	r, ok := b.requests[m.Seq]
	if !ok || r.granted || r.link != l || r.original != nil || r.hasTieIn(m.Region) {
		return
	}
	tie := &request{demand: r.demand, homeRegion: r.homeRegion, reply: r.reply, original: r}
	tie.demand.moved = true
	tie.demand.Region = m.Region
	r.ties = append(r.ties, tie)
	b.assignSeq(tie)
	b.submit(tie, time.Now())
}

func (r *request) hasTieIn(region string) bool {
	return slices.ContainsFunc(r.ties, func(tie *request) bool { return tie.demand.Region == region })
}

// withdrawOthers withdraws a demand in all regions other than the one that granted r.
func (b *Broker) withdrawOthers(r *request) {
	if r.original != nil {
		r.original.grantedTie = r
		b.withdraw(r.original)
		r.original.removeTie(r)
		r = r.original
	}
	b.withdrawTies(r)
}

func (b *Broker) withdrawTies(r *request) {
	for _, tie := range r.ties {
		b.withdraw(tie)
	}
	r.ties = nil
}

// withdraw cancels a waiting request at its scheduler and forgets it.
func (b *Broker) withdraw(r *request) {
	delete(b.requests, r.seq)
	r.link.batch.Cancels = append(r.link.batch.Cancels, r.seq)
}

// canServeTie reports whether the region of a tied demand has a scheduler that is not
// in backoff. The original waits in the home region anyway, so nothing is gained by
// reconnecting to a lost scheduler again and again.
func (b *Broker) canServeTie(tie *request, now time.Time) bool {
	member, ok := b.schedulerOf(b.keyOf(tie.demand), now)
	return ok && !b.backoffs.active(member, now)
}

// dropLostTies drops the tied demands on a lost link for which their region has no
// other scheduler.
func (b *Broker) dropLostTies(l *link, now time.Time) {
	for _, r := range b.requests {
		if r.link == l && r.original != nil && !r.granted && !b.canServeTie(r, now) {
			b.dropTie(r)
		}
	}
}

// dropTie forgets a tied demand that the other region does not serve. The original
// keeps waiting.
func (b *Broker) dropTie(tie *request) {
	delete(b.requests, tie.seq)
	tie.original.removeTie(tie)
}

// root returns the caller's request: the original of a tied demand, or r itself.
func (r *request) root() *request {
	if r.original != nil {
		return r.original
	}
	return r
}

func (r *request) removeTie(tie *request) {
	r.ties = slices.DeleteFunc(r.ties, func(other *request) bool { return other == tie })
}
