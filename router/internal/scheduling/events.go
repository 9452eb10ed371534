package scheduling

import (
	"time"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/pool"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// receive passes the messages of a batch to the schedulers of their shards. It handles the
// Hello first, because that may say that a request of the same batch has moved to another
// shard.
func (h *Host) receive(s *Session, batch *v1.EntryBatch, now time.Time) {
	if batch.Hello != nil {
		h.handleHello(s, batch.Hello, now)
	}
	for _, use := range batch.SpareUses {
		if use.Demand == nil {
			continue
		}
		if h.isInOtherShard(s, use) {
			h.step(config.ID(use.Demand.Pool), now, pool.SpareReturned{Router: s.router, Spare: use.Spare})
			continue
		}
		id := s.recordDemand(use.Demand)
		h.ensureJoined(s, id, now)
		h.step(id, now, pool.SpareUsed{Spare: use.Spare, Demand: demandEvent(s, use.Demand, now)})
	}
	for _, d := range batch.Demands {
		id := s.recordDemand(d)
		if !h.ensureJoined(s, id, now) {
			h.refuseUnknownPool(s, d.Seq)
			continue
		}
		s.beginSpan(d)
		h.step(id, now, demandEvent(s, d, now))
	}
	for _, seq := range batch.Cancels {
		h.cancel(s, seq, now)
	}
	for _, p := range batch.Progress {
		if id, ok := s.shardBySeq[p.Seq]; ok {
			h.step(id, now, pool.Progress{ID: s.demandID(p.Seq), Cost: int64(p.Cost)})
		}
	}
	for _, seq := range batch.FirstBytes {
		if id, ok := s.shardBySeq[seq]; ok {
			h.step(id, now, pool.FirstByte{ID: s.demandID(seq)})
		}
	}
	for _, d := range batch.Done {
		if id, ok := s.removeDemand(d.Seq); ok {
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

// cancel withdraws a demand. If the demand was granted in the meantime, the router ignores
// the grant, because it has already sent the cancel. Therefore the Done event frees the
// slot at once.
func (h *Host) cancel(s *Session, seq uint64, now time.Time) {
	id, ok := s.removeDemand(seq)
	if !ok {
		return
	}
	h.step(id, now, pool.Cancel{ID: s.demandID(seq)})
	h.step(id, now, pool.Done{ID: s.demandID(seq), Outcome: v1.Outcome_UNUSED})
}

// handleHello joins the router to each shard that its Hello names, with the counters and
// the requests in flight that the router knows of the shard. A shard that is not
// configured here yet is skipped. The first demand for it joins the router once it is
// configured.
func (h *Host) handleHello(s *Session, hello *v1.Hello, now time.Time) {
	h.addNamedShards(hello.Shards)
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
			h.endInEarlierShard(s, f, now)
			s.shardBySeq[f.Seq] = id
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

// endInEarlierShard ends a request in flight in the shard that the session has recorded
// for it, if the router's Hello names the request in another shard. Otherwise the request
// would occupy a slot in both shards.
func (h *Host) endInEarlierShard(s *Session, f *v1.InFlight, now time.Time) {
	earlier, ok := s.shardBySeq[f.Seq]
	if !ok || earlier == config.ID(f.Pool) || h.schedulers[earlier] == nil {
		return
	}
	h.step(earlier, now, pool.Done{ID: s.demandID(f.Seq), Cost: int64(f.Charged), Outcome: v1.Outcome_ABANDONED})
}

// isInOtherShard reports whether the router's Hello has named the request in another
// shard than the shard of the spare slot on which the request began.
func (h *Host) isInOtherShard(s *Session, use *v1.SpareUse) bool {
	id, ok := s.shardBySeq[use.Demand.Seq]
	return ok && id != config.ID(use.Demand.Pool)
}

// ensureJoined joins the session's router to the shard's scheduler if it is not joined
// yet. It returns false if the shard is not known here.
func (h *Host) ensureJoined(s *Session, id config.ID, now time.Time) bool {
	if _, ok := h.scheduler(id, now); !ok {
		return false
	}
	if !s.joined[id] {
		s.joined[id] = true
		h.step(id, now, pool.RouterJoined{Router: s.router, Zone: s.zone})
	}
	return true
}

// refuseUnknownPool refuses a demand for a pool or shard that is not known here. This
// happens while the configuration of the demand's router is older or newer than that of
// this one.
func (h *Host) refuseUnknownPool(s *Session, seq uint64) {
	delete(s.shardBySeq, seq)
	s.out.Refusals = append(s.out.Refusals, &v1.Refusal{
		Seq:          seq,
		Code:         v1.Code_NO_TARGET,
		RetryAfterMs: uint32(counterInterval.Milliseconds()),
	})
}

func (s *Session) demandID(seq uint64) pool.DemandID {
	return pool.DemandID{Router: s.router, Seq: seq}
}

// recordDemand records the shard of a demand, and returns it.
func (s *Session) recordDemand(d *v1.Demand) config.ID {
	id := config.ID(d.Pool)
	s.shardBySeq[d.Seq] = id
	return id
}

// removeDemand removes the record of a demand and returns its shard. It ends the demand's
// span, if the span is still open.
func (s *Session) removeDemand(seq uint64) (config.ID, bool) {
	id, ok := s.shardBySeq[seq]
	delete(s.shardBySeq, seq)
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
