package rollout

import (
	"crypto/sha256"
	"math/rand/v2"
	"time"

	"github.com/chiveseam/chiveseam/config"
)

// Platform is the Source of an Offer that the platform made.
const Platform = "platform"

// Options are the intervals and sizes of a Tracker.
type Options struct {
	// ReadyWait bounds how long peers that do not answer hold up a start.
	ReadyWait time.Duration
	// AnswerMaxAge is the age up to which an answer counts for the start.
	AnswerMaxAge time.Duration
	// AskInterval is the time between two Asks of one peer during the start.
	AskInterval time.Duration
	// MaxAsks bounds the Asks of one Tick.
	MaxAsks int
	// FetchTimeout ends a Fetch that brought neither an Offer nor a failure.
	FetchTimeout time.Duration
	// FetchRetry is the mean time before a peer whose Fetch failed is tried
	// again.
	FetchRetry time.Duration
	// MaxRejected bounds the number of rejected versions remembered.
	MaxRejected int
}

// DefaultOptions returns the options that the daemon uses.
func DefaultOptions() Options {
	return Options{
		ReadyWait:    2 * time.Second,
		AnswerMaxAge: time.Second,
		AskInterval:  500 * time.Millisecond,
		MaxAsks:      64,
		FetchTimeout: time.Second,
		FetchRetry:   500 * time.Millisecond,
		MaxRejected:  64,
	}
}

// State is whether a router may serve.
type State int

// States of a Tracker.
const (
	// StateUnknown: peers may have a higher configuration in force.
	StateUnknown State = iota
	// StateReady: a configuration is in force.
	StateReady
)

// AcceptFunc judges a payload. It has to be a pure function of its arguments.
type AcceptFunc func(revision uint64, payload []byte) (*config.Accepted, error)

// Offer is a published configuration from the platform or a peer.
type Offer struct {
	Revision uint64
	Payload  []byte
	// Source is Platform or the name of a peer.
	Source string
}

// Rejection is a version that was not accepted.
type Rejection struct {
	Version Version
	Source  string
	Err     error
}

// Tracker decides about the configuration in force of one router. It is not
// safe for concurrent use.
type Tracker struct {
	opts   Options
	accept AcceptFunc
	rng    *rand.Rand

	state State
	// holdsSince is the time of the first configuration in force.
	holdsSince time.Time
	// peersKnown is set once the reachable peers were told.
	peersKnown bool
	inForce    Version
	current    *config.Accepted
	peers      map[string]*peer
	fetch      *fetch
	rejected   rejections
	conflicts  map[Version]bool
}

// New returns a Tracker without memory.
func New(opts Options, accept AcceptFunc, rng *rand.Rand) *Tracker {
	return &Tracker{
		opts:      opts,
		accept:    accept,
		rng:       rng,
		peers:     map[string]*peer{},
		conflicts: map[Version]bool{},
	}
}

// State returns whether the router may serve.
func (t *Tracker) State() State {
	return t.state
}

// InForce returns the configuration in force, nil without any.
func (t *Tracker) InForce() (Version, *config.Accepted) {
	return t.inForce, t.current
}

// Rejections returns the rejected versions above the one in force, lowest
// first.
func (t *Tracker) Rejections() []Rejection {
	return t.rejected.above(t.inForce)
}

// Offer takes in a published configuration.
func (t *Tracker) Offer(now time.Time, offer Offer) []Action {
	version := Version{Revision: offer.Revision, Digest: sha256.Sum256(offer.Payload)}
	actions := t.judge(now, version, offer)
	t.endFetch(now, offer.Source)
	return append(actions, t.becomeReady(now)...)
}

func (t *Tracker) judge(now time.Time, version Version, offer Offer) []Action {
	if t.rejected.has(version) || version.Revision == 0 {
		return nil
	}
	if version.Compare(t.inForce) <= 0 {
		return t.reportConflict(t.inForce, version, offer.Source)
	}
	accepted, err := t.accept(offer.Revision, offer.Payload)
	if err != nil {
		t.rejected.add(Rejection{Version: version, Source: offer.Source, Err: err}, t.opts.MaxRejected)
		return []Action{Reject{Version: version, Source: offer.Source, Err: err}}
	}
	actions := t.reportConflict(version, t.inForce, offer.Source)
	if t.current == nil {
		t.holdsSince = now
	}
	t.inForce, t.current = version, accepted
	t.forgetConflicts()
	return append(actions, Apply{Version: version, Configuration: accepted})
}

// reportConflict reports two payloads of one revision, once for each pair.
func (t *Tracker) reportConflict(kept, other Version, source string) []Action {
	if !kept.conflicts(other) || kept.Revision == 0 || t.conflicts[other] {
		return nil
	}
	t.conflicts[other] = true
	return []Action{Conflict{Kept: kept, Other: other, Source: source}}
}

func (t *Tracker) forgetConflicts() {
	for v := range t.conflicts {
		if v.Revision < t.inForce.Revision {
			delete(t.conflicts, v)
		}
	}
}

// Tick returns what is due: questions during the start, a fetch, readiness. It
// is to be called every 100 ms or so and after PeerSeen.
func (t *Tracker) Tick(now time.Time) []Action {
	actions := t.asks(now)
	actions = append(actions, t.nextFetch(now)...)
	return append(actions, t.becomeReady(now)...)
}

// becomeReady ends the start when nothing higher is known among the peers.
func (t *Tracker) becomeReady(now time.Time) []Action {
	if t.state == StateReady || t.current == nil {
		return nil
	}
	waited := now.Sub(t.holdsSince) >= t.opts.ReadyWait
	if !waited && !t.allAnswered(now) {
		return nil
	}
	if t.highest().Compare(t.inForce) > 0 {
		return nil
	}
	t.state = StateReady
	return []Action{Ready{}}
}
