package broker

import (
	"testing"
	"time"

	"github.com/matryer/is"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

func moveTo(seq uint64, region string) *v1.Refusal {
	return &v1.Refusal{Seq: seq, Code: v1.Code_QUEUE_FULL, Region: region}
}

// moved returns a broker with a demand that waits in the other region.
func moved(t *testing.T) (*fixture, *request) {
	f := newFixture(t, member("a", home, 1), member("z", remote, 1))
	r := f.acquire(time.Minute)
	f.refuse("a", moveTo(r.seq, remote))
	f.sent("a")
	return f, r
}

func TestMoveToARegion(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, member("a", home, 1), member("z", remote, 1))
	r := f.acquire(time.Minute)
	first := r.seq
	f.refuse("a", moveTo(first, remote))
	sent := f.sent("z")
	is.Equal(seqs(sent.Demands), []uint64{r.seq})
	is.True(r.seq != first)
	is.True(sent.Demands[0].Moved)
	f.grant("z", r.seq, target1)
	is.Equal(r.answer().target(), target1)
	f.sent("a")
	f.input(doneInput{r.seq, &v1.Done{Seq: r.seq, Outcome: v1.Outcome_SERVED}})
	is.Equal(len(f.sent("z").Done), 1)
	freed := f.sent("a").Freed
	is.Equal(len(freed), 1)
	is.Equal(freed[0].Region, remote)
}

func TestMoveToARegionWithoutSchedulerStaysAtHome(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, member("a", home, 1))
	r := f.acquire(time.Minute)
	first := r.seq
	f.refuse("a", moveTo(first, remote))
	sent := f.sent("a")
	is.Equal(seqs(sent.Demands), []uint64{first, r.seq})
	is.True(sent.Demands[1].Moved)
	f.grant("a", r.seq, target1)
	is.Equal(r.answer().target(), target1)
	f.input(doneInput{r.seq, &v1.Done{Seq: r.seq}})
	is.Equal(len(f.sent("a").Freed), 0)
}

func TestMovedDemandReturnsHomeWhenTheRegionIsLost(t *testing.T) {
	is := is.New(t)
	f, r := moved(t)
	f.setFleet(member("a", home, 1))
	f.input(closedInput{f.links["z"], nil})
	is.Equal(r.answer(), reply{})
	is.Equal(seqs(f.sent("a").Demands), []uint64{r.seq})
	f.grant("a", r.seq, target1)
	is.Equal(r.answer().target(), target1)
}

func TestMovedDemandReturnsHomeWhenItIsRefusedThere(t *testing.T) {
	for _, code := range []v1.Code{v1.Code_NO_TARGET, v1.Code_NOT_READY, v1.Code_UNKNOWN_POOL, v1.Code_QUEUE_FULL} {
		is := is.New(t)
		f, r := moved(t)
		f.refuse("z", &v1.Refusal{Seq: r.seq, Code: code})
		is.Equal(r.answer(), reply{})
		again := f.sent("a").Demands
		is.Equal(seqs(again), []uint64{r.seq})
		is.True(again[0].Moved)
		f.refuse("a", &v1.Refusal{Seq: r.seq, Code: code})
		is.Equal(r.answer().code(), code) // the refusal at home is final
	}
}

func TestMovedDemandExpiresInTheOtherRegion(t *testing.T) {
	is := is.New(t)
	f, r := moved(t)
	f.refuse("z", &v1.Refusal{Seq: r.seq, Code: v1.Code_DEADLINE_EXCEEDED})
	is.Equal(r.answer().code(), v1.Code_DEADLINE_EXCEEDED)
}

func TestMovedDemandIsNotMovedAgain(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, member("a", home, 1), member("y", "east", 1), member("z", remote, 1))
	r := f.acquire(time.Minute)
	f.refuse("a", moveTo(r.seq, remote))
	f.refuse("z", moveTo(r.seq, "east"))
	is.Equal(f.dialer.last("y"), nil)
}

// TestRoleMoveAtHomeLeavesTheOtherRegionAlone checks that no hello is repeated
// on the open link of the other region: it would drop what waits there.
func TestRoleMoveAtHomeLeavesTheOtherRegionAlone(t *testing.T) {
	is := is.New(t)
	f, r := moved(t)
	f.sent("z")
	second := f.acquire(time.Minute)
	f.setFleet(member("b", home, 1), member("z", remote, 1))
	f.refuse("b", moveTo(second.seq, remote))
	sent := f.sent("z")
	is.Equal(sent.Hello, nil)
	is.Equal(seqs(sent.Demands), []uint64{second.seq})
	f.grant("z", r.seq, target1)
	is.Equal(r.answer().target(), target1)
}

// TestSpareOfAnotherRegion checks that a spare slot serves demands that are
// moved to its region, and no others.
func TestSpareOfAnotherRegion(t *testing.T) {
	is := is.New(t)
	f, _ := moved(t)
	f.receive("z", spareBatch(9, time.Minute))
	r := f.acquire(time.Minute)
	is.Equal(r.answer(), reply{})
	f.refuse("a", moveTo(r.seq, remote))
	is.Equal(r.answer().target(), target1)
	is.Equal(f.sent("z").SpareUses[0].Spare, uint64(9))
}
