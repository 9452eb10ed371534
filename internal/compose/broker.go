package compose

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/fleet"
	"github.com/chiveseam/chiveseam/pool"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/rendezvous"
	"github.com/chiveseam/chiveseam/requestkey"
)

const (
	// answerGrace and minBackoff are those of the daemon's broker (router/internal/broker).
	// The daemon doubles the backoff when a further link to the scheduler is lost before
	// anything was heard on it; here the backoff is constant.
	answerGrace = 50 * time.Millisecond
	minBackoff  = time.Second
	// maxCandidates is the number of ranked routers among which the broker chooses.
	maxCandidates = 3
	// schedulerRole is the key by which rendezvous hashing ranks the routers.
	schedulerRole = "pool/" + poolName + "/north"
)

// broker obtains slots for a router's requests from the scheduler of the pool.
type broker struct {
	r *Router
	// seq is the sequence number of the latest demand.
	seq uint64
	// demands holds the demands that wait or use a slot, by sequence number.
	demands map[uint64]*demand
	// link is nil before the first demand, and after a lost link until the next one opens.
	link       *link
	lastLinkID uint64
	// avoidUntil holds, by router name, the end of the backoff after a lost link.
	avoidUntil map[string]time.Time
}

// link is the connection to a scheduler. Its messages are sent as datagrams.
type link struct {
	id uint64
	to fleet.Member
}

// demand is a request for a slot. It is kept until the slot is given back.
type demand struct {
	event   pool.Demand
	askedAt time.Time
	granted bool
	target  config.ID
	// done is called with the target, or with a refusal whose code is set.
	done func(config.ID, Result)
}

// entryBatch is a message of an entry router to a scheduler.
type entryBatch struct {
	router pool.Router
	linkID uint64
	// hello is set in the first message of a link.
	hello  *pool.RouterJoined
	events []pool.Event
}

func newBroker(r *Router) *broker {
	return &broker{r: r, demands: map[uint64]*demand{}, avoidUntil: map[string]time.Time{}}
}

// poolRouter returns the router incarnation as package pool identifies it.
func (r *Router) poolRouter() pool.Router {
	return pool.Router{Name: r.member.Name, Incarnation: r.member.Incarnation}
}

// acquire asks the scheduler for a slot. done is called once with the grant or the refusal.
// If no link is open, a new link carries the demand in its first message.
func (b *broker) acquire(event pool.Demand, done func(config.ID, Result)) {
	b.seq++
	event.ID = pool.DemandID{Router: b.r.poolRouter(), Seq: b.seq}
	d := &demand{event: event, askedAt: b.r.now(), done: done}
	b.demands[b.seq] = d
	if b.connect() {
		b.sendEvent(d.event)
	}
}

// scheduler returns the first ranked router without a backoff, or the first one if all
// have a backoff.
func (b *broker) scheduler() (fleet.Member, bool) {
	var names []string
	for _, m := range b.r.view.Reachable() {
		names = append(names, m.Name)
	}
	ranked := rendezvous.Rank(schedulerRole, names, maxCandidates)
	if len(ranked) == 0 {
		return fleet.Member{}, false
	}
	name := ranked[0]
	for _, other := range ranked {
		if b.r.now().After(b.avoidUntil[other]) {
			name = other
			break
		}
	}
	return b.r.view.Lookup(name)
}

// connect returns true if the link to the present scheduler is already open. Otherwise it
// opens that link, whose first message carries all waiting demands, and returns false. It
// also returns false if there is no scheduler.
func (b *broker) connect() bool {
	to, ok := b.scheduler()
	if !ok {
		return false
	}
	if b.link != nil && b.link.to == to {
		return true
	}
	b.withdrawDemands()
	b.lastLinkID++
	b.link = &link{id: b.lastLinkID, to: to}
	b.sendHello()
	return false
}

// withdrawDemands cancels all demands at the scheduler of the open link, before a new link
// replaces it. It gives the slots of granted demands back there, although the demands go on:
// the new scheduler learns of them by the first message of the new link.
func (b *broker) withdrawDemands() {
	if b.link == nil {
		return
	}
	for _, d := range b.sortedDemands() {
		if d.granted {
			b.sendEvent(pool.Done{ID: d.event.ID, Outcome: v1.Outcome_ABANDONED})
			continue
		}
		b.sendEvent(pool.Cancel{ID: d.event.ID})
	}
}

// sendHello sends the first message of a link: the demands in flight and the waiting ones.
func (b *broker) sendHello() {
	joined := &pool.RouterJoined{Router: b.r.poolRouter(), Zone: b.r.zone}
	var waiting []pool.Event
	for _, d := range b.sortedDemands() {
		if !d.granted {
			waiting = append(waiting, d.event)
			continue
		}
		joined.InFlight = append(joined.InFlight, pool.InFlight{
			ID: d.event.ID, Workspace: d.event.Workspace, Target: d.target, Digest: d.event.Digest,
		})
	}
	b.sendBatch(entryBatch{hello: joined, events: waiting})
}

// sortedDemands returns the demands by sequence number.
func (b *broker) sortedDemands() []*demand {
	return slices.SortedFunc(maps.Values(b.demands), func(x, y *demand) int {
		return cmp.Compare(x.event.ID.Seq, y.event.ID.Seq)
	})
}

// sendEvent sends one event to the scheduler if a link is open.
func (b *broker) sendEvent(event pool.Event) {
	if b.link != nil {
		b.sendBatch(entryBatch{events: []pool.Event{event}})
	}
}

// sendBatch sends a message on the open link. The message is dropped if the scheduler has
// restarted since the link was opened.
func (b *broker) sendBatch(m entryBatch) {
	m.router, m.linkID = b.r.poolRouter(), b.link.id
	to := b.r.sim.peer(b.link.to.Name)
	if to.member.Incarnation != b.link.to.Incarnation {
		return
	}
	b.r.sim.sendDatagram(b.r, to, func() { to.schedulerHost.receive(b.r, m) })
}

// followScheduler moves all demands to a new link if the scheduler has changed.
func (b *broker) followScheduler() {
	if b.link != nil {
		b.connect()
	}
}

// linkClosed moves all demands of a closed link to a new one and begins the backoff for
// the scheduler of the closed link.
func (b *broker) linkClosed(id uint64) {
	if b.link == nil || b.link.id != id {
		return
	}
	b.avoidUntil[b.link.to.Name] = b.r.now().Add(minBackoff)
	b.link = nil
	b.connect()
}

// peerExited closes the link to a router incarnation whose process has ended.
func (b *broker) peerExited(exited requestkey.Member) {
	if b.link != nil && b.link.to.Name == exited.Name && b.link.to.Incarnation == exited.Incarnation {
		b.linkClosed(b.link.id)
	}
}

// handleAction handles a grant or refusal that arrives on a link. Only those of the open
// link have an effect.
func (b *broker) handleAction(id uint64, action pool.Action) {
	current := b.link != nil && b.link.id == id
	switch a := action.(type) {
	case pool.Grant:
		b.handleGrant(current, a)
	case pool.Refuse:
		d := b.demands[a.ID.Seq]
		if current && d != nil && !d.granted {
			b.refuse(d, Result{Code: a.Code, Ran: v1.Ran_NO})
		}
	}
}

// handleGrant accepts the first grant of a demand and gives the slots of other grants
// back. Grants from other links are ignored: the scheduler of such a link was sent a
// Cancel or has closed its session.
func (b *broker) handleGrant(current bool, g pool.Grant) {
	if !current {
		return
	}
	d := b.demands[g.ID.Seq]
	switch {
	case d == nil || d.granted && d.target != g.Target:
		b.sendEvent(pool.Done{ID: g.ID, Outcome: v1.Outcome_UNUSED})
	case !d.granted:
		d.granted, d.target = true, g.Target
		d.done(g.Target, Result{})
	}
}

// refuse ends a demand with a refusal.
func (b *broker) refuse(d *demand, refusal Result) {
	delete(b.demands, d.event.ID.Seq)
	d.done(0, refusal)
}

// releaseSlot ends a granted demand and gives its slot back to the scheduler.
func (b *broker) releaseSlot(seq uint64, done pool.Done) {
	d := b.demands[seq]
	delete(b.demands, seq)
	done.ID = d.event.ID
	b.sendEvent(done)
}

// expireDemands refuses the demands that the scheduler has neither granted nor refused
// answerGrace after their deadline. It then moves to a new scheduler if that has changed.
func (b *broker) expireDemands() {
	now := b.r.now()
	for _, d := range b.sortedDemands() {
		if !d.granted && now.After(d.event.Deadline.Add(answerGrace)) {
			b.sendEvent(pool.Cancel{ID: d.event.ID})
			b.refuse(d, Result{Code: v1.Code_DEADLINE_EXCEEDED, Ran: v1.Ran_NO})
		}
	}
	b.followScheduler()
}
