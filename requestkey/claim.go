package requestkey

import (
	"math"
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// ClaimRequest asks an earlier owner for its record of a key and its right to
// begin it.
type ClaimRequest struct {
	ID ID
	// Revision is the claimant's Decision.Revision. The earlier owner does not
	// begin the key under a list of a lower revision any more.
	Revision uint64
}

// ClaimReply answers a ClaimRequest.
type ClaimReply struct {
	// From is the incarnation that answers.
	From Member
	// Record is set when the key was begun; otherwise the key is given up.
	Record *Record
	// Cleared are stopped routers whose records of the key, if there were any,
	// were handed over to From.
	Cleared []Member
}

// claim is what earlier owners answered about a key that is not begun here.
type claim struct {
	// cleared holds the revision below which a member does not begin the key.
	cleared  map[Member]uint64
	failures map[Member]claimFailure
	expires  time.Time
}

// claimFailure keeps a member from being asked again for a while.
type claimFailure struct {
	until time.Time
	// inProgress is set when the member answered that it executes the key.
	inProgress bool
}

const sweepsPerLifetime = 8

// clear reports whether no other router can have begun the key, or begin it
// before this one's revision. Otherwise the Decision says what to do.
func (l *Ledger) clear(now time.Time, id ID, revision uint64) (Decision, bool) {
	if end := l.history.unknownEnd(); !l.history.over(end, now, id) {
		return l.historyUnknown(now, end), false
	}
	c := l.claims[id]
	var ask []Member
	var refusal *Decision
	for _, t := range l.history.tenures(id, l.self) {
		end := l.endOf(t)
		if l.history.over(end, now, id) || l.isCleared(c, t, id) {
			continue
		}
		d, refused := l.pending(now, c, t, end)
		if refused {
			refusal = &d
			continue
		}
		ask = appendMember(ask, t.owner)
	}
	switch {
	case refusal != nil:
		return *refusal, false
	case len(ask) > 0:
		return l.ask(now, id, revision, ask), false
	}
	return Decision{}, true
}

// endOf returns the time after which the owner of a tenure has no right, with
// what is known of its restarts.
func (l *Ledger) endOf(t tenure) time.Time {
	if at, ok := l.restarts[t.owner]; ok && at.Before(t.end) {
		return at
	}
	return t.end
}

func (l *Ledger) isCleared(c *claim, t tenure, id ID) bool {
	if c != nil && c.cleared[t.owner] > t.revision {
		return true
	}
	return l.handOvers.reached(&l.history, l.self, t.owner, id)
}

// pending decides on a tenure that is not cleared and cannot be asked now.
func (l *Ledger) pending(now time.Time, c *claim, t tenure, end time.Time) (Decision, bool) {
	_, restarted := l.restarts[t.owner]
	if restarted || t.owner.Name == l.self.Name {
		return l.historyUnknown(now, end), true
	}
	if c == nil {
		return Decision{}, false
	}
	failure := c.failures[t.owner]
	if !now.Before(failure.until) {
		return Decision{}, false
	}
	if failure.inProgress {
		return refuse(v1.Code_KEY_IN_PROGRESS, v1.Ran_UNKNOWN, l.opts.RetryAfter), true
	}
	return refuse(v1.Code_KEY_HISTORY_UNKNOWN, v1.Ran_UNKNOWN, l.opts.RetryAfter), true
}

func (l *Ledger) historyUnknown(now, end time.Time) Decision {
	after := end.Add(l.opts.Lifetime + 2*l.opts.ClockError).Sub(now)
	return refuse(v1.Code_KEY_HISTORY_UNKNOWN, v1.Ran_UNKNOWN, after)
}

func (l *Ledger) ask(now time.Time, id ID, revision uint64, members []Member) Decision {
	c := l.claims[id]
	if c == nil {
		if len(l.claims) >= l.opts.MaxRecords {
			return refuse(v1.Code_ROUTER_BUSY, v1.Ran_UNKNOWN, l.opts.RetryAfter)
		}
		c = &claim{cleared: map[Member]uint64{}, failures: map[Member]claimFailure{}}
		l.claims[id] = c
	}
	c.expires = now.Add(l.opts.Lifetime)
	return Decision{Action: Claim, Claims: members, Revision: revision}
}

func appendMember(members []Member, m Member) []Member {
	for _, known := range members {
		if known == m {
			return members
		}
	}
	return append(members, m)
}

// ClaimAnswered takes in the reply of the member that was asked with the
// revision of the claim.
func (l *Ledger) ClaimAnswered(now time.Time, req ClaimRequest, asked Member, reply ClaimReply) {
	now = l.advance(now)
	if reply.From != asked {
		l.otherIncarnation(now, req.ID, asked, reply.From)
		return
	}
	c := l.claims[req.ID]
	if reply.Record == nil {
		if c != nil {
			c.cleared[asked] = max(c.cleared[asked], req.Revision)
			c.clearStopped(reply.Cleared)
		}
		return
	}
	if reply.Record.InProgress {
		l.failClaim(now, req.ID, asked, true)
		return
	}
	if !l.importRecord(now, *reply.Record) {
		l.failClaim(now, req.ID, asked, false)
	}
}

func (l *Ledger) otherIncarnation(now time.Time, id ID, asked, from Member) {
	later := from.Name == asked.Name && from.Incarnation > asked.Incarnation
	if !later {
		l.failClaim(now, id, asked, false)
		return
	}
	if _, known := l.restarts[asked]; !known {
		l.restarts[asked] = now
	}
}

// ClaimFailed reports that a member that was asked did not answer.
func (l *Ledger) ClaimFailed(now time.Time, id ID, asked Member) {
	now = l.advance(now)
	l.failClaim(now, id, asked, false)
}

func (l *Ledger) failClaim(now time.Time, id ID, asked Member, inProgress bool) {
	c := l.claims[id]
	if c == nil {
		return
	}
	c.failures[asked] = claimFailure{until: now.Add(l.opts.RetryAfter), inProgress: inProgress}
}

// AnswerClaim answers a claim of another router. A reply without record is a
// promise that binds this incarnation.
func (l *Ledger) AnswerClaim(now time.Time, req ClaimRequest) ClaimReply {
	now = l.advance(now)
	if e := l.records.get(req.ID); e != nil {
		record := e.record(now)
		return ClaimReply{From: l.self, Record: &record}
	}
	l.promise(req.ID, req.Revision)
	cleared := l.handOvers.reachedFrom(&l.history, l.self, req.ID)
	return ClaimReply{From: l.self, Cleared: cleared}
}

// clearStopped clears members that begin no key any more.
func (c *claim) clearStopped(members []Member) {
	for _, m := range members {
		c.cleared[m] = math.MaxUint64
	}
}

// promise excludes a key from lists below revision. When too many promises
// are held it excludes all keys.
func (l *Ledger) promise(id ID, revision uint64) {
	view, ok := l.history.newest()
	if ok && view.Revision >= revision {
		return
	}
	if _, known := l.promises[id]; !known && len(l.promises) >= l.opts.MaxRecords {
		l.floor = max(l.floor, revision)
		return
	}
	l.promises[id] = max(l.promises[id], revision)
}

func (l *Ledger) promised(id ID) uint64 {
	return max(l.floor, l.promises[id])
}

// dropPromises forgets the promises that the newest list fulfils.
func (l *Ledger) dropPromises() {
	view, ok := l.history.newest()
	if !ok {
		return
	}
	for id, revision := range l.promises {
		if revision <= view.Revision {
			delete(l.promises, id)
		}
	}
}

// sweep forgets old claims and restarts, a few times in each lifetime.
func (l *Ledger) sweep(now time.Time) {
	if now.Before(l.nextSweep) {
		return
	}
	l.nextSweep = now.Add(l.opts.Lifetime / sweepsPerLifetime)
	for id, c := range l.claims {
		if !now.Before(c.expires) {
			delete(l.claims, id)
		}
	}
	for m, at := range l.restarts {
		if l.history.forgotten(at, now) {
			delete(l.restarts, m)
		}
	}
}
