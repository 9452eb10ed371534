package pool

import (
	"time"

	"github.com/chiveseam/chiveseam/config"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// dispatch grants the free slots of the targets in dispatchTargets to waiting
// demands.
func (s *Scheduler) dispatch() {
	for _, t := range s.dispatchTargets {
		s.grantFreeSlots(t)
		s.forgetTarget(t)
	}
	s.dispatchTargets = s.dispatchTargets[:0]
}

// grantFreeSlots grants the free slots of t to waiting demands.
func (s *Scheduler) grantFreeSlots(t *target) {
	for !s.withholdsGrants() && t.acceptsWork() && t.free() > 0 && s.waiting > 0 {
		d := s.next(t)
		if d == nil {
			return
		}
		s.grant(d, t)
	}
}

// next returns the waiting demand that gets the next free slot of t, or nil.
func (s *Scheduler) next(t *target) *demand {
	s.candidate = t
	id, ok := s.counters.Next(t.DataCentre, s.hasDemand)
	if !ok {
		return nil
	}
	return s.workspaces[id].next(t, s.now)
}

// candidateHasDemand reports whether a demand of the workspace waits for a slot of
// s.candidate.
func (s *Scheduler) candidateHasDemand(id config.ID) bool {
	return s.workspaces[id].next(s.candidate, s.now) != nil
}

// next returns the first waiting demand of w that may use t, or nil.
func (w *workspace) next(t *target, now time.Time) *demand {
	var first *demand
	for _, c := range w.classes {
		d := c.queue[0]
		if first != nil && !d.before(first) {
			continue
		}
		if t.serves(w, c.exclude) && t.healthy(c.zone, now) {
			first = d
		}
	}
	return first
}

// chooseTarget returns the best target with a free slot for the demand, or nil.
func (s *Scheduler) chooseTarget(d *demand, c *class) *target {
	if s.withholdsGrants() {
		return nil
	}
	entry := s.affinity.lookup(d.prefix)
	var best *target
	for _, t := range s.freeTargets {
		if !t.serves(d.workspace, c.exclude) || !t.healthy(c.zone, s.now) {
			continue
		}
		if best == nil || betterTarget(t, best, c.zone, entry) {
			best = t
		}
	}
	return best
}

// betterTarget reports whether a is preferred to b. In this order, it prefers targets
// of the router's zone, those that served the prompt prefix, those with the greater
// freeSpeed, and the lesser ID.
func betterTarget(a, b *target, zone string, entry *affinityEntry) bool {
	if sameZone := a.Zone == zone; sameZone != (b.Zone == zone) {
		return sameZone
	}
	if servedPrefix := entry.has(a.ID); servedPrefix != entry.has(b.ID) {
		return servedPrefix
	}
	if sa, sb := a.freeSpeed(), b.freeSpeed(); sa != sb {
		return sa > sb
	}
	return a.ID < b.ID
}

// freeSpeed returns the speed times the proportion of usable slots that are free.
func (t *target) freeSpeed() float64 {
	return t.Speed * float64(t.free()) / float64(t.usable)
}

// grant assigns a free slot of t to a demand and tells the router.
func (s *Scheduler) grant(d *demand, t *target) {
	s.startDemand(d, t)
	s.grantCount++
	s.emit(Grant{ID: d.id, Target: t.ID, Estimate: d.prediction.Estimate, Rate: d.prediction.Rate})
	s.countRecentGrant(d.router)
}

// startDemand charges the demand and occupies a slot of t. The slot need not be
// free: a demand on an unknown or expired spare slot runs already.
func (s *Scheduler) startDemand(d *demand, t *target) {
	id := d.workspace.ID
	s.counters.MarkBacklogged(id)
	d.prediction = Prediction{Estimate: s.counters.Estimate(id, d.estimate), Rate: t.service.rate()}
	d.charge = s.counters.Start(id, d.prediction.Charged(0))
	s.dequeue(d)
	s.occupySlot(d, t)
	s.recheckCopies(d)
	s.affinity.record(d.prefix, t.ID)
	s.admitToBreakers(t, d.router.zone)
}

// admitToBreakers tells the breakers of t, the target's own and that of the zone,
// that a request is sent. It does nothing while the target's own breaker admits no
// request, which a router that uses a spare slot does not know.
func (s *Scheduler) admitToBreakers(t *target, zone string) {
	if !t.breaker.Ready(s.now) {
		return
	}
	t.breaker.Admit(s.now)
	s.armBreakerTimer(&t.timer, t.breaker)
	if health := t.zoneHealth[zone]; health != nil {
		health.breaker.Admit(s.now)
		s.armBreakerTimer(&health.timer, health.breaker)
	}
}

// occupySlot makes d a granted demand that holds a slot of t.
func (s *Scheduler) occupySlot(d *demand, t *target) {
	d.target = t
	d.grantedAt = s.now
	d.lastSeenAt = s.now
	t.busy++
	d.workspace.running++
	s.updateFreeTargets(t)
	s.timers.set(&d.timer, s.now.Add(s.options.MaxService))
	s.startPredicting(d)
}

// vacateSlot frees the slot that d holds and forgets d.
func (s *Scheduler) vacateSlot(d *demand) {
	s.stopPredicting(d)
	t := d.target
	t.busy--
	d.workspace.running--
	s.yieldFreeSlots(t)
	s.updateFreeTargets(t)
	s.markForDispatch(t)
	s.forgetDemand(d)
}

// dequeue removes d from its workspace's queue if it is in it, and ends the
// backlog of a workspace whose queue is empty.
func (s *Scheduler) dequeue(d *demand) {
	w := d.workspace
	if d.class != nil {
		w.remove(d)
		s.markForTies(w)
		s.waiting--
	}
	if w.queued == 0 {
		s.counters.MarkIdle(w.ID)
	}
}

// forgetDemand marks d as ended and removes it from its copy group, its router and the
// timers.
func (s *Scheduler) forgetDemand(d *demand) {
	s.leaveCopyGroup(d)
	s.timers.stop(&d.timer)
	d.router.markEnded(d.id.Seq)
	s.forgetLostRouter(d.router)
}

// refuse ends a demand that is not granted and tells the router.
func (s *Scheduler) refuse(d *demand, code v1.Code, retryAfter time.Duration) {
	s.dequeue(d)
	s.forgetDemand(d)
	s.refusalCount++
	s.emit(Refuse{ID: d.id, Code: code, RetryAfter: retryAfter})
}

// timerFired implements timerOwner. It refuses a demand that was not granted by its
// deadline. It frees the slot of a granted one after Options.MaxService without a
// report, or Options.HoldTime after its router was lost.
func (d *demand) timerFired(s *Scheduler) {
	if !d.granted() {
		s.refuse(d, v1.Code_DEADLINE_EXCEEDED, s.retryAfter(d))
		return
	}
	until := d.lastSeenAt.Add(s.options.MaxService)
	if d.router.joined && until.After(s.now) {
		s.timers.set(&d.timer, until)
		return
	}
	s.counters.Abandon(&d.charge)
	s.vacateSlot(d)
}

func (s *Scheduler) emit(a Action) {
	s.actions = append(s.actions, a)
}
