package placement

import (
	"math"
	"time"
)

// throughputLimit returns the number of requests per second that a target can take now from all
// routers together, for one reason: 0 if it may get none, infinite if the reason does not apply.
type throughputLimit func(now time.Time, t *target) float64

// throughputLimits lists the reasons for which a target provides less than its throughput. A
// component that holds targets back adds its reason here.
func (b *Balancer) throughputLimits() []throughputLimit {
	return []throughputLimit{b.evacuationLimit, b.coldLimit}
}

// evacuationLimit is the throughputLimit of evacuated zones.
func (b *Balancer) evacuationLimit(_ time.Time, t *target) float64 {
	if b.evacuated.zones[t.Zone] {
		return 0
	}
	return math.Inf(1)
}

// coldLimit is the throughputLimit of cold targets.
func (b *Balancer) coldLimit(now time.Time, t *target) float64 {
	if b.isCold(now, t) {
		return t.service.cold.limits.PerSecond
	}
	return math.Inf(1)
}

// availableThroughput returns the part of the throughput of all engines that they can provide now,
// from 0 to 1: the sum of the relative speeds of the targets, each multiplied by the part of its
// throughput that its limits leave, divided by the sum of the relative speeds. It is exactly 1 if no
// target is limited.
func (b *Balancer) availableThroughput(now time.Time) float64 {
	total, unlimited := 0.0, 0.0
	var limited []*target
	for _, s := range b.services {
		for _, t := range s.targets {
			switch {
			case !s.engines:
				continue
			case math.IsInf(b.requestLimit(now, t), 1):
				unlimited += t.relativeSpeed()
			default:
				limited = append(limited, t)
			}
			total += t.relativeSpeed()
		}
	}
	if len(limited) == 0 {
		return 1
	}
	// perToken converts tokens per second to relative speed.
	perToken := total / max(b.shares.fullCapacity(), 1)
	available := unlimited
	for _, t := range limited {
		available += min(b.requestLimit(now, t)*b.shares.meanRequestTokens*perToken, t.relativeSpeed())
	}
	return available / total
}

// requestLimit returns the least of the limits of a target; infinite if there is none.
func (b *Balancer) requestLimit(now time.Time, t *target) float64 {
	least := math.Inf(1)
	for _, limit := range b.limits {
		least = min(least, limit(now, t))
	}
	return least
}

const (
	// speedHalfLife is the time in which a target's relative speed covers half of the distance to
	// its present speed. Hardware does not change; neighbours on the same machine slow a target
	// down for less than a second at a time.
	speedHalfLife = 5 * time.Second
	// minSpeedEvidenceMs is the sum of predicted times in ms, over the half-life of latencyRatio,
	// from which a target's slowness says something about its speed.
	minSpeedEvidenceMs = 1000.0
)

// relativeSpeed returns the speed of a target in multiples of the usual one of its service.
func (t *target) relativeSpeed() float64 {
	if t.speed == 0 {
		return 1
	}
	return t.speed
}

// learnSpeed moves the relative speed towards that of the last elapsed time. predicted is the sum of
// predicted times to the first token in ms on which slowness is based. Without requests the speed
// stays as it is, so that the speeds of evacuated targets are remembered.
func (t *target) learnSpeed(elapsed time.Duration, predicted float64) {
	if predicted < minSpeedEvidenceMs {
		return
	}
	speed := t.relativeSpeed()
	t.speed = speed + (1/t.slowness-speed)*(1-decay(min(elapsed, time.Second), speedHalfLife))
}
