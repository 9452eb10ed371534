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
	answerGrace = 50 * time.Millisecond
	avoidTime   = time.Second
	candidates  = 3
	schedulers  = "pool/" + poolName + "/north"
)

// broker obtains slots for a router's requests.
type broker struct {
	r       *Router
	seq     uint64
	demands map[uint64]*demand
	link    *link
	links   uint64
	avoid   map[string]time.Time
}

// link is the stream to the scheduler.
type link struct {
	id uint64
	to fleet.Member
}

// demand is a request for a slot until the slot is given back.
type demand struct {
	event   pool.Demand
	asked   time.Time
	granted bool
	target  config.ID
	// done takes the target, or the refusal if its code is set.
	done func(config.ID, Final)
}

// batch is a message to a scheduler.
type batch struct {
	router pool.Router
	link   uint64
	// hello is set on the first message of a link.
	hello  *pool.RouterJoined
	events []pool.Event
}

func newBroker(r *Router) *broker {
	return &broker{r: r, demands: map[uint64]*demand{}, avoid: map[string]time.Time{}}
}

func (r *Router) poolRouter() pool.Router {
	return pool.Router{Name: r.member.Name, Incarnation: r.member.Incarnation}
}

// acquire asks for a slot.
func (b *broker) acquire(event pool.Demand, done func(config.ID, Final)) {
	b.seq++
	event.ID = pool.DemandID{Router: b.r.poolRouter(), Seq: b.seq}
	d := &demand{event: event, asked: b.r.now(), done: done}
	b.demands[b.seq] = d
	if b.connect() {
		b.post(d.event)
	}
}

// scheduler returns the first ranked router that is not avoided.
func (b *broker) scheduler() (fleet.Member, bool) {
	var names []string
	for _, m := range b.r.view.Reachable() {
		names = append(names, m.Name)
	}
	ranked := rendezvous.Rank(schedulers, names, candidates)
	if len(ranked) == 0 {
		return fleet.Member{}, false
	}
	name := ranked[0]
	for _, other := range ranked {
		if b.r.now().After(b.avoid[other]) {
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
	b.withdraw()
	b.links++
	b.link = &link{id: b.links, to: to}
	b.hello()
	return false
}

// withdraw ends at an earlier scheduler what it holds.
func (b *broker) withdraw() {
	if b.link == nil {
		return
	}
	for _, d := range b.sorted() {
		if d.granted {
			b.post(pool.Done{ID: d.event.ID, Outcome: v1.Outcome_ABANDONED})
			continue
		}
		b.post(pool.Cancel{ID: d.event.ID})
	}
}

// hello sends the router's state with all that waits.
func (b *broker) hello() {
	joined := &pool.RouterJoined{Router: b.r.poolRouter(), Zone: b.r.zone}
	var waiting []pool.Event
	for _, d := range b.sorted() {
		if !d.granted {
			waiting = append(waiting, d.event)
			continue
		}
		joined.InFlight = append(joined.InFlight, pool.InFlight{
			ID: d.event.ID, Workspace: d.event.Workspace, Target: d.target, Digest: d.event.Digest,
		})
	}
	b.send(batch{hello: joined, events: waiting})
}

func (b *broker) sorted() []*demand {
	return slices.SortedFunc(maps.Values(b.demands), func(x, y *demand) int {
		return cmp.Compare(x.event.ID.Seq, y.event.ID.Seq)
	})
}

func (b *broker) post(event pool.Event) {
	if b.link != nil {
		b.send(batch{events: []pool.Event{event}})
	}
}

func (b *broker) send(m batch) {
	m.router, m.link = b.r.poolRouter(), b.link.id
	to := b.r.w.peer(b.link.to.Name)
	if to.member.Incarnation != b.link.to.Incarnation {
		return
	}
	b.r.w.send(b.r, to, func() { to.host.receive(b.r, m) })
}

// replace moves all that is outstanding when the scheduler role has moved.
func (b *broker) replace() {
	if b.link != nil {
		b.connect()
	}
}

// closed places anew what a link carried that has ended.
func (b *broker) closed(id uint64) {
	if b.link == nil || b.link.id != id {
		return
	}
	b.avoid[b.link.to.Name] = b.r.now().Add(avoidTime)
	b.link = nil
	b.connect()
}

// peerEnded takes in that a process has ended.
func (b *broker) peerEnded(gone requestkey.Member) {
	if b.link != nil && b.link.to.Name == gone.Name && b.link.to.Incarnation == gone.Incarnation {
		b.closed(b.link.id)
	}
}

// received takes in an action of a scheduler.
func (b *broker) received(id uint64, action pool.Action) {
	current := b.link != nil && b.link.id == id
	switch a := action.(type) {
	case pool.Grant:
		b.granted(current, a)
	case pool.Refuse:
		d := b.demands[a.ID.Seq]
		if current && d != nil && !d.granted {
			b.refuse(d, Final{Code: a.Code, Ran: v1.Ran_NO})
		}
	}
}

// granted accepts the first grant of a demand and gives others back.
func (b *broker) granted(current bool, g pool.Grant) {
	if !current {
		return
	}
	d := b.demands[g.ID.Seq]
	switch {
	case d == nil || d.granted && d.target != g.Target:
		b.post(pool.Done{ID: g.ID, Outcome: v1.Outcome_UNUSED})
	case !d.granted:
		d.granted, d.target = true, g.Target
		d.done(g.Target, Final{})
	}
}

func (b *broker) refuse(d *demand, why Final) {
	delete(b.demands, d.event.ID.Seq)
	d.done(0, why)
}

// finish gives the slot of a demand back.
func (b *broker) finish(seq uint64, done pool.Done) {
	d := b.demands[seq]
	delete(b.demands, seq)
	done.ID = d.event.ID
	b.post(done)
}

// sweep ends demands whose deadline passed without a word of the scheduler.
func (b *broker) sweep() {
	now := b.r.now()
	for _, d := range b.sorted() {
		if !d.granted && now.After(d.event.Deadline.Add(answerGrace)) {
			b.post(pool.Cancel{ID: d.event.ID})
			b.refuse(d, Final{Code: v1.Code_DEADLINE_EXCEEDED, Ran: v1.Ran_NO})
		}
	}
	b.replace()
}
