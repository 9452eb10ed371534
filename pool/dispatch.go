package pool

import (
	"time"

	"github.com/chiveseam/chiveseam/config"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// dispatch grants the slots that may have become usable in this step.
func (s *Scheduler) dispatch() {
	for _, t := range s.touched {
		s.fill(t)
		s.forgetTarget(t)
	}
	s.touched = s.touched[:0]
}

// fill grants the free slots of t to waiting demands.
func (s *Scheduler) fill(t *target) {
	for !s.withholds() && t.admits() && t.free() > 0 && s.waiting > 0 {
		d := s.next(t)
		if d == nil {
			return
		}
		s.grant(d, t)
	}
}

// next returns the waiting demand that is first in line for a slot of t.
func (s *Scheduler) next(t *target) *demand {
	s.candidate = t
	id, ok := s.counters.Next(t.DataCentre, s.hasDemand)
	if !ok {
		return nil
	}
	return s.workspaces[id].next(t, s.now)
}

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

// choose returns the best target with a free slot for the demand, or nil.
func (s *Scheduler) choose(d *demand, c *class) *target {
	if s.withholds() {
		return nil
	}
	entry := s.affinity.lookup(d.prefix)
	var best *target
	for _, t := range s.open {
		if !t.serves(d.workspace, c.exclude) || !t.healthy(c.zone, s.now) {
			continue
		}
		if best == nil || better(t, best, c.zone, entry) {
			best = t
		}
	}
	return best
}

// better compares targets: own zone, then affinity, then speed times the free
// proportion, then ID.
func better(a, b *target, zone string, entry *affinityEntry) bool {
	if near := a.Zone == zone; near != (b.Zone == zone) {
		return near
	}
	if warm := entry.has(a.ID); warm != entry.has(b.ID) {
		return warm
	}
	if sa, sb := a.freeSpeed(), b.freeSpeed(); sa != sb {
		return sa > sb
	}
	return a.ID < b.ID
}

// freeSpeed is the speed times the proportion of slots that are free.
func (t *target) freeSpeed() float64 {
	return t.Speed * float64(t.free()) / float64(t.usable)
}

// grant assigns a free slot of t to a waiting demand.
func (s *Scheduler) grant(d *demand, t *target) {
	s.begin(d, t)
	s.granted++
	s.emit(Grant{ID: d.id, Target: t.ID, Estimate: d.prediction.Estimate, Rate: d.prediction.Rate})
	s.recent(d.router)
}

// begin charges the demand and occupies a slot of t, which need not be free.
func (s *Scheduler) begin(d *demand, t *target) {
	id := d.workspace.ID
	s.counters.MarkBacklogged(id)
	d.prediction = Prediction{Estimate: s.counters.Estimate(id, d.estimate), Rate: t.service.rate()}
	d.charge = s.counters.Start(id, d.prediction.Charged(0))
	s.unqueue(d)
	s.occupy(d, t)
	s.recheck(d)
	s.affinity.record(d.prefix, t.ID)
	s.admit(t, d.router.zone)
}

// admit tells the breakers of t that a request is sent.
func (s *Scheduler) admit(t *target, zone string) {
	if !t.breaker.Ready(s.now) {
		return
	}
	t.breaker.Admit(s.now)
	s.watch(&t.timer, t.breaker)
	if health := t.reach[zone]; health != nil {
		health.breaker.Admit(s.now)
		s.watch(&health.timer, health.breaker)
	}
}

// occupy makes d hold a slot of t.
func (s *Scheduler) occupy(d *demand, t *target) {
	d.target = t
	d.grantedAt = s.now
	d.seenAt = s.now
	t.busy++
	d.workspace.running++
	s.updateOpen(t)
	s.timers.set(&d.timer, s.now.Add(s.options.MaxService))
	s.follow(d)
}

// vacate ends the hold of d on its slot and forgets d.
func (s *Scheduler) vacate(d *demand) {
	s.unfollow(d)
	t := d.target
	t.busy--
	d.workspace.running--
	s.yieldFree(t)
	s.updateOpen(t)
	s.touch(t)
	s.forget(d)
}

// unqueue takes d off its workspace's queue if it waits.
func (s *Scheduler) unqueue(d *demand) {
	w := d.workspace
	if d.class != nil {
		w.remove(d)
		s.changed(w)
		s.waiting--
	}
	if w.queued == 0 {
		s.counters.MarkIdle(w.ID)
	}
}

// forget drops all references to d.
func (s *Scheduler) forget(d *demand) {
	s.leaveContent(d)
	s.timers.stop(&d.timer)
	d.router.end(d.id.Seq)
	s.dropRouter(d.router)
}

// refuse ends a demand that is not granted.
func (s *Scheduler) refuse(d *demand, code v1.Code, retryAfter time.Duration) {
	s.unqueue(d)
	s.forget(d)
	s.refused++
	s.emit(Refuse{ID: d.id, Code: code, RetryAfter: retryAfter})
}

// due implements timed: the deadline of a waiting demand, or the end of the
// hold of a granted one.
func (d *demand) due(s *Scheduler) {
	if !d.granted() {
		s.refuse(d, v1.Code_DEADLINE_EXCEEDED, s.retryAfter(d))
		return
	}
	until := d.seenAt.Add(s.options.MaxService)
	if d.router.joined && until.After(s.now) {
		s.timers.set(&d.timer, until)
		return
	}
	s.counters.Abandon(&d.charge)
	s.vacate(d)
}

func (s *Scheduler) emit(a Action) {
	s.actions = append(s.actions, a)
}
