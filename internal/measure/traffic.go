package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/deal"
	"github.com/chiveseam/chiveseam/pool"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/rendezvous"
)

const (
	// linkLatency is the time that a batch on a stream takes.
	linkLatency = time.Millisecond
	// requestRate is the number of requests in a second that arrive at one router.
	requestRate = 11.2
	// meanCost is the mean cost of a request in cost units. It makes the mean service
	// 14.7 s long: 460 tokens, 32 ms each.
	meanCost = 1840
	// engineSlots is the default of Fleet.Slots.
	engineSlots = 100
	// trafficStart and trafficEnd are the virtual times between which traffic is counted.
	trafficStart = 30 * time.Second
	trafficEnd   = 60 * time.Second
)

// Fleet is the size of the part of a fleet in one region.
type Fleet struct {
	Routers    int
	Pools      int
	Targets    int
	Workspaces int
	// HotLoad is the fraction of all load that the first pool has in addition to its
	// equal part of the rest.
	HotLoad float64
	// Shards is the number of shards of the first pool. Zero stands for one.
	Shards int
	// Window is the least time between two batches on a stream.
	Window time.Duration
	// Slots is the number of slots of a target. Zero stands for 100.
	Slots int
}

// Traffic is the control traffic of a Fleet in a second of virtual time. The role of a pool
// or shard is to run its scheduler. The router that has the role is its holder.
type Traffic struct {
	// Entry is what the mean router sends and receives as the entry of its requests.
	// Holder is what the holder of the first pool's role does for all its roles.
	Entry, Holder Rate
	// Other is the mean of the other holders, for all their roles.
	Other Rate
	// Shard is the mean of the holders of the first pool's shards, and MaxShard the one
	// with the most traffic, for all their roles.
	Shard, MaxShard Rate
	// PerRequest is the traffic of all entries, divided by the number of requests.
	PerRequest Rate
	// Counters is the number of bytes that the holder of the first pool sends to its
	// successors to replicate counters.
	Counters float64
	// Reports, Grants and SpareUses are numbers of messages, divided by that of requests.
	Reports, Grants, SpareUses float64
	// Requests is the number of requests between trafficStart and trafficEnd.
	Requests int
}

// Rate is an amount of bytes and messages, sent and received, divided by a time or a number
// of requests. Headers are those of TCP and IP.
type Rate struct{ Payload, Headers, Segments, Heartbeats float64 }

// Total is the sum of payload and headers.
func (r Rate) Total() float64 { return r.Payload + r.Headers }

// newRate divides the counts by divisor.
func newRate(t traffic, divisor float64) Rate {
	return Rate{
		Payload:    float64(t.payload) / divisor,
		Headers:    float64(t.segments*segmentHeaderBytes) / divisor,
		Segments:   float64(t.segments) / divisor,
		Heartbeats: float64(t.heartbeats) / divisor,
	}
}

// trafficRun simulates the control messages of a fleet. Engines are not simulated: a granted
// request is served at the rate of slotRate.
type trafficRun struct {
	clock
	fleet   Fleet
	rng     *rand.Rand
	pools   []*trafficPool
	routers []*trafficRouter
	// shards holds the shards of the first pool.
	shards []*trafficPool
	// requests and the other counters are those since the last reset.
	requests, reports, grants, spareUses int
	// counterBytes is the number of bytes of counters that the holder of pool 0 sends to
	// one successor.
	counterBytes int
	// replicated holds the counters of pool 0 as they were last sent.
	replicated map[config.ID]pool.Counter
}

// trafficPool is the scheduler of a pool or of a shard of the first pool.
type trafficPool struct {
	run       *trafficRun
	id        config.ID
	scheduler *pool.Scheduler
	// holder is the index of the router that runs the scheduler.
	holder int
	// sessions holds the stream to each router, by the router's name.
	sessions map[string]*session
	// workspaces are those of the pool's requests.
	workspaces []pool.Workspace
	// loadFraction is the fraction of all requests that are for the pool.
	loadFraction float64
}

// session is the stream between a router and a holder. It serves all pools whose roles the
// holder has.
type session struct {
	router *trafficRouter
	holder int
	// up is the direction from the entry to the schedulers, down the opposite one.
	up   *link[*v1.EntryBatch]
	down *link[*v1.SchedulerBatch]
	// poolOf holds the pool of each request that has not ended, by the request's sequence
	// number.
	poolOf map[uint64]*trafficPool
	// spares holds the spare slots that the router may use.
	spares  map[*trafficPool][]*v1.Spare
	silence silenceTracker
}

// trafficRouter is the entry side of a router.
type trafficRouter struct {
	run *trafficRun
	id  pool.Router
	seq uint64
	// costs holds the costs of the requests that are not granted yet, by number.
	costs map[uint64]int64
	// sessions holds the stream to each holder, by the holder's index.
	sessions map[int]*session
}

// MeasureTraffic simulates the control messages of a fleet for a minute of virtual time and
// returns the traffic of the second half.
func MeasureTraffic(f Fleet, seed uint64) Traffic {
	if f.Slots == 0 {
		f.Slots = engineSlots
	}
	t := &trafficRun{fleet: f, rng: rand.New(rand.NewPCG(seed, 3)), replicated: map[config.ID]pool.Counter{}}
	t.startPools()
	for _, r := range t.routers {
		t.after(t.nextArrival(), r.arrive)
	}
	t.after(trafficStart, t.reset)
	t.after(counterInterval, t.replicateCounters)
	t.runUntil(trafficEnd)
	return t.result()
}

// startPools creates the routers, starts the schedulers of the pools and joins the routers
// to them.
func (t *trafficRun) startPools() {
	var names []string
	for i := range t.fleet.Routers {
		r := &trafficRouter{run: t, id: pool.Router{Name: fmt.Sprintf("router-%d", i), Incarnation: 1}, costs: map[uint64]int64{}, sessions: map[int]*session{}}
		t.routers = append(t.routers, r)
		names = append(names, r.id.Name)
	}
	for i := range t.fleet.Pools {
		load := (1 - t.fleet.HotLoad) / float64(t.fleet.Pools)
		if i > 0 {
			t.addPool(fmt.Sprintf("model-%d", i), names, load, t.fleet.workspaces())
			continue
		}
		t.addShards(names, load+t.fleet.HotLoad)
	}
}

// addShards adds the first pool. Its workspaces are divided between its shards, of which
// those without a workspace are left out.
func (t *trafficRun) addShards(names []string, load float64) {
	all := t.fleet.workspaces()
	for shard := range t.fleet.shards() {
		name := "model-0"
		if shard > 0 {
			name = fmt.Sprintf("model-0/%d", shard)
		}
		workspaces := slices.DeleteFunc(slices.Clone(all), func(w pool.Workspace) bool {
			return deal.ShardOf(w.ID, t.fleet.shards()) != shard
		})
		if len(workspaces) == 0 {
			continue
		}
		t.addPool(name, names, load*float64(len(workspaces))/float64(len(all)), workspaces)
		t.shards = append(t.shards, t.pools[len(t.pools)-1])
	}
}

// shards returns the number of shards of the first pool.
func (f Fleet) shards() int { return max(f.Shards, 1) }

// addPool adds a pool or shard. Its role goes to a router by rendezvous hashing of the name.
func (t *trafficRun) addPool(name string, names []string, load float64, workspaces []pool.Workspace) {
	p := &trafficPool{run: t, id: config.IDOf(name), sessions: map[string]*session{}, loadFraction: load, workspaces: workspaces}
	owner, _ := rendezvous.Owner(name, names)
	_, _ = fmt.Sscanf(owner, "router-%d", &p.holder)
	p.start()
	t.pools = append(t.pools, p)
}

// start starts the scheduler and joins all routers to it.
func (p *trafficPool) start() {
	p.scheduler = pool.New(pool.Options{InitialCost: meanCost, MaxSpares: maxSpares, HoldTime: grantHoldTime, Seed: uint64(p.id)})
	p.step(pool.WorkspacesChanged{Workspaces: p.workspaces})
	p.step(pool.TargetsChanged{Targets: p.targets()})
	for _, r := range p.run.routers {
		p.sessions[r.id.Name] = r.session(p.holder)
		p.step(pool.RouterJoined{Router: r.id})
	}
}

// session returns the stream to a holder and opens it on first use.
func (r *trafficRouter) session(holder int) *session {
	if s := r.sessions[holder]; s != nil {
		return s
	}
	t := r.run
	s := &session{router: r, holder: holder, poolOf: map[uint64]*trafficPool{}, spares: map[*trafficPool][]*v1.Spare{}}
	s.up = newLink(&t.clock, t.fleet.Window, func() *v1.EntryBatch { return &v1.EntryBatch{} }, s.handleEntryBatch)
	s.down = newLink(&t.clock, t.fleet.Window, func() *v1.SchedulerBatch { return &v1.SchedulerBatch{} }, s.handleSchedulerBatch)
	r.sessions[holder] = s
	t.after(heartbeatInterval, s.sendHeartbeat)
	return s
}

// workspaces returns the workspaces of a pool. They have equal shares.
func (f Fleet) workspaces() []pool.Workspace {
	var list []pool.Workspace
	for i := range f.Workspaces {
		list = append(list, pool.Workspace{ID: config.IDOf(fmt.Sprintf("workspace-%d", i)), Share: 1})
	}
	return list
}

// targets returns the targets of the pool, whose number is in proportion to its load.
func (p *trafficPool) targets() []pool.Target {
	var list []pool.Target
	for i := range max(int(math.Round(float64(p.run.fleet.Targets)*p.loadFraction)), 1) {
		list = append(list, pool.Target{ID: config.IDOf(fmt.Sprintf("engine-%d-%d", p.id, i)), Slots: p.run.fleet.Slots, Speed: 1})
	}
	return list
}

// step passes an event to the scheduler and sends the resulting actions.
func (p *trafficPool) step(event pool.Event) {
	for _, action := range p.scheduler.Step(p.run.wallTime(), event) {
		p.route(action)
	}
}

// route adds an action to the next batch to the router that it is for.
func (p *trafficPool) route(action pool.Action) {
	switch a := action.(type) {
	case pool.Grant:
		p.sessions[a.ID.Router.Name].down.add(func(b *v1.SchedulerBatch) {
			b.Grants = append(b.Grants, &v1.Grant{Seq: a.ID.Seq, Target: uint32(a.Target), Estimate: uint32(a.Estimate), Rate: uint32(a.Rate)})
		})
	case pool.Refuse:
		p.sessions[a.ID.Router.Name].down.add(func(b *v1.SchedulerBatch) {
			b.Refusals = append(b.Refusals, &v1.Refusal{Seq: a.ID.Seq, Code: a.Code, RetryAfterMs: uint32(a.RetryAfter.Milliseconds())})
		})
	case pool.HandSpare:
		p.sessions[a.Router.Name].down.add(func(b *v1.SchedulerBatch) {
			expires := uint32(a.Expires.Sub(p.run.wallTime()).Milliseconds())
			b.Spares = append(b.Spares, &v1.Spare{Id: a.Spare, Pool: uint32(p.id), Target: uint32(a.Target), ExpiresMs: expires, Rate: uint32(a.Rate)})
		})
	case pool.RevokeSpare:
		p.sessions[a.Router.Name].down.add(func(b *v1.SchedulerBatch) { b.RevokedSpares = append(b.RevokedSpares, a.Spare) })
	}
}
