package orders

import "time"

// Options are the settings of a Sender. The zero value of a field selects its
// default.
type Options struct {
	// Settle is the time between gaining the role and the first order. It
	// should exceed the time in which routers agree on who is reachable.
	Settle time.Duration
	// MaxPause is the longest time between two ticks after which the view of
	// the fleet still counts as current.
	MaxPause time.Duration
	// CheckingPoll and IgnoringPoll are the times between two queries of an
	// engine that checks fencing numbers and of one that ignores them.
	CheckingPoll time.Duration
	IgnoringPoll time.Duration
	// MaxReportAge is the age up to which a report is good for an order.
	MaxReportAge time.Duration
	// MaxQueries bounds the queries in progress.
	MaxQueries int
	// QueryTimeout and OrderTimeout bound a query and an order. The time to
	// read the weights is added for a load.
	QueryTimeout time.Duration
	OrderTimeout time.Duration
	// BaseDelay and MaxDelay are the limits of the jittered delay after the
	// first failure and after many.
	BaseDelay time.Duration
	MaxDelay  time.Duration
	// MaxUnavailablePercent is the part of a pool's slots that orders make
	// unavailable at the same time; one engine is always permitted.
	MaxUnavailablePercent int
	// Seed selects the sequence of jitter.
	Seed uint64
}

// DefaultOptions returns the defaults.
func DefaultOptions() Options {
	return Options{
		Settle:                3 * time.Second,
		MaxPause:              2 * time.Second,
		CheckingPoll:          15 * time.Second,
		IgnoringPoll:          5 * time.Second,
		MaxReportAge:          2 * time.Second,
		MaxQueries:            16,
		QueryTimeout:          2 * time.Second,
		OrderTimeout:          time.Minute,
		BaseDelay:             time.Second,
		MaxDelay:              2 * time.Minute,
		MaxUnavailablePercent: 25,
	}
}

func (o Options) withDefaults() Options {
	d := DefaultOptions()
	defaultTo(&o.Settle, d.Settle)
	defaultTo(&o.MaxPause, d.MaxPause)
	defaultTo(&o.CheckingPoll, d.CheckingPoll)
	defaultTo(&o.IgnoringPoll, d.IgnoringPoll)
	defaultTo(&o.MaxReportAge, d.MaxReportAge)
	defaultTo(&o.MaxQueries, d.MaxQueries)
	defaultTo(&o.QueryTimeout, d.QueryTimeout)
	defaultTo(&o.OrderTimeout, d.OrderTimeout)
	defaultTo(&o.BaseDelay, d.BaseDelay)
	defaultTo(&o.MaxDelay, d.MaxDelay)
	defaultTo(&o.MaxUnavailablePercent, d.MaxUnavailablePercent)
	return o
}

func defaultTo[T time.Duration | int](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
