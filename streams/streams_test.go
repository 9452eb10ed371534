package streams_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/streams"
)

func origin(n int) streams.Origin {
	return streams.Origin{Service: uint32(n%3 + 1), Version: uint32(n%5 + 1)}
}

// Streams begin at routers of fleets of all sizes, reports are dropped, routers are killed: two reports
// after it has begun, a stream is known to nearly all routers, and none has another origin of it.
func TestOriginsReachTheFleet(t *testing.T) {
	for _, routers := range []int{6, 70, 195} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			random := rand.New(rand.NewPCG(uint64(routers), 1))
			now := time.Unix(1000, 0)
			fleet := make([]*streams.Origins, routers)
			for i := range fleet {
				fleet[i] = streams.New(now)
			}
			const loss = 0.05
			var begun []int
			for round := range 40 {
				now = now.Add(100 * time.Millisecond)
				for range 30 {
					n := len(begun)
					fleet[random.IntN(routers)].Record(now, streams.IDOf(fmt.Sprint(n)), origin(n))
					begun = append(begun, n)
				}
				if round%10 == 5 {
					// A killed router is replaced by one that knows nothing.
					fleet[random.IntN(routers)] = streams.New(now)
				}
				for i, from := range fleet {
					r := &v1.LoadReport{}
					from.FillReport(now, r)
					for k, to := range fleet {
						if k != i && random.Float64() >= loss {
							to.MergeReport(now, r)
						}
					}
				}
			}
			unknown := 0
			for _, o := range fleet {
				for _, n := range begun[:len(begun)-60] {
					got, ok := o.Lookup(streams.IDOf(fmt.Sprint(n)))
					if !ok {
						unknown++
					} else if got != origin(n) {
						t.Fatalf("stream %d: origin %v, want %v", n, got, origin(n))
					}
				}
			}
			// Killed routers know the later streams only: 4 of all routers, for half of the time.
			most := (0.005 + 4.0/float64(routers)) * float64(routers*len(begun))
			if float64(unknown) > most {
				t.Errorf("%d origins unknown, at most %.0f", unknown, most)
			}
		})
	}
}

// The first origin that was heard of a stream stays, and is known for a lifetime at least, for two at
// most.
func TestOriginIsKeptForItsLifetime(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	o := streams.New(now)
	id := streams.IDOf("a")
	_, ok := o.Lookup(id)
	is.True(!ok)
	o.Record(now, id, origin(1))
	o.Record(now, id, origin(2))
	for range 40 {
		now = now.Add(time.Second)
		o.Record(now, streams.IDOf(now.String()), origin(3))
		got, ok := o.Lookup(id)
		is.True(ok || now.Sub(time.Unix(1000, 0)) > streams.Lifetime)
		is.True(!ok || got == origin(1))
	}
	now = now.Add(streams.Lifetime)
	o.Record(now, streams.IDOf("b"), origin(3))
	_, ok = o.Lookup(id)
	is.True(!ok)
}

// A stream that goes on is recorded again, and keeps its first origin.
func TestOriginIsRefreshed(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	o := streams.New(now)
	id := streams.IDOf("a")
	for i := range 20 {
		o.Record(now, id, origin(i))
		got, ok := o.Lookup(id)
		is.True(ok)
		is.Equal(got, origin(0))
		now = now.Add(streams.Lifetime / 2)
	}
}

// Requests without an ID begin no stream that could be known again.
func TestStreamsWithoutAnIDAreNotRecorded(t *testing.T) {
	is := is.New(t)
	o := streams.New(time.Unix(1000, 0))
	o.Record(time.Unix(1000, 0), streams.IDOf(""), origin(1))
	o.MergeReport(time.Unix(1000, 0), &v1.LoadReport{StreamOrigins: []*v1.StreamOrigin{{Service: 1, Version: 1}}})
	_, ok := o.Lookup(0)
	is.True(!ok)
	r := &v1.LoadReport{}
	o.FillReport(time.Unix(1000, 0), r)
	is.Equal(len(r.StreamOrigins), 0)
}

// However many streams begin, a report stays small, and each origin is reported twice.
func TestReportsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		o := streams.New(now)
		n := rapid.IntRange(0, 3000).Draw(t, "streams")
		for i := range n {
			o.Record(now, streams.IDOf(fmt.Sprint(i)), origin(i))
		}
		reported := map[uint64]int{}
		for range n/500 + 2 {
			r := &v1.LoadReport{}
			o.FillReport(now, r)
			if len(r.StreamOrigins) > 1000 {
				t.Fatalf("%d origins in a report", len(r.StreamOrigins))
			}
			for _, s := range r.StreamOrigins {
				reported[s.Stream]++
			}
		}
		for id, times := range reported {
			if times != 2 {
				t.Fatalf("stream %d reported %d times", id, times)
			}
		}
		if len(reported) != n {
			t.Fatalf("%d of %d streams reported", len(reported), n)
		}
	})
}

// A router tells what it knows of the streams that another one asks for.
func TestAnswerHoldsTheKnownStreams(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	o := streams.New(now)
	o.Record(now, streams.IDOf("a"), origin(1))
	known := o.Answer([]uint64{uint64(streams.IDOf("a")), uint64(streams.IDOf("b"))})
	is.Equal(len(known), 1)
	other := streams.New(now)
	other.MergeReport(now, &v1.LoadReport{StreamOrigins: known})
	got, ok := other.Lookup(streams.IDOf("a"))
	is.True(ok)
	is.Equal(got, origin(1))
}

// Guards against routers that take the only version which they have seen for the only one: each learns of
// versions by registrations, by reports of which two are dropped, by streams or by an answer.
func TestVersionsAreToldToOtherRouters(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	const service, other = 1, 2
	first := streams.New(now)
	for i, version := range []uint32{11, 12, 12, 13} {
		is.Equal(first.MayHaveSeveralVersions(now, service, 0), i >= 2)
		first.SeeVersion(service, version)
	}
	first.SeeVersion(other, 11)
	is.True(!first.MayHaveSeveralVersions(now, other, 0))

	reported, answered, streaming := streams.New(now), streams.New(now), streams.New(now)
	for i := range 5 {
		r := &v1.LoadReport{}
		first.FillReport(now, r)
		if i == 2 {
			reported.MergeReport(now, r)
		}
		is.Equal(len(r.Versions) > 0, i < 3)
	}
	answer := &v1.LoadReport{}
	first.AddVersions(now, answer)
	answered.MergeReport(now, answer)
	streaming.SeeVersion(service, 12)
	streaming.MergeReport(now, &v1.LoadReport{StreamOrigins: []*v1.StreamOrigin{{Stream: 5, Service: service, Version: 11}}})
	for _, o := range []*streams.Origins{reported, answered, streaming} {
		is.True(o.MayHaveSeveralVersions(now, service, 0))
		is.True(!o.MayHaveSeveralVersions(now, other, 0))
	}
}

// Guards against ORDER: the versions of services beyond the bound were not remembered, and such a service passed as one of
// a single version.
func TestVersionsOfServicesBeyondTheBoundAreNotKnown(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	o := streams.New(now)
	o.ReadAll(now.Add(-time.Hour), streams.Revision{Number: 1})
	const services = 10_000
	is.True(!o.MayHaveSeveralVersions(now, services+1, time.Minute))
	for service := range uint32(services) {
		o.SeeVersion(service+1, 11)
	}
	o.SeeVersion(services+1, 11)
	o.SeeVersion(services+1, 12)
	is.True(o.MayHaveSeveralVersions(now, services+1, time.Minute))
	is.True(!o.MayHaveSeveralVersions(now, services, time.Minute))
}
