package broker

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/config"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/router/internal/state"
)

// acquireCopy sends a demand with the digest from the home region.
func (f *fixture) acquireCopy(digest uint32) *request {
	r := &request{
		demand: Demand{
			Pool: poolName, Region: homeRegion, Workspace: config.IDOf("small"),
			Deadline: time.Now().Add(time.Minute), Digest: digest,
		},
		homeRegion: homeRegion,
		reply:      make(chan reply, 2),
	}
	f.input(acquireInput{r})
	return r
}

func TestFirstByteIsReportedOnlyWhenAsked(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, member("a", homeRegion, 1))
	asked, unasked := f.acquireCopy(7), f.acquireCopy(8)
	is.Equal(f.sentTo("a").Demands[0].Digest, uint32(7))
	f.grant("a", asked.seq, 1)
	f.grant("a", unasked.seq, 1)
	f.input(firstByteInput{asked.seq})
	f.input(firstByteInput{unasked.seq})
	is.Equal(len(f.sentTo("a").FirstBytes), 0)
	f.receive("a", &v1.SchedulerBatch{FirstByteAsks: []uint64{asked.seq}})
	is.Equal(f.sentTo("a").FirstBytes, []uint64{asked.seq})
}

// A scheduler that starts without state learns from the hello which requests of a
// digest are not answered yet.
func TestHelloCarriesDigestsOfUnansweredRequests(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, member("a", homeRegion, 1))
	open, answering := f.acquireCopy(7), f.acquireCopy(8)
	f.grant("a", open.seq, 1)
	f.grant("a", answering.seq, 1)
	f.input(firstByteInput{answering.seq})
	f.setFleet(member("b", homeRegion, 1))
	digests := map[uint64]uint32{}
	for _, r := range f.sentTo("b").Hello.InFlight {
		digests[r.Seq] = r.Digest
	}
	is.Equal(digests, map[uint64]uint32{open.seq: 7, answering.seq: 0})
}

// A request with a digest may start on a spare slot only at the router that owns the
// digest, and only one at a time.
func TestSpareServesOnlyDigestsThatTheRouterOwns(t *testing.T) {
	is := is.New(t)
	f := newFixtureWithSpare(t)
	fleet := &state.Fleet{Self: f.self, Reachable: []state.Member{f.self, member("a", homeRegion, 1)}}
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
	is.Equal(len(f.sentTo("a").SpareUses), 0)
	f.receive("a", spareBatch(10, time.Minute))
	f.acquireCopy(own)
	is.Equal(len(f.sentTo("a").SpareUses), 1)
	f.acquireCopy(own)
	is.Equal(len(f.sentTo("a").SpareUses), 0)
}
