package measure

import (
	"fmt"
	"slices"
	"time"

	"github.com/chiveseam/chiveseam/deal"
	"github.com/chiveseam/chiveseam/pool"
)

// dealInterval is the time between two steps of the dealer. After each of them the holders
// receive the usage of their schedulers.
const dealInterval = 20 * time.Millisecond

// usageInterval is the least time between two reports of a scheduler's usage to its holder,
// unless its allotted slots change.
const usageInterval = 20 * time.Millisecond

// shardedScheduler is a scheduler and a holder for each shard of a pool and a dealer that
// allots the slots to them. It implements scheduler.
type shardedScheduler struct {
	host    *host
	options deal.Options
	// dealer is nil while the dealer is lost. dealerID has the name and incarnation of the
	// latest one.
	dealer   *deal.Dealer
	dealerID pool.Router
	shards   []*shard
	// demandShard holds the shard of each demand that has not ended.
	demandShard map[pool.DemandID]int
	targets     []pool.Target
	workspaces  []pool.Workspace
	traffic     dealTraffic
	// actions collects the actions of the schedulers during a step.
	actions []pool.Action
}

// shard is the scheduler and the holder of a shard.
type shard struct {
	index int
	// incarnation is raised by one for each holder of the shard.
	incarnation uint64
	// alive is false from the loss of the holder until the next one starts.
	alive     bool
	scheduler *pool.Scheduler
	holder    *deal.Holder
	id        pool.Router
	// nextUsageTime is the time from which on the holder receives the scheduler's usage
	// again.
	nextUsageTime time.Duration
	// counters holds the counters as last replicated. A new scheduler of the shard starts
	// from them.
	counters []pool.Counter
}

// newShardedScheduler starts the schedulers and holders of all shards and the dealer.
func newShardedScheduler(h *host) *shardedScheduler {
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

// startShard starts a scheduler without state and a holder without slots.
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

// configure gives a shard its workspaces, the targets and the dealer.
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

// startDealer starts a dealer without state and tells the holders.
func (s *shardedScheduler) startDealer() {
	s.dealerID = pool.Router{Name: "dealer", Incarnation: s.dealerID.Incarnation + 1}
	s.dealer = deal.NewDealer(s.dealerID, s.options)
	s.stepDealer(deal.TargetsChanged{Targets: s.targets})
	for _, sh := range s.shards {
		s.stepHolder(sh, deal.DealerChanged{Dealer: s.dealerID})
	}
}

// Step implements scheduler. It passes a demand, its progress and its end to the demand's
// shard, and other events to all shards.
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

// reconfigure configures all shards after a change of the workspaces or targets.
func (s *shardedScheduler) reconfigure() {
	for _, sh := range s.shards {
		s.configure(sh)
	}
}

// joinRouter joins a router to each shard, with the requests in flight of the shard's
// workspaces.
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

// stepShard steps the scheduler of a shard and reports its usage to the holder.
func (s *shardedScheduler) stepShard(i int, event pool.Event) {
	sh := s.shards[i]
	if !sh.alive {
		return
	}
	s.stepScheduler(sh, event)
	s.reportUsage(i)
}

// reportUsage gives the holder of a shard the usage of its scheduler, if the scheduler has
// settled and the usage interval is over.
func (s *shardedScheduler) reportUsage(i int) {
	sh := s.shards[i]
	now := s.host.cluster.now
	if !sh.alive || !sh.scheduler.Settled() || now < sh.nextUsageTime {
		return
	}
	sh.nextUsageTime = now + usageInterval
	s.stepHolder(sh, deal.UsageChanged{Usage: sh.scheduler.Usage()})
}

// stepScheduler steps the scheduler of a shard and collects its actions.
func (s *shardedScheduler) stepScheduler(sh *shard, event pool.Event) {
	s.actions = append(s.actions, sh.scheduler.Step(s.host.cluster.wallTime(), event)...)
}

// stepHolder steps the holder of a shard, passes changed slots to its scheduler and sends
// its reports to the dealer.
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

// stepDealer steps the dealer and sends its allotments to the holders.
func (s *shardedScheduler) stepDealer(event deal.DealerEvent) {
	if s.dealer == nil {
		return
	}
	for _, a := range s.dealer.Step(s.host.cluster.wallTime(), event) {
		s.traffic.countAllotment(a)
		s.host.cluster.after(s.host.latency, func() { s.deliverAllotment(a) })
	}
}

// deliverAllotment gives an allotment to the holder of its shard and routes the grants that
// result.
func (s *shardedScheduler) deliverAllotment(a deal.Allotment) {
	s.runAndRoute(func() {
		s.stepHolder(s.shards[a.Shard], a)
		s.reportUsage(a.Shard)
	})
}

// runAndRoute runs fn, which steps schedulers outside of Step, and routes their actions.
func (s *shardedScheduler) runAndRoute(fn func()) {
	s.actions = nil
	fn()
	for _, action := range s.actions {
		s.host.route(action)
	}
}

// tick steps the dealer and reports the usage of all shards, once in each deal interval. The
// schedulers receive their ticks from the host.
func (s *shardedScheduler) tick() {
	s.stepDealer(deal.Tick{})
	s.runAndRoute(func() {
		for i := range s.shards {
			s.reportUsage(i)
		}
	})
	s.host.cluster.after(dealInterval, s.tick)
}

// replicate keeps the counters of all shards for their next schedulers, once in each counter
// interval.
func (s *shardedScheduler) replicate() {
	for _, sh := range s.shards {
		if sh.alive {
			sh.counters = sh.scheduler.Counters()
		}
	}
	s.host.cluster.after(counterInterval, s.replicate)
}

// killShard ends the scheduler and the holder of a shard. New ones start when the routers
// have noticed the silence.
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

// restoreRequests joins all routers to the new scheduler of a shard, with their requests in
// flight and waiting demands.
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

// killDealer ends the dealer. A new dealer without state starts when the silence of the old
// one has been noticed.
func (s *shardedScheduler) killDealer() {
	s.dealer = nil
	s.host.cluster.after(peerLostAfter, func() { s.runAndRoute(s.startDealer) })
}
