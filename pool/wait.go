package pool

import (
	"math"
	"time"
)

const (
	// minServiceSamples is the number of served demands from which on a service
	// rate, and with it the expected wait, counts as known.
	minServiceSamples = 16

	// serviceWeight is the weight of a new sample in the moving means.
	serviceWeight = 1.0 / 32

	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Minute
)

// serviceRate measures the rate at which one slot serves demands.
type serviceRate struct {
	samples int
	// cost (cost units) and seconds are moving means over the served demands.
	cost    float64
	seconds float64
}

func (r *serviceRate) observe(cost int64, service time.Duration) {
	if service <= 0 {
		return
	}
	r.samples++
	weight := max(serviceWeight, 1/float64(r.samples))
	r.cost += (float64(max(cost, 0)) - r.cost) * weight
	r.seconds += (service.Seconds() - r.seconds) * weight
}

// perSecond returns the cost units that one slot serves a second. It returns
// false while the rate is not known.
func (r *serviceRate) perSecond() (float64, bool) {
	if r.samples < minServiceSamples || r.cost <= 0 {
		return 0, false
	}
	return r.cost / r.seconds, true
}

// rate returns the cost units that one slot serves a second, or zero while the
// rate is not known.
func (r *serviceRate) rate() int64 {
	perSecond, _ := r.perSecond()
	return int64(math.Round(perSecond))
}

// expectedWait estimates how long a demand waits for its grant: the mean cost of
// the demands of its workspace up to and including it, divided by the workspace's
// share of the service rate of all slots. It returns false while the service rate
// is not known or no slot is usable.
func (s *Scheduler) expectedWait(d *demand) (time.Duration, bool) {
	w := d.workspace
	slots := s.slotsByDataCentre[w.DataCentre]
	perSlot, ok := s.service.perSecond()
	if !ok || slots == 0 {
		return 0, false
	}
	share := max(int64(w.Share), 1)
	total := s.counters.BackloggedShares(w.DataCentre)
	if !s.counters.Backlogged(w.ID) {
		total += share
	}
	rate := perSlot * float64(slots) * float64(share) / float64(total)
	cost := float64(w.rank(d)+1) * float64(s.counters.MeanCost(w.ID))
	return seconds(cost / rate), true
}

// seconds converts a number of seconds to a duration of at most an hour.
func seconds(value float64) time.Duration {
	return time.Duration(min(value, time.Hour.Seconds()) * float64(time.Second))
}

// retryAfter returns the time after which a refused demand may be sent again: its
// expected wait within minRetryAfter and maxRetryAfter.
func (s *Scheduler) retryAfter(d *demand) time.Duration {
	wait, ok := s.expectedWait(d)
	if !ok {
		return minRetryAfter
	}
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// decayingCount counts events; the count decays exponentially with a half-life.
type decayingCount struct {
	value float64
	at    time.Time
}

// add counts an event at now.
func (c *decayingCount) add(now time.Time, halfLife time.Duration) {
	c.value = c.read(now, halfLife) + 1
	c.at = now
}

func (c *decayingCount) read(now time.Time, halfLife time.Duration) float64 {
	if c.value == 0 {
		return 0
	}
	return c.value * math.Exp2(-now.Sub(c.at).Seconds()/halfLife.Seconds())
}
