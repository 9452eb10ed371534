package broker

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/deal"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/router/internal/state"
)

// link is the broker's end of a stream to one scheduler.
type link struct {
	member state.Member
	conn   Link
	// batch collects the messages that the next flush sends.
	batch *v1.EntryBatch
	// lastUsed is when the link was opened or a demand was last sent on it.
	lastUsed time.Time
	// receivedAny is set once a batch has arrived on the link.
	receivedAny bool
	// helloSent holds the shards for which a hello was added to a batch, by shard ID.
	helloSent map[config.ID]config.Shard
}

// connectsTo reports whether the link leads to this incarnation of the member.
func (l *link) connectsTo(member state.Member) bool {
	return l.member.Name == member.Name && l.member.Incarnation == member.Incarnation
}

// linkReceiver implements Receiver. It posts the events of a link to the broker.
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

// linkFor returns the link to the shard's scheduler. It opens the link and adds a hello
// for the shard if needed. It returns nil if no router of the region can be reached.
func (b *Broker) linkFor(key shardKey, now time.Time) *link {
	member, ok := b.schedulerOf(key, now)
	if !ok {
		return nil
	}
	l := b.links[member.Name]
	if l != nil && !l.connectsTo(member) {
		b.dropLink(l)
		b.droppedLinks = append(b.droppedLinks, l)
		l = nil
	}
	if l == nil {
		l = &link{member: member, batch: &v1.EntryBatch{}, helloSent: map[config.ID]config.Shard{}, lastUsed: now}
		b.links[member.Name] = l
		l.conn = b.dialer.Open(member, linkReceiver{b, l})
	}
	id := key.shard.ID()
	if _, ok := l.helloSent[id]; !ok {
		l.helloSent[id] = key.shard
		b.addHello(l, key)
	}
	return l
}

// schedulerOf returns the first router in the rank order of the shard that is not in
// backoff, or the first of all if each candidate is.
func (b *Broker) schedulerOf(key shardKey, now time.Time) (state.Member, bool) {
	const candidates = 3
	ranked := b.store.Fleet().SchedulersOf(key.shard, key.region, candidates)
	if len(ranked) == 0 {
		return state.Member{}, false
	}
	for _, m := range ranked {
		if !b.backoffs.active(m, now) {
			return m, true
		}
	}
	return ranked[0], true
}

// addHello adds the router's state of the shard to the link's next batch: the slots in
// use and, for a scheduler of the router's own region, the last received counters.
func (b *Broker) addHello(l *link, key shardKey) {
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
			Digest:    r.unansweredDigest(),
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

// countersFor returns the last received counters of the workspaces in the shard.
// Counters are kept for the router's own region only.
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

// handleLinkClosed drops a lost link, starts the backoff of its router, and moves the
// shards that the link served.
func (b *Broker) handleLinkClosed(l *link, err error) {
	if b.links[l.member.Name] != l {
		return
	}
	now := time.Now()
	b.logLink(l, "scheduler_lost", err)
	b.backoffs.linkLost(l.member, l.receivedAny, now)
	b.dropLink(l)
	b.moveShardsFrom(l, now)
}

// moveShardsFrom moves the shards whose requests use a link that was dropped.
func (b *Broker) moveShardsFrom(l *link, now time.Time) {
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

// moveFromDroppedLinks moves the shards of requests that still use links to earlier
// incarnations.
func (b *Broker) moveFromDroppedLinks(now time.Time) {
	for len(b.droppedLinks) > 0 {
		l := b.droppedLinks[0]
		b.droppedLinks = b.droppedLinks[1:]
		b.moveShardsFrom(l, now)
	}
}

// dropLink closes and removes a link and forgets the spare slots that came over it. The
// caller must then move the shards of the requests that use it.
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

// flush sends the non-empty batches of all links.
func (b *Broker) flush() {
	b.moveFromDroppedLinks(time.Now())
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
		if now.Sub(l.lastUsed) < linkIdleTimeout || b.hasRequests(l) {
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
