package requestkey

import (
	"fmt"
	"time"
)

// Defaults of the fields of Options.
const (
	DefaultLifetime       = 15 * time.Minute
	DefaultRight          = time.Minute
	DefaultClockError     = time.Second
	DefaultStartReserve   = 3 * time.Minute
	DefaultRetryAfter     = time.Second
	DefaultMaxRecords     = 100_000
	DefaultMaxBytes       = 64 << 20
	DefaultMaxAnswerBytes = 64 << 10
)

// MaxKeyBytes is the greatest length of an accepted key, in bytes.
const MaxKeyBytes = 255

// Options are the settings of a Ledger. A zero field takes its default; that of StartReserve is
// at most a quarter of Lifetime. All routers of a fleet must use the same Lifetime, Right and
// ClockError.
type Options struct {
	// Lifetime is how long a key is remembered after it was begun or issued.
	Lifetime time.Duration
	// Right is how long the owner of a caller-chosen key may begin it after the last known time
	// at which the instance list was current.
	Right time.Duration
	// ClockError is the largest deviation of a clock from true time.
	ClockError time.Duration
	// StartReserve is the part of Lifetime that must remain when a dispatched request is sent
	// to a target.
	StartReserve time.Duration
	// RetryAfter is the advised delay after refusals whose cause may end soon.
	RetryAfter time.Duration
	// MaxRecords bounds the number of records, that of pending claims and that of promises, each
	// on its own.
	MaxRecords int
	// MaxBytes bounds the memory of the records, in bytes.
	MaxBytes int
	// MaxAnswerBytes is the size of the largest answer that is kept for replay, in bytes.
	MaxAnswerBytes int
}

func (o Options) withDefaults() Options {
	setDuration(&o.Lifetime, DefaultLifetime)
	setDuration(&o.Right, DefaultRight)
	setDuration(&o.ClockError, DefaultClockError)
	setDuration(&o.StartReserve, min(DefaultStartReserve, o.Lifetime/4))
	setDuration(&o.RetryAfter, DefaultRetryAfter)
	setInt(&o.MaxRecords, DefaultMaxRecords)
	setInt(&o.MaxBytes, DefaultMaxBytes)
	setInt(&o.MaxAnswerBytes, DefaultMaxAnswerBytes)
	return o
}

func (o Options) validate() error {
	if o.StartReserve >= o.Lifetime {
		return fmt.Errorf("start reserve %v must be less than lifetime %v", o.StartReserve, o.Lifetime)
	}
	for name, d := range map[string]time.Duration{
		"lifetime": o.Lifetime, "right": o.Right, "clock error": o.ClockError,
		"start reserve": o.StartReserve, "retry after": o.RetryAfter,
	} {
		if d < 0 {
			return fmt.Errorf("%s %v is negative", name, d)
		}
	}
	if o.MaxRecords < 0 || o.MaxBytes < 0 || o.MaxAnswerBytes < 0 {
		return fmt.Errorf("limits on records, bytes and answer bytes must not be negative")
	}
	return nil
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

func setInt(n *int, value int) {
	if *n == 0 {
		*n = value
	}
}
