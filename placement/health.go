package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chiveseam/chiveseam/breaker"
)

// Settings of the breaker of a target. Connections fail within a few hundred
// milliseconds, targets are back after some seconds.
const (
	failuresToOpen   = 3
	firstOpen        = 500 * time.Millisecond
	longestOpen      = 4 * time.Second
	probeTimeout     = time.Second
	faultHalfLife    = 4 * time.Second
	faultPriorWeight = 5.0
)

func newHealth(id string) *breaker.Breaker {
	return breaker.New(breaker.Options{
		Threshold:    failuresToOpen,
		BaseDelay:    firstOpen,
		MaxDelay:     longestOpen,
		ProbeTimeout: probeTimeout,
		Seed:         xxhash.Sum64String(id),
	})
}

// faultRate is the decayed share of a target's requests that failed.
type faultRate struct {
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

func (f *faultRate) age(now time.Time) {
	d := decay(now.Sub(f.updated), faultHalfLife)
	f.updated = now
	f.failed *= d
	f.total *= d
}

func (f *faultRate) rate(now time.Time) float64 {
	f.age(now)
	return f.failed / (f.total + faultPriorWeight)
}
