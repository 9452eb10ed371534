package measure

import (
	"math"
	"slices"
	"time"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/pool"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// demandMaxWait is how long a demand waits for a grant at most.
const demandMaxWait = 10 * time.Second

// nextArrival returns a random time until the next request at a router. It is exponentially
// distributed.
func (t *trafficRun) nextArrival() time.Duration { return seconds(t.rng.ExpFloat64() / requestRate) }

// arrive creates a request. It uses a spare slot if the router has one, and sends a demand
// otherwise.
func (r *trafficRouter) arrive() {
	t := r.run
	t.after(t.nextArrival(), r.arrive)
	t.requests++
	r.seq++
	cost := meanCost * math.Exp(t.rng.NormFloat64()*costSpread-costSpread*costSpread/2)
	r.costs[r.seq] = max(int64(cost), 1)
	p := t.pools[t.drawPool()]
	s := r.session(p.holder)
	s.poolOf[r.seq] = p
	demand := &v1.Demand{
		Seq:       r.seq,
		Pool:      uint32(p.id),
		Workspace: uint32(p.workspaces[t.rng.IntN(len(p.workspaces))].ID),
		WaitMs:    uint32(demandMaxWait.Milliseconds()),
		Prefix:    t.rng.Uint32(),
		BodyBytes: uint32(t.rng.IntN(1 << 14)),
	}
	if s.useSpare(p, demand) {
		return
	}
	s.silence.changeWaiting(t.now, 1)
	s.up.add(func(b *v1.EntryBatch) { b.Demands = append(b.Demands, demand) })
}

// drawPool returns the index of a random pool, weighted by load.
func (t *trafficRun) drawPool() int {
	x := t.rng.Float64()
	for i, p := range t.pools {
		x -= p.loadFraction
		if x < 0 {
			return i
		}
	}
	return len(t.pools) - 1
}

// useSpare starts a request on a spare slot of the pool. It returns false if there is none.
func (s *session) useSpare(p *trafficPool, d *v1.Demand) bool {
	if len(s.spares[p]) == 0 {
		return false
	}
	spare := s.spares[p][0]
	s.spares[p] = s.spares[p][1:]
	s.router.run.spareUses++
	s.up.add(func(b *v1.EntryBatch) { b.SpareUses = append(b.SpareUses, &v1.SpareUse{Spare: spare.Id, Demand: d}) })
	s.simulateService(d.Seq, pool.Prediction{Estimate: meanCost, Rate: int64(spare.Rate)})
	return true
}

// handleEntryBatch passes a batch from the entry to the schedulers.
func (s *session) handleEntryBatch(b *v1.EntryBatch) {
	for _, use := range b.SpareUses {
		s.poolOf[use.Demand.Seq].step(pool.SpareUsed{Spare: use.Spare, Demand: s.demand(use.Demand)})
	}
	for _, d := range b.Demands {
		s.poolOf[d.Seq].step(s.demand(d))
	}
	for _, p := range b.Progress {
		s.poolOf[p.Seq].step(pool.Progress{ID: s.demandID(p.Seq), Cost: int64(p.Cost)})
	}
	for _, d := range b.Done {
		service := time.Duration(d.ServiceMs) * time.Millisecond
		s.poolOf[d.Seq].step(pool.Done{ID: s.demandID(d.Seq), Cost: int64(d.Cost), Outcome: d.Outcome, ServiceTime: service})
		delete(s.poolOf, d.Seq)
	}
	for _, id := range b.SpareReturns {
		for _, p := range s.router.run.pools {
			if p.holder == s.holder {
				p.step(pool.SpareReturned{Router: s.router.id, Spare: id})
			}
		}
	}
}

// demandID returns the ID of a demand of the session's router.
func (s *session) demandID(seq uint64) pool.DemandID {
	return pool.DemandID{Router: s.router.id, Seq: seq}
}

// demand converts a demand message to the scheduler's event.
func (s *session) demand(d *v1.Demand) pool.Demand {
	return pool.Demand{
		ID:        s.demandID(d.Seq),
		Workspace: config.ID(d.Workspace),
		Estimate:  int64(d.Estimate),
		Deadline:  s.router.run.wallTime().Add(time.Duration(d.WaitMs) * time.Millisecond),
		Prefix:    d.Prefix,
		BodyBytes: int64(d.BodyBytes),
	}
}

// handleSchedulerBatch handles a batch from the schedulers at the entry.
func (s *session) handleSchedulerBatch(b *v1.SchedulerBatch) {
	s.silence.lastHeard = s.router.run.now
	s.silence.changeWaiting(s.router.run.now, -len(b.Grants)-len(b.Refusals))
	for _, spare := range b.Spares {
		p := s.router.run.poolByID(config.ID(spare.Pool))
		s.spares[p] = append(s.spares[p], spare)
		s.router.run.after(time.Duration(spare.ExpiresMs)*time.Millisecond, func() { s.returnSpare(spare.Id) })
	}
	for _, id := range b.RevokedSpares {
		s.returnSpare(id)
	}
	for _, g := range b.Grants {
		s.router.run.grants++
		s.simulateService(g.Seq, pool.Prediction{Estimate: int64(g.Estimate), Rate: int64(g.Rate)})
	}
	for _, refusal := range b.Refusals {
		delete(s.router.costs, refusal.Seq)
		delete(s.poolOf, refusal.Seq)
	}
}

// poolByID returns the pool with the ID.
func (t *trafficRun) poolByID(id config.ID) *trafficPool {
	i := slices.IndexFunc(t.pools, func(p *trafficPool) bool { return p.id == id })
	return t.pools[i]
}

// returnSpare returns a spare slot to its scheduler. It does nothing if the slot was used.
func (s *session) returnSpare(id uint64) {
	for p, spares := range s.spares {
		i := slices.IndexFunc(spares, func(spare *v1.Spare) bool { return spare.Id == id })
		if i < 0 {
			continue
		}
		s.spares[p] = slices.Delete(spares, i, i+1)
		s.up.add(func(b *v1.EntryBatch) { b.SpareReturns = append(b.SpareReturns, id) })
		return
	}
}

// simulateService schedules the progress reports and the end of a granted request.
func (s *session) simulateService(seq uint64, prediction pool.Prediction) {
	t := s.router.run
	cost := s.router.costs[seq]
	delete(s.router.costs, seq)
	for elapsed := reportInterval; ; elapsed += reportInterval {
		served := int64(elapsed.Seconds() * slotRate)
		if served >= cost {
			break
		}
		if !prediction.ReportDue(elapsed, served) {
			continue
		}
		prediction.Observe(elapsed, served)
		t.after(elapsed, func() {
			t.reports++
			s.up.add(func(b *v1.EntryBatch) {
				b.Progress = append(b.Progress, &v1.Progress{Seq: seq, Cost: uint32(served)})
			})
		})
	}
	service := seconds(float64(cost) / slotRate)
	t.after(service, func() {
		s.up.add(func(b *v1.EntryBatch) {
			b.Done = append(b.Done, &v1.Done{Seq: seq, Cost: uint32(cost), Outcome: v1.Outcome_SERVED, ServiceMs: uint32(service.Milliseconds())})
		})
	})
}
