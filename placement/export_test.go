package placement

import (
	"math"
	"time"
)

// LimitDraining counts draining targets as taking a number of requests per second.
func (b *Balancer) LimitDraining(perSecond float64) {
	b.limits = append(b.limits, func(_ time.Time, t *target) float64 {
		if t.Draining {
			return perSecond
		}
		return math.Inf(1)
	})
}

// AvailableThroughput returns the part of the engines' throughput that is available.
func (b *Balancer) AvailableThroughput(now time.Time) float64 { return b.availableThroughput(now) }
