package measure

import (
	"fmt"
	"slices"
	"time"

	"github.com/chiveseam/chiveseam/deal"
	"github.com/chiveseam/chiveseam/pool"
)

// dealTick is how often holders and the dealer are stepped.
const dealTick = 20 * time.Millisecond

// usageInterval is the least time between two looks at a scheduler's use.
const usageInterval = 20 * time.Millisecond

// sharded is a scheduler for each shard of a pool, with the slots dealt to them.
type sharded struct {
	host       *host
	options    deal.Options
	dealer     *deal.Dealer
	dealerID   pool.Router
	shards     []*shard
	shardOf    map[pool.DemandID]int
	targets    []pool.Target
	workspaces []pool.Workspace
	traffic    dealTraffic
	actions    []pool.Action
}

// shard is the scheduler and the holder of a shard.
type shard struct {
	index       int
	incarnation uint64
	alive       bool
	core        *pool.Scheduler
	holder      *deal.Holder
	id          pool.Router
	// nextUsage is when the holder is told of the scheduler's use next.
	nextUsage time.Duration
	// counters were replicated last.
	counters []pool.Counter
}

func newSharded(h *host) *sharded {
	s := &sharded{
		host:    h,
		options: h.cluster.dealOptions,
		shardOf: map[pool.DemandID]int{},
	}
	s.options.Shards = h.cluster.shards
	for i := range h.cluster.shards {
		s.shards = append(s.shards, &shard{index: i})
		s.startShard(s.shards[i])
	}
	s.startDealer()
	h.cluster.after(dealTick, s.tick)
	h.cluster.after(counterInterval, s.replicate)
	return s
}

// startShard starts an empty scheduler and holder.
func (s *sharded) startShard(sh *shard) {
	sh.incarnation++
	sh.alive = true
	sh.id = pool.Router{Name: fmt.Sprintf("holder-%d", sh.index), Incarnation: sh.incarnation}
	c := s.host.cluster
	c.seed++
	sh.core = pool.New(pool.Options{InitialCost: c.deployment.InitialCost, HoldTime: holdTime, SettleTime: settleTime, MaxSpares: maxSpares, Seed: c.seed})
	sh.holder = deal.NewHolder(sh.id, sh.index, s.options)
	s.stepCore(sh, pool.SlotsAllotted{})
	s.configure(sh)
}

func (s *sharded) configure(sh *shard) {
	s.stepCore(sh, pool.WorkspacesChanged{Workspaces: s.workspacesOf(sh.index)})
	s.stepCore(sh, pool.TargetsChanged{Targets: s.targets})
	s.stepHolder(sh, deal.TargetsChanged{Targets: s.targets})
	s.stepHolder(sh, deal.DealerChanged{Dealer: s.dealerID})
}

// workspacesOf returns the workspaces of a shard.
func (s *sharded) workspacesOf(shard int) []pool.Workspace {
	return slices.DeleteFunc(slices.Clone(s.workspaces), func(w pool.Workspace) bool {
		return deal.ShardOf(w.ID, len(s.shards)) != shard
	})
}

func (s *sharded) startDealer() {
	s.dealerID = pool.Router{Name: "dealer", Incarnation: s.dealerID.Incarnation + 1}
	s.dealer = deal.NewDealer(s.dealerID, s.options)
	s.stepDealer(deal.TargetsChanged{Targets: s.targets})
	for _, sh := range s.shards {
		s.stepHolder(sh, deal.DealerChanged{Dealer: s.dealerID})
	}
}

// Step implements stepper.
func (s *sharded) Step(_ time.Time, event pool.Event) []pool.Action {
	s.actions = nil
	switch e := event.(type) {
	case pool.WorkspacesChanged:
		s.workspaces = e.Workspaces
		s.reconfigure()
	case pool.TargetsChanged:
		s.targets = e.Targets
		s.stepDealer(deal.TargetsChanged{Targets: s.targets})
		s.reconfigure()
	case pool.RouterJoined:
		s.join(e)
	case pool.Demand:
		s.shardOf[e.ID] = deal.ShardOf(e.Workspace, len(s.shards))
		s.stepShard(s.shardOf[e.ID], e)
	case pool.Progress:
		s.stepShard(s.shardOf[e.ID], e)
	case pool.Done:
		s.stepShard(s.shardOf[e.ID], e)
		delete(s.shardOf, e.ID)
	default:
		for i := range s.shards {
			s.stepShard(i, event)
		}
	}
	return s.actions
}

func (s *sharded) reconfigure() {
	for _, sh := range s.shards {
		s.configure(sh)
	}
}

// join gives each shard its part of what a router holds.
func (s *sharded) join(e pool.RouterJoined) {
	for i, sh := range s.shards {
		part := e
		part.Counters = sh.counters
		part.InFlight = slices.DeleteFunc(slices.Clone(e.InFlight), func(f pool.InFlight) bool {
			return deal.ShardOf(f.Workspace, len(s.shards)) != i
		})
		s.stepShard(i, part)
	}
}

// stepShard steps the scheduler of a shard and tells its holder.
func (s *sharded) stepShard(i int, event pool.Event) {
	sh := s.shards[i]
	if !sh.alive {
		return
	}
	s.stepCore(sh, event)
	s.tellHolder(i)
}

// tellHolder tells the holder of a shard what its scheduler uses.
func (s *sharded) tellHolder(i int) {
	sh := s.shards[i]
	now := s.host.cluster.now
	if !sh.alive || !sh.core.Settled() || now < sh.nextUsage {
		return
	}
	sh.nextUsage = now + usageInterval
	s.stepHolder(sh, deal.UsageChanged{Usage: sh.core.Usage()})
}

func (s *sharded) stepCore(sh *shard, event pool.Event) {
	s.actions = append(s.actions, sh.core.Step(s.host.cluster.wall(), event)...)
}

func (s *sharded) stepHolder(sh *shard, event deal.HolderEvent) {
	if !sh.alive {
		return
	}
	for _, action := range sh.holder.Step(s.host.cluster.wall(), event) {
		switch a := action.(type) {
		case deal.SlotsChanged:
			s.stepCore(sh, a.SlotsAllotted)
			sh.nextUsage = s.host.cluster.now
		case deal.Report:
			s.traffic.report(a)
			s.host.cluster.after(s.host.latency, func() { s.stepDealer(a) })
		}
	}
}

func (s *sharded) stepDealer(event deal.DealerEvent) {
	if s.dealer == nil {
		return
	}
	for _, a := range s.dealer.Step(s.host.cluster.wall(), event) {
		s.traffic.allotment(a)
		s.host.cluster.after(s.host.latency, func() { s.allotted(a) })
	}
}

// allotted delivers an allotment and sends the grants that follow.
func (s *sharded) allotted(a deal.Allotment) {
	s.outside(func() {
		s.stepHolder(s.shards[a.Shard], a)
		s.tellHolder(a.Shard)
	})
}

// outside runs fn out of a step of the host and routes what follows.
func (s *sharded) outside(fn func()) {
	s.actions = nil
	fn()
	for _, action := range s.actions {
		s.host.route(action)
	}
}

// tick steps the dealer. The schedulers are stepped by the host's tick.
func (s *sharded) tick() {
	s.stepDealer(deal.Tick{})
	s.outside(func() {
		for i := range s.shards {
			s.tellHolder(i)
		}
	})
	s.host.cluster.after(dealTick, s.tick)
}

func (s *sharded) replicate() {
	for _, sh := range s.shards {
		if sh.alive {
			sh.counters = sh.core.Counters()
		}
	}
	s.host.cluster.after(counterInterval, s.replicate)
}

// killShard ends the holder of a shard. The routers notice by its silence and
// join an empty one.
func (s *sharded) killShard(i int) {
	sh := s.shards[i]
	sh.alive = false
	s.host.cluster.after(silenceTime, func() {
		s.outside(func() {
			s.startShard(sh)
			s.rebuild(sh)
		})
	})
}

// rebuild brings a shard what the routers hold.
func (s *sharded) rebuild(sh *shard) {
	c := s.host.cluster
	for _, r := range c.routers {
		joined := pool.RouterJoined{Router: r.id, Zone: r.zone, Counters: sh.counters}
		var waiting []*request
		for _, q := range r.outstanding() {
			if deal.ShardOf(c.deployment.Workspaces[q.workspace].ID, len(s.shards)) != sh.index {
				continue
			}
			if q.granted {
				joined.InFlight = append(joined.InFlight, r.inFlight(q))
				continue
			}
			waiting = append(waiting, q)
		}
		s.stepShard(sh.index, joined)
		for _, q := range waiting {
			s.stepShard(sh.index, r.demandOf(q, q.seq, false))
		}
	}
}

// killDealer ends the dealer. An empty one follows after its silence.
func (s *sharded) killDealer() {
	s.dealer = nil
	s.host.cluster.after(silenceTime, func() { s.outside(s.startDealer) })
}
