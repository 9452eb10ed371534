package broker

import (
	"testing"
	"time"

	"github.com/matryer/is"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/router/internal/state"
)

// tieDemand delivers the named scheduler's message that ties a demand to a region.
func (f *fixture) tieDemand(name string, seq uint64, region string) {
	f.receive(name, &v1.SchedulerBatch{Ties: []*v1.Tie{{Seq: seq, Region: region}}})
}

// newTiedDemand returns a broker with a demand that waits in both regions, the demand,
// and the sequence number of the tie.
func newTiedDemand(t *testing.T) (*fixture, *request, uint64) {
	f := newFixture(t, member("a", homeRegion, 1), member("z", remoteRegion, 1))
	r := f.acquire(time.Minute)
	f.tieDemand("a", r.seq, remoteRegion)
	f.sentTo("a")
	sent := f.sentTo("z").Demands
	if len(sent) != 1 || !sent[0].Moved || sent[0].Seq == r.seq {
		t.Fatalf("demands sent to the other region = %v, want one tied demand", sent)
	}
	return f, r, sent[0].Seq
}

func TestTieIsGranted(t *testing.T) {
	is := is.New(t)
	f, r, seq := newTiedDemand(t)
	f.grant("z", seq, target1)
	answer := r.answer()
	is.Equal(answer.target(), target1)
	is.Equal(f.sentTo("a").Cancels, []uint64{r.seq})
	f.grant("a", r.seq, target1) // sent before the withdrawal arrived
	is.Equal(r.answer(), reply{})
	is.Equal(f.sentTo("a").Done[0].Outcome, v1.Outcome_UNUSED)
	f.input(doneInput{answer.grant.seq, &v1.Done{Seq: seq, Outcome: v1.Outcome_SERVED}})
	is.Equal(f.sentTo("z").Done[0].Seq, seq)
	is.Equal(len(f.requests), 0)
}

func TestOriginalIsGranted(t *testing.T) {
	is := is.New(t)
	f, r, seq := newTiedDemand(t)
	f.grant("a", r.seq, target1)
	is.Equal(r.answer().target(), target1)
	is.Equal(f.sentTo("z").Cancels, []uint64{seq})
	f.grant("z", seq, target1) // sent before the withdrawal arrived
	is.Equal(r.answer(), reply{})
	is.Equal(f.sentTo("z").Done[0].Outcome, v1.Outcome_UNUSED)
}

func TestRefusedTieKeepsTheOriginalWaiting(t *testing.T) {
	for _, code := range []v1.Code{v1.Code_NO_TARGET, v1.Code_NOT_READY, v1.Code_QUEUE_FULL, v1.Code_DEADLINE_EXCEEDED} {
		is := is.New(t)
		f, r, seq := newTiedDemand(t)
		f.refuse("z", &v1.Refusal{Seq: seq, Code: code})
		is.Equal(r.answer(), reply{})
		is.Equal(len(f.sentTo("a").Demands), 0) // the original keeps its place in the queue
		f.refuse("a", &v1.Refusal{Seq: r.seq, Code: code})
		is.Equal(r.answer().code(), code)
	}
}

func TestRefusalOfTheOriginalWithdrawsTheTie(t *testing.T) {
	is := is.New(t)
	f, r, seq := newTiedDemand(t)
	f.refuse("a", &v1.Refusal{Seq: r.seq, Code: v1.Code_DEADLINE_EXCEEDED})
	is.Equal(r.answer().code(), v1.Code_DEADLINE_EXCEEDED)
	is.Equal(f.sentTo("z").Cancels, []uint64{seq})
	is.Equal(len(f.requests), 0)
}

func TestCancelWithdrawsOriginalAndTie(t *testing.T) {
	is := is.New(t)
	f, r, seq := newTiedDemand(t)
	f.input(cancelInput{r})
	is.Equal(f.sentTo("a").Cancels, []uint64{r.seq})
	is.Equal(f.sentTo("z").Cancels, []uint64{seq})
	f, r, seq = newTiedDemand(t)
	f.grant("z", seq, target1) // the caller disconnects before it reads the grant
	f.input(cancelInput{r})
	is.Equal(f.sentTo("z").Done[0].Outcome, v1.Outcome_UNUSED)
	is.Equal(len(f.requests), 0)
}

func TestTieIsLostWithItsRegion(t *testing.T) {
	is := is.New(t)
	f, r, _ := newTiedDemand(t)
	f.setFleet(member("a", homeRegion, 1))
	f.input(closedInput{f.links["z"], nil})
	is.Equal(len(f.sentTo("a").Demands), 0)
	f.grant("a", r.seq, target1)
	is.Equal(r.answer().target(), target1)
}

func TestTieMovesWithTheSchedulerOfItsRegion(t *testing.T) {
	is := is.New(t)
	f, r, _ := newTiedDemand(t)
	f.setFleet(member("a", homeRegion, 1), member("y", remoteRegion, 1))
	is.Equal(len(f.sentTo("z").Cancels), 1)
	again := f.sentTo("y").Demands
	is.Equal(len(again), 1)
	f.grant("y", again[0].Seq, target1)
	is.Equal(r.answer().target(), target1)
}

// When the scheduler role of the home region moves, no hello is repeated on the open
// link to the other region: it would make that scheduler drop the demands that wait
// there.
func TestRoleMoveInTheHomeRegionKeepsTheTie(t *testing.T) {
	is := is.New(t)
	f, r, seq := newTiedDemand(t)
	f.setFleet(member("b", homeRegion, 1), member("z", remoteRegion, 1))
	f.tieDemand("b", r.seq, remoteRegion) // the new scheduler does not know of the tie
	sent := f.sentTo("z")
	is.Equal(sent.Hello, nil)
	is.Equal(len(sent.Demands), 0)
	f.grant("z", seq, target1)
	is.Equal(r.answer().target(), target1)
	is.Equal(f.sentTo("b").Cancels, []uint64{r.seq})
}

func TestTieToARegionWithoutSchedulerIsDropped(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, member("a", homeRegion, 1))
	r := f.acquire(time.Minute)
	f.tieDemand("a", r.seq, remoteRegion)
	is.Equal(len(f.requests), 1)
	is.Equal(len(r.ties), 0)
}

// The link to the only scheduler of the other region is lost while the fleet view still
// counts its router as reachable. Until its backoff ends, no link is opened for ties.
func TestLostSchedulerGetsNoTies(t *testing.T) {
	is := is.New(t)
	f, r, _ := newTiedDemand(t)
	f.input(closedInput{f.links["z"], nil})
	is.Equal(len(f.dialer.links), 2) // no link is opened again
	is.Equal(len(r.ties), 0)
	delete(f.backoffs, "z")
	f.tieDemand("a", r.seq, remoteRegion)
	is.Equal(len(f.sentTo("z").Demands), 1)
}

func TestTiedDemandIsNotTiedAgain(t *testing.T) {
	is := is.New(t)
	f, _, seq := newTiedDemand(t)
	f.tieDemand("z", seq, homeRegion)
	is.Equal(len(f.requests), 2)
}

// A spare slot serves demands of its own region and ties there, and no other demands.
func TestSpareServesOnlyItsRegion(t *testing.T) {
	is := is.New(t)
	f, _, _ := newTiedDemand(t)
	f.receive("z", spareBatch(9, time.Minute))
	r := f.acquire(time.Minute)
	is.Equal(r.answer(), reply{})
	f.tieDemand("a", r.seq, remoteRegion)
	is.Equal(r.answer().target(), target1)
	is.Equal(f.sentTo("z").SpareUses[0].Spare, uint64(9))
	is.Equal(f.sentTo("a").Cancels, []uint64{r.seq})
}

// The original that waits in the home region does not keep its own tie from a spare
// slot in the other region, although both have the same digest.
func TestTieOfADigestMayUseASpare(t *testing.T) {
	is := is.New(t)
	f, _, _ := newTiedDemand(t)
	f.store.SetFleet(&state.Fleet{Self: f.self, Reachable: []state.Member{f.self, member("a", homeRegion, 1), member("z", remoteRegion, 1)}})
	f.receive("z", spareBatch(9, time.Minute))
	digest := uint32(1)
	for !ownsDigest(f.store.Fleet(), digest) {
		digest++
	}
	r := f.acquireCopy(digest)
	f.tieDemand("a", r.seq, remoteRegion)
	is.Equal(r.answer().target(), target1)
}

// The other region's scheduler grants with its own estimate and rate. The grant and
// later hellos must carry these.
func TestPredictionComesFromTheGrantingScheduler(t *testing.T) {
	is := is.New(t)
	f, r, seq := newTiedDemand(t)
	f.receive("z", &v1.SchedulerBatch{Grants: []*v1.Grant{{Seq: seq, Target: uint32(target1), Estimate: 40, Rate: 9}}})
	grant := r.answer().grant
	is.Equal(grant.Prediction.Rate, int64(9))
	f.setFleet(member("a", homeRegion, 1), member("y", remoteRegion, 1))
	is.Equal(f.sentTo("y").Hello.InFlight[0].Rate, uint32(9))
	is.Equal(f.sentTo("a").Hello, nil) // the hello in the home region was sent before
}

func TestTiesAreNotCountedAsWaiting(t *testing.T) {
	is := is.New(t)
	f, r, _ := newTiedDemand(t)
	is.Equal(f.countWaitingDemands()[QueueKey{poolName, r.demand.Workspace}], 1)
}
