package measure

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chiveseam/chiveseam/config"
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
	// Hot is the part of the load on the first pool beside its equal part.
	Hot float64
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

func rateOf(t traffic, by float64) Rate {
	return Rate{
		Payload:    float64(t.payload) / by,
		Headers:    float64(t.segments*segmentHeader) / by,
		Segments:   float64(t.segments) / by,
		Heartbeats: float64(t.heartbeats) / by,
	}
}

// trafficRun sends the messages of a fleet through its links.
type trafficRun struct {
	clock
	fleet   Fleet
	rng     *rand.Rand
	pools   []*trafficPool
	routers []*trafficRouter
	// workspaceIDs are the workspaces that requests are drawn from.
	workspaceIDs []config.ID
	// counts of messages while the figures are taken.
	requests, reports, grants, spareUses int
	// counterBytes is what the holder of pool 0 sends to one successor.
	counterBytes int
	// replicated holds its counters as last sent.
	replicated map[config.ID]pool.Counter
}

// trafficPool is a scheduler on the router that holds its role.
type trafficPool struct {
	run      *trafficRun
	id       config.ID
	core     *pool.Scheduler
	holder   int
	sessions map[string]*session
	// load is the part of all requests.
	load float64
}

// session is the stream between a router and the holder of some pools' roles.
type session struct {
	router *trafficRouter
	holder int
	up     *link[*v1.EntryBatch]
	down   *link[*v1.SchedulerBatch]
	// poolOf holds the pools of the requests that are not over.
	poolOf map[uint64]*trafficPool
	spares map[*trafficPool][]*v1.Spare
	pulse  sessionPulse
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
	for _, w := range f.workspaces() {
		t.workspaceIDs = append(t.workspaceIDs, w.ID)
	}
	t.place()
	for _, r := range t.routers {
		t.after(t.pause(), r.arrive)
	}
	t.after(trafficStart, t.reset)
	t.after(counterInterval, t.replicateCounters)
	t.runUntil(trafficEnd)
	return t.result()
}

// place starts the schedulers and joins the routers.
func (t *trafficRun) place() {
	var names []string
	for i := range t.fleet.Routers {
		r := &trafficRouter{run: t, id: pool.Router{Name: fmt.Sprintf("router-%d", i), Incarnation: 1}, costs: map[uint64]int64{}, sessions: map[int]*session{}}
		t.routers = append(t.routers, r)
		names = append(names, r.id.Name)
	}
	for i := range t.fleet.Pools {
		name := fmt.Sprintf("model-%d", i)
		p := &trafficPool{run: t, id: config.IDOf(name), sessions: map[string]*session{}, load: (1 - t.fleet.Hot) / float64(t.fleet.Pools)}
		if i == 0 {
			p.load += t.fleet.Hot
		}
		owner, _ := rendezvous.Owner(name, names)
		_, _ = fmt.Sscanf(owner, "router-%d", &p.holder)
		p.start()
		t.pools = append(t.pools, p)
	}
}

func (p *trafficPool) start() {
	p.core = pool.New(pool.Options{InitialCost: meanCost, MaxSpares: maxSpares, HoldTime: holdTime, Seed: uint64(p.id)})
	p.step(pool.WorkspacesChanged{Workspaces: p.run.fleet.workspaces()})
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
	s.up = newLink(&t.clock, t.fleet.Window, func() *v1.EntryBatch { return &v1.EntryBatch{} }, s.receive)
	s.down = newLink(&t.clock, t.fleet.Window, func() *v1.SchedulerBatch { return &v1.SchedulerBatch{} }, s.answer)
	r.sessions[holder] = s
	t.after(heartbeat, s.beat)
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
	for i := range max(int(math.Round(float64(p.run.fleet.Targets)*p.load)), 1) {
		list = append(list, pool.Target{ID: config.IDOf(fmt.Sprintf("engine-%d-%d", p.id, i)), Slots: p.run.fleet.Slots, Speed: 1})
	}
	return list
}

func (p *trafficPool) step(event pool.Event) {
	for _, action := range p.core.Step(p.run.wall(), event) {
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
			expires := uint32(a.Expires.Sub(p.run.wall()).Milliseconds())
			b.Spares = append(b.Spares, &v1.Spare{Id: a.Spare, Pool: uint32(p.id), Target: uint32(a.Target), ExpiresMs: expires, Rate: uint32(a.Rate)})
		})
	case pool.RevokeSpare:
		p.sessions[a.Router.Name].down.add(func(b *v1.SchedulerBatch) { b.RevokedSpares = append(b.RevokedSpares, a.Spare) })
	}
}

// reset starts the figures anew.
func (t *trafficRun) reset() {
	t.requests, t.reports, t.grants, t.spareUses, t.counterBytes = 0, 0, 0, 0, 0
	t.eachSession(func(s *session) {
		*s.up.sender, *s.up.receiver, *s.down.sender, *s.down.receiver = traffic{}, traffic{}, traffic{}, traffic{}
	})
}

func (t *trafficRun) eachSession(fn func(*session)) {
	for i, r := range t.routers {
		for _, holder := range slices.Sorted(maps.Keys(r.sessions)) {
			if holder != i {
				fn(r.sessions[holder])
			}
		}
	}
}

// holders counts the routers that hold a role.
func (t *trafficRun) holders() int {
	holders := map[int]bool{}
	for _, p := range t.pools {
		holders[p.holder] = true
	}
	return len(holders)
}

func (t *trafficRun) result() Traffic {
	elapsed := (trafficEnd - trafficStart).Seconds()
	var entry, hot, others traffic
	t.eachSession(func(s *session) {
		both := s.up.sender.plus(*s.down.receiver)
		entry = entry.plus(both)
		if s.holder == t.pools[0].holder {
			hot = hot.plus(both)
		} else {
			others = others.plus(both)
		}
	})
	requests := float64(max(t.requests, 1))
	return Traffic{
		Entry:      rateOf(entry, elapsed*float64(len(t.routers))),
		Holder:     rateOf(hot, elapsed),
		Other:      rateOf(others, elapsed*float64(max(t.holders()-1, 1))),
		PerRequest: rateOf(entry, requests),
		Counters:   float64(successors*t.counterBytes) / elapsed,
		Reports:    float64(t.reports) / requests,
		Grants:     float64(t.grants) / requests,
		SpareUses:  float64(t.spareUses) / requests,
		Requests:   t.requests,
	}
}
