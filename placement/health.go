package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chiveseam/chiveseam/breaker"
)

// Settings of the circuit breaker and of the fault rate of a target. Connections to a failed
// target fail within a few hundred milliseconds, and failed targets are back after some
// seconds.
const (
	breakerThreshold    = 3
	breakerBaseDelay    = 500 * time.Millisecond
	breakerMaxDelay     = 4 * time.Second
	breakerProbeTimeout = time.Second
	// faultHalfLife is the time in which a request loses half of its weight in the fault rate.
	faultHalfLife = 4 * time.Second
	// faultPriorWeight is the number of successful requests that the fault rate counts in
	// addition to the real ones, so that one failure among few requests does not weigh too much.
	faultPriorWeight = 5.0
)

// newBreaker returns the circuit breaker of the target with an ID.
func newBreaker(id string) *breaker.Breaker {
	return breaker.New(breaker.Options{
		Threshold:    breakerThreshold,
		BaseDelay:    breakerBaseDelay,
		MaxDelay:     breakerMaxDelay,
		ProbeTimeout: breakerProbeTimeout,
		Seed:         xxhash.Sum64String(id),
	})
}

// faultRate tracks the share of a target's requests that failed, with exponential decay.
type faultRate struct {
	// failed and total are decayed numbers of requests as of updated.
	failed, total float64
	updated       time.Time
}

func (f *faultRate) observe(now time.Time, failed bool) {
	f.age(now)
	f.total++
	if failed {
		f.failed++
	}
}

// age decays the counts to now.
func (f *faultRate) age(now time.Time) {
	factor := decay(now.Sub(f.updated), faultHalfLife)
	f.updated = now
	f.failed *= factor
	f.total *= factor
}

// rate returns the share of failed requests at now, from 0 to below 1.
func (f *faultRate) rate(now time.Time) float64 {
	f.age(now)
	return f.failed / (f.total + faultPriorWeight)
}
