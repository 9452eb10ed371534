package broker

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/config"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/router/internal/state"
)

// acquireCopy sends a demand with a digest.
func (f *fixture) acquireCopy(digest uint32) *request {
	r := &request{
		demand: Demand{
			Pool: poolName, Region: home, Workspace: config.IDOf("small"),
			Deadline: time.Now().Add(time.Minute), Digest: digest,
		},
		home:  home,
		reply: make(chan reply, 2),
	}
	f.input(acquireInput{r})
	return r
}

func TestFirstByteIsToldWhenAsked(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, member("a", home, 1))
	asked, unasked := f.acquireCopy(7), f.acquireCopy(8)
	is.Equal(f.sent("a").Demands[0].Digest, uint32(7))
	f.grant("a", asked.seq, 1)
	f.grant("a", unasked.seq, 1)
	f.input(firstByteInput{asked.seq})
	f.input(firstByteInput{unasked.seq})
	is.Equal(len(f.sent("a").FirstBytes), 0)
	f.receive("a", &v1.SchedulerBatch{FirstByteAsks: []uint64{asked.seq}})
	is.Equal(f.sent("a").FirstBytes, []uint64{asked.seq})
}

// A scheduler without memory learns which copies have no answer yet.
func TestHelloTellsOpenDigests(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, member("a", home, 1))
	open, answering := f.acquireCopy(7), f.acquireCopy(8)
	f.grant("a", open.seq, 1)
	f.grant("a", answering.seq, 1)
	f.input(firstByteInput{answering.seq})
	f.setFleet(member("b", home, 1))
	digests := map[uint64]uint32{}
	for _, r := range f.sent("b").Hello.InFlight {
		digests[r.Seq] = r.Digest
	}
	is.Equal(digests, map[uint64]uint32{open.seq: 7, answering.seq: 0})
}

// Each digest may be started on a spare slot by one router, once at a time.
func TestSpareIsForTheOwnerOfTheDigest(t *testing.T) {
	is := is.New(t)
	f := withSpare(t)
	fleet := &state.Fleet{Self: f.self, Reachable: []state.Member{f.self, member("a", home, 1)}}
	var own, foreign uint32
	for digest := uint32(1); own == 0 || foreign == 0; digest++ {
		if ownsDigest(fleet, digest) {
			own = digest
		} else {
			foreign = digest
		}
	}
	f.store.SetFleet(fleet)
	f.acquireCopy(foreign)
	is.Equal(len(f.sent("a").SpareUses), 0)
	f.receive("a", spareBatch(10, time.Minute))
	f.acquireCopy(own)
	is.Equal(len(f.sent("a").SpareUses), 1)
	f.acquireCopy(own)
	is.Equal(len(f.sent("a").SpareUses), 0)
}
