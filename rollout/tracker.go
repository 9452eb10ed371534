package rollout

import (
	"crypto/sha256"
	"math/rand/v2"
	"time"

	"github.com/chiveseam/chiveseam/config"
)

// Platform is the Source of an Offer with a configuration that was read from the platform.
const Platform = "platform"

// Options are the intervals and sizes of a Tracker.
type Options struct {
	// ReadyWait limits how long a start waits for peers that do not answer, from the first
	// configuration in force on.
	ReadyWait time.Duration
	// AnswerMaxAge is the age up to which a peer's answer counts during the start.
	AnswerMaxAge time.Duration
	// QueryInterval is the minimum time between two queries of one peer during the start.
	QueryInterval time.Duration
	// MaxQueriesPerTick limits the queries that one Tick returns.
	MaxQueriesPerTick int
	// FetchTimeout is the time after which a Fetch without a result counts as failed.
	FetchTimeout time.Duration
	// FetchRetry is the mean delay before the next Fetch from a peer after a failed one.
	FetchRetry time.Duration
	// MaxRejected limits the number of rejected versions that are remembered.
	MaxRejected int
}

// DefaultOptions returns the options that the router uses.
func DefaultOptions() Options {
	return Options{
		ReadyWait:         2 * time.Second,
		AnswerMaxAge:      time.Second,
		QueryInterval:     500 * time.Millisecond,
		MaxQueriesPerTick: 64,
		FetchTimeout:      time.Second,
		FetchRetry:        500 * time.Millisecond,
		MaxRejected:       64,
	}
}

// State says whether a router may serve requests.
type State int

// States of a Tracker.
const (
	// StateStarting means that peers may have a higher version in force than this router.
	StateStarting State = iota
	// StateReady means that a configuration is in force and the router may serve. It is final.
	StateReady
)

// AcceptFunc decodes and validates a payload. Its result must depend on its arguments alone, so
// that all routers accept the same versions.
type AcceptFunc func(revision uint64, payload []byte) (*config.Accepted, error)

// Offer is a published configuration that was received from the platform or from a peer.
type Offer struct {
	Revision uint64
	Payload  []byte
	// Source is Platform or the name of a peer.
	Source string
}

// Rejection is a version that AcceptFunc rejected, with its error. Source is Platform or the
// name of the peer that delivered the version first.
type Rejection struct {
	Version Version
	Source  string
	Err     error
}

// Tracker decides which configuration one router has in force. It is not safe for concurrent
// use.
type Tracker struct {
	opts   Options
	accept AcceptFunc
	rng    *rand.Rand

	state State
	// firstAppliedAt is the time at which the first configuration came into force.
	firstAppliedAt time.Time
	// peersSet is set by the first SetPeers. Until then nothing is known about the number of
	// peers.
	peersSet bool
	// inForce is the version of current; zero if current is nil.
	inForce  Version
	current  *config.Accepted
	peers    map[string]*peer
	fetch    *fetch
	rejected rejections
	// conflicts holds the versions whose conflict with the one in force was reported.
	conflicts map[Version]bool
}

// New returns a Tracker without a configuration.
func New(opts Options, accept AcceptFunc, rng *rand.Rand) *Tracker {
	return &Tracker{
		opts:      opts,
		accept:    accept,
		rng:       rng,
		peers:     map[string]*peer{},
		conflicts: map[Version]bool{},
	}
}

// State returns the state, which says whether the router may serve requests.
func (t *Tracker) State() State {
	return t.state
}

// InForce returns the configuration in force and its version: nil and the zero Version before
// the first.
func (t *Tracker) InForce() (Version, *config.Accepted) {
	return t.inForce, t.current
}

// Rejections returns the rejected versions that are higher than the one in force, lowest first.
func (t *Tracker) Rejections() []Rejection {
	return t.rejected.higherThan(t.inForce)
}

// Offer evaluates a published configuration. If its Source is the peer of the fetch in
// progress, that fetch has ended.
func (t *Tracker) Offer(now time.Time, offer Offer) []Action {
	version := Version{Revision: offer.Revision, Digest: sha256.Sum256(offer.Payload)}
	actions := t.evaluate(now, version, offer)
	t.endFetch(now, offer.Source)
	return append(actions, t.checkReady(now)...)
}

// evaluate applies, rejects or ignores an offered version.
func (t *Tracker) evaluate(now time.Time, version Version, offer Offer) []Action {
	if t.rejected.contains(version) || version.Revision == 0 {
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
		t.firstAppliedAt = now
	}
	t.inForce, t.current = version, accepted
	t.dropOldConflicts()
	return append(actions, Apply{Version: version, Configuration: accepted})
}

// reportConflict reports that two versions have the same revision but different payloads, once
// for each other version.
func (t *Tracker) reportConflict(kept, other Version, source string) []Action {
	if !kept.conflictsWith(other) || kept.Revision == 0 || t.conflicts[other] {
		return nil
	}
	t.conflicts[other] = true
	return []Action{Conflict{Kept: kept, Other: other, Source: source}}
}

// dropOldConflicts drops reported conflicts of revisions below the one in force.
func (t *Tracker) dropOldConflicts() {
	for v := range t.conflicts {
		if v.Revision < t.inForce.Revision {
			delete(t.conflicts, v)
		}
	}
}

// Tick returns the actions that are due: queries of peers during the start, the next fetch, and
// Ready. It is to be called about every 100 ms and after SetPeerVersion.
func (t *Tracker) Tick(now time.Time) []Action {
	actions := t.dueQueries(now)
	actions = append(actions, t.nextFetch(now)...)
	return append(actions, t.checkReady(now)...)
}

// checkReady ends the start if no peer is known to have a higher version, and either all peers
// have answered recently or ReadyWait has passed.
func (t *Tracker) checkReady(now time.Time) []Action {
	if t.state == StateReady || t.current == nil {
		return nil
	}
	waitElapsed := now.Sub(t.firstAppliedAt) >= t.opts.ReadyWait
	if !waitElapsed && !t.allAnswered(now) {
		return nil
	}
	if t.highestPeerVersion().Compare(t.inForce) > 0 {
		return nil
	}
	t.state = StateReady
	return []Action{Ready{}}
}
