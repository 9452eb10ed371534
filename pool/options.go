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
// its default if the field's comment names one.
type Options struct {
	// InitialCost is the estimated cost, in cost units, of a demand of a workspace
	// without history; the default is 256.
	InitialCost int64
	// MaxLead is passed to fairshare.Options. It bounds how far merged counters or
	// service in other regions may put a workspace ahead of its competitors, in
	// cost units at share 1.
	MaxLead int64
	// HoldTime is how long the slots of granted demands stay busy after the stream
	// of their router is lost; the default is 30 s.
	HoldTime time.Duration
	// SettleTime is how long an empty scheduler limits its grants after the first
	// router has joined, because slots that are in use may seem free until all
	// routers have joined. It grants one request at a time while no router has
	// reported requests in flight, and none from then on. The time starts again
	// when the first router with requests in flight joins. Zero sets no limit.
	SettleTime time.Duration
	// MaxService is the time without a report about a granted demand after which
	// its slot is freed; the default is 15 min.
	MaxService time.Duration
	// MaxWait bounds the time that a demand waits, whatever its deadline; the
	// default is 10 min.
	MaxWait time.Duration
	// MaxSpares is the number of spare slots that one router may hold; zero
	// hands out none.
	MaxSpares int
	// SpareTTL is how long a router may use a spare slot; the default is 2 s. It is
	// also the half-life of a router's count of recent grants.
	SpareTTL time.Duration
	// SpareGrace is how long after the expiry of a spare slot the scheduler waits
	// for a late SpareUsed before it frees the slot; the default is 500 ms.
	SpareGrace time.Duration
	// AffinityEntries bounds the number of prompt prefixes that are remembered; the
	// default is 4096.
	AffinityEntries int
	// Ties is the number of waiting demands of each workspace that also wait in
	// each other region, see Tie. Added to it are the number of free slots of that
	// region, and a tenth of the tied demands that routers withdrew, mostly after
	// a grant by another region, in this or the last interval between two
	// RegionsChanged, whichever are more. The default is 4.
	Ties int
	// Seed selects the jitter of breaker delays and the first number of spare
	// slots. It should differ between schedulers.
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
