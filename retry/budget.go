package retry

import "time"

// Defaults of BudgetOptions.
const (
	DefaultPercent       = 10
	DefaultFloorPerSec   = 1.0
	DefaultBurst         = 20.0
	percent              = 100.0
	tokensForOneAttempt  = 1.0
	secondsPerNanosecond = 1e-9
)

// BudgetOptions are the settings of a Budget. A zero field takes its default.
type BudgetOptions struct {
	// Percent is the number of repeated attempts allowed per hundred requests.
	Percent float64
	// FloorPerSec is the number of repeated attempts per second that are allowed
	// without any requests.
	FloorPerSec float64
	// Burst is the largest number of attempts that can be saved up.
	Burst float64
}

// Budget is a token bucket that bounds repeated attempts to a share of the
// requests. It is not safe for concurrent use.
type Budget struct {
	opts   BudgetOptions
	tokens float64
	last   time.Time
}

// NewBudget returns a full Budget.
func NewBudget(now time.Time, opts BudgetOptions) *Budget {
	setFloat(&opts.Percent, DefaultPercent)
	setFloat(&opts.FloorPerSec, DefaultFloorPerSec)
	setFloat(&opts.Burst, DefaultBurst)
	return &Budget{opts: opts, tokens: opts.Burst, last: now}
}

func setFloat(f *float64, value float64) {
	if *f <= 0 {
		*f = value
	}
}

// Requested counts a first attempt.
func (b *Budget) Requested(now time.Time) {
	b.refill(now)
	b.add(b.opts.Percent / percent)
}

// Take takes the token of one repeated attempt and reports whether there was
// one.
func (b *Budget) Take(now time.Time) bool {
	b.refill(now)
	if b.tokens < tokensForOneAttempt {
		return false
	}
	b.tokens -= tokensForOneAttempt
	return true
}

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
