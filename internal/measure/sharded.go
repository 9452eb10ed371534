package measure

import (
	"fmt"
	"slices"
	"time"

	"github.com/chiveseam/chiveseam/deal"
	"github.com/chiveseam/chiveseam/pool"
)

// dealInterval is how often holders and the dealer are stepped.
const dealInterval = 20 * time.Millisecond

// usageInterval is the least time between two looks at a scheduler's use.
const usageInterval = 20 * time.Millisecond

// shardedScheduler is a scheduler for each shard of a pool, with the slots dealt to them.
type shardedScheduler struct {
	host        *host
	options     deal.Options
	dealer      *deal.Dealer
	dealerID    pool.Router
	shards      []*shard
	demandShard map[pool.DemandID]int
	targets     []pool.Target
	workspaces  []pool.Workspace
	traffic     dealTraffic
	actions     []pool.Action
}

// shard is the scheduler and the holder of a shard.
type shard struct {
	index       int
	incarnation uint64
	alive       bool
	scheduler   *pool.Scheduler
	holder      *deal.Holder
	id          pool.Router
	// nextUsageTime is when the holder is told of the scheduler's use next.
	nextUsageTime time.Duration
	// counters were replicated last.
	counters []pool.Counter
}

func newSharded(h *host) *shardedScheduler {
	s := &shardedScheduler{
		host:        h,
		options:     h.cluster.dealOptions,
		demandShard: map[pool.DemandID]int{},
	}
	s.options.Shards = h.cluster.shards
	for i := range h.cluster.shards {
		s.shards = append(s.shards, &shard{index: i})
		s.startShard(s.shards[i])
	}
	s.startDealer()
	h.cluster.after(dealInterval, s.tick)
	h.cluster.after(counterInterval, s.replicate)
	return s
}

// startShard starts an empty scheduler and holder.
func (s *shardedScheduler) startShard(sh *shard) {
	sh.incarnation++
	sh.alive = true
	sh.id = pool.Router{Name: fmt.Sprintf("holder-%d", sh.index), Incarnation: sh.incarnation}
	c := s.host.cluster
	c.seed++
	sh.scheduler = pool.New(pool.Options{InitialCost: c.deployment.InitialCost, HoldTime: grantHoldTime, SettleTime: settleTime, MaxSpares: maxSpares, Seed: c.seed})
	sh.holder = deal.NewHolder(sh.id, sh.index, s.options)
	s.stepScheduler(sh, pool.SlotsAllotted{})
	s.configure(sh)
}

func (s *shardedScheduler) configure(sh *shard) {
	s.stepScheduler(sh, pool.WorkspacesChanged{Workspaces: s.workspacesOf(sh.index)})
	s.stepScheduler(sh, pool.TargetsChanged{Targets: s.targets})
	s.stepHolder(sh, deal.TargetsChanged{Targets: s.targets})
	s.stepHolder(sh, deal.DealerChanged{Dealer: s.dealerID})
}

// workspacesOf returns the workspaces of a shard.
func (s *shardedScheduler) workspacesOf(shard int) []pool.Workspace {
	return slices.DeleteFunc(slices.Clone(s.workspaces), func(w pool.Workspace) bool {
		return deal.ShardOf(w.ID, len(s.shards)) != shard
	})
}

func (s *shardedScheduler) startDealer() {
	s.dealerID = pool.Router{Name: "dealer", Incarnation: s.dealerID.Incarnation + 1}
	s.dealer = deal.NewDealer(s.dealerID, s.options)
	s.stepDealer(deal.TargetsChanged{Targets: s.targets})
	for _, sh := range s.shards {
		s.stepHolder(sh, deal.DealerChanged{Dealer: s.dealerID})
	}
}

// Step implements stepper.
func (s *shardedScheduler) Step(_ time.Time, event pool.Event) []pool.Action {
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
		s.joinRouter(e)
	case pool.Demand:
		s.demandShard[e.ID] = deal.ShardOf(e.Workspace, len(s.shards))
		s.stepShard(s.demandShard[e.ID], e)
	case pool.Progress:
		s.stepShard(s.demandShard[e.ID], e)
	case pool.Done:
		s.stepShard(s.demandShard[e.ID], e)
		delete(s.demandShard, e.ID)
	default:
		for i := range s.shards {
			s.stepShard(i, event)
		}
	}
	return s.actions
}

func (s *shardedScheduler) reconfigure() {
	for _, sh := range s.shards {
		s.configure(sh)
	}
}

// joinRouter gives each shard its part of what a router holds.
func (s *shardedScheduler) joinRouter(e pool.RouterJoined) {
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
func (s *shardedScheduler) stepShard(i int, event pool.Event) {
	sh := s.shards[i]
	if !sh.alive {
		return
	}
	s.stepScheduler(sh, event)
	s.reportUsage(i)
}

// reportUsage tells the holder of a shard what its scheduler uses.
func (s *shardedScheduler) reportUsage(i int) {
	sh := s.shards[i]
	now := s.host.cluster.now
	if !sh.alive || !sh.scheduler.Settled() || now < sh.nextUsageTime {
		return
	}
	sh.nextUsageTime = now + usageInterval
	s.stepHolder(sh, deal.UsageChanged{Usage: sh.scheduler.Usage()})
}

func (s *shardedScheduler) stepScheduler(sh *shard, event pool.Event) {
	s.actions = append(s.actions, sh.scheduler.Step(s.host.cluster.wallTime(), event)...)
}

func (s *shardedScheduler) stepHolder(sh *shard, event deal.HolderEvent) {
	if !sh.alive {
		return
	}
	for _, action := range sh.holder.Step(s.host.cluster.wallTime(), event) {
		switch a := action.(type) {
		case deal.SlotsChanged:
			s.stepScheduler(sh, a.SlotsAllotted)
			sh.nextUsageTime = s.host.cluster.now
		case deal.Report:
			s.traffic.countReport(a)
			s.host.cluster.after(s.host.latency, func() { s.stepDealer(a) })
		}
	}
}

func (s *shardedScheduler) stepDealer(event deal.DealerEvent) {
	if s.dealer == nil {
		return
	}
	for _, a := range s.dealer.Step(s.host.cluster.wallTime(), event) {
		s.traffic.countAllotment(a)
		s.host.cluster.after(s.host.latency, func() { s.deliverAllotment(a) })
	}
}

// deliverAllotment delivers an allotment and sends the grants that follow.
func (s *shardedScheduler) deliverAllotment(a deal.Allotment) {
	s.runAndRoute(func() {
		s.stepHolder(s.shards[a.Shard], a)
		s.reportUsage(a.Shard)
	})
}

// runAndRoute runs fn out of a step of the host and routes what follows.
func (s *shardedScheduler) runAndRoute(fn func()) {
	s.actions = nil
	fn()
	for _, action := range s.actions {
		s.host.route(action)
	}
}

// tick steps the dealer. The schedulers are stepped by the host's tick.
func (s *shardedScheduler) tick() {
	s.stepDealer(deal.Tick{})
	s.runAndRoute(func() {
		for i := range s.shards {
			s.reportUsage(i)
		}
	})
	s.host.cluster.after(dealInterval, s.tick)
}

func (s *shardedScheduler) replicate() {
	for _, sh := range s.shards {
		if sh.alive {
			sh.counters = sh.scheduler.Counters()
		}
	}
	s.host.cluster.after(counterInterval, s.replicate)
}

// killShard ends the holder of a shard. The routers notice by its silence and
// join an empty one.
func (s *shardedScheduler) killShard(i int) {
	sh := s.shards[i]
	sh.alive = false
	s.host.cluster.after(peerLostAfter, func() {
		s.runAndRoute(func() {
			s.startShard(sh)
			s.restoreRequests(sh)
		})
	})
}

// restoreRequests brings a shard what the routers hold.
func (s *shardedScheduler) restoreRequests(sh *shard) {
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
			s.stepShard(sh.index, r.newDemand(q, q.seq, false))
		}
	}
}

// killDealer ends the dealer. An empty one follows after its silence.
func (s *shardedScheduler) killDealer() {
	s.dealer = nil
	s.host.cluster.after(peerLostAfter, func() { s.runAndRoute(s.startDealer) })
}
