package pool

import "time"

const (
	// advanceDivisor divides the estimate: that part of it is charged before it is
	// served.
	advanceDivisor = 4

	// maxUnreportedEstimates bounds the cost that is charged without a report, as a
	// multiple of the estimate.
	maxUnreportedEstimates = 4

	// reportMarginDivisor divides the charge: the cost may exceed the charge by that
	// part before a router reports it.
	reportMarginDivisor = 2

	// chargeInterval is the time between two charges of the predicted cost.
	chargeInterval = 250 * time.Millisecond
)

// Prediction gives the cost to charge for a granted demand without messages from its
// router. The scheduler charges the predicted cost. The router computes the same
// prediction, compares it with the cost that the target has served, and reports only
// larger differences.
//
// While the rate of the target's slots is not known, the whole estimate is charged at
// the grant. If it is known, the charge is the cost predicted to be served, plus an
// advance that is a part of the estimate. It grows with time at the rate up to a
// multiple of the estimate, and with reported cost beyond that.
type Prediction struct {
	// Estimate is the expected cost of the whole demand in cost units.
	Estimate int64
	// Rate is the number of cost units that the slot serves a second. Zero means
	// that it is not known.
	Rate int64
	// excess is how far the served cost exceeds the cost that Rate alone predicts,
	// according to reports or to the charge of a resumed demand.
	excess int64
	// reported is the largest reported cost.
	reported int64
}

// ResumedPrediction returns the prediction of a demand in flight that a new scheduler
// takes over: the charge starts at charged cost units and grows at rate.
func ResumedPrediction(charged, rate int64) Prediction {
	p := Prediction{Estimate: charged, Rate: rate}
	p.excess = charged - p.advance()
	return p
}

// advance returns the cost that is charged before it is served: a part of the
// estimate, or the cost served until the next charge if that is more, but at most
// the estimate.
func (p *Prediction) advance() int64 {
	untilNext := int64(float64(p.Rate) * chargeInterval.Seconds())
	return max((p.Estimate+advanceDivisor-1)/advanceDivisor, min(p.Estimate, untilNext))
}

// served returns the cost predicted to be served in the time since the grant.
func (p *Prediction) served(elapsed time.Duration) int64 {
	return p.excess + int64(float64(p.Rate)*max(elapsed, 0).Seconds())
}

// Charged returns the cost to charge after the time since the grant.
func (p *Prediction) Charged(elapsed time.Duration) int64 {
	if p.Rate <= 0 {
		return max(p.Estimate, p.reported)
	}
	charged := p.served(elapsed) + p.advance()
	return min(charged, max(maxUnreportedEstimates*p.Estimate, p.reported))
}

// Observe raises the prediction to a cost that was reported at the time since the
// grant. A lower cost is ignored.
func (p *Prediction) Observe(elapsed time.Duration, cost int64) {
	p.excess += max(cost-p.served(elapsed), 0)
	p.reported = max(p.reported, cost)
}

// ReportDue reports whether the router must report a cost: it exceeds the charge by
// more than half.
func (p *Prediction) ReportDue(elapsed time.Duration, cost int64) bool {
	charged := p.Charged(elapsed)
	return cost > charged+charged/reportMarginDivisor
}

// predictor charges the predicted costs of the demands in flight on slots whose rate
// is known. Its timer is due at the next charge.
type predictor struct {
	timer
	demands []*demand
}

// timerFired implements timerOwner.
func (p *predictor) timerFired(s *Scheduler) {
	for _, d := range p.demands {
		s.chargePrediction(d)
	}
	if len(p.demands) > 0 {
		s.timers.set(&p.timer, s.now.Add(chargeInterval))
	}
}

// chargePrediction raises the charge of d to the cost predicted by now.
func (s *Scheduler) chargePrediction(d *demand) {
	s.counters.Progress(&d.charge, d.prediction.Charged(s.now.Sub(d.grantedAt)))
}

// startPredicting adds a granted demand to the predictor if the rate of its slot is
// known.
func (s *Scheduler) startPredicting(d *demand) {
	if d.prediction.Rate <= 0 {
		return
	}
	p := &s.predictor
	p.demands = append(p.demands, d)
	d.predictorPos = len(p.demands)
	if p.pos == 0 {
		s.timers.set(&p.timer, s.now.Add(chargeInterval))
	}
}

// stopPredicting removes a demand that has ended from the predictor.
func (s *Scheduler) stopPredicting(d *demand) {
	if d.predictorPos == 0 {
		return
	}
	p := &s.predictor
	last := p.demands[len(p.demands)-1]
	p.demands[d.predictorPos-1] = last
	last.predictorPos = d.predictorPos
	p.demands = p.demands[:len(p.demands)-1]
	d.predictorPos = 0
	if len(p.demands) == 0 {
		s.timers.stop(&p.timer)
	}
}
