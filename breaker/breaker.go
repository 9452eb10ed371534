// Package breaker implements a circuit breaker, which decides from the outcomes of
// the requests to one target whether more requests may be sent to it.
//
// A closed breaker opens after a number of consecutive failures. After a delay
// it is half-open and admits one probe request. If the probe succeeds the breaker
// closes, if the probe fails it opens again. The delay has full jitter: it is drawn
// uniformly between zero and a limit that doubles with each consecutive opening up
// to a maximum. The random generator is seeded with Options.Seed and the number of
// openings, so that the delays of a Breaker are reproducible.
//
// A Breaker is not safe for concurrent use. It reads no clock: callers pass in the
// current time.
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

// State says which requests a Breaker admits.
type State int

const (
	// Closed admits all requests.
	Closed State = iota
	// Open admits no request.
	Open
	// HalfOpen admits one request as a probe.
	HalfOpen
)

// Options are the settings of a Breaker. A zero or negative Threshold, delay or
// timeout selects its default.
type Options struct {
	// Threshold is the number of consecutive failures that opens the breaker.
	Threshold int
	// BaseDelay is the upper limit of the random delay after the first opening. The
	// limit doubles with each further opening until the breaker closes.
	BaseDelay time.Duration
	// MaxDelay is the largest value that this limit grows to.
	MaxDelay time.Duration
	// ProbeTimeout is the time after which another probe is admitted if the
	// outcome of the previous probe was not recorded.
	ProbeTimeout time.Duration
	// Seed determines the sequence of random delays.
	Seed uint64
}

// Breaker is the circuit breaker of one target. Create one with New.
type Breaker struct {
	options Options
	// state is the state at the last call; State turns Open into HalfOpen when the
	// delay has passed.
	state State
	// failures counts the consecutive failures while Closed.
	failures int
	// consecutiveOpenings counts the openings since the breaker was last closed.
	consecutiveOpenings int
	// totalOpenings counts the openings since the breaker was created.
	totalOpenings uint64
	// retryAt is the end of the delay while Open, and the end of the probe's timeout
	// while HalfOpen with a probe in flight.
	retryAt time.Time
	// probing is set while HalfOpen and a probe is in flight.
	probing bool
}

// New returns a closed Breaker with the given options.
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

// State returns the state at now. An open breaker becomes half-open when its delay
// has passed.
func (b *Breaker) State(now time.Time) State {
	if b.state == Open && !now.Before(b.retryAt) {
		b.state = HalfOpen
		b.probing = false
	}
	return b.state
}

// Ready reports whether a request may be sent at now: the breaker is closed, or it is
// half-open and no probe is in flight or the probe has timed out.
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

// Admit records that a request is sent. In the half-open state this request is the
// probe. Callers check Ready first.
func (b *Breaker) Admit(now time.Time) {
	if b.State(now) != HalfOpen {
		return
	}
	b.probing = true
	b.retryAt = now.Add(b.options.ProbeTimeout)
}

// Success records that the target answered a request. It closes the breaker unless it
// is open: an open breaker ignores answers to requests that were sent before it opened.
func (b *Breaker) Success(now time.Time) {
	if b.State(now) == Open {
		return
	}
	b.state = Closed
	b.failures = 0
	b.consecutiveOpenings = 0
	b.probing = false
}

// Failure records that a request failed or got no answer. In the half-open state a
// failure counts only while a probe is in flight.
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

// Release records that a request ended without telling whether the target is healthy,
// such as when the caller cancelled it. In the half-open state another probe may be
// sent at once.
func (b *Breaker) Release(now time.Time) {
	if b.State(now) == HalfOpen {
		b.probing = false
	}
}

// Trip opens the breaker regardless of the number of failures. It has no effect on an
// open breaker.
func (b *Breaker) Trip(now time.Time) {
	if b.State(now) != Open {
		b.open(now)
	}
}

// RetryAt returns the time from which Ready returns true again. It returns false if
// Ready is true at now.
func (b *Breaker) RetryAt(now time.Time) (time.Time, bool) {
	if b.Ready(now) {
		return time.Time{}, false
	}
	return b.retryAt, true
}

// open opens the breaker and draws the delay until it becomes half-open.
func (b *Breaker) open(now time.Time) {
	b.state = Open
	b.probing = false
	b.failures = 0
	b.consecutiveOpenings++
	b.totalOpenings++
	b.retryAt = now.Add(b.delay())
}

// delay draws a delay of at least one nanosecond and at most the current limit. The
// limit starts at BaseDelay, doubles with each consecutive opening and ends at MaxDelay.
func (b *Breaker) delay() time.Duration {
	limit := b.options.BaseDelay
	for i := 1; i < b.consecutiveOpenings && limit < b.options.MaxDelay; i++ {
		limit *= 2
	}
	limit = min(limit, b.options.MaxDelay)
	source := rand.NewPCG(b.options.Seed, b.totalOpenings)
	return 1 + time.Duration(rand.New(source).Int64N(int64(limit)))
}
