package quarantine

import (
	"maps"
	"slices"
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// Book is one router's knowledge of suspects. It is not safe for concurrent
// use.
type Book struct {
	self    string
	opts    Options
	entries map[Digest]*entry
	// inFlight counts the runs in progress, of suspects or not.
	inFlight map[Digest]int
	// announcements counts those of this router.
	announcements uint64
	// lastSeq is that of the last Snapshot.
	lastSeq uint64
	// seen holds the highest Seq of each peer's snapshots.
	seen map[string]uint64
}

// entry is one suspect.
type entry struct {
	// lost counts the losses of targets that count against the request.
	lost map[Target]int
	// alone is set while this router runs the request as a suspect.
	alone bool
	// pardoned holds the targets whose loss was before a whole answer.
	pardoned map[Target]struct{}
	expires  time.Time
	// announced is when this router announced a run; zero means never.
	announced time.Time
	// announcement numbers the announcement.
	announcement uint64
	// settled is set once all peers have answered since the announcement.
	settled bool
	// wanted is when Begin was last called for the announcement.
	wanted time.Time
	peers  map[string]peerState
}

// peerState is a peer's last word about a suspect.
type peerState struct {
	running bool
	// until is how long the word is believed.
	until time.Time
}

// New returns an empty Book of the router named self.
func New(self string, opts Options) *Book {
	return &Book{
		self:     self,
		opts:     opts.withDefaults(),
		entries:  map[Digest]*entry{},
		inFlight: map[Digest]int{},
		seen:     map[string]uint64{},
	}
}

// Begin decides whether a request may be sent to a target now.
func (b *Book) Begin(now time.Time, digest Digest) Decision {
	e := b.live(now, digest)
	switch {
	case e == nil || e.losses() == 0:
		b.inFlight[digest]++
		return Decision{Action: Run}
	case e.losses() >= LossLimit:
		return Decision{Action: Refuse, Code: v1.Code_QUARANTINED, RetryAfter: e.expires.Sub(now)}
	case b.inFlight[digest] > 0:
		return Decision{Action: Wait, RetryAfter: b.opts.Settle}
	}
	d := b.announce(now, e)
	if d.Action == Run {
		b.inFlight[digest]++
	}
	return d
}

// Confirm reports whether a run that Begin has allowed may still be sent to its
// target. A run that began as new may not once a loss is known; NotRun must
// follow.
func (b *Book) Confirm(now time.Time, digest Digest) bool {
	e := b.live(now, digest)
	if e == nil || e.losses() == 0 {
		return true
	}
	return e.alone && e.losses() < LossLimit
}

// announce asks for the only place of a suspect. The announcement lapses when
// Begin is not called again.
func (b *Book) announce(now time.Time, e *entry) Decision {
	if b.peerBefore(now, e) {
		e.withdraw()
		return Decision{Action: Wait, RetryAfter: b.opts.Settle}
	}
	lapsed := now.Sub(e.wanted) > 2*b.opts.Settle
	if e.announced.IsZero() || lapsed {
		e.withdraw()
		e.announced = now
		b.announcements++
		e.announcement = b.announcements
	}
	e.wanted = now
	if left := e.announced.Add(b.opts.Settle).Sub(now); left > 0 && !e.settled {
		return Decision{Action: Wait, RetryAfter: left, Announcement: e.announcement}
	}
	e.alone = true
	return Decision{Action: Run, Suspect: true}
}

// Settled records that all peers have merged a Snapshot made after Begin has
// returned the announcement, and that their answers are merged. The place is
// then free without waiting for Options.Settle, if Begin finds no peer before.
func (b *Book) Settled(now time.Time, digest Digest, announcement uint64) {
	e := b.live(now, digest)
	if e != nil && e.announcement == announcement && b.announces(now, e) {
		e.settled = true
	}
}

// withdraw takes the announcement back.
func (e *entry) withdraw() {
	e.announced = time.Time{}
	e.settled = false
}

// peerBefore reports whether a peer runs the suspect or has announced it with
// precedence: before this router did, or with a lesser name.
func (b *Book) peerBefore(now time.Time, e *entry) bool {
	for peer, state := range e.peers {
		if !now.Before(state.until) {
			delete(e.peers, peer)
			continue
		}
		if state.running || e.announced.IsZero() || peer < b.self {
			return true
		}
	}
	return false
}

// Lost records that a target was lost with the request in flight on it. Runs
// that began before the first loss may have been lost at once, so that only the
// run of a suspect counts a further loss of the same target.
func (b *Book) Lost(now time.Time, digest Digest, target Target) {
	b.left(digest)
	e := b.live(now, digest)
	if e == nil {
		e = b.add(now, digest)
	}
	if e.alone || e.lost[target] == 0 {
		e.lost[target]++
	}
	e.alone = false
	delete(e.pardoned, target)
	e.expires = now.Add(b.opts.Lifetime)
	e.withdraw()
}

// Answered records that a target answered the request in full; it clears a
// suspect.
func (b *Book) Answered(now time.Time, digest Digest) {
	b.left(digest)
	e := b.live(now, digest)
	if e == nil {
		return
	}
	e.withdraw()
	e.alone = false
	if e.losses() < LossLimit {
		e.pardon(slices.Collect(maps.Keys(e.lost)))
	}
}

// NotRun records that the request reached no target after all. A suspect keeps
// its place, so that it may be tried on another target without announcing the
// run again.
func (b *Book) NotRun(now time.Time, digest Digest) {
	b.left(digest)
	if e := b.live(now, digest); e != nil {
		e.wanted = now
		e.alone = false
	}
}

// Ended records that the request left its target without blame or proof of
// innocence, such as when the caller went away.
func (b *Book) Ended(now time.Time, digest Digest) {
	b.left(digest)
	if e := b.live(now, digest); e != nil {
		e.withdraw()
		e.alone = false
	}
}

// Len returns the number of entries.
func (b *Book) Len() int {
	return len(b.entries)
}

// left ends one run of a request.
func (b *Book) left(digest Digest) {
	b.inFlight[digest]--
	if b.inFlight[digest] <= 0 {
		delete(b.inFlight, digest)
	}
}

// losses returns the number of losses that count, of any target.
func (e *entry) losses() int {
	sum := 0
	for _, count := range e.lost {
		sum += count
	}
	return sum
}

// pardon keeps the losses of targets from counting, also when a peer that has
// not heard of the answer reports them again.
func (e *entry) pardon(targets []Target) {
	for _, t := range targets {
		delete(e.lost, t)
		if len(e.pardoned) < maxTargets {
			e.pardoned[t] = struct{}{}
		}
	}
}

func (b *Book) live(now time.Time, digest Digest) *entry {
	e := b.entries[digest]
	if e != nil && !now.Before(e.expires) {
		delete(b.entries, digest)
		return nil
	}
	return e
}

func (b *Book) add(now time.Time, digest Digest) *entry {
	if len(b.entries) >= b.opts.MaxEntries {
		b.makeRoom(now)
	}
	e := &entry{
		lost:     map[Target]int{},
		pardoned: map[Target]struct{}{},
		expires:  now.Add(b.opts.Lifetime),
		peers:    map[string]peerState{},
	}
	b.entries[digest] = e
	return e
}

// makeRoom drops what has expired, or else the entry that expires first.
func (b *Book) makeRoom(now time.Time) {
	maps.DeleteFunc(b.entries, func(_ Digest, e *entry) bool { return !now.Before(e.expires) })
	if len(b.entries) < b.opts.MaxEntries {
		return
	}
	var first Digest
	var found *entry
	for digest, e := range b.entries {
		if found == nil || e.expires.Before(found.expires) {
			first, found = digest, e
		}
	}
	delete(b.entries, first)
}
