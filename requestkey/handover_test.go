package requestkey

import (
	"testing"
	"time"

	"github.com/matryer/is"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

var (
	routerC  = Member{Name: "c", Incarnation: 1}
	allThree = []Member{routerA, routerB, routerC}
)

// TestStoppedRouterRefusesNewKeysAndImports guards against records that are lost because a router
// accepts them after it has handed over its own.
func TestStoppedRouterRefusesNewKeysAndImports(t *testing.T) {
	is := is.New(t)
	l := newSoleOwner(t, simOptions)
	l.Export(testStart)
	d := l.Begin(testStart, Request{ID: ID{Key: "order-1"}})
	is.Equal(d.Code, v1.Code_STOPPING)
	is.Equal(d.Ran, v1.Ran_NO)
	is.True(!l.Import(testStart, HandOver{From: routerB, To: "a", Revision: 1, Last: true}))
}

// TestClearanceDoesNotCoverLaterOwnership guards against a key that runs twice: A answers the
// claim of B under revision 2, becomes the owner again under revision 3 and may begin the key
// then. B must ask A again under revision 4.
func TestClearanceDoesNotCoverLaterOwnership(t *testing.T) {
	is := is.New(t)
	b := newLedger(t, routerB, simOptions)
	req := Request{ID: keyWithSuccessor(routerA, routerB, []Member{routerA, routerB})}
	b.Observe(testStart, viewAt(1, testStart.Add(-time.Hour), routerA, routerB), viewAt(2, testStart, routerB))
	is.Equal(b.Begin(testStart, req).Claims, []Member{routerA})
	b.ClaimAnswered(testStart, ClaimRequest{ID: req.ID, Revision: 2}, routerA, ClaimReply{From: routerA})
	b.Observe(testStart, viewAt(3, testStart, routerA, routerB), viewAt(4, testStart, routerB))
	d := b.Begin(testStart, req)
	is.Equal(d.Claims, []Member{routerA}) // it may have begun the key under revision 3
	is.Equal(d.Revision, uint64(4))
}

// TestClaimReplyClearsOnlyRoutersWithTransferredRecords guards against a claim reply that clears a
// stopped router although its records of the key went to another successor.
func TestClaimReplyClearsOnlyRoutersWithTransferredRecords(t *testing.T) {
	is := is.New(t)
	b := newLedger(t, routerB, simOptions)
	b.Observe(testStart, viewAt(1, testStart, allThree...))
	is.True(b.Import(testStart, HandOver{From: routerA, To: "b", Revision: 1, Last: true}))
	reply := b.AnswerClaim(testStart, ClaimRequest{ID: keyWithSuccessor(routerA, routerB, allThree), Revision: 2})
	is.Equal(reply.Cleared, []Member{routerA})
	reply = b.AnswerClaim(testStart, ClaimRequest{ID: keyWithSuccessor(routerA, routerC, allThree), Revision: 2})
	is.Equal(len(reply.Cleared), 0)
}

// TestChainOfHandOvers checks that A is cleared for C if its records came to C through B. It must
// not be cleared for keys whose records A handed over to C itself, as C has not got that part.
func TestChainOfHandOvers(t *testing.T) {
	earlier := []HeldHandOver{{From: routerA, Holder: routerB, Revision: 1}}
	for _, c := range []struct {
		successor Member
		want      Action
	}{{successor: routerB, want: Dispatch}, {successor: routerC, want: Claim}} {
		is := is.New(t)
		l := newLedger(t, routerC, simOptions)
		l.Observe(testStart, viewAt(1, testStart.Add(-time.Hour), allThree...))
		l.Observe(testStart, viewAt(2, testStart, routerB, routerC))
		is.True(l.Import(testStart, HandOver{From: routerB, To: "c", Revision: 2, Earlier: earlier, Last: true}))
		l.Observe(testStart, viewAt(3, testStart, routerC))
		d := l.Begin(testStart, Request{ID: keyWithSuccessor(routerA, c.successor, allThree)})
		is.Equal(d.Action, c.want)
	}
}
