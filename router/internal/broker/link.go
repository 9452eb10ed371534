package broker

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/deal"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/router/internal/state"
)

// link is the broker's side of a stream to one scheduler.
type link struct {
	member   state.Member
	conn     Link
	batch    *v1.EntryBatch
	lastUsed time.Time
	// heard is set once anything has arrived.
	heard bool
	// greeted holds the shards whose hello was sent, by ID.
	greeted map[config.ID]config.Shard
}

// leadsTo reports whether the link is to the incarnation of the member.
func (l *link) leadsTo(member state.Member) bool {
	return l.member.Name == member.Name && l.member.Incarnation == member.Incarnation
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

// linkFor returns the link to the shard's scheduler, opening it if needed. It
// returns nil if no router of the region can be reached.
func (b *Broker) linkFor(key shardKey, now time.Time) *link {
	member, ok := b.schedulerOf(key, now)
	if !ok {
		return nil
	}
	l := b.links[member.Name]
	if l != nil && !l.leadsTo(member) {
		b.dropLink(l)
		b.dropped = append(b.dropped, l)
		l = nil
	}
	if l == nil {
		l = &link{member: member, batch: &v1.EntryBatch{}, greeted: map[config.ID]config.Shard{}, lastUsed: now}
		b.links[member.Name] = l
		l.conn = b.dialer.Open(member, linkReceiver{b, l})
	}
	id := key.shard.ID()
	if _, ok := l.greeted[id]; !ok {
		l.greeted[id] = key.shard
		b.greet(l, key)
	}
	return l
}

// schedulerOf returns the first ranked router that is not avoided, or the
// first one when all are.
func (b *Broker) schedulerOf(key shardKey, now time.Time) (state.Member, bool) {
	const candidates = 3
	ranked := b.store.Fleet().SchedulersOf(key.shard, key.region, candidates)
	if len(ranked) == 0 {
		return state.Member{}, false
	}
	for _, m := range ranked {
		if !b.avoid.avoids(m, now) {
			return m, true
		}
	}
	return ranked[0], true
}

// greet adds the router's state of the shard to the link's next batch: the
// slots in use and, for the scheduler of its own region, the last counters
// seen.
func (b *Broker) greet(l *link, key shardKey) {
	if l.batch.Hello == nil {
		self := b.store.Fleet().Self
		l.batch.Hello = &v1.Hello{Router: self.Name, Incarnation: self.Incarnation, Zone: self.Zone}
	}
	hello, id := l.batch.Hello, key.shard.ID()
	now := time.Now()
	for _, r := range b.requestsIn(key) {
		if !r.granted {
			continue
		}
		r.link = l
		hello.InFlight = append(hello.InFlight, &v1.InFlight{
			Seq:       r.seq,
			Pool:      uint32(id),
			Workspace: uint32(r.demand.Workspace),
			Target:    uint32(r.target),
			Charged:   r.charged(now),
			Rate:      uint32(r.prediction.Rate),
			Digest:    r.openDigest(),
		})
	}
	hello.Counters = append(hello.Counters, &v1.PoolCounters{Pool: uint32(id), Counters: b.countersFor(key)})
	if key.shard.Count > 1 {
		hello.Shards = append(hello.Shards, &v1.Shard{
			Id:    uint32(id),
			Pool:  uint32(config.IDOf(key.shard.Pool)),
			Index: uint32(key.shard.Index),
			Count: uint32(key.shard.Count),
		})
	}
}

// countersFor returns the last counters seen of the shard's workspaces. They
// are those of the router's own region.
func (b *Broker) countersFor(key shardKey) []*v1.Counter {
	if key.region != b.store.Fleet().Self.Region {
		return nil
	}
	var list []*v1.Counter
	for workspace, c := range b.counters[config.IDOf(key.shard.Pool)] {
		if deal.ShardOf(workspace, key.shard.Count) == key.shard.Index {
			list = append(list, c)
		}
	}
	return list
}

// linkClosed drops a link and places its waiting demands anew.
func (b *Broker) linkClosed(l *link, err error) {
	if b.links[l.member.Name] != l {
		return
	}
	now := time.Now()
	b.logLink(l, "scheduler_lost", err)
	b.avoid.lost(l.member, l.heard, now)
	b.dropLink(l)
	b.moveFrom(l, now)
}

// moveFrom moves the shards that a dropped link served.
func (b *Broker) moveFrom(l *link, now time.Time) {
	b.dropLostTies(l, now)
	keys := map[shardKey]bool{}
	for _, r := range b.requests {
		if r.link == l {
			keys[r.key] = true
		}
	}
	for key := range keys {
		b.moveShard(key, now)
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

// dropLink forgets a link and the spare slots that came over it. The shards of
// requests that use it must be moved.
func (b *Broker) dropLink(l *link) {
	delete(b.links, l.member.Name)
	b.dropSparesOf(l)
	l.conn.Close()
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
