package rollout

import (
	"maps"
	"slices"
	"time"
)

// peer is what a Tracker knows about one reachable router.
type peer struct {
	// answeredAt is the time at which the peer last reported its version; zero if it never did.
	answeredAt time.Time
	version    Version
	lastQuery  time.Time
	// retryAt is the time before which no fetch from the peer starts.
	retryAt time.Time
}

// fetch is the fetch in progress.
type fetch struct {
	peer    string
	wanted  Version
	started time.Time
}

// SetPeers sets the names of the reachable routers, without the router itself. State about
// other routers is dropped. It must not be called before the instance list is known: a router
// that takes itself for the only one would become ready without asking its peers.
func (t *Tracker) SetPeers(names []string) {
	t.peersSet = true
	reachable := make(map[string]*peer, len(names))
	for _, name := range names {
		reachable[name] = t.peers[name]
		if reachable[name] == nil {
			reachable[name] = &peer{}
		}
	}
	t.peers = reachable
}

// SetPeerVersion records the version that a reachable router reported to have in force; the
// zero Version if it has none. A name that SetPeers did not set is ignored.
func (t *Tracker) SetPeerVersion(now time.Time, name string, version Version) []Action {
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
	return append(actions, t.checkReady(now)...)
}

// FetchFailed ends the fetch from the named peer without an Offer.
func (t *Tracker) FetchFailed(now time.Time, name string) {
	t.endFetch(now, name)
}

// endFetch ends the fetch in progress if it is from the named peer. If the peer did not deliver
// the version that it reported, the next fetch from it is delayed by about FetchRetry.
func (t *Tracker) endFetch(now time.Time, name string) {
	if t.fetch == nil || t.fetch.peer != name {
		return
	}
	if p := t.peers[name]; p != nil && t.inForce.Compare(t.fetch.wanted) < 0 {
		p.retryAt = now.Add(t.jitter(t.opts.FetchRetry))
	}
	t.fetch = nil
}

// jitter returns a random duration between half and one and a half of mean.
func (t *Tracker) jitter(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(t.rng.Int64N(int64(mean)+1))
}

// dueQueries returns a Query for each peer whose answer is missing or too old, during the start
// only.
func (t *Tracker) dueQueries(now time.Time) []Action {
	if t.state == StateReady {
		return nil
	}
	// Without a configuration, or while a peer has a higher version, one answer of each peer is
	// enough. Once only the answers delay readiness, they have to be recent.
	var answeredAfter time.Time
	if t.current != nil && t.highestPeerVersion().Compare(t.inForce) <= 0 {
		answeredAfter = now.Add(-t.opts.QueryInterval)
	}
	var actions []Action
	for _, name := range slices.Sorted(maps.Keys(t.peers)) {
		p := t.peers[name]
		if p.answeredAt.After(answeredAfter) || now.Sub(p.lastQuery) < t.opts.QueryInterval {
			continue
		}
		if len(actions) >= t.opts.MaxQueriesPerTick {
			break
		}
		p.lastQuery = now
		actions = append(actions, Query{Peer: name})
	}
	return actions
}

// nextFetch starts a fetch from a random peer among those with the highest version, so that the
// fetches of a new version are spread over the routers that have it.
func (t *Tracker) nextFetch(now time.Time) []Action {
	if t.fetch != nil && now.Sub(t.fetch.started) >= t.opts.FetchTimeout {
		t.endFetch(now, t.fetch.peer)
	}
	if t.fetch != nil {
		return nil
	}
	candidates := t.fetchCandidates(now)
	if len(candidates) == 0 {
		return nil
	}
	name := candidates[t.rng.IntN(len(candidates))]
	wanted := t.peers[name].version
	t.fetch = &fetch{peer: name, wanted: wanted, started: now}
	return []Action{Fetch{Peer: name, MinRevision: wanted.Revision}}
}

// fetchCandidates returns the peers with the highest version to fetch, ordered by name. Peers
// whose last fetch failed a short time ago are left out.
func (t *Tracker) fetchCandidates(now time.Time) []string {
	var best Version
	var names []string
	for _, name := range slices.Sorted(maps.Keys(t.peers)) {
		p := t.peers[name]
		if !t.shouldFetch(p.version) || now.Before(p.retryAt) {
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

// shouldFetch reports whether a version is higher than the one in force and not rejected.
func (t *Tracker) shouldFetch(version Version) bool {
	return version.Compare(t.inForce) > 0 && !t.rejected.contains(version)
}

// highestPeerVersion returns the highest version that a peer reported and that is not rejected.
func (t *Tracker) highestPeerVersion() Version {
	var best Version
	for _, p := range t.peers {
		if p.version.Compare(best) > 0 && !t.rejected.contains(p.version) {
			best = p.version
		}
	}
	return best
}

// allAnswered reports whether each reachable router reported its version within AnswerMaxAge.
// It is false before SetPeers.
func (t *Tracker) allAnswered(now time.Time) bool {
	if !t.peersSet {
		return false
	}
	for _, p := range t.peers {
		if p.answeredAt.IsZero() || now.Sub(p.answeredAt) > t.opts.AnswerMaxAge {
			return false
		}
	}
	return true
}
