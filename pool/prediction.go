package pool

import "time"

const (
	// lookAhead is the part of the estimate, one over this, that is charged
	// before it is served.
	lookAhead = 4

	// maxEstimates bounds what is charged without a report, in estimates.
	maxEstimates = 4

	// reportPart is the part of the charge, one over this, that the cost may
	// exceed it before a router reports.
	reportPart = 2

	// predictInterval is the time between two charges of what is predicted.
	predictInterval = 250 * time.Millisecond
)

// Prediction is the service that a granted demand gets without a message. The
// scheduler charges it and the router that serves the demand compares it with
// what the target has served, so that it reports differences only.
//
// While the rate of the target's slots is not known, the estimate is charged at
// the grant. From then on a part of it is charged ahead of the cost served,
// which grows with time up to a bound, and by what is reported beyond it.
type Prediction struct {
	// Estimate is the expected cost of the whole demand in cost units.
	Estimate int64
	// Rate is the cost in units that the slot serves a second. Zero means that
	// it is not known.
	Rate int64
	// lead is the reported cost beyond what Rate gives.
	lead int64
	// reported is the largest reported cost.
	reported int64
}

// Resumed returns the prediction of a demand that was charged for before and
// goes on at the rate.
func Resumed(charged, rate int64) Prediction {
	p := Prediction{Estimate: charged, Rate: rate}
	p.lead = charged - p.ahead()
	return p
}

// ahead returns what is charged ahead of service: a part of the estimate, and as
// much of it as is served until the next charge.
func (p *Prediction) ahead() int64 {
	untilNext := int64(float64(p.Rate) * predictInterval.Seconds())
	return max((p.Estimate+lookAhead-1)/lookAhead, min(p.Estimate, untilNext))
}

// served returns the cost served in the time since the grant.
func (p *Prediction) served(elapsed time.Duration) int64 {
	return p.lead + int64(float64(p.Rate)*max(elapsed, 0).Seconds())
}

// Charged returns the cost charged in the time since the grant.
func (p *Prediction) Charged(elapsed time.Duration) int64 {
	if p.Rate <= 0 {
		return max(p.Estimate, p.reported)
	}
	charged := p.served(elapsed) + p.ahead()
	return min(charged, max(maxEstimates*p.Estimate, p.reported))
}

// Observe raises the prediction to a reported cost. A lower cost is ignored.
func (p *Prediction) Observe(elapsed time.Duration, cost int64) {
	p.lead += max(cost-p.served(elapsed), 0)
	p.reported = max(p.reported, cost)
}

// ReportDue tells whether the router must report a cost: it is half more than
// what is charged.
func (p *Prediction) ReportDue(elapsed time.Duration, cost int64) bool {
	charged := p.Charged(elapsed)
	return cost > charged+charged/reportPart
}

// predictor charges the predictions of the demands in flight on slots whose rate
// is known. Its timer is the time of the next charge.
type predictor struct {
	timer
	running []*demand
}

// due implements timed.
func (p *predictor) due(s *Scheduler) {
	for _, d := range p.running {
		s.predict(d)
	}
	if len(p.running) > 0 {
		s.timers.set(&p.timer, s.now.Add(predictInterval))
	}
}

func (s *Scheduler) predict(d *demand) {
	s.counters.Progress(&d.charge, d.prediction.Charged(s.now.Sub(d.grantedAt)))
}

// follow adds a demand in flight.
func (s *Scheduler) follow(d *demand) {
	if d.prediction.Rate <= 0 {
		return
	}
	p := &s.predictor
	p.running = append(p.running, d)
	d.running = len(p.running)
	if p.pos == 0 {
		s.timers.set(&p.timer, s.now.Add(predictInterval))
	}
}

// unfollow takes a demand out that has ended.
func (s *Scheduler) unfollow(d *demand) {
	if d.running == 0 {
		return
	}
	p := &s.predictor
	last := p.running[len(p.running)-1]
	p.running[d.running-1] = last
	last.running = d.running
	p.running = p.running[:len(p.running)-1]
	d.running = 0
	if len(p.running) == 0 {
		s.timers.stop(&p.timer)
	}
}
