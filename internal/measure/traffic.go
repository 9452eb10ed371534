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
	linkLatency = time.Millisecond
	// requestRate is the number of requests in a second at one router.
	requestRate = 11.2
	// meanCost makes the mean service 14.7 s: 460 tokens, 32 ms each.
	meanCost     = 1840
	engineSlots  = 100
	trafficStart = 30 * time.Second
	trafficEnd   = 60 * time.Second
)

// Fleet is the size of the part of a fleet in one region.
type Fleet struct {
	Routers    int
	Pools      int
	Targets    int
	Workspaces int
	// HotLoad is the part of the load on the first pool beside its equal part.
	HotLoad float64
	// Shards is the number of shards of the first pool; 0 stands for one.
	Shards int
	// Window is the least time between two writes on a stream.
	Window time.Duration
	// Slots is the number of slots of a target; 0 stands for 100.
	Slots int
}

// Traffic is the control traffic of a Fleet in a second of virtual time.
type Traffic struct {
	// Entry and Holder are sent and received by the mean router for its own
	// requests, and by the holder of the first pool's role for all its roles.
	Entry, Holder Rate
	// Other is the same as Holder for the mean of the other holders.
	Other Rate
	// Shard is the mean of the holders of the first pool's shards, and MaxShard
	// the one with the most, for all their roles.
	Shard, MaxShard Rate
	// PerRequest is Entry by request.
	PerRequest Rate
	// Counters is the payload that the holder sends to its successors.
	Counters float64
	// Reports, Grants and SpareUses are messages by request.
	Reports, Grants, SpareUses float64
	Requests                   int
}

// Rate is a number of bytes and messages, sent and received.
type Rate struct{ Payload, Headers, Segments, Heartbeats float64 }

// Total is the sum of payload and headers.
func (r Rate) Total() float64 { return r.Payload + r.Headers }

func newRate(t traffic, divisor float64) Rate {
	return Rate{
		Payload:    float64(t.payload) / divisor,
		Headers:    float64(t.segments*segmentHeaderBytes) / divisor,
		Segments:   float64(t.segments) / divisor,
		Heartbeats: float64(t.heartbeats) / divisor,
	}
}

// trafficRun sends the messages of a fleet through its links.
type trafficRun struct {
	clock
	fleet   Fleet
	rng     *rand.Rand
	pools   []*trafficPool
	routers []*trafficRouter
	// shards holds the shards of the first pool.
	shards []*trafficPool
	// counts of messages while the figures are taken.
	requests, reports, grants, spareUses int
	// counterBytes is what the holder of pool 0 sends to one successor.
	counterBytes int
	// replicated holds its counters as last sent.
	replicated map[config.ID]pool.Counter
}

// trafficPool is a scheduler on the router that holds its role.
type trafficPool struct {
	run       *trafficRun
	id        config.ID
	scheduler *pool.Scheduler
	holder    int
	sessions  map[string]*session
	// workspaces are those that use it.
	workspaces []pool.Workspace
	// loadFraction is the part of all requests.
	loadFraction float64
}

// session is the stream between a router and the holder of some pools' roles.
type session struct {
	router *trafficRouter
	holder int
	up     *link[*v1.EntryBatch]
	down   *link[*v1.SchedulerBatch]
	// poolOf holds the pools of the requests that are not over.
	poolOf  map[uint64]*trafficPool
	spares  map[*trafficPool][]*v1.Spare
	silence silenceTracker
}

// trafficRouter is the entry side.
type trafficRouter struct {
	run      *trafficRun
	id       pool.Router
	seq      uint64
	costs    map[uint64]int64
	sessions map[int]*session
}

// MeasureTraffic runs the messages of a fleet for a minute of virtual time and
// counts those of the second half.
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

// startPools starts the schedulers and joins the routers.
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

// addShards adds the first pool with the workspaces dealt to its shards.
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

func (f Fleet) shards() int { return max(f.Shards, 1) }

func (t *trafficRun) addPool(name string, names []string, load float64, workspaces []pool.Workspace) {
	p := &trafficPool{run: t, id: config.IDOf(name), sessions: map[string]*session{}, loadFraction: load, workspaces: workspaces}
	owner, _ := rendezvous.Owner(name, names)
	_, _ = fmt.Sscanf(owner, "router-%d", &p.holder)
	p.start()
	t.pools = append(t.pools, p)
}

func (p *trafficPool) start() {
	p.scheduler = pool.New(pool.Options{InitialCost: meanCost, MaxSpares: maxSpares, HoldTime: grantHoldTime, Seed: uint64(p.id)})
	p.step(pool.WorkspacesChanged{Workspaces: p.workspaces})
	p.step(pool.TargetsChanged{Targets: p.targets()})
	for _, r := range p.run.routers {
		p.sessions[r.id.Name] = r.session(p.holder)
		p.step(pool.RouterJoined{Router: r.id})
	}
}

// session returns the stream to a holder, opening it on first use.
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

func (f Fleet) workspaces() []pool.Workspace {
	var list []pool.Workspace
	for i := range f.Workspaces {
		list = append(list, pool.Workspace{ID: config.IDOf(fmt.Sprintf("workspace-%d", i)), Share: 1})
	}
	return list
}

func (p *trafficPool) targets() []pool.Target {
	var list []pool.Target
	for i := range max(int(math.Round(float64(p.run.fleet.Targets)*p.loadFraction)), 1) {
		list = append(list, pool.Target{ID: config.IDOf(fmt.Sprintf("engine-%d-%d", p.id, i)), Slots: p.run.fleet.Slots, Speed: 1})
	}
	return list
}

func (p *trafficPool) step(event pool.Event) {
	for _, action := range p.scheduler.Step(p.run.wallTime(), event) {
		p.route(action)
	}
}

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
