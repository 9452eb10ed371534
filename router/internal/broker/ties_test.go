package broker

import (
	"testing"
	"time"

	"github.com/matryer/is"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/router/internal/state"
)

func (f *fixture) tieDemand(name string, seq uint64, region string) {
	f.receive(name, &v1.SchedulerBatch{Ties: []*v1.Tie{{Seq: seq, Region: region}}})
}

// tied returns a broker with a demand that waits in both regions, and the
// number of the tied one.
func tied(t *testing.T) (*fixture, *request, uint64) {
	f := newFixture(t, member("a", home, 1), member("z", remote, 1))
	r := f.acquire(time.Minute)
	f.tieDemand("a", r.seq, remote)
	f.sent("a")
	sent := f.sent("z").Demands
	if len(sent) != 1 || !sent[0].Moved || sent[0].Seq == r.seq {
		t.Fatalf("the tied demands are %v", sent)
	}
	return f, r, sent[0].Seq
}

func TestTieIsGranted(t *testing.T) {
	is := is.New(t)
	f, r, seq := tied(t)
	f.grant("z", seq, target1)
	answer := r.answer()
	is.Equal(answer.target(), target1)
	is.Equal(f.sent("a").Cancels, []uint64{r.seq})
	f.grant("a", r.seq, target1) // crosses the withdrawal
	is.Equal(r.answer(), reply{})
	is.Equal(f.sent("a").Done[0].Outcome, v1.Outcome_UNUSED)
	f.input(doneInput{answer.grant.seq, &v1.Done{Seq: seq, Outcome: v1.Outcome_SERVED}})
	is.Equal(f.sent("z").Done[0].Seq, seq)
	is.Equal(len(f.requests), 0)
}

func TestOriginalIsGranted(t *testing.T) {
	is := is.New(t)
	f, r, seq := tied(t)
	f.grant("a", r.seq, target1)
	is.Equal(r.answer().target(), target1)
	is.Equal(f.sent("z").Cancels, []uint64{seq})
	f.grant("z", seq, target1) // crosses the withdrawal
	is.Equal(r.answer(), reply{})
	is.Equal(f.sent("z").Done[0].Outcome, v1.Outcome_UNUSED)
}

func TestRefusedTieGoesOnWaitingAtHome(t *testing.T) {
	for _, code := range []v1.Code{v1.Code_NO_TARGET, v1.Code_NOT_READY, v1.Code_QUEUE_FULL, v1.Code_DEADLINE_EXCEEDED} {
		is := is.New(t)
		f, r, seq := tied(t)
		f.refuse("z", &v1.Refusal{Seq: seq, Code: code})
		is.Equal(r.answer(), reply{})
		is.Equal(len(f.sent("a").Demands), 0) // it has not lost its place
		f.refuse("a", &v1.Refusal{Seq: r.seq, Code: code})
		is.Equal(r.answer().code(), code)
	}
}

func TestRefusalAtHomeWithdrawsTheTie(t *testing.T) {
	is := is.New(t)
	f, r, seq := tied(t)
	f.refuse("a", &v1.Refusal{Seq: r.seq, Code: v1.Code_DEADLINE_EXCEEDED})
	is.Equal(r.answer().code(), v1.Code_DEADLINE_EXCEEDED)
	is.Equal(f.sent("z").Cancels, []uint64{seq})
	is.Equal(len(f.requests), 0)
}

func TestCallerGoesAway(t *testing.T) {
	is := is.New(t)
	f, r, seq := tied(t)
	f.input(cancelInput{r})
	is.Equal(f.sent("a").Cancels, []uint64{r.seq})
	is.Equal(f.sent("z").Cancels, []uint64{seq})
	f, r, seq = tied(t)
	f.grant("z", seq, target1) // the caller left before it read the grant
	f.input(cancelInput{r})
	is.Equal(f.sent("z").Done[0].Outcome, v1.Outcome_UNUSED)
	is.Equal(len(f.requests), 0)
}

func TestTieIsLostWithItsRegion(t *testing.T) {
	is := is.New(t)
	f, r, _ := tied(t)
	f.setFleet(member("a", home, 1))
	f.input(closedInput{f.links["z"], nil})
	is.Equal(len(f.sent("a").Demands), 0)
	f.grant("a", r.seq, target1)
	is.Equal(r.answer().target(), target1)
}

func TestTieFollowsTheRoleOfItsRegion(t *testing.T) {
	is := is.New(t)
	f, r, _ := tied(t)
	f.setFleet(member("a", home, 1), member("y", remote, 1))
	is.Equal(len(f.sent("z").Cancels), 1)
	again := f.sent("y").Demands
	is.Equal(len(again), 1)
	f.grant("y", again[0].Seq, target1)
	is.Equal(r.answer().target(), target1)
}

// TestRoleMoveAtHomeLeavesTheTieAlone checks that no hello is repeated on the
// open link of the other region: it would drop what waits there.
func TestRoleMoveAtHomeLeavesTheTieAlone(t *testing.T) {
	is := is.New(t)
	f, r, seq := tied(t)
	f.setFleet(member("b", home, 1), member("z", remote, 1))
	f.tieDemand("b", r.seq, remote) // the new holder does not know of the tie
	sent := f.sent("z")
	is.Equal(sent.Hello, nil)
	is.Equal(len(sent.Demands), 0)
	f.grant("z", seq, target1)
	is.Equal(r.answer().target(), target1)
	is.Equal(f.sent("b").Cancels, []uint64{r.seq})
}

func TestTieToARegionWithoutSchedulerIsDropped(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, member("a", home, 1))
	r := f.acquire(time.Minute)
	f.tieDemand("a", r.seq, remote)
	is.Equal(len(f.requests), 1)
	is.Equal(len(r.ties), 0)
}

// TestLostSchedulerGetsNoTies lets the only scheduler of the other region lose
// its link while the fleet still counts on it.
func TestLostSchedulerGetsNoTies(t *testing.T) {
	is := is.New(t)
	f, r, _ := tied(t)
	f.input(closedInput{f.links["z"], nil})
	is.Equal(len(f.dialer.links), 2) // none is opened again
	is.Equal(len(r.ties), 0)
	delete(f.avoid, "z")
	f.tieDemand("a", r.seq, remote)
	is.Equal(len(f.sent("z").Demands), 1)
}

func TestTiedDemandIsNotTiedAgain(t *testing.T) {
	is := is.New(t)
	f, _, seq := tied(t)
	f.tieDemand("z", seq, home)
	is.Equal(len(f.requests), 2)
}

// TestSpareOfAnotherRegion checks that a spare slot serves demands of its region
// and tied demands there, and no others.
func TestSpareOfAnotherRegion(t *testing.T) {
	is := is.New(t)
	f, _, _ := tied(t)
	f.receive("z", spareBatch(9, time.Minute))
	r := f.acquire(time.Minute)
	is.Equal(r.answer(), reply{})
	f.tieDemand("a", r.seq, remote)
	is.Equal(r.answer().target(), target1)
	is.Equal(f.sent("z").SpareUses[0].Spare, uint64(9))
	is.Equal(f.sent("a").Cancels, []uint64{r.seq})
}

// TestSpareOfAnotherRegionForADigest checks that the waiting of a request at home
// does not keep it from a spare slot in another region.
func TestSpareOfAnotherRegionForADigest(t *testing.T) {
	is := is.New(t)
	f, _, _ := tied(t)
	f.store.SetFleet(&state.Fleet{Self: f.self, Reachable: []state.Member{f.self, member("a", home, 1), member("z", remote, 1)}})
	f.receive("z", spareBatch(9, time.Minute))
	digest := uint32(1)
	for !ownsDigest(f.store.Fleet(), digest) {
		digest++
	}
	r := f.acquireCopy(digest)
	f.tieDemand("a", r.seq, remote)
	is.Equal(r.answer().target(), target1)
}

// TestPredictionIsThatOfTheSchedulerThatGranted lets the other region grant with
// a rate of its own.
func TestPredictionIsThatOfTheSchedulerThatGranted(t *testing.T) {
	is := is.New(t)
	f, r, seq := tied(t)
	f.receive("z", &v1.SchedulerBatch{Grants: []*v1.Grant{{Seq: seq, Target: uint32(target1), Estimate: 40, Rate: 9}}})
	grant := r.answer().grant
	is.Equal(grant.Prediction.Rate, int64(9))
	f.setFleet(member("a", home, 1), member("y", remote, 1))
	is.Equal(f.sent("y").Hello.InFlight[0].Rate, uint32(9))
	is.Equal(f.sent("a").Hello, nil) // the greeting at home was before
}

func TestTiesAreNotCountedAsWaiting(t *testing.T) {
	is := is.New(t)
	f, r, _ := tied(t)
	is.Equal(f.countWaiting()[WaitKey{poolName, r.demand.Workspace}], 1)
}
