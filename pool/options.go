package pool

import "time"

const (
	defaultInitialCost     = 256
	defaultHoldTime        = 30 * time.Second
	defaultMaxService      = 15 * time.Minute
	defaultMaxWait         = 10 * time.Minute
	defaultMaxQueued       = 1024
	defaultMaxQueuedBytes  = 64 << 20
	defaultSpareTTL        = 2 * time.Second
	defaultSpareGrace      = 500 * time.Millisecond
	defaultAffinityEntries = 4096
	defaultTies            = 4
)

// Options are the settings of a Scheduler. The zero value of a field selects
// its default, where one is named.
type Options struct {
	// InitialCost is the estimate in cost units of a workspace without history;
	// the default is 256.
	InitialCost int64
	// MaxLead is passed to fairshare.Options.
	MaxLead int64
	// HoldTime is how long the slots of a lost router stay busy; the default
	// is 30 s.
	HoldTime time.Duration
	// SettleTime is how long a scheduler grants one slot at a time after the first
	// router has joined, and none after the first one with requests in flight.
	// Until then it takes slots for free that are in use. Zero waits for none.
	SettleTime time.Duration
	// MaxService is the time without a sign of a granted demand after which
	// its slot is free again; the default is 15 min.
	MaxService time.Duration
	// MaxWait bounds the wait of a demand whose deadline is zero or later; the
	// default is 10 min.
	MaxWait time.Duration
	// MaxSpares is the number of spare slots that one router may hold; zero
	// hands out none.
	MaxSpares int
	// SpareTTL is the lifetime of a spare slot; the default is 2 s.
	SpareTTL time.Duration
	// SpareGrace is the time after a spare slot's expiry in which its use may
	// still arrive; the default is 500 ms.
	SpareGrace time.Duration
	// AffinityEntries bounds the prompt prefixes in memory; the default is 4096.
	AffinityEntries int
	// Ties is the number of waiting demands of each workspace that wait in
	// each other region as well, beside one for each slot that is free there and a
	// tenth of those that were granted elsewhere within an exchange interval. The
	// default is 4.
	Ties int
	// Seed selects the jitter and the numbers of spare slots. Schedulers
	// should differ in it.
	Seed uint64
}

func (o Options) withDefaults() Options {
	setDefault(&o.InitialCost, defaultInitialCost)
	setDefault(&o.HoldTime, defaultHoldTime)
	setDefault(&o.MaxService, defaultMaxService)
	setDefault(&o.MaxWait, defaultMaxWait)
	setDefault(&o.SpareTTL, defaultSpareTTL)
	setDefault(&o.SpareGrace, defaultSpareGrace)
	setDefault(&o.AffinityEntries, defaultAffinityEntries)
	setDefault(&o.Ties, defaultTies)
	return o
}

func setDefault[T int | int64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
