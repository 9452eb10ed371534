package quarantine

import (
	"maps"
	"slices"
	"time"
)

// maxTargets bounds the targets of an entry, of each kind.
const maxTargets = 8

// Snapshot returns the entries for peers, ordered by digest. A suspect that
// has pardoned losses as well as counted ones is given as two.
func (b *Book) Snapshot(now time.Time) Snapshot {
	b.lastSeq = max(b.lastSeq+1, uint64(now.UnixNano()))
	return Snapshot{Seq: b.lastSeq, Suspects: b.suspects(now)}
}

func (b *Book) suspects(now time.Time) []Suspect {
	var result []Suspect
	for _, digest := range slices.Sorted(maps.Keys(b.entries)) {
		e := b.live(now, digest)
		if e == nil {
			continue
		}
		s := Suspect{Digest: digest, Remaining: e.expires.Sub(now)}
		if len(e.pardoned) > 0 {
			s.Cleared = true
			s.LostTargets = slices.Sorted(maps.Keys(e.pardoned))
			result = append(result, s)
		}
		if len(e.lost) > 0 {
			s.Cleared = false
			s.LostTargets = e.lostTargets()
			s.Running = b.inFlight[digest] > 0
			s.Announced = b.announces(now, e)
			result = append(result, s)
		}
	}
	return result
}

func (b *Book) announces(now time.Time, e *entry) bool {
	return !e.announced.IsZero() && now.Sub(e.wanted) <= 2*b.opts.Settle
}

// Merge takes in a peer's whole Snapshot. Merging is idempotent and does not depend
// on the order. Of Running and Announced the word of the highest Seq counts; a
// snapshot without suspects and Seq leaves earlier words to lapse.
func (b *Book) Merge(now time.Time, peer string, snapshot Snapshot) {
	latest := snapshot.Seq >= b.seen[peer] && snapshot.Seq > 0
	if latest {
		b.seen[peer] = snapshot.Seq
		for _, e := range b.entries {
			delete(e.peers, peer)
		}
	}
	for _, s := range snapshot.Suspects {
		b.mergeOne(now, peer, s, latest)
	}
}

func (b *Book) mergeOne(now time.Time, peer string, s Suspect, latest bool) {
	// Each hop shortens an entry, so that exchange does not keep it alive.
	remaining := min(s.Remaining, b.opts.Lifetime) - b.opts.Settle
	e := b.live(now, s.Digest)
	switch {
	case e == nil && remaining <= 0:
		return
	case e == nil:
		e = b.add(now, s.Digest)
		e.expires = now.Add(remaining)
	}
	if s.Cleared {
		e.pardon(s.LostTargets)
	} else if e.blame(s.LostTargets) && now.Add(remaining).After(e.expires) {
		e.expires = now.Add(remaining)
	}
	if latest && (s.Running || s.Announced) {
		e.peers[peer] = peerState{running: s.Running, until: now.Add(b.opts.RunningTTL)}
	}
}

// lostTargets returns the losses that count, a target once for each.
func (e *entry) lostTargets() []Target {
	var targets []Target
	for _, t := range slices.Sorted(maps.Keys(e.lost)) {
		targets = append(targets, slices.Repeat([]Target{t}, e.lost[t])...)
	}
	return targets
}

// blame counts losses that are not pardoned and reports whether one was new.
// Losses of one target that two routers report may be the same.
func (e *entry) blame(targets []Target) bool {
	told := map[Target]int{}
	for _, t := range targets {
		told[t]++
	}
	added := false
	for _, t := range slices.Sorted(maps.Keys(told)) {
		_, pardoned := e.pardoned[t]
		if pardoned || told[t] <= e.lost[t] || e.losses() >= maxTargets {
			continue
		}
		e.lost[t] = min(told[t], LossLimit)
		added = true
	}
	return added
}
