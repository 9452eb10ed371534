package rollout

import (
	"maps"
	"slices"
	"time"
)

// peer is what a Tracker knows about a reachable router.
type peer struct {
	// answeredAt is the time of the last word about version, or zero.
	answeredAt time.Time
	version    Version
	lastAsk    time.Time
	// retryAt is the time before which nothing is fetched from it.
	retryAt time.Time
}

// fetch is the fetch in progress.
type fetch struct {
	peer    string
	wanted  Version
	started time.Time
}

// SetPeers sets the names of the reachable routers, without the router itself.
// It is not to be called before the instance list is known.
// What is known about others is dropped.
func (t *Tracker) SetPeers(names []string) {
	t.peersKnown = true
	reachable := make(map[string]*peer, len(names))
	for _, name := range names {
		reachable[name] = t.peers[name]
		if reachable[name] == nil {
			reachable[name] = &peer{}
		}
	}
	t.peers = reachable
}

// PeerSeen takes in the version that a reachable router has in force. A router
// that has none tells the zero Version.
func (t *Tracker) PeerSeen(now time.Time, name string, version Version) []Action {
	p := t.peers[name]
	if p == nil {
		return nil
	}
	p.answeredAt = now
	if p.version != version {
		p.version = version
		p.retryAt = time.Time{}
	}
	var actions []Action
	if t.current != nil && version.Compare(t.inForce) < 0 {
		actions = t.reportConflict(t.inForce, version, name)
	}
	return append(actions, t.becomeReady(now)...)
}

// FetchFailed ends the fetch from a peer without an Offer.
func (t *Tracker) FetchFailed(now time.Time, name string) {
	t.endFetch(now, name)
}

// endFetch ends the fetch in progress from name. A peer that did not bring the
// version it told is left alone for a while.
func (t *Tracker) endFetch(now time.Time, name string) {
	if t.fetch == nil || t.fetch.peer != name {
		return
	}
	if p := t.peers[name]; p != nil && t.inForce.Compare(t.fetch.wanted) < 0 {
		p.retryAt = now.Add(t.jitter(t.opts.FetchRetry))
	}
	t.fetch = nil
}

// jitter returns a time between half and one and a half of mean.
func (t *Tracker) jitter(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(t.rng.Int64N(int64(mean)+1))
}

func (t *Tracker) asks(now time.Time) []Action {
	if t.state == StateReady {
		return nil
	}
	// Once a configuration may be served, the answers have to be recent.
	var oldest time.Time
	if t.current != nil && t.highest().Compare(t.inForce) <= 0 {
		oldest = now.Add(-t.opts.AskInterval)
	}
	var actions []Action
	for _, name := range slices.Sorted(maps.Keys(t.peers)) {
		p := t.peers[name]
		if p.answeredAt.After(oldest) || now.Sub(p.lastAsk) < t.opts.AskInterval {
			continue
		}
		if len(actions) >= t.opts.MaxAsks {
			break
		}
		p.lastAsk = now
		actions = append(actions, Ask{Peer: name})
	}
	return actions
}

// nextFetch starts a fetch from a random peer among those with the highest
// version, so that the load of a new version spreads over its holders.
func (t *Tracker) nextFetch(now time.Time) []Action {
	if t.fetch != nil && now.Sub(t.fetch.started) >= t.opts.FetchTimeout {
		t.endFetch(now, t.fetch.peer)
	}
	if t.fetch != nil {
		return nil
	}
	holders := t.holders(now)
	if len(holders) == 0 {
		return nil
	}
	name := holders[t.rng.IntN(len(holders))]
	wanted := t.peers[name].version
	t.fetch = &fetch{peer: name, wanted: wanted, started: now}
	return []Action{Fetch{Peer: name, MinRevision: wanted.Revision}}
}

// holders returns the peers to fetch from now, by name.
func (t *Tracker) holders(now time.Time) []string {
	var best Version
	var names []string
	for _, name := range slices.Sorted(maps.Keys(t.peers)) {
		p := t.peers[name]
		if !t.wants(p.version) || now.Before(p.retryAt) {
			continue
		}
		if c := p.version.Compare(best); c > 0 {
			best, names = p.version, nil
		}
		if p.version == best {
			names = append(names, name)
		}
	}
	return names
}

func (t *Tracker) wants(version Version) bool {
	return version.Compare(t.inForce) > 0 && !t.rejected.has(version)
}

// highest returns the highest version among the peers that is not rejected.
func (t *Tracker) highest() Version {
	var best Version
	for _, p := range t.peers {
		if p.version.Compare(best) > 0 && !t.rejected.has(p.version) {
			best = p.version
		}
	}
	return best
}

// allAnswered returns whether each reachable router told its version lately.
func (t *Tracker) allAnswered(now time.Time) bool {
	if !t.peersKnown {
		return false
	}
	for _, p := range t.peers {
		if p.answeredAt.IsZero() || now.Sub(p.answeredAt) > t.opts.AnswerMaxAge {
			return false
		}
	}
	return true
}
