package scheduling

import (
	"cmp"
	"slices"
	"time"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/pool"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/router/internal/state"
)

// scheduler returns the scheduler of a configured pool, starting it empty on
// first use.
func (h *Host) scheduler(id config.ID, now time.Time) (*pool.Scheduler, bool) {
	if sched, ok := h.pools[id]; ok {
		return sched, true
	}
	accepted := h.store.Config()
	if accepted == nil {
		return nil, false
	}
	p, ok := accepted.PoolByID(id)
	if !ok {
		return nil, false
	}
	sched := pool.New(pool.Options{
		InitialCost: int64(p.InitialCost),
		HoldTime:    h.opts.HoldTime,
		SettleTime:  settleTime,
		MaxSpares:   h.opts.MaxSpares,
		Seed:        h.opts.Seed,
	})
	h.pools[id] = sched
	h.configure(id, p, accepted, now)
	return sched, true
}

// reconfigure applies the configuration and the leaving targets to all pools.
func (h *Host) reconfigure(now time.Time) {
	accepted := h.store.Config()
	if accepted == nil {
		return
	}
	for id := range h.pools {
		p, ok := accepted.PoolByID(id)
		if !ok {
			h.step(id, now, pool.TargetsChanged{})
			continue
		}
		h.configure(id, p, accepted, now)
	}
}

func (h *Host) configure(id config.ID, p *v1.Pool, accepted *config.Accepted, now time.Time) {
	h.step(id, now, pool.ConfigurationChanged{
		Targets:    targetsOf(p, accepted, h.store.Fleet()),
		Workspaces: workspacesOf(p, accepted),
	})
	h.setRegions(id, p, accepted, now)
}

// workspacesOf returns the workspaces that may use the pool.
func workspacesOf(p *v1.Pool, accepted *config.Accepted) []pool.Workspace {
	var list []pool.Workspace
	for _, w := range accepted.Proto.Workspaces {
		if len(w.Pools) > 0 && !slices.Contains(w.Pools, p.Name) {
			continue
		}
		list = append(list, pool.Workspace{
			ID:             config.IDOf(w.Name),
			Share:          w.Share,
			MaxQueued:      int(w.MaxQueuedRequests),
			MaxQueuedBytes: int64(w.MaxQueuedBytes),
			DataCentre:     w.DataCentre,
		})
	}
	return list
}

// targetsOf returns the pool's targets in the router's own region.
func targetsOf(p *v1.Pool, accepted *config.Accepted, fleet *state.Fleet) []pool.Target {
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

// replicateCounters sends the counters of each pool to the routers that are
// next in rank for its scheduler role.
func (h *Host) replicateCounters() {
	accepted := h.store.Config()
	if accepted == nil {
		return
	}
	fleet := h.store.Fleet()
	for id, sched := range h.pools {
		p, ok := accepted.PoolByID(id)
		if !ok {
			continue
		}
		ranked := fleet.SchedulersOf(p.Name, fleet.Self.Region, successors+1)
		if len(ranked) == 0 || ranked[0].Name != fleet.Self.Name {
			h.dropIdle(id, sched)
			continue
		}
		counters := sched.Counters()
		for _, m := range ranked[1:] {
			if s, ok := h.sessions[pool.Router{Name: m.Name, Incarnation: m.Incarnation}]; ok {
				s.replicate(id, counters)
			}
		}
	}
}

// replicate sends the counters that changed since they were last sent on the
// session.
func (s *Session) replicate(id config.ID, counters []pool.Counter) {
	sent, ok := s.replicated[id]
	if !ok {
		sent = map[config.ID]pool.Counter{}
		s.replicated[id] = sent
	}
	message := &v1.PoolCounters{Pool: uint32(id)}
	for _, c := range counters {
		if sent[c.Workspace] != c {
			sent[c.Workspace] = c
			message.Counters = append(message.Counters, counterMessage(c))
		}
	}
	if len(message.Counters) > 0 {
		s.out.Counters = append(s.out.Counters, message)
	}
}

// dropIdle forgets a pool that another router schedules, once nothing waits or
// runs here.
func (h *Host) dropIdle(id config.ID, sched *pool.Scheduler) {
	status := sched.Status()
	if status.Queued > 0 {
		return
	}
	for _, t := range status.Targets {
		if t.Busy > 0 {
			return
		}
	}
	delete(h.pools, id)
	for _, s := range h.sessions {
		delete(s.joined, id)
	}
}

func counterMessage(c pool.Counter) *v1.Counter {
	return &v1.Counter{Workspace: uint32(c.Workspace), Value: c.Value, Backlogged: c.Backlogged}
}

// Status describes the pools that are scheduled here, by name.
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
	for id, sched := range h.pools {
		p, ok := accepted.PoolByID(id)
		if !ok {
			continue
		}
		list = append(list, poolStatus(p.Name, h.store.Fleet().Self.Region, sched.Status(), accepted))
	}
	slices.SortFunc(list, func(a, b *v1.PoolStatus) int { return cmp.Compare(a.Pool, b.Pool) })
	return list
}

func poolStatus(name, region string, status pool.Status, accepted *config.Accepted) *v1.PoolStatus {
	message := &v1.PoolStatus{
		Pool:       name,
		Region:     region,
		Queued:     uint32(status.Queued),
		Granted:    status.Granted,
		Refused:    status.Refused,
		SpareSlots: uint32(status.SpareSlots),
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
