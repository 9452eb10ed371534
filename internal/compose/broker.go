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
	// answerGrace and avoidTime are those of the daemon's broker.
	answerGrace   = 50 * time.Millisecond
	minBackoff    = time.Second
	maxCandidates = 3
	schedulerRole = "pool/" + poolName + "/north"
)

// broker obtains slots for a router's requests.
type broker struct {
	r          *Router
	seq        uint64
	demands    map[uint64]*demand
	link       *link
	lastLinkID uint64
	avoidUntil map[string]time.Time
}

// link is the stream to the scheduler.
type link struct {
	id uint64
	to fleet.Member
}

// demand is a request for a slot until the slot is given back.
type demand struct {
	event   pool.Demand
	askedAt time.Time
	granted bool
	target  config.ID
	// done takes the target, or the refusal if its code is set.
	done func(config.ID, Result)
}

// entryBatch is a message to a scheduler.
type entryBatch struct {
	router pool.Router
	linkID uint64
	// hello is set on the first message of a link.
	hello  *pool.RouterJoined
	events []pool.Event
}

func newBroker(r *Router) *broker {
	return &broker{r: r, demands: map[uint64]*demand{}, avoidUntil: map[string]time.Time{}}
}

func (r *Router) poolRouter() pool.Router {
	return pool.Router{Name: r.member.Name, Incarnation: r.member.Incarnation}
}

// acquire asks for a slot.
func (b *broker) acquire(event pool.Demand, done func(config.ID, Result)) {
	b.seq++
	event.ID = pool.DemandID{Router: b.r.poolRouter(), Seq: b.seq}
	d := &demand{event: event, askedAt: b.r.now(), done: done}
	b.demands[b.seq] = d
	if b.connect() {
		b.sendEvent(d.event)
	}
}

// scheduler returns the first ranked router that is not avoided.
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

// connect makes the link lead to the present scheduler. Demands that a new
// link carries are part of its hello.
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

// withdrawDemands ends at an earlier scheduler what it holds.
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

// sendHello sends the router's state with all that waits.
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

func (b *broker) sortedDemands() []*demand {
	return slices.SortedFunc(maps.Values(b.demands), func(x, y *demand) int {
		return cmp.Compare(x.event.ID.Seq, y.event.ID.Seq)
	})
}

func (b *broker) sendEvent(event pool.Event) {
	if b.link != nil {
		b.sendBatch(entryBatch{events: []pool.Event{event}})
	}
}

func (b *broker) sendBatch(m entryBatch) {
	m.router, m.linkID = b.r.poolRouter(), b.link.id
	to := b.r.sim.peer(b.link.to.Name)
	if to.member.Incarnation != b.link.to.Incarnation {
		return
	}
	b.r.sim.sendDatagram(b.r, to, func() { to.schedulerHost.receive(b.r, m) })
}

// followScheduler moves all that is outstanding when the scheduler role has moved.
func (b *broker) followScheduler() {
	if b.link != nil {
		b.connect()
	}
}

// linkClosed places anew what a link carried that has ended.
func (b *broker) linkClosed(id uint64) {
	if b.link == nil || b.link.id != id {
		return
	}
	b.avoidUntil[b.link.to.Name] = b.r.now().Add(minBackoff)
	b.link = nil
	b.connect()
}

// peerExited takes in that a process has ended.
func (b *broker) peerExited(gone requestkey.Member) {
	if b.link != nil && b.link.to.Name == gone.Name && b.link.to.Incarnation == gone.Incarnation {
		b.linkClosed(b.link.id)
	}
}

// handleAction takes in an action of a scheduler.
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

// handleGrant accepts the first grant of a demand and gives others back.
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

func (b *broker) refuse(d *demand, why Result) {
	delete(b.demands, d.event.ID.Seq)
	d.done(0, why)
}

// releaseSlot gives the slot of a demand back.
func (b *broker) releaseSlot(seq uint64, done pool.Done) {
	d := b.demands[seq]
	delete(b.demands, seq)
	done.ID = d.event.ID
	b.sendEvent(done)
}

// expireDemands ends demands whose deadline passed without a word of the scheduler.
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
