package quarantine

import (
	"maps"
	"slices"
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// Tracker records the suspects that one router knows of. It is not safe for concurrent use.
type Tracker struct {
	// self is the name of the router.
	self    string
	opts    Options
	entries map[Digest]*entry
	// inFlight holds the number of runs in progress of each request on this router,
	// whether or not it is a suspect.
	inFlight map[Digest]int
	// announcements is the number of the last announcement of this router.
	announcements uint64
	// lastSeq is the Seq of the last Snapshot.
	lastSeq uint64
	// peerSeqs holds the highest Seq among the snapshots of each peer.
	peerSeqs map[string]uint64
}

// entry is what a router knows of one suspect.
type entry struct {
	// lossCounts holds the number of losses of each target that count against the
	// request.
	lossCounts map[Target]int
	// exclusive is set while this router runs the request as a suspect, after an
	// announcement. No other router that it can reach runs the request then.
	exclusive bool
	// clearedTargets holds the targets that were lost before a target answered the
	// request in full. Their losses do not count.
	clearedTargets map[Target]struct{}
	expires        time.Time
	// announcedAt is the time at which this router announced a run; zero if it announces
	// none.
	announcedAt time.Time
	// announcement is the number of that announcement.
	announcement uint64
	// acknowledged is set once all peers have merged the announcement and their answers
	// are merged here, see Acknowledge.
	acknowledged bool
	// lastBegin is the time at which Begin or NotRun last extended the announcement, which
	// expires twice Options.AnnouncePeriod later.
	lastBegin time.Time
	// peers holds the peers that run or announce the request.
	peers map[string]peerState
}

// peerState is the last report of a peer about a suspect.
type peerState struct {
	// running is set if the peer runs the suspect; otherwise the peer announces a run.
	running bool
	// validUntil is the time until which the report is valid.
	validUntil time.Time
}

// New returns an empty Tracker for the router named self.
func New(self string, opts Options) *Tracker {
	return &Tracker{
		self:     self,
		opts:     opts.withDefaults(),
		entries:  map[Digest]*entry{},
		inFlight: map[Digest]int{},
		peerSeqs: map[string]uint64{},
	}
}

// Begin decides whether a request may be sent to a target now. For a suspect, it
// announces the run and returns Wait until the announcement has lasted for
// Options.AnnouncePeriod or Acknowledge was called.
func (t *Tracker) Begin(now time.Time, digest Digest) Decision {
	e := t.lookup(now, digest)
	switch {
	case e == nil || e.losses() == 0:
		t.inFlight[digest]++
		return Decision{Action: Run}
	case e.losses() >= LossLimit:
		return Decision{Action: Refuse, Code: v1.Code_QUARANTINED, RetryAfter: e.expires.Sub(now)}
	case t.inFlight[digest] > 0:
		return Decision{Action: Wait, RetryAfter: t.opts.AnnouncePeriod}
	}
	d := t.announce(now, e)
	if d.Action == Run {
		t.inFlight[digest]++
	}
	return d
}

// Confirm reports whether a run that Begin has allowed may still be sent to its target.
// If the request has become a suspect since Begin, the run may not be sent, because it was
// not announced. The router must then call NotRun.
func (t *Tracker) Confirm(now time.Time, digest Digest) bool {
	e := t.lookup(now, digest)
	if e == nil || e.losses() == 0 {
		return true
	}
	return e.exclusive && e.losses() < LossLimit
}

// announce starts or continues the announcement of a run of a suspect. It returns Run
// once the run is allowed. The announcement expires if Begin is not called again within
// twice Options.AnnouncePeriod.
func (t *Tracker) announce(now time.Time, e *entry) Decision {
	if t.peerHasPrecedence(now, e) {
		e.withdraw()
		return Decision{Action: Wait, RetryAfter: t.opts.AnnouncePeriod}
	}
	expired := now.Sub(e.lastBegin) > 2*t.opts.AnnouncePeriod
	if e.announcedAt.IsZero() || expired {
		e.withdraw()
		e.announcedAt = now
		t.announcements++
		e.announcement = t.announcements
	}
	e.lastBegin = now
	if remaining := e.announcedAt.Add(t.opts.AnnouncePeriod).Sub(now); remaining > 0 && !e.acknowledged {
		return Decision{Action: Wait, RetryAfter: remaining, Announcement: e.announcement}
	}
	e.exclusive = true
	return Decision{Action: Run, Suspect: true}
}

// Acknowledge records that all peers have merged a Snapshot made after Begin returned the
// announcement, and that their answers are merged here. The next Begin then allows the
// run without waiting for Options.AnnouncePeriod, unless a peer has precedence.
func (t *Tracker) Acknowledge(now time.Time, digest Digest, announcement uint64) {
	e := t.lookup(now, digest)
	if e != nil && e.announcement == announcement && t.hasActiveAnnouncement(now, e) {
		e.acknowledged = true
	}
}

// withdraw ends the announcement.
func (e *entry) withdraw() {
	e.announcedAt = time.Time{}
	e.acknowledged = false
}

// peerHasPrecedence reports whether a peer runs the suspect, announced a run before this
// router did, or announces one and has a name that sorts before this router's. It deletes
// reports that are no longer valid.
func (t *Tracker) peerHasPrecedence(now time.Time, e *entry) bool {
	for peer, state := range e.peers {
		if !now.Before(state.validUntil) {
			delete(e.peers, peer)
			continue
		}
		if state.running || e.announcedAt.IsZero() || peer < t.self {
			return true
		}
	}
	return false
}

// Lost records that a target was lost with the request in flight on it. One crash may end
// several runs that began before the first loss. A further loss of the same target
// therefore counts only if this router ran the request as a suspect.
func (t *Tracker) Lost(now time.Time, digest Digest, target Target) {
	t.endRun(digest)
	e := t.lookup(now, digest)
	if e == nil {
		e = t.add(now, digest)
	}
	if e.exclusive || e.lossCounts[target] == 0 {
		e.lossCounts[target]++
	}
	e.exclusive = false
	delete(e.clearedTargets, target)
	e.expires = now.Add(t.opts.Lifetime)
	e.withdraw()
}

// Answered records that a target answered the request in full, which clears a suspect
// that is below LossLimit.
func (t *Tracker) Answered(now time.Time, digest Digest) {
	t.endRun(digest)
	e := t.lookup(now, digest)
	if e == nil {
		return
	}
	e.withdraw()
	e.exclusive = false
	if e.losses() < LossLimit {
		e.clearTargets(slices.Collect(maps.Keys(e.lossCounts)))
	}
}

// NotRun records that the request reached no target. A suspect stays announced, so that
// it may be tried on another target without a new announcement.
func (t *Tracker) NotRun(now time.Time, digest Digest) {
	t.endRun(digest)
	if e := t.lookup(now, digest); e != nil {
		e.lastBegin = now
		e.exclusive = false
	}
}

// Ended records that the run ended without showing whether the request crashes targets,
// such as when the caller disconnected.
func (t *Tracker) Ended(now time.Time, digest Digest) {
	t.endRun(digest)
	if e := t.lookup(now, digest); e != nil {
		e.withdraw()
		e.exclusive = false
	}
}

// Len returns the number of entries, including those that have expired and were not
// removed yet.
func (t *Tracker) Len() int {
	return len(t.entries)
}

// endRun removes one run of a request from inFlight.
func (t *Tracker) endRun(digest Digest) {
	t.inFlight[digest]--
	if t.inFlight[digest] <= 0 {
		delete(t.inFlight, digest)
	}
}

// losses returns the number of losses that count, of all targets.
func (e *entry) losses() int {
	sum := 0
	for _, count := range e.lossCounts {
		sum += count
	}
	return sum
}

// clearTargets removes the losses of targets from the count. It remembers up to
// maxEntryTargets of the targets, so that their losses do not count again if a peer that
// does not know of the answer reports them.
func (e *entry) clearTargets(targets []Target) {
	for _, t := range targets {
		delete(e.lossCounts, t)
		if len(e.clearedTargets) < maxEntryTargets {
			e.clearedTargets[t] = struct{}{}
		}
	}
}

// lookup returns the entry of a suspect, or nil. It removes an entry that has expired.
func (t *Tracker) lookup(now time.Time, digest Digest) *entry {
	e := t.entries[digest]
	if e != nil && !now.Before(e.expires) {
		delete(t.entries, digest)
		return nil
	}
	return e
}

// add adds an entry without losses that expires after Options.Lifetime.
func (t *Tracker) add(now time.Time, digest Digest) *entry {
	if len(t.entries) >= t.opts.MaxEntries {
		t.evict(now)
	}
	e := &entry{
		lossCounts:     map[Target]int{},
		clearedTargets: map[Target]struct{}{},
		expires:        now.Add(t.opts.Lifetime),
		peers:          map[string]peerState{},
	}
	t.entries[digest] = e
	return e
}

// evict removes the expired entries or, if that does not suffice, the entry that expires
// first.
func (t *Tracker) evict(now time.Time) {
	maps.DeleteFunc(t.entries, func(_ Digest, e *entry) bool { return !now.Before(e.expires) })
	if len(t.entries) < t.opts.MaxEntries {
		return
	}
	var earliestDigest Digest
	var earliest *entry
	for digest, e := range t.entries {
		if earliest == nil || e.expires.Before(earliest.expires) {
			earliestDigest, earliest = digest, e
		}
	}
	delete(t.entries, earliestDigest)
}
