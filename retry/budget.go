package retry

import "time"

// Defaults of the fields of BudgetOptions, and units that Budget computes with.
const (
	DefaultPercent       = 10
	DefaultFloorPerSec   = 1.0
	DefaultBurst         = 20.0
	hundredPercent       = 100.0
	tokensPerRetry       = 1.0
	secondsPerNanosecond = 1e-9
)

// BudgetOptions are the settings of a Budget. A zero or negative field takes its
// default.
type BudgetOptions struct {
	// Percent is the number of retries allowed per hundred requests.
	Percent float64
	// FloorPerSec is the number of retries per second that are allowed in addition,
	// even without any requests.
	FloorPerSec float64
	// Burst is the capacity of the token bucket: the largest number of retries that
	// may be made at once.
	Burst float64
}

// Budget is a token bucket that limits retries to a percentage of the requests plus
// a fixed rate. One retry costs one token. It is not safe for concurrent use.
type Budget struct {
	opts   BudgetOptions
	tokens float64
	// last is the time up to which FloorPerSec has been added to tokens.
	last time.Time
}

// NewBudget returns a Budget whose bucket holds Burst tokens.
func NewBudget(now time.Time, opts BudgetOptions) *Budget {
	setDefault(&opts.Percent, DefaultPercent)
	setDefault(&opts.FloorPerSec, DefaultFloorPerSec)
	setDefault(&opts.Burst, DefaultBurst)
	return &Budget{opts: opts, tokens: opts.Burst, last: now}
}

func setDefault(field *float64, value float64) {
	if *field <= 0 {
		*field = value
	}
}

// RecordRequest adds Percent/100 tokens. Callers call it once for each request, not for
// its retries.
func (b *Budget) RecordRequest(now time.Time) {
	b.refill(now)
	b.add(b.opts.Percent / hundredPercent)
}

// Take removes the token for one retry. It returns false, and the retry must not be
// made, if the bucket holds less than one token.
func (b *Budget) Take(now time.Time) bool {
	b.refill(now)
	if b.tokens < tokensPerRetry {
		return false
	}
	b.tokens -= tokensPerRetry
	return true
}

// refill adds the tokens that FloorPerSec yields for the time since the last refill.
func (b *Budget) refill(now time.Time) {
	elapsed := now.Sub(b.last)
	if elapsed <= 0 {
		return
	}
	b.last = now
	b.add(float64(elapsed) * secondsPerNanosecond * b.opts.FloorPerSec)
}

func (b *Budget) add(tokens float64) {
	b.tokens = min(b.tokens+tokens, b.opts.Burst)
}
