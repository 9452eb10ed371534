// Package breaker tracks the health of one target from the outcomes of its own
// traffic.
//
// A closed breaker opens after a number of consecutive failures. After a delay
// it is half-open and admits one probe. A success of the probe closes it, a
// failure opens it again. The delay has full jitter: it is drawn uniformly from
// zero to a limit that doubles with each opening. The draw is a hash of a seed
// and the number of openings, so that a Breaker is deterministic.
//
// A Breaker is not safe for concurrent use. It reads no clock.
package breaker

import (
	"math/rand/v2"
	"time"
)

const (
	defaultThreshold    = 3
	defaultBaseDelay    = 500 * time.Millisecond
	defaultMaxDelay     = 30 * time.Second
	defaultProbeTimeout = 30 * time.Second
)

// State is the state of a Breaker.
type State int

const (
	// Closed admits all requests.
	Closed State = iota
	// Open admits none.
	Open
	// HalfOpen admits one probe.
	HalfOpen
)

// Options are the settings of a Breaker. The zero value of a field selects its
// default.
type Options struct {
	// Threshold is the number of consecutive failures that opens the breaker.
	Threshold int
	// BaseDelay is the limit of the delay after the first opening.
	BaseDelay time.Duration
	// MaxDelay is the greatest limit of a delay.
	MaxDelay time.Duration
	// ProbeTimeout is the time after which another probe is admitted if the
	// outcome of the last is not known.
	ProbeTimeout time.Duration
	// Seed selects the sequence of jitter.
	Seed uint64
}

// Breaker is the health of one target.
type Breaker struct {
	options  Options
	state    State
	failures int
	// openings counts the openings since the breaker was last closed.
	openings int
	// draws counts the openings since the breaker was made.
	draws uint64
	// retryAt is the end of the delay while Open, and of the probe's timeout
	// while HalfOpen.
	retryAt time.Time
	probing bool
}

// New returns a closed Breaker.
func New(o Options) *Breaker {
	if o.Threshold <= 0 {
		o.Threshold = defaultThreshold
	}
	if o.BaseDelay <= 0 {
		o.BaseDelay = defaultBaseDelay
	}
	if o.MaxDelay <= 0 {
		o.MaxDelay = defaultMaxDelay
	}
	if o.ProbeTimeout <= 0 {
		o.ProbeTimeout = defaultProbeTimeout
	}
	return &Breaker{options: o}
}

// State returns the state at now.
func (b *Breaker) State(now time.Time) State {
	if b.state == Open && !now.Before(b.retryAt) {
		b.state = HalfOpen
		b.probing = false
	}
	return b.state
}

// Ready tells whether a request may be sent at now.
func (b *Breaker) Ready(now time.Time) bool {
	switch b.State(now) {
	case Closed:
		return true
	case HalfOpen:
		return !b.probing || !now.Before(b.retryAt)
	default:
		return false
	}
}

// Admit records that a request is sent. When the breaker is half-open it takes
// the probe.
func (b *Breaker) Admit(now time.Time) {
	if b.State(now) != HalfOpen {
		return
	}
	b.probing = true
	b.retryAt = now.Add(b.options.ProbeTimeout)
}

// Success records that the target answered a request.
func (b *Breaker) Success(now time.Time) {
	if b.State(now) == Open {
		return
	}
	b.state = Closed
	b.failures = 0
	b.openings = 0
	b.probing = false
}

// Failure records an error or silence of the target.
func (b *Breaker) Failure(now time.Time) {
	switch b.State(now) {
	case Closed:
		b.failures++
		if b.failures >= b.options.Threshold {
			b.open(now)
		}
	case HalfOpen:
		if b.probing {
			b.open(now)
		}
	}
}

// Release records that a request ended without showing the target's health.
func (b *Breaker) Release(now time.Time) {
	if b.State(now) == HalfOpen {
		b.probing = false
	}
}

// Trip opens the breaker at once.
func (b *Breaker) Trip(now time.Time) {
	if b.State(now) != Open {
		b.open(now)
	}
}

// RetryAt returns the time at which Ready may change from false to true.
func (b *Breaker) RetryAt(now time.Time) (time.Time, bool) {
	if b.Ready(now) {
		return time.Time{}, false
	}
	return b.retryAt, true
}

func (b *Breaker) open(now time.Time) {
	b.state = Open
	b.probing = false
	b.failures = 0
	b.openings++
	b.draws++
	b.retryAt = now.Add(b.delay())
}

// delay draws from zero to the limit, both excluded.
func (b *Breaker) delay() time.Duration {
	limit := b.options.BaseDelay
	for i := 1; i < b.openings && limit < b.options.MaxDelay; i++ {
		limit *= 2
	}
	limit = min(limit, b.options.MaxDelay)
	source := rand.NewPCG(b.options.Seed, b.draws)
	return 1 + time.Duration(rand.New(source).Int64N(int64(limit)))
}
