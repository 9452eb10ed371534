package pool

import (
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// done ends a granted demand.
func (s *Scheduler) done(e Done) {
	d := s.find(e.ID)
	if d == nil || !d.granted() {
		s.cancel(Cancel{ID: e.ID})
		return
	}
	s.recordHealth(d, e.Outcome)
	s.settle(d, e)
	s.judge(d, e)
	s.vacate(d)
}

// settle ends the charge of d.
func (s *Scheduler) settle(d *demand, e Done) {
	switch e.Outcome {
	case v1.Outcome_NOT_RUN, v1.Outcome_UNUSED:
		s.counters.Refund(&d.charge)
	case v1.Outcome_SERVED:
		s.counters.Settle(&d.charge, e.Cost)
		service := s.serviceTime(d, e)
		s.service.observe(e.Cost, service)
		d.target.service.observe(e.Cost, service)
	case v1.Outcome_FAILED:
		s.counters.Settle(&d.charge, e.Cost)
	default:
		s.counters.Close(&d.charge, e.Cost)
	}
}

func (s *Scheduler) serviceTime(d *demand, e Done) time.Duration {
	if e.ServiceTime > 0 {
		return e.ServiceTime
	}
	return s.now.Sub(d.grantedAt)
}

// recordHealth tells the breakers of the target how d ended.
func (s *Scheduler) recordHealth(d *demand, outcome v1.Outcome) {
	t := d.target
	zone := d.router.zone
	switch outcome {
	case v1.Outcome_SERVED:
		t.breaker.Success(s.now)
		s.reachable(t, zone)
	case v1.Outcome_NOT_RUN:
		t.breaker.Release(s.now)
		s.unreached(t, zone)
	case v1.Outcome_FAILED:
		// The quick refusals of a broken target would attract all the work.
		t.breaker.Failure(s.now)
		s.reachable(t, zone)
	case v1.Outcome_LOST:
		t.breaker.Failure(s.now)
		s.unreached(t, zone)
	default:
		t.breaker.Release(s.now)
		if health := t.reach[zone]; health != nil {
			health.breaker.Release(s.now)
			s.watch(&health.timer, health.breaker)
		}
	}
	s.watch(&t.timer, t.breaker)
}

// unreached records a failure of t as seen from zone.
func (s *Scheduler) unreached(t *target, zone string) {
	health := s.reach(t, zone)
	health.breaker.Failure(s.now)
	s.watch(&health.timer, health.breaker)
}
