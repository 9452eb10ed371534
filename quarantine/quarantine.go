// Package quarantine keeps a request that crashes targets from taking down
// one target after another.
//
// Each request is known by a digest. When a target is lost, every request in
// flight on it becomes a suspect. A suspect may run on one target at a time,
// in the whole fleet as far as routers can talk. When a second target is lost
// with the suspect in flight, the request is refused until its entry expires.
// A suspect that a target answers in full is cleared, so that requests that
// only shared a target with the culprit are not blamed. Each entry expires
// Options.Lifetime after its last loss: no request is refused for good.
//
// Routers exchange entries with Snapshot and Merge. After Lost, the router must
// send Snapshot to all peers before it tells the caller of the failure. Else
// the request, sent again at once to a router that has not heard of the loss,
// would run there as if it were new.
//
// To start a suspect, a router first announces the wish with Begin (Wait) and
// sends Snapshot to all peers; if none of them runs the request and none with a
// lesser name announces the same within Options.Settle, or in the answers of all
// peers to that Snapshot (Settled), it holds the suspect's only place. Two routers that cannot talk may each run a suspect once.
//
// The loss of a target that was pardoned by a whole answer may be pardoned again
// by a peer's older entry; the losses of other targets still count.
//
// The package holds no goroutine, clock or random source. A Book is not safe
// for concurrent use.
package quarantine

import (
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// LossLimit is the number of losses with a request in flight, of one target or
// of several, from which on the request is refused.
const LossLimit = 2

// Defaults of Options.
const (
	DefaultLifetime   = 10 * time.Minute
	DefaultSettle     = 3 * time.Second
	DefaultRunningTTL = 5 * time.Second
	DefaultMaxEntries = 4096
)

// Options are the settings of a Book. A zero field takes its default.
type Options struct {
	// Lifetime is how long a suspect is remembered after its last loss.
	Lifetime time.Duration
	// Settle is how long a router announces a suspect before it runs it; it
	// must exceed twice the time in which a Snapshot reaches all routers.
	Settle time.Duration
	// RunningTTL is how long a peer's word that it runs a suspect is believed.
	// It must exceed the interval of the exchange.
	RunningTTL time.Duration
	// MaxEntries bounds the suspects; at the bound the one that expires first
	// makes room.
	MaxEntries int
}

func (o Options) withDefaults() Options {
	setDuration(&o.Lifetime, DefaultLifetime)
	setDuration(&o.Settle, DefaultSettle)
	setDuration(&o.RunningTTL, DefaultRunningTTL)
	if o.MaxEntries <= 0 {
		o.MaxEntries = DefaultMaxEntries
	}
	return o
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// Digest is a digest of a request's workspace, pool and body.
type Digest uint64

// Target is the ID of a target.
type Target uint32

// Action is the kind of a Decision.
type Action int

// The actions. The zero Action is invalid.
const (
	// Run: the request may be sent. Lost, Answered or Ended must follow.
	Run Action = iota + 1
	// Wait: the request is a suspect; call Begin again after RetryAfter and send
	// a Snapshot to peers in between.
	Wait
	// Refuse: answer with QUARANTINED.
	Refuse
)

// Decision is the result of Begin.
type Decision struct {
	Action     Action
	Code       v1.Code
	RetryAfter time.Duration
	// Suspect is set with Run for a suspect. It should get a target that serves
	// no other suspect, so that a further loss blames one request only.
	Suspect bool
	// Announcement is set with Wait when the router has announced the suspect:
	// once all peers have answered a Snapshot, pass it to Settled and call Begin
	// again.
	Announcement uint64
}

// Snapshot is a Book as routers exchange it.
type Snapshot struct {
	// Seq orders the snapshots of a router by its clock, in nanoseconds.
	Seq      uint64
	Suspects []Suspect
}

// Suspect is an entry as routers exchange it.
type Suspect struct {
	Digest Digest
	// LostTargets holds a target once for each of its losses.
	LostTargets []Target
	// Remaining is how much longer the entry is remembered.
	Remaining time.Duration
	// Running is set while the sender runs the request.
	Running bool
	// Announced is set while the sender waits to run the request.
	Announced bool
	// Cleared is set when a target answered the request in full after the loss
	// of LostTargets.
	Cleared bool
}
