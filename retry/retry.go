// Package retry decides whether a failed attempt at a request is retried, and after
// which delay.
//
// A request is retried only if no byte of an answer was delivered to the caller, and
// if it is known that the target did not run the attempt or the request is idempotent.
// The number of attempts, the caller's deadline and a retry budget limit retries
// further. Budget is a token bucket; Window limits the retries in a sliding window.
//
// The package starts no goroutine and reads no clock or random source: callers pass in
// the current time and random numbers.
package retry

import (
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// Defaults of the fields of Policy.
const (
	DefaultMaxAttempts = 3
	DefaultBaseDelay   = 20 * time.Millisecond
	DefaultMaxDelay    = time.Second
	// randomBits is the number of random bits in a delay: the precision of a float64.
	randomBits = 53
)

// Policy limits the attempts at one request. A zero or negative field takes its default.
// Its methods do not change it, so it is safe for concurrent use.
type Policy struct {
	// MaxAttempts is the largest number of attempts, including the first.
	MaxAttempts int
	// BaseDelay is the longest delay before the second attempt. The longest delay
	// doubles with each further attempt, up to MaxDelay.
	BaseDelay time.Duration
	MaxDelay  time.Duration
}

// Attempt describes a failed attempt at a request.
type Attempt struct {
	// Number is 1 for the first attempt.
	Number int
	// Ran is NO only if it is certain that the target did not run the request. All other
	// values count as if it may have run.
	Ran v1.Ran
	// Idempotent is set if the request may be executed twice without harm.
	Idempotent bool
	// Delivered is set if any byte of an answer was sent to the caller.
	Delivered bool
	// Deadline is the caller's deadline; the zero time means none.
	Deadline time.Time
}

// Decision is the result of Policy.Next.
type Decision struct {
	Retry bool
	// Delay is the time to wait before the next attempt.
	Delay time.Duration
	// Code says why the request is not retried. It is CODE_UNSPECIFIED if the request is
	// retried, and also if the attempt itself forbids a retry: an answer was partly
	// delivered, or the request may have run and is not idempotent.
	Code v1.Code
}

// Next decides whether the request is retried after the failed attempt a. It takes a
// token from the budget only if all other conditions allow the retry. random must be
// uniformly distributed over all values of uint64.
func (p Policy) Next(now time.Time, a Attempt, budget *Budget, random uint64) Decision {
	p = p.withDefaults()
	if !retryAllowed(a) {
		return Decision{}
	}
	if a.Number >= p.MaxAttempts {
		return Decision{Code: v1.Code_RETRY_BUDGET_EXHAUSTED}
	}
	delay := p.delay(a.Number, random)
	if !a.Deadline.IsZero() && !now.Add(delay).Before(a.Deadline) {
		return Decision{Code: v1.Code_DEADLINE_EXCEEDED}
	}
	if !budget.Take(now) {
		return Decision{Code: v1.Code_RETRY_BUDGET_EXHAUSTED}
	}
	return Decision{Retry: true, Delay: delay}
}

// retryAllowed reports whether a retry is safe: it cannot run a request twice that is not
// idempotent, and the caller has received no part of an answer.
func retryAllowed(a Attempt) bool {
	switch {
	case a.Delivered:
		return false
	case a.Ran == v1.Ran_NO:
		return true
	}
	return a.Idempotent
}

// delay returns the delay after attempt number, between zero and a bound that doubles with
// each attempt (exponential backoff with full jitter). random selects the point between.
func (p Policy) delay(number int, random uint64) time.Duration {
	bound := p.BaseDelay
	for i := 1; i < number && bound < p.MaxDelay; i++ {
		bound *= 2
	}
	bound = min(bound, p.MaxDelay)
	fraction := float64(random>>(64-randomBits)) / (1 << randomBits)
	return time.Duration(fraction * float64(bound))
}

// withDefaults returns p with its unset fields replaced by their defaults.
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
