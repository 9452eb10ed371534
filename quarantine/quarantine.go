// Package quarantine limits the damage of a request that crashes the targets that run it.
//
// Each request is identified by a digest. When a target is lost, every request in flight
// on it becomes a suspect. A suspect may run on only one target at a time in the whole
// fleet, as far as routers can reach each other. When a second target is lost with the
// suspect in flight, the request is refused until its entry expires. A suspect that a
// target answers in full is cleared, so that requests that only shared a target with the
// cause of the crash are not refused. Each entry expires Options.Lifetime after its last
// loss, so that no request is refused forever.
//
// Routers exchange entries with Snapshot and Merge. After Lost, a router must send a
// Snapshot to all peers before it reports the failure to the caller. Otherwise the caller
// could repeat the request at a router that does not know of the loss, and the request
// would run there as if it were new.
//
// Before a router runs a suspect, it announces the run: it calls Begin, which returns
// Wait, and sends a Snapshot to all peers. It may run the suspect if no peer runs it and
// no peer whose name sorts before its own announces it, either during
// Options.AnnouncePeriod or by the answers of all peers to that Snapshot (Acknowledge).
// Two routers that cannot reach each other may each run a suspect at the same time.
//
// When a target has answered a suspect in full, the losses before that answer no longer
// count, also if a peer that does not know of the answer reports them again. After a
// further loss of one of these targets, an older entry of a peer may clear that loss too;
// losses of other targets still count.
//
// The package starts no goroutine and uses no clock or random source. A Tracker is not
// safe for concurrent use.
package quarantine

import (
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// LossLimit is the number of losses with a request in flight, of one target or of
// several, after which the request is refused.
const LossLimit = 2

// Defaults of Options.
const (
	DefaultLifetime       = 10 * time.Minute
	DefaultAnnouncePeriod = 3 * time.Second
	DefaultRunningTTL     = 5 * time.Second
	DefaultMaxEntries     = 4096
)

// Options are the settings of a Tracker. A field that is not positive takes its default.
type Options struct {
	// Lifetime is the time from the last loss of a suspect to the end of its entry.
	Lifetime time.Duration
	// AnnouncePeriod is the time for which a router announces a run of a suspect before it
	// begins, unless all peers have answered earlier. It must exceed twice the time in
	// which a Snapshot reaches all routers.
	AnnouncePeriod time.Duration
	// RunningTTL is the time for which a peer's report that it runs or announces a
	// suspect is valid. It must exceed the interval at which routers exchange snapshots.
	RunningTTL time.Duration
	// MaxEntries bounds the number of entries. At the bound, a new entry replaces the one
	// that expires first.
	MaxEntries int
}

func (o Options) withDefaults() Options {
	defaultDuration(&o.Lifetime, DefaultLifetime)
	defaultDuration(&o.AnnouncePeriod, DefaultAnnouncePeriod)
	defaultDuration(&o.RunningTTL, DefaultRunningTTL)
	if o.MaxEntries <= 0 {
		o.MaxEntries = DefaultMaxEntries
	}
	return o
}

// defaultDuration sets *d to value if *d is not positive.
func defaultDuration(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// Digest identifies a request. It is a digest of the request's workspace, pool and body.
type Digest uint64

// Target is the ID of a target in the configuration.
type Target uint32

// Action is the result of Begin for a request.
type Action int

// Actions start at 1, so that the zero value is invalid.
const (
	// Run: the request may be sent to a target. One of Lost, Answered, NotRun and Ended
	// must follow.
	Run Action = iota + 1
	// Wait: the request is a suspect that may not run yet. The router sends a Snapshot to
	// its peers and calls Begin again after Decision.RetryAfter.
	Wait
	// Refuse: the request has reached LossLimit and is answered with Decision.Code.
	Refuse
)

// Decision is the result of Begin.
type Decision struct {
	Action Action
	// Code is QUARANTINED with Refuse.
	Code v1.Code
	// RetryAfter is the time after which Begin may give another result.
	RetryAfter time.Duration
	// Suspect is set with Run for a suspect. The router should choose a target that runs
	// no other suspect, so that a further loss counts against one request only.
	Suspect bool
	// Announcement is set with Wait if the router has announced the run. Once all peers
	// have answered a Snapshot made after Begin, the router passes Announcement to
	// Acknowledge and calls Begin again.
	Announcement uint64
}

// Snapshot is the content of a Tracker as routers exchange it.
type Snapshot struct {
	// Seq orders the snapshots of a router. It is the Unix time in nanoseconds by the
	// router's clock, or one more than the previous Seq if that is greater.
	Seq      uint64
	Suspects []Suspect
}

// Suspect is an entry of a Tracker as routers exchange it.
type Suspect struct {
	Digest Digest
	// LostTargets holds each target as many times as it was lost with the request in
	// flight.
	LostTargets []Target
	// Remaining is the time until the entry expires.
	Remaining time.Duration
	// Running is set while the sender runs the request.
	Running bool
	// Announced is set while the sender announces a run of the request.
	Announced bool
	// Cleared is set if a target answered the request in full after the loss of
	// LostTargets.
	Cleared bool
}
