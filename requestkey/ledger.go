package requestkey

import (
	"fmt"
	"slices"
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// Ledger decides for one router incarnation whether requests with keys may be dispatched. It
// is not safe for concurrent use.
type Ledger struct {
	self Member
	opts Options
	// now is the latest time that was passed to a method.
	now     time.Time
	history history
	records store
	// claims holds, by key, the answers of earlier owners about keys that this router has not
	// begun.
	claims map[ID]*claim
	// promises holds, by key, the revision below which this router must not begin the key,
	// because it has promised so in a ClaimReply.
	promises map[ID]uint64
	// promiseFloor is the revision below which this router must not begin any caller-chosen key.
	// It replaces promises for which there is no room; see promise.
	promiseFloor uint64
	// restarts holds the time at which this router learned that an incarnation had ended.
	restarts  map[Member]time.Time
	handOvers handOvers
	stopped   bool
	// exported is the list by which Export finds the successors; nil before the first Export.
	exported  *View
	nextSweep time.Time
}

// New returns the empty ledger of a router that has just started. It returns an error if opts
// are invalid.
func New(self Member, opts Options) (*Ledger, error) {
	opts = opts.withDefaults()
	if err := opts.validate(); err != nil {
		return nil, fmt.Errorf("request key ledger: %w", err)
	}
	return &Ledger{
		self:      self,
		opts:      opts,
		history:   history{opts: opts},
		records:   newStore(opts),
		claims:    map[ID]*claim{},
		promises:  map[ID]uint64{},
		restarts:  map[Member]time.Time{},
		handOvers: handOvers{},
	}, nil
}

// Issue returns a new key. The random bytes must come from a cryptographic source.
func (l *Ledger) Issue(now time.Time, random [RandomBytes]byte) string {
	now = l.advance(now)
	key := IssuedKey{
		Router:      l.self.Name,
		Incarnation: l.self.Incarnation,
		IssuedAt:    now,
		Random:      random,
	}
	return key.String()
}

// Observe takes in instance lists that were read from the platform or learned from a peer.
func (l *Ledger) Observe(now time.Time, views ...View) {
	now = l.advance(now)
	for _, v := range views {
		l.history.add(v)
	}
	l.history.prune(now)
	l.dropFulfilledPromises()
	l.handOvers.prune(&l.history)
}

// Views returns the known instance lists, oldest first. Peers pass them to Observe.
func (l *Ledger) Views() []View {
	return slices.Clone(l.history.views)
}

// Begin decides on a request. The caller must read now after the request arrived. The
// Decision says what the caller has to do next; see Action.
func (l *Ledger) Begin(now time.Time, req Request) Decision {
	now = l.advance(now)
	if len(req.ID.Key) == 0 || len(req.ID.Key) > MaxKeyBytes {
		return refuse(v1.Code_BAD_REQUEST, v1.Ran_NO, 0)
	}
	if e := l.records.get(req.ID); e != nil {
		return l.decideFromRecord(now, e, req.Digest)
	}
	if IsIssued(req.ID.Key) {
		return l.beginIssued(now, req)
	}
	return l.beginChosen(now, req)
}

// decideFromRecord decides on a request whose key has a record.
func (l *Ledger) decideFromRecord(now time.Time, e *entry, digest Digest) Decision {
	switch {
	case e.digest != digest:
		return refuse(v1.Code_KEY_MISMATCH, e.ran, 0)
	case e.inProgress:
		return refuse(v1.Code_KEY_IN_PROGRESS, v1.Ran_UNKNOWN, l.opts.RetryAfter)
	case e.answer != nil:
		return Decision{Action: Replay, Code: v1.Code_REPLAYED, Ran: v1.Ran_YES, Answer: e.answer}
	}
	return refuse(v1.Code_KEY_OUTCOME_UNKNOWN, e.ran, e.expires.Sub(now))
}

func (l *Ledger) beginIssued(now time.Time, req Request) Decision {
	key, err := ParseIssued(req.ID.Key)
	if err != nil {
		return refuse(v1.Code_BAD_REQUEST, v1.Ran_NO, 0)
	}
	if key.IssuedAt.After(now.Add(2 * l.opts.ClockError)) {
		return refuse(v1.Code_BAD_REQUEST, v1.Ran_UNKNOWN, 0)
	}
	expires := key.IssuedAt.Add(l.opts.Lifetime)
	issuer := Member{Name: key.Router, Incarnation: key.Incarnation}
	if issuer != l.self {
		return l.forwardIssued(now, req, issuer, expires)
	}
	if !now.Before(expires) {
		return refuse(v1.Code_KEY_EXPIRED, v1.Ran_UNKNOWN, 0)
	}
	return l.dispatch(req, expires)
}

// forwardIssued forwards a request to the issuer of its key. If the newest list does not
// contain the issuer, it forwards the request to the router to which the issuer hands over
// its records of the key when it stops.
func (l *Ledger) forwardIssued(now time.Time, req Request, issuer Member, expires time.Time) Decision {
	unreachable := refuse(v1.Code_KEY_OWNER_UNREACHABLE, v1.Ran_UNKNOWN, l.opts.RetryAfter)
	if now.After(expires.Add(2 * l.opts.ClockError)) {
		return refuse(v1.Code_KEY_EXPIRED, v1.Ran_UNKNOWN, 0)
	}
	if req.Forwarded || issuer.Name == l.self.Name {
		return unreachable
	}
	view, ok := l.history.newest()
	if !ok {
		return unreachable
	}
	if slices.Contains(view.Routers, issuer) {
		return Decision{Action: Forward, Owner: issuer}
	}
	successor, ok := ownerOf(view.Routers, req.ID, issuer.Name)
	if !ok || successor.Name == l.self.Name {
		return unreachable
	}
	return Decision{Action: Forward, Owner: successor}
}

// beginChosen decides on a caller-chosen key without a record, by the rule in the package
// comment.
func (l *Ledger) beginChosen(now time.Time, req Request) Decision {
	lapsed := refuse(v1.Code_KEY_RIGHT_LAPSED, v1.Ran_UNKNOWN, l.opts.RetryAfter)
	unreachable := refuse(v1.Code_KEY_OWNER_UNREACHABLE, v1.Ran_UNKNOWN, l.opts.RetryAfter)
	view, ok := l.history.newest()
	if !ok {
		return lapsed
	}
	owner, ok := ownerOf(view.Routers, req.ID, "")
	switch {
	case !ok:
		return unreachable
	case owner.Name != l.self.Name && req.Forwarded:
		return unreachable
	case owner.Name != l.self.Name:
		return Decision{Action: Forward, Owner: owner}
	case owner != l.self || !now.Before(view.LastAsOf.Add(l.opts.Right)):
		return lapsed
	case l.promisedRevision(req.ID) > view.Revision:
		return unreachable
	}
	d, cleared := l.checkEarlierOwners(now, req.ID, view.Revision)
	switch {
	case !cleared && d.Action == Claim && l.stopped:
		// A stopped router does not begin the key, so earlier owners need not be asked.
		return refuse(v1.Code_STOPPING, v1.Ran_UNKNOWN, l.opts.RetryAfter)
	case !cleared:
		return d
	}
	return l.dispatch(req, now.Add(l.opts.Lifetime))
}

// dispatch begins a key of which no attempt can have run, unless the ledger is stopped or a
// memory bound is reached.
func (l *Ledger) dispatch(req Request, expires time.Time) Decision {
	if l.stopped {
		return refuse(v1.Code_STOPPING, v1.Ran_NO, l.opts.RetryAfter)
	}
	e := &entry{id: req.ID, digest: req.Digest, ran: v1.Ran_UNKNOWN, inProgress: true, expires: expires}
	if !l.records.add(e) {
		return refuse(v1.Code_ROUTER_BUSY, v1.Ran_NO, l.opts.RetryAfter)
	}
	return Decision{Action: Dispatch}
}

// advance returns the time of the current step, which never goes backwards, and deletes what
// has expired.
func (l *Ledger) advance(now time.Time) time.Time {
	if now.Before(l.now) {
		now = l.now
	}
	l.now = now
	l.records.expire(now)
	l.sweep(now)
	return now
}
