package requestkey

import (
	"math"
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// ClaimRequest asks an earlier owner of a caller-chosen key for its record of the key, or
// for its promise not to begin the key any more.
type ClaimRequest struct {
	ID ID
	// Revision is the Decision.Revision of the router that claims the key. An earlier owner
	// that replies without a record no longer begins the key under a list of a lower revision.
	Revision uint64
}

// ClaimReply is the answer to a ClaimRequest.
type ClaimReply struct {
	// From is the incarnation that answers. It is not the one that was asked if the router has
	// restarted.
	From Member
	// Record is set if the key was begun. Otherwise the reply is the promise not to begin it.
	Record *Record
	// Cleared are the stopped routers whose records of the key, if they had any, were handed
	// over to From.
	Cleared []Member
}

// claim holds the answers of earlier owners about a key that this router has not begun.
type claim struct {
	// cleared holds, by member, the revision below which the member no longer begins the key.
	cleared map[Member]uint64
	// failures holds the members that are not asked again for a while.
	failures map[Member]claimFailure
	// expires is the time from which sweep deletes the claim.
	expires time.Time
}

// claimFailure says that a member did not clear itself and is not asked again before until.
type claimFailure struct {
	until time.Time
	// inProgress is set if the member answered that its request with the key is in progress.
	inProgress bool
}

// sweepsPerLifetime is the number of sweeps during Options.Lifetime.
const sweepsPerLifetime = 8

// checkEarlierOwners checks step 4 of the rule in the package comment. It returns true if no
// other router can have begun the key or can still begin it under a lower revision.
// Otherwise the Decision is a refusal, or Claim with the earlier owners to ask.
func (l *Ledger) checkEarlierOwners(now time.Time, id ID, revision uint64) (Decision, bool) {
	if end := l.history.unknownRevisionsEnd(); !l.history.expiredFor(end, now, id) {
		return l.refuseHistoryUnknown(now, end), false
	}
	c := l.claims[id]
	var ask []Member
	var refusal *Decision
	for _, o := range l.history.earlierOwnerships(id, l.self) {
		end := l.ownershipEnd(o)
		if l.history.expiredFor(end, now, id) || l.isCleared(c, o, id) {
			continue
		}
		d, refused := l.refuseUncleared(now, c, o, end)
		if refused {
			refusal = &d
			continue
		}
		ask = appendMember(ask, o.owner)
	}
	switch {
	case refusal != nil:
		return *refusal, false
	case len(ask) > 0:
		return l.requestClaims(now, id, revision, ask), false
	}
	return Decision{}, true
}

// ownershipEnd returns the time after which the owner has no right to begin the key. That is
// the time at which this router learned of the owner's restart, if it is earlier.
func (l *Ledger) ownershipEnd(o ownership) time.Time {
	if at, ok := l.restarts[o.owner]; ok && at.Before(o.end) {
		return at
	}
	return o.end
}

// isCleared reports whether the owner can no longer begin the key under the revision of the
// ownership, and any record that it had of the key came here. c is nil if no earlier owner
// was asked.
func (l *Ledger) isCleared(c *claim, o ownership, id ID) bool {
	if c != nil && c.cleared[o.owner] > o.revision {
		return true
	}
	return l.handOvers.transferredTo(&l.history, l.self, o.owner, id)
}

// refuseUncleared refuses the key if its owner is not cleared and must not be asked now: the
// owner has restarted, is another incarnation of this router, or was asked less than
// Options.RetryAfter ago without success. It returns false if the owner may be asked.
func (l *Ledger) refuseUncleared(now time.Time, c *claim, o ownership, end time.Time) (Decision, bool) {
	_, restarted := l.restarts[o.owner]
	if restarted || o.owner.Name == l.self.Name {
		return l.refuseHistoryUnknown(now, end), true
	}
	if c == nil {
		return Decision{}, false
	}
	failure := c.failures[o.owner]
	if !now.Before(failure.until) {
		return Decision{}, false
	}
	if failure.inProgress {
		return refuse(v1.Code_KEY_IN_PROGRESS, v1.Ran_UNKNOWN, l.opts.RetryAfter), true
	}
	return refuse(v1.Code_KEY_HISTORY_UNKNOWN, v1.Ran_UNKNOWN, l.opts.RetryAfter), true
}

// refuseHistoryUnknown refuses a key that an earlier owner may have begun before end. The
// advised delay lasts until every key begun before end has expired.
func (l *Ledger) refuseHistoryUnknown(now, end time.Time) Decision {
	after := end.Add(l.opts.Lifetime + 2*l.opts.ClockError).Sub(now)
	return refuse(v1.Code_KEY_HISTORY_UNKNOWN, v1.Ran_UNKNOWN, after)
}

// requestClaims returns the Decision to claim the key from members.
func (l *Ledger) requestClaims(now time.Time, id ID, revision uint64, members []Member) Decision {
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

// appendMember appends m unless members contains it already.
func appendMember(members []Member, m Member) []Member {
	for _, known := range members {
		if known == m {
			return members
		}
	}
	return append(members, m)
}

// ClaimAnswered takes in the reply to the claim req from the member that was asked.
func (l *Ledger) ClaimAnswered(now time.Time, req ClaimRequest, asked Member, reply ClaimReply) {
	now = l.advance(now)
	if reply.From != asked {
		l.handleOtherIncarnation(now, req.ID, asked, reply.From)
		return
	}
	c := l.claims[req.ID]
	if reply.Record == nil {
		if c != nil {
			c.cleared[asked] = max(c.cleared[asked], req.Revision)
			c.clearStoppedMembers(reply.Cleared)
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

// handleOtherIncarnation handles a reply from another incarnation than the one that was
// asked. A later incarnation proves that the one asked has ended.
func (l *Ledger) handleOtherIncarnation(now time.Time, id ID, asked, from Member) {
	later := from.Name == asked.Name && from.Incarnation > asked.Incarnation
	if !later {
		l.failClaim(now, id, asked, false)
		return
	}
	if _, known := l.restarts[asked]; !known {
		l.restarts[asked] = now
	}
}

// ClaimFailed reports that the member asked did not answer. It is not asked again about this
// key for Options.RetryAfter.
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

// AnswerClaim answers a claim of another router. A reply without a record is a promise that
// binds this incarnation: it does not begin the key under a revision below req.Revision.
func (l *Ledger) AnswerClaim(now time.Time, req ClaimRequest) ClaimReply {
	now = l.advance(now)
	if e := l.records.get(req.ID); e != nil {
		record := e.record(now)
		return ClaimReply{From: l.self, Record: &record}
	}
	l.promise(req.ID, req.Revision)
	cleared := l.handOvers.transferredFrom(&l.history, l.self, req.ID)
	return ClaimReply{From: l.self, Cleared: cleared}
}

// clearStoppedMembers clears members for all revisions, since they have stopped and begin no
// key any more.
func (c *claim) clearStoppedMembers(members []Member) {
	for _, m := range members {
		c.cleared[m] = math.MaxUint64
	}
}

// promise keeps this router from beginning the key under a list below revision. If
// Options.MaxRecords promises are held already, the promise is made for all caller-chosen
// keys, which takes no further memory.
func (l *Ledger) promise(id ID, revision uint64) {
	view, ok := l.history.newest()
	if ok && view.Revision >= revision {
		return
	}
	if _, known := l.promises[id]; !known && len(l.promises) >= l.opts.MaxRecords {
		l.promiseFloor = max(l.promiseFloor, revision)
		return
	}
	l.promises[id] = max(l.promises[id], revision)
}

// promisedRevision returns the revision below which this router must not begin the key.
func (l *Ledger) promisedRevision(id ID) uint64 {
	return max(l.promiseFloor, l.promises[id])
}

// dropFulfilledPromises deletes the promises not to use lists older than the newest one.
func (l *Ledger) dropFulfilledPromises() {
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

// sweep deletes expired claims and restarts, sweepsPerLifetime times in each lifetime.
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
		if l.history.expired(at, now) {
			delete(l.restarts, m)
		}
	}
}
