package broker

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chiveseam/chiveseam/config"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/router/internal/state"
)

// link is the broker's side of a stream to one scheduler.
type link struct {
	member   state.Member
	conn     Link
	batch    *v1.EntryBatch
	lastUsed time.Time
	// greeted holds the pools whose hello was sent.
	greeted map[string]bool
}

// linkReceiver posts what arrives on a link to the loop.
type linkReceiver struct {
	broker *Broker
	link   *link
}

func (r linkReceiver) Received(batch *v1.SchedulerBatch) {
	r.broker.post(receivedInput{r.link, batch})
}

func (r linkReceiver) Closed(err error) {
	r.broker.post(closedInput{r.link, err})
}

// linkFor returns the link to the pool's scheduler, opening it if needed. It
// returns nil if no router of the region can be reached.
func (b *Broker) linkFor(key poolKey, now time.Time) *link {
	member, ok := b.schedulerOf(key, now)
	if !ok {
		return nil
	}
	l := b.links[member.Name]
	if l != nil && l.member.Incarnation != member.Incarnation {
		b.dropLink(l)
		b.dropped = append(b.dropped, l)
		l = nil
	}
	if l == nil {
		l = &link{member: member, batch: &v1.EntryBatch{}, greeted: map[string]bool{}, lastUsed: now}
		b.links[member.Name] = l
		l.conn = b.dialer.Open(member, linkReceiver{b, l})
	}
	if !l.greeted[key.pool] {
		l.greeted[key.pool] = true
		b.greet(l, key)
	}
	return l
}

// schedulerOf returns the first ranked router that is not avoided, or the
// first one when all are.
func (b *Broker) schedulerOf(key poolKey, now time.Time) (state.Member, bool) {
	const candidates = 3
	ranked := b.store.Fleet().SchedulersOf(key.pool, key.region, candidates)
	if len(ranked) == 0 {
		return state.Member{}, false
	}
	for _, m := range ranked {
		if now.After(b.avoid[m.Name]) {
			return m, true
		}
	}
	return ranked[0], true
}

// greet adds the router's state of the pool to the link's next batch: the
// slots in use and, for the scheduler of its own region, the last counters
// seen.
func (b *Broker) greet(l *link, key poolKey) {
	if l.batch.Hello == nil {
		self := b.store.Fleet().Self
		l.batch.Hello = &v1.Hello{Router: self.Name, Incarnation: self.Incarnation, Zone: self.Zone}
	}
	id := config.IDOf(key.pool)
	for _, r := range b.requests {
		if !r.granted || r.demand.Pool != key.pool || r.demand.Region != key.region {
			continue
		}
		r.link = l
		l.batch.Hello.InFlight = append(l.batch.Hello.InFlight, &v1.InFlight{
			Seq:       r.seq,
			Pool:      uint32(id),
			Workspace: uint32(r.demand.Workspace),
			Target:    uint32(r.target),
			Charged:   r.charged,
		})
	}
	counters := &v1.PoolCounters{Pool: uint32(id)}
	if key.region == b.store.Fleet().Self.Region {
		for _, c := range b.counters[id] {
			counters.Counters = append(counters.Counters, c)
		}
	}
	l.batch.Hello.Counters = append(l.batch.Hello.Counters, counters)
}

// linkClosed drops a link and places its waiting demands anew.
func (b *Broker) linkClosed(l *link, err error) {
	if b.links[l.member.Name] != l {
		return
	}
	now := time.Now()
	b.logLink(l, "scheduler_lost", err)
	b.avoid[l.member.Name] = now.Add(avoidTime)
	b.dropLink(l)
	b.moveFrom(l, now)
}

// moveFrom moves the pools that a dropped link served.
func (b *Broker) moveFrom(l *link, now time.Time) {
	b.dropLostCopies(l, now)
	keys := map[poolKey]bool{}
	for _, r := range b.requests {
		if r.link == l {
			keys[poolKey{r.demand.Pool, r.demand.Region}] = true
		}
	}
	for key := range keys {
		b.movePool(key, now)
	}
}

// moveDropped moves what is left on links to earlier incarnations.
func (b *Broker) moveDropped(now time.Time) {
	for len(b.dropped) > 0 {
		l := b.dropped[0]
		b.dropped = b.dropped[1:]
		b.moveFrom(l, now)
	}
}

// dropLink forgets a link and the spare slots that came over it. The pools of
// requests that use it must be moved.
func (b *Broker) dropLink(l *link) {
	delete(b.links, l.member.Name)
	b.dropSparesOf(l)
	l.conn.Close()
}

// replace moves the pools whose scheduler role moved.
func (b *Broker) replace(now time.Time) {
	moved := map[poolKey]bool{}
	for _, r := range b.requests {
		key := poolKey{r.demand.Pool, r.demand.Region}
		member, ok := b.schedulerOf(key, now)
		if ok && (member.Name != r.link.member.Name || member.Incarnation != r.link.member.Incarnation) {
			moved[key] = true
		}
	}
	for key := range moved {
		b.movePool(key, now)
	}
}

// movePool sends all that is outstanding in a pool to its present scheduler.
// An earlier scheduler is told that the demands are withdrawn and the grants
// ended, so that it frees the slots. Demands are sent under new sequence
// numbers: a grant that is on its way was void once the hello or the
// withdrawal arrived, and must not be taken for that of the new demand.
func (b *Broker) movePool(key poolKey, now time.Time) {
	outstanding := b.requestsIn(key)
	previous := make([]*link, len(outstanding))
	for i, r := range outstanding {
		previous[i] = r.link
	}
	b.ungreet(key)
	b.dropSparesOfPool(key)
	present := b.linkFor(key, now)
	for i, r := range outstanding {
		switch {
		case !r.granted:
			b.withdrawFrom(previous[i], r)
			b.number(r)
			b.place(r, now)
		case present != nil && previous[i] != present:
			b.withdrawFrom(previous[i], r)
		}
	}
}

// ungreet makes the next use of the pool in the region send a hello. It leaves
// the schedulers of other regions alone: they would drop what waits there.
func (b *Broker) ungreet(key poolKey) {
	for _, l := range b.links {
		if l.member.Region == key.region {
			delete(l.greeted, key.pool)
		}
	}
}

// withdrawFrom ends a request at a scheduler that no longer schedules it.
func (b *Broker) withdrawFrom(l *link, r *request) {
	if r.granted {
		l.batch.Done = append(l.batch.Done, &v1.Done{Seq: r.seq, Cost: r.charged, Outcome: v1.Outcome_ABANDONED})
		return
	}
	l.batch.Cancels = append(l.batch.Cancels, r.seq)
}

func (b *Broker) requestsIn(key poolKey) []*request {
	var list []*request
	for _, r := range b.requests {
		if r.demand.Pool == key.pool && r.demand.Region == key.region {
			list = append(list, r)
		}
	}
	return list
}

func (b *Broker) hasRequests(l *link) bool {
	for _, r := range b.requests {
		if r.link == l {
			return true
		}
	}
	return false
}

// flush sends the batches that were filled.
func (b *Broker) flush() {
	b.moveDropped(time.Now())
	for _, l := range b.links {
		if proto.Size(l.batch) == 0 {
			continue
		}
		l.conn.Send(l.batch)
		l.batch = &v1.EntryBatch{}
	}
}

func (b *Broker) closeIdleLinks(now time.Time) {
	for _, l := range b.links {
		if now.Sub(l.lastUsed) < idleLinkTime || b.hasRequests(l) {
			continue
		}
		b.dropLink(l)
	}
}

func (b *Broker) closeLinks() {
	for _, l := range b.links {
		l.conn.Close()
	}
}
