package quarantine

import (
	"maps"
	"slices"
	"time"
)

// maxEntryTargets is the number of losses at which Merge adds no more to an entry, and
// the largest number of its cleared targets.
const maxEntryTargets = 8

// Snapshot returns the entries for peers in the order of their digests. A suspect that has
// both cleared losses and losses that count is listed twice.
func (t *Tracker) Snapshot(now time.Time) Snapshot {
	t.lastSeq = max(t.lastSeq+1, uint64(now.UnixNano()))
	return Snapshot{Seq: t.lastSeq, Suspects: t.suspects(now)}
}

func (t *Tracker) suspects(now time.Time) []Suspect {
	var result []Suspect
	for _, digest := range slices.Sorted(maps.Keys(t.entries)) {
		e := t.lookup(now, digest)
		if e == nil {
			continue
		}
		s := Suspect{Digest: digest, Remaining: e.expires.Sub(now)}
		if len(e.clearedTargets) > 0 {
			s.Cleared = true
			s.LostTargets = slices.Sorted(maps.Keys(e.clearedTargets))
			result = append(result, s)
		}
		if len(e.lossCounts) > 0 {
			s.Cleared = false
			s.LostTargets = e.lostTargets()
			s.Running = t.inFlight[digest] > 0
			s.Announced = t.hasActiveAnnouncement(now, e)
			result = append(result, s)
		}
	}
	return result
}

// hasActiveAnnouncement reports whether this router announces a run of the suspect and
// the announcement has not expired.
func (t *Tracker) hasActiveAnnouncement(now time.Time, e *entry) bool {
	return !e.announcedAt.IsZero() && now.Sub(e.lastBegin) <= 2*t.opts.AnnouncePeriod
}

// Merge adds the content of a peer's Snapshot. The order in which snapshots are merged,
// and merging one twice, make no difference. Running and Announced are taken from the
// snapshot with the highest Seq of the peer. A snapshot whose Seq is 0 leaves the peer's
// earlier reports valid until they expire.
func (t *Tracker) Merge(now time.Time, peer string, snapshot Snapshot) {
	latest := snapshot.Seq >= t.peerSeqs[peer] && snapshot.Seq > 0
	if latest {
		t.peerSeqs[peer] = snapshot.Seq
		for _, e := range t.entries {
			delete(e.peers, peer)
		}
	}
	for _, s := range snapshot.Suspects {
		t.mergeSuspect(now, peer, s, latest)
	}
}

// mergeSuspect merges one entry of a peer. The argument latest says whether its snapshot
// has the highest Seq of the peer so far.
func (t *Tracker) mergeSuspect(now time.Time, peer string, s Suspect, latest bool) {
	// The entry expires earlier by AnnouncePeriod at each transfer, so that routers which
	// exchange it in turn do not keep it forever.
	remaining := min(s.Remaining, t.opts.Lifetime) - t.opts.AnnouncePeriod
	e := t.lookup(now, s.Digest)
	switch {
	case e == nil && remaining <= 0:
		return
	case e == nil:
		e = t.add(now, s.Digest)
		e.expires = now.Add(remaining)
	}
	if s.Cleared {
		e.clearTargets(s.LostTargets)
	} else if e.addLosses(s.LostTargets) && now.Add(remaining).After(e.expires) {
		e.expires = now.Add(remaining)
	}
	if latest && (s.Running || s.Announced) {
		e.peers[peer] = peerState{running: s.Running, validUntil: now.Add(t.opts.RunningTTL)}
	}
}

// lostTargets returns the targets for Suspect.LostTargets: each target once for each of its
// losses in lossCounts.
func (e *entry) lostTargets() []Target {
	var targets []Target
	for _, t := range slices.Sorted(maps.Keys(e.lossCounts)) {
		targets = append(targets, slices.Repeat([]Target{t}, e.lossCounts[t])...)
	}
	return targets
}

// addLosses adds the reported losses, except those of cleared targets, and reports whether
// one was new. Two routers may report the same loss. So for each target the greater of the
// known and the reported number counts, not the sum.
func (e *entry) addLosses(targets []Target) bool {
	reported := map[Target]int{}
	for _, t := range targets {
		reported[t]++
	}
	added := false
	for _, t := range slices.Sorted(maps.Keys(reported)) {
		_, cleared := e.clearedTargets[t]
		if cleared || reported[t] <= e.lossCounts[t] || e.losses() >= maxEntryTargets {
			continue
		}
		e.lossCounts[t] = min(reported[t], LossLimit)
		added = true
	}
	return added
}
