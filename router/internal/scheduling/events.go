package scheduling

import (
	"time"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/pool"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// receive turns a batch into events of the pools that it concerns.
func (h *Host) receive(s *Session, batch *v1.EntryBatch, now time.Time) {
	if batch.Hello != nil {
		h.hello(s, batch.Hello, now)
	}
	for _, use := range batch.SpareUses {
		if use.Demand == nil {
			continue
		}
		if h.movedOn(s, use) {
			h.step(config.ID(use.Demand.Pool), now, pool.SpareReturned{Router: s.router, Spare: use.Spare})
			continue
		}
		id := s.remember(use.Demand)
		h.join(s, id, now)
		h.step(id, now, pool.SpareUsed{Spare: use.Spare, Demand: demandEvent(s, use.Demand, now)})
	}
	for _, d := range batch.Demands {
		id := s.remember(d)
		if !h.join(s, id, now) {
			h.unknownPool(s, d.Seq)
			continue
		}
		s.beginSpan(d)
		h.step(id, now, demandEvent(s, d, now))
	}
	for _, seq := range batch.Cancels {
		h.cancel(s, seq, now)
	}
	for _, p := range batch.Progress {
		if id, ok := s.poolOf[p.Seq]; ok {
			h.step(id, now, pool.Progress{ID: s.demandID(p.Seq), Cost: int64(p.Cost)})
		}
	}
	for _, seq := range batch.FirstBytes {
		if id, ok := s.poolOf[seq]; ok {
			h.step(id, now, pool.FirstByte{ID: s.demandID(seq)})
		}
	}
	for _, d := range batch.Done {
		if id, ok := s.forget(d.Seq); ok {
			h.step(id, now, pool.Done{
				ID:          s.demandID(d.Seq),
				Cost:        int64(d.Cost),
				Outcome:     d.Outcome,
				ServiceTime: time.Duration(d.ServiceMs) * time.Millisecond,
				Unresolved:  time.Duration(d.UnresolvedMs) * time.Millisecond,
			})
		}
	}
	for _, spare := range batch.SpareReturns {
		h.stepAll(now, pool.SpareReturned{Router: s.router, Spare: spare})
	}
}

// cancel withdraws a demand. A router rejects a grant that crosses its cancel,
// so that the slot of a demand that was granted meanwhile is free at once.
func (h *Host) cancel(s *Session, seq uint64, now time.Time) {
	id, ok := s.forget(seq)
	if !ok {
		return
	}
	h.step(id, now, pool.Cancel{ID: s.demandID(seq)})
	h.step(id, now, pool.Done{ID: s.demandID(seq), Outcome: v1.Outcome_UNUSED})
}

// hello joins the router to each shard named with the state that it holds. A
// shard that is not configured here yet is joined by the first demand after it
// is.
func (h *Host) hello(s *Session, hello *v1.Hello, now time.Time) {
	h.name(hello.Shards)
	for _, c := range hello.Counters {
		id := config.ID(c.Pool)
		if _, ok := h.scheduler(id, now); !ok {
			continue
		}
		joined := pool.RouterJoined{Router: s.router, Zone: s.zone, Counters: counterEvents(c.Counters)}
		for _, f := range hello.InFlight {
			if f.Pool != c.Pool {
				continue
			}
			h.leaveEarlier(s, f, now)
			s.poolOf[f.Seq] = id
			joined.InFlight = append(joined.InFlight, pool.InFlight{
				ID:        s.demandID(f.Seq),
				Workspace: config.ID(f.Workspace),
				Target:    config.ID(f.Target),
				Digest:    f.Digest,
				Charged:   int64(f.Charged),
				Rate:      int64(f.Rate),
			})
		}
		s.joined[id] = true
		h.step(id, now, joined)
	}
}

// leaveEarlier ends a request in flight in the shard in which the session had
// it, if its router names it in another one now.
func (h *Host) leaveEarlier(s *Session, f *v1.InFlight, now time.Time) {
	earlier, ok := s.poolOf[f.Seq]
	if !ok || earlier == config.ID(f.Pool) || h.pools[earlier] == nil {
		return
	}
	h.step(earlier, now, pool.Done{ID: s.demandID(f.Seq), Cost: int64(f.Charged), Outcome: v1.Outcome_ABANDONED})
}

// movedOn reports whether the hello of the same batch has named the request in
// another shard than the one whose spare slot it began on.
func (h *Host) movedOn(s *Session, use *v1.SpareUse) bool {
	id, ok := s.poolOf[use.Demand.Seq]
	return ok && id != config.ID(use.Demand.Pool)
}

// join makes sure that the shard knows the router. It reports whether the pool
// is configured.
func (h *Host) join(s *Session, id config.ID, now time.Time) bool {
	if _, ok := h.scheduler(id, now); !ok {
		return false
	}
	if !s.joined[id] {
		s.joined[id] = true
		h.step(id, now, pool.RouterJoined{Router: s.router, Zone: s.zone})
	}
	return true
}

// unknownPool refuses a demand of a pool that the router which asks has in its
// configuration, which is newer or older than the one here.
func (h *Host) unknownPool(s *Session, seq uint64) {
	delete(s.poolOf, seq)
	s.out.Refusals = append(s.out.Refusals, &v1.Refusal{
		Seq:          seq,
		Code:         v1.Code_NO_TARGET,
		RetryAfterMs: uint32(counterInterval.Milliseconds()),
	})
}

func (s *Session) demandID(seq uint64) pool.DemandID {
	return pool.DemandID{Router: s.router, Seq: seq}
}

func (s *Session) remember(d *v1.Demand) config.ID {
	id := config.ID(d.Pool)
	s.poolOf[d.Seq] = id
	return id
}

func (s *Session) forget(seq uint64) (config.ID, bool) {
	id, ok := s.poolOf[seq]
	delete(s.poolOf, seq)
	s.endSpan(seq, "withdrawn")
	return id, ok
}

func demandEvent(s *Session, d *v1.Demand, now time.Time) pool.Demand {
	event := pool.Demand{
		ID:        s.demandID(d.Seq),
		Workspace: config.ID(d.Workspace),
		Estimate:  int64(d.Estimate),
		Deadline:  now.Add(time.Duration(d.WaitMs) * time.Millisecond),
		Prefix:    d.Prefix,
		Digest:    d.Digest,
		BodyBytes: int64(d.BodyBytes),
		Moved:     d.Moved,
	}
	for _, target := range d.Exclude {
		event.Exclude = append(event.Exclude, config.ID(target))
	}
	return event
}

func counterEvents(counters []*v1.Counter) []pool.Counter {
	events := make([]pool.Counter, len(counters))
	for i, c := range counters {
		events[i] = pool.Counter{Workspace: config.ID(c.Workspace), Value: c.Value, Backlogged: c.Backlogged}
	}
	return events
}
