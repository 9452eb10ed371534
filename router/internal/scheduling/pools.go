package scheduling

import (
	"cmp"
	"slices"
	"time"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/deal"
	"github.com/chiveseam/chiveseam/pool"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/router/internal/state"
)

// scheduler returns the scheduler of a shard, and starts an empty one on first use. It
// returns false if the shard is not known here or its pool is not configured.
func (h *Host) scheduler(id config.ID, now time.Time) (*shardScheduler, bool) {
	if sched, ok := h.schedulers[id]; ok {
		return sched, true
	}
	shard, ok := h.shardOf(id)
	if !ok {
		return nil, false
	}
	accepted := h.store.Config()
	p, ok := accepted.Pool(shard.Pool)
	if !ok {
		return nil, false
	}
	sched := &shardScheduler{shard: shard, Scheduler: pool.New(pool.Options{
		InitialCost: int64(p.InitialCost),
		HoldTime:    h.opts.HoldTime,
		SettleTime:  settleTime,
		MaxSpares:   h.opts.MaxSpares,
		Seed:        shardSeed(h.opts.Seed, shard),
	})}
	h.schedulers[id] = sched
	h.configure(id, sched, p, accepted, now)
	return sched, true
}

// reconfigure applies the configuration in force and the set of leaving targets to all
// schedulers. A scheduler whose pool is not configured any more loses its targets.
func (h *Host) reconfigure(now time.Time) {
	accepted := h.store.Config()
	if accepted == nil {
		return
	}
	for id, sched := range h.schedulers {
		p, ok := accepted.Pool(sched.shard.Pool)
		if !ok {
			h.step(id, now, pool.TargetsChanged{})
			continue
		}
		h.configure(id, sched, p, accepted, now)
	}
	h.startShards(accepted, now)
}

// configure applies the configuration in force to the scheduler of a shard.
func (h *Host) configure(id config.ID, sched *shardScheduler, p *v1.Pool, accepted *config.Accepted, now time.Time) {
	targets := TargetsOf(p, accepted, h.store.Fleet())
	h.configureSlots(id, sched, targets, accepted, now)
	h.step(id, now, pool.ConfigurationChanged{
		Targets:    targets,
		Workspaces: workspacesOf(p, accepted, sched.shard),
	})
	h.setRegions(id, sched, p, accepted, now)
}

// workspacesOf returns the workspaces that may use the pool and belong to the shard.
func workspacesOf(p *v1.Pool, accepted *config.Accepted, shard config.Shard) []pool.Workspace {
	var list []pool.Workspace
	for _, w := range accepted.Proto.Workspaces {
		if len(w.Pools) > 0 && !slices.Contains(w.Pools, p.Name) {
			continue
		}
		id := config.IDOf(w.Name)
		if deal.ShardOf(id, shard.Count) != shard.Index {
			continue
		}
		list = append(list, pool.Workspace{
			ID:             id,
			Share:          w.Share,
			MaxQueued:      int(w.MaxQueuedRequests),
			MaxQueuedBytes: int64(w.MaxQueuedBytes),
			DataCentre:     w.DataCentre,
		})
	}
	return list
}

// TargetsOf returns the pool's targets in the region of this router.
func TargetsOf(p *v1.Pool, accepted *config.Accepted, fleet *state.Fleet) []pool.Target {
	const referencePercent = 100
	var list []pool.Target
	for _, t := range accepted.TargetsOf(p.Name) {
		zone, ok := accepted.Zone(t.Zone)
		if !ok || zone.Region != fleet.Self.Region {
			continue
		}
		speed := float64(t.SpeedPercent) / referencePercent
		if speed == 0 {
			speed = 1
		}
		list = append(list, pool.Target{
			ID:         config.IDOf(t.Name),
			Zone:       t.Zone,
			DataCentre: zone.DataCentre,
			Slots:      int(t.Slots),
			Speed:      speed,
			Leaving:    fleet.LeavingTargets[config.IDOf(t.Name)],
		})
	}
	return list
}

// replicateCounters sends the counters of each shard scheduled here to the
// counterReplicas routers that are next in rank for its scheduler role. It drops idle
// shards that are no longer configured or whose role has moved to another router.
func (h *Host) replicateCounters(now time.Time) {
	accepted := h.store.Config()
	if accepted == nil {
		return
	}
	fleet := h.store.Fleet()
	for id, sched := range h.schedulers {
		if _, ok := accepted.ShardByID(id); !ok {
			h.dropIfIdle(id, sched, now)
			continue
		}
		if !h.hasSchedulerRole(sched.shard) {
			h.dropIfIdle(id, sched, now)
			continue
		}
		ranked := fleet.SchedulersOf(sched.shard, fleet.Self.Region, counterReplicas+1)
		counters := sched.Counters()
		for _, m := range ranked[1:] {
			if s, ok := h.sessions[pool.Router{Name: m.Name, Incarnation: m.Incarnation}]; ok {
				s.replicate(id, counters, sched.CounterStep())
			}
		}
	}
}

// replicate adds to the session's batch the counters that changed by at least step since
// they were last sent, or whose backlog began or ended.
func (s *Session) replicate(id config.ID, counters []pool.Counter, step uint64) {
	sent, ok := s.sentCounters[id]
	if !ok {
		sent = map[config.ID]pool.Counter{}
		s.sentCounters[id] = sent
	}
	message := &v1.PoolCounters{Pool: uint32(id)}
	for _, c := range counters {
		if c.Differs(sent[c.Workspace], step) {
			sent[c.Workspace] = c
			message.Counters = append(message.Counters, counterMessage(c))
		}
	}
	if len(message.Counters) > 0 {
		s.out.Counters = append(s.out.Counters, message)
	}
}

// hasSchedulerRole reports whether this router has the scheduler role of the shard.
func (h *Host) hasSchedulerRole(shard config.Shard) bool {
	fleet := h.store.Fleet()
	ranked := fleet.SchedulersOf(shard, fleet.Self.Region, 1)
	return len(ranked) > 0 && ranked[0].Name == fleet.Self.Name
}

// dropIfIdle drops the scheduler of a shard if it has no waiting demands and no busy
// slots, and reports whether it did. The caller makes sure that another router has the
// shard's scheduler role, or that the shard is not configured.
func (h *Host) dropIfIdle(id config.ID, sched *shardScheduler, now time.Time) bool {
	status := sched.Status()
	if status.Queued > 0 {
		return false
	}
	for _, t := range status.Targets {
		if t.Busy > 0 {
			return false
		}
	}
	h.retireHolder(sched, now)
	delete(h.schedulers, id)
	for _, s := range h.sessions {
		delete(s.joined, id)
	}
	return true
}

func counterMessage(c pool.Counter) *v1.Counter {
	return &v1.Counter{Workspace: uint32(c.Workspace), Value: c.Value, Backlogged: c.Backlogged}
}

// Status describes the shards that are scheduled here, ordered by pool, shard index and
// number of shards. It is nil if no configuration is in force or the host has stopped.
func (h *Host) Status() []*v1.PoolStatus {
	list, _ := inspect(h, h.status)
	return list
}

func (h *Host) status() []*v1.PoolStatus {
	accepted := h.store.Config()
	if accepted == nil {
		return nil
	}
	var list []*v1.PoolStatus
	for _, sched := range h.schedulers {
		if _, ok := accepted.Pool(sched.shard.Pool); !ok {
			continue
		}
		message := poolStatus(sched.shard, h.store.Fleet().Self.Region, sched.Status(), accepted)
		if sched.holder != nil {
			message.Dealer = h.dealerOf(sched.shard).Name
		}
		list = append(list, message)
	}
	slices.SortFunc(list, func(a, b *v1.PoolStatus) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Shard, b.Shard), cmp.Compare(a.Shards, b.Shards))
	})
	return list
}

func poolStatus(shard config.Shard, region string, status pool.Status, accepted *config.Accepted) *v1.PoolStatus {
	message := &v1.PoolStatus{
		Pool:       shard.Pool,
		Region:     region,
		Queued:     uint32(status.Queued),
		Granted:    status.Granted,
		Refused:    status.Refused,
		SpareSlots: uint32(status.SpareSlots),
	}
	if shard.Count > 1 {
		message.Shard, message.Shards = uint32(shard.Index), uint32(shard.Count)
	}
	for _, t := range status.Targets {
		target, ok := accepted.Target(t.ID)
		if !ok {
			continue
		}
		message.Targets = append(message.Targets, &v1.TargetStatus{
			Target:  target.Name,
			Slots:   uint32(t.Slots),
			Busy:    uint32(t.Busy),
			Down:    t.Down,
			Leaving: t.Leaving,
		})
	}
	return message
}
