package requestkey

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// TestRecordRoundTrip checks that a record survives the exchange between routers, and that NO in a
// record becomes UNKNOWN.
func TestRecordRoundTrip(t *testing.T) {
	is := is.New(t)
	r := Record{
		ID: ID{Workspace: "school", Key: "order-1"}, Digest: 7, Ran: v1.Ran_YES, Remaining: time.Second,
		Answer: &Answer{Status: 201, Code: v1.Code_OK, Headers: []Header{{Name: "Etag", Value: "x"}}, Body: []byte("b")},
	}
	is.Equal(RecordFromProto(r.Proto()), r)
	is.Equal(RecordFromProto(&v1.KeyRecord{Ran: v1.Ran_NO}).Ran, v1.Ran_UNKNOWN)
}

// TestViewFromListKeepsLiveRouters checks that targets and leaving routers own no keys.
func TestViewFromListKeepsLiveRouters(t *testing.T) {
	is := is.New(t)
	v := ViewFromList(&v1.InstanceList{Revision: 4, AsOfUnixMs: 9, Instances: []*v1.Instance{
		{Name: "a", Incarnation: 1, State: v1.InstanceState_LIVE},
		{Name: "b", Incarnation: 1, State: v1.InstanceState_LEAVING},
		{Name: "t", Incarnation: 1, State: v1.InstanceState_LIVE, IsTarget: true},
	}})
	is.Equal(v, View{Revision: 4, FirstAsOf: time.UnixMilli(9), LastAsOf: time.UnixMilli(9), Routers: []Member{routerA}})
}

// BenchmarkBegin measures Begin and Finish of a request, with 330 routers and two known lists.
func BenchmarkBegin(b *testing.B) {
	const routers = 330
	opts := Options{MaxRecords: 1 << 30, MaxBytes: 1 << 40}
	members := []Member{routerA}
	for i := range routers - 1 {
		members = append(members, Member{Name: fmt.Sprintf("router-%d", i), Incarnation: 1})
	}
	l, err := New(routerA, opts)
	if err != nil {
		b.Fatal(err)
	}
	l.Observe(testStart, viewAt(1, testStart.Add(-time.Hour), members...))
	l.Observe(testStart, viewAt(2, testStart, members...))
	keys := make([]ID, 64)
	for i := range keys {
		keys[i] = ID{Workspace: "school", Key: ownedBy(routerA, testStart.Add(time.Duration(i)*time.Millisecond), members...)}
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		id := keys[i%len(keys)]
		if l.Begin(testStart, Request{ID: id}).Action == Dispatch {
			l.Finish(testStart, id, v1.Ran_NO, nil)
		}
	}
}

// BenchmarkRecord measures the memory of one record without an answer.
func BenchmarkRecord(b *testing.B) {
	l, err := New(routerA, Options{MaxRecords: 1 << 30, MaxBytes: 1 << 40})
	if err != nil {
		b.Fatal(err)
	}
	l.Observe(testStart, viewAt(1, testStart.Add(-time.Hour), routerA))
	l.Observe(testStart, viewAt(1, testStart, routerA))
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		l.Begin(testStart, Request{ID: ID{Workspace: "school", Key: fmt.Sprintf("order-%032d", i)}})
	}
}
