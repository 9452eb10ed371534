package pool

import (
	"math"
	"time"
)

const (
	// minServiceSamples is the number of served demands before the expected
	// wait is trusted.
	minServiceSamples = 16

	// serviceWeight is the weight of a new sample in the mean service rate.
	serviceWeight = 1.0 / 32

	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Minute
)

// serviceRate is the observed rate of one slot.
type serviceRate struct {
	samples int
	// cost and seconds are moving means of served demands.
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
// false as long as that is not known.
func (r *serviceRate) perSecond() (float64, bool) {
	if r.samples < minServiceSamples || r.cost <= 0 {
		return 0, false
	}
	return r.cost / r.seconds, true
}

// rate returns the cost units that one slot serves a second, zero as long as
// that is not known.
func (r *serviceRate) rate() int64 {
	perSecond, _ := r.perSecond()
	return int64(math.Round(perSecond))
}

// expectedWait estimates how long a demand waits for its grant: the cost of
// the demands of its workspace up to it, at the workspace's share of the
// observed service rate. It returns false as long as that is not known.
func (s *Scheduler) expectedWait(d *demand) (time.Duration, bool) {
	w := d.workspace
	slots := s.slots[w.DataCentre]
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

// seconds converts to a duration of at most an hour.
func seconds(value float64) time.Duration {
	return time.Duration(min(value, time.Hour.Seconds()) * float64(time.Second))
}

// retryAfter suggests when to send a refused demand again.
func (s *Scheduler) retryAfter(d *demand) time.Duration {
	wait, ok := s.expectedWait(d)
	if !ok {
		return minRetryAfter
	}
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// decayingCount counts events with a half-life.
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
