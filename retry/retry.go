// Package retry decides whether an attempt at a request may be repeated, and
// when.
//
// A repetition needs either proof that the attempt did not run, or a request
// that is idempotent and of whose answer nothing was delivered to the caller.
// Beyond that the number of attempts, the deadline and a budget bound it.
//
// The package holds no goroutine, clock or random source: time and randomness
// are passed in.
package retry

import (
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// Defaults of Policy.
const (
	DefaultMaxAttempts = 3
	DefaultBaseDelay   = 20 * time.Millisecond
	DefaultMaxDelay    = time.Second
	// randomBits is the precision of the random part of a delay.
	randomBits = 53
)

// Policy bounds the attempts at one request. A zero field takes its default.
// It is immutable and safe for concurrent use.
type Policy struct {
	// MaxAttempts includes the first attempt.
	MaxAttempts int
	// BaseDelay is the longest delay before the second attempt; it doubles with
	// each attempt, up to MaxDelay.
	BaseDelay time.Duration
	MaxDelay  time.Duration
}

// Attempt is what is known of a failed attempt at a request.
type Attempt struct {
	// Number counts from 1.
	Number int
	// Ran says whether the attempt was executed.
	Ran v1.Ran
	// Idempotent is set if executing the request twice does no harm.
	Idempotent bool
	// Delivered is set if any byte of the answer went to the caller.
	Delivered bool
	// Deadline is the caller's; zero means none.
	Deadline time.Time
}

// Verdict is the result of Policy.Next.
type Verdict struct {
	Retry bool
	// Delay is how long to wait before the next attempt.
	Delay time.Duration
	// Code says why the request is not repeated. It is CODE_UNSPECIFIED if the
	// outcome of the attempt itself forbids it.
	Code v1.Code
}

// Next decides about the attempt after a. It takes a token from the budget only
// if the attempt may be repeated otherwise. The random number must be uniform
// over all uint64.
func (p Policy) Next(now time.Time, a Attempt, budget *Budget, random uint64) Verdict {
	p = p.withDefaults()
	if !repeatable(a) {
		return Verdict{}
	}
	if a.Number >= p.MaxAttempts {
		return Verdict{Code: v1.Code_RETRY_BUDGET_EXHAUSTED}
	}
	delay := p.delay(a.Number, random)
	if !a.Deadline.IsZero() && !now.Add(delay).Before(a.Deadline) {
		return Verdict{Code: v1.Code_DEADLINE_EXCEEDED}
	}
	if !budget.Take(now) {
		return Verdict{Code: v1.Code_RETRY_BUDGET_EXHAUSTED}
	}
	return Verdict{Retry: true, Delay: delay}
}

func repeatable(a Attempt) bool {
	switch {
	case a.Delivered:
		return false
	case a.Ran == v1.Ran_NO:
		return true
	}
	return a.Idempotent
}

// delay is uniform between zero and the exponential bound (full jitter).
func (p Policy) delay(number int, random uint64) time.Duration {
	bound := p.BaseDelay
	for i := 1; i < number && bound < p.MaxDelay; i++ {
		bound *= 2
	}
	bound = min(bound, p.MaxDelay)
	fraction := float64(random>>(64-randomBits)) / (1 << randomBits)
	return time.Duration(fraction * float64(bound))
}

func (p Policy) withDefaults() Policy {
	if p.MaxAttempts <= 0 {
		p.MaxAttempts = DefaultMaxAttempts
	}
	if p.BaseDelay <= 0 {
		p.BaseDelay = DefaultBaseDelay
	}
	if p.MaxDelay <= 0 {
		p.MaxDelay = DefaultMaxDelay
	}
	return p
}
