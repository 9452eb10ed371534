package requestkey

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

var (
	testStart = time.UnixMilli(1_800_000_000_000)
	routerA   = Member{Name: "a", Incarnation: 1}
	routerB   = Member{Name: "b", Incarnation: 1}
)

func newLedger(t *testing.T, self Member, opts Options) *Ledger {
	t.Helper()
	l, err := New(self, opts)
	is.New(t).NoErr(err)
	return l
}

func viewAt(revision uint64, asOf time.Time, routers ...Member) View {
	return View{Revision: revision, FirstAsOf: asOf, LastAsOf: asOf, Routers: routers}
}

// ownedBy returns a UUIDv7 of which m is the owner among routers.
func ownedBy(m Member, created time.Time, routers ...Member) string {
	for serial := 0; ; serial++ {
		key := uuidV7Key(created, serial)
		if owner, _ := ownerOf(routers, ID{Key: key}, ""); owner == m {
			return key
		}
	}
}

// newSoleOwner returns a ledger of router a, which has been the only router for an hour, so that no
// earlier owner of a key has to be asked.
func newSoleOwner(t *testing.T, opts Options) *Ledger {
	t.Helper()
	l := newLedger(t, routerA, opts)
	l.Observe(testStart, viewAt(1, testStart.Add(-time.Hour), routerA))
	l.Observe(testStart, viewAt(1, testStart, routerA))
	return l
}

// TestSoleOwnerDispatchesWithoutClaims checks the outcomes of a request: NO frees the key, and
// after UNKNOWN the same request and one with another digest are refused.
func TestSoleOwnerDispatchesWithoutClaims(t *testing.T) {
	is := is.New(t)
	l := newSoleOwner(t, simOptions)
	req := Request{ID: ID{Key: "order-1"}}
	is.Equal(l.Begin(testStart, req).Action, Dispatch)
	l.Finish(testStart, req.ID, v1.Ran_NO, nil)
	is.Equal(l.Begin(testStart, req).Action, Dispatch) // NO frees the key
	l.Finish(testStart, req.ID, v1.Ran_UNKNOWN, nil)
	d := l.Begin(testStart, req)
	is.Equal(d.Code, v1.Code_KEY_OUTCOME_UNKNOWN)
	is.Equal(d.Ran, v1.Ran_UNKNOWN)
	d = l.Begin(testStart, Request{ID: req.ID, Digest: 9})
	is.Equal(d.Code, v1.Code_KEY_MISMATCH)
	is.Equal(d.Ran, v1.Ran_UNKNOWN)
}

// TestRightEndsAtLastAsOfPlusRight guards against an owner that begins keys later than
// Options.Right after the last known time of its list, when another router may be the owner under
// a later list.
func TestRightEndsAtLastAsOfPlusRight(t *testing.T) {
	is := is.New(t)
	l := newSoleOwner(t, simOptions)
	req := Request{ID: ID{Key: "order-1"}}
	end := testStart.Add(simOptions.Right)
	is.Equal(l.Begin(end, req).Code, v1.Code_KEY_RIGHT_LAPSED)
	l.Observe(end, viewAt(1, testStart.Add(1), routerA))
	is.Equal(l.Begin(end, req).Action, Dispatch) // a newer as_of renews the right
}

// TestUUIDv7MustBeYoungerByClockMargin guards against a key that runs twice because clocks
// differ: an earlier owner may have begun a key whose timestamp is less than twice the clock error
// after the end of that owner's right.
func TestUUIDv7MustBeYoungerByClockMargin(t *testing.T) {
	for _, c := range []struct {
		after time.Duration
		want  Action
	}{
		{after: 2 * simOptions.ClockError, want: Refuse},
		{after: 2*simOptions.ClockError + time.Millisecond, want: Dispatch},
	} {
		is := is.New(t)
		l := newLedger(t, routerA, simOptions)
		l.Observe(testStart, viewAt(7, testStart, routerA))
		end := testStart.Add(simOptions.Right)
		now := end.Add(c.after)
		l.Observe(now, viewAt(7, now, routerA))
		d := l.Begin(now, Request{ID: ID{Key: uuidV7Key(end.Add(c.after), 1)}})
		is.Equal(d.Action, c.want)
	}
}

// TestUUIDv7FromTheFutureIsRefused guards against a wrong timestamp that makes an old key look
// younger than the history of the router.
func TestUUIDv7FromTheFutureIsRefused(t *testing.T) {
	is := is.New(t)
	l := newLedger(t, routerA, simOptions)
	l.Observe(testStart, viewAt(7, testStart, routerA))
	d := l.Begin(testStart, Request{ID: ID{Key: uuidV7Key(testStart.Add(time.Hour), 1)}})
	is.Equal(d.Code, v1.Code_KEY_HISTORY_UNKNOWN)
}

// TestMayStartKeepsStartReserve checks that no request starts with Options.StartReserve or less of
// the lifetime of its key left, or without a record.
func TestMayStartKeepsStartReserve(t *testing.T) {
	is := is.New(t)
	l := newSoleOwner(t, simOptions)
	id := ID{Key: "order-1"}
	is.Equal(l.Begin(testStart, Request{ID: id}).Action, Dispatch)
	last := testStart.Add(simOptions.Lifetime - simOptions.StartReserve)
	is.True(l.MayStart(last.Add(-1), id))
	is.True(!l.MayStart(last, id))
	is.True(!l.MayStart(last, ID{Key: "order-2"}))
}

// TestRestartedOwnerIsNotAskedAgain checks that keys of an owner that has lost its memory by a
// restart are refused, and that keys made after the restart became known are dispatched.
func TestRestartedOwnerIsNotAskedAgain(t *testing.T) {
	is := is.New(t)
	l := newLedger(t, routerB, simOptions)
	l.Observe(testStart, viewAt(1, testStart.Add(-time.Hour), routerA, routerB))
	l.Observe(testStart, viewAt(2, testStart, routerB))
	old := Request{ID: ID{Key: ownedBy(routerA, testStart, routerA, routerB)}}
	d := l.Begin(testStart, old)
	is.Equal(d.Claims, []Member{routerA})
	restarted := Member{Name: "a", Incarnation: 2}
	l.ClaimAnswered(testStart, ClaimRequest{ID: old.ID, Revision: d.Revision}, routerA, ClaimReply{From: restarted})
	d = l.Begin(testStart, old)
	is.Equal(d.Code, v1.Code_KEY_HISTORY_UNKNOWN) // it may have begun the key before
	now := testStart.Add(2*simOptions.ClockError + time.Millisecond)
	young := ID{Key: ownedBy(routerA, now, routerA, routerB)}
	is.Equal(l.Begin(now, Request{ID: young}).Action, Dispatch)
}

// TestHandOverClearsOnlySuccessor checks that a hand-over clears the stopped router only for keys
// whose records came here. Otherwise a key that another successor knows would run again.
func TestHandOverClearsOnlySuccessor(t *testing.T) {
	routerC := Member{Name: "c", Incarnation: 1}
	all := []Member{routerA, routerB, routerC}
	for _, c := range []struct {
		successor Member
		want      Action
	}{{successor: routerB, want: Dispatch}, {successor: routerC, want: Claim}} {
		is := is.New(t)
		b := newLedger(t, routerB, simOptions)
		b.Observe(testStart, viewAt(1, testStart.Add(-time.Hour), all...))
		is.True(b.Import(testStart, HandOver{From: routerA, To: "b", Revision: 1, Last: true}))
		b.Observe(testStart, viewAt(2, testStart, routerB))
		d := b.Begin(testStart, Request{ID: keyWithSuccessor(routerA, c.successor, all)})
		is.Equal(d.Action, c.want)
	}
}

// keyWithSuccessor returns a key that belongs to owner, and to successor once owner has stopped.
func keyWithSuccessor(owner, successor Member, routers []Member) ID {
	for serial := 0; ; serial++ {
		id := ID{Key: fmt.Sprintf("order-%d", serial)}
		first, _ := ownerOf(routers, id, "")
		second, _ := ownerOf(routers, id, owner.Name)
		if first == owner && second == successor {
			return id
		}
	}
}

// TestRecordLimitsRefuseNewKeys checks that a full ledger refuses new keys instead of forgetting
// known ones, which would run again, and that an answer too large to keep still counts as run.
func TestRecordLimitsRefuseNewKeys(t *testing.T) {
	is := is.New(t)
	opts := simOptions
	opts.MaxRecords = 1
	opts.MaxAnswerBytes = 4
	l := newSoleOwner(t, opts)
	first := Request{ID: ID{Key: "order-1"}}
	is.Equal(l.Begin(testStart, first).Action, Dispatch)
	d := l.Begin(testStart, Request{ID: ID{Key: "order-2"}})
	is.Equal(d.Code, v1.Code_ROUTER_BUSY)
	is.Equal(d.Ran, v1.Ran_NO)
	l.Finish(testStart, first.ID, v1.Ran_YES, &Answer{Body: []byte("12345")})
	d = l.Begin(testStart, first)
	is.Equal(d.Code, v1.Code_KEY_OUTCOME_UNKNOWN) // the answer was too large to keep
	is.Equal(d.Ran, v1.Ran_YES)
	expiry := testStart.Add(simOptions.Lifetime)
	is.Equal(l.Begin(expiry.Add(-1), first).Code, v1.Code_KEY_OUTCOME_UNKNOWN)
	is.Equal(l.Begin(expiry, first).Code, v1.Code_KEY_RIGHT_LAPSED) // forgotten
}

// TestWorkspaceIsPartOfIdentity checks that workspaces may use the same key independently.
func TestWorkspaceIsPartOfIdentity(t *testing.T) {
	is := is.New(t)
	l := newSoleOwner(t, simOptions)
	for _, workspace := range []string{"school", "shop"} {
		d := l.Begin(testStart, Request{ID: ID{Workspace: workspace, Key: "order-1"}})
		is.Equal(d.Action, Dispatch)
	}
}

// TestNewRejectsBadOptions checks a reserve above the lifetime and a negative duration.
func TestNewRejectsBadOptions(t *testing.T) {
	is := is.New(t)
	_, err := New(routerA, Options{Lifetime: time.Second, StartReserve: time.Minute})
	is.True(err != nil)
	_, err = New(routerA, Options{Right: -1})
	is.True(err != nil)
}
