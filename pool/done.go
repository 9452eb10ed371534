package pool

import (
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// handleDone ends a granted demand, or withdraws one that still waits.
func (s *Scheduler) handleDone(e Done) {
	d := s.findDemand(e.ID)
	if d == nil || !d.granted() {
		s.handleCancel(Cancel{ID: e.ID})
		return
	}
	s.recordHealth(d, e.Outcome)
	s.settleCharge(d, e)
	s.recordCopyOutcome(d, e)
	s.vacateSlot(d)
}

// settleCharge ends the charge of d by its outcome and, if it was served, records
// the service rate of the slot.
func (s *Scheduler) settleCharge(d *demand, e Done) {
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

// serviceTime returns the service time that the router reported, or the time since
// the grant.
func (s *Scheduler) serviceTime(d *demand, e Done) time.Duration {
	if e.ServiceTime > 0 {
		return e.ServiceTime
	}
	return s.now.Sub(d.grantedAt)
}

// recordHealth tells the breakers of the target, its own and that of the router's
// zone, how d ended.
func (s *Scheduler) recordHealth(d *demand, outcome v1.Outcome) {
	t := d.target
	zone := d.router.zone
	switch outcome {
	case v1.Outcome_SERVED:
		t.breaker.Success(s.now)
		s.clearUnreachable(t, zone)
	case v1.Outcome_NOT_RUN:
		t.breaker.Release(s.now)
		s.recordUnreachable(t, zone)
	case v1.Outcome_FAILED:
		// A broken target that answers quickly with errors would have free slots
		// all the time and attract all requests.
		t.breaker.Failure(s.now)
		s.clearUnreachable(t, zone)
	case v1.Outcome_LOST:
		t.breaker.Failure(s.now)
		s.recordUnreachable(t, zone)
	default:
		t.breaker.Release(s.now)
		if health := t.zoneHealth[zone]; health != nil {
			health.breaker.Release(s.now)
			s.armBreakerTimer(&health.timer, health.breaker)
		}
	}
	s.armBreakerTimer(&t.timer, t.breaker)
}

// recordUnreachable records that a request from zone did not reach t.
func (s *Scheduler) recordUnreachable(t *target, zone string) {
	health := s.zoneHealthOf(t, zone)
	health.breaker.Failure(s.now)
	s.armBreakerTimer(&health.timer, health.breaker)
}
