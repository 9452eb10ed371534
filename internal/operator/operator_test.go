package operator

import (
	"bytes"
	"context"
	"errors"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	_ "github.com/chiveseam/chiveseam/internal/fixedseed"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// serveStatus starts a server that answers with the status and returns its IP:port.
func serveStatus(t *testing.T, status *v1.RouterStatus) string {
	t.Helper()
	body, err := protojson.Marshal(status)
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != statusPath {
			http.NotFound(w, r)
			return
		}
		_, _ = w.Write(body)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// servePlatform starts a server that answers with the instance list and returns its base URL.
func servePlatform(t *testing.T, list *v1.InstanceList) string {
	t.Helper()
	body, err := proto.Marshal(list)
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(body)
	}))
	t.Cleanup(server.Close)
	return server.URL
}

func client() *Client {
	return &Client{HTTP: http.DefaultClient, Timeout: time.Minute}
}

// sampleStatuses returns the statuses of two routers, which differ in state, pools and results.
func sampleStatuses() []*v1.RouterStatus {
	return []*v1.RouterStatus{
		{
			Router: "r2", Zone: "zone-b", ConfigRevision: 6, ConfigDigest: "0123456789", Stopping: true, UptimeMs: 61_500,
			RejectedRevision: 7, RejectedReason: "targets", Results: []*v1.CodeCount{{Code: 300, Name: "QUEUE_FULL", Count: 2}},
		},
		{
			Router: "r1", Zone: "zone-a", ConfigRevision: 6, Ready: true, Peers: []string{"r2"}, OpenRequests: 3,
			Pools: []*v1.PoolStatus{{Pool: "desk", Region: "north", Queued: 4, Granted: 9, Refused: 1, SpareSlots: 2, Targets: []*v1.TargetStatus{
				{Target: "desk-1", Slots: 8, Busy: 5}, {Target: "desk-2", Slots: 4, Down: true, Leaving: true},
			}}, {Pool: "model", Shard: 1, Shards: 2, Queued: 1}},
			Results: []*v1.CodeCount{{Code: 100, Name: "OK", Count: 8}, {Code: 300, Name: "QUEUE_FULL", Count: 1}},
		},
	}
}

// wantStatus is what PrintStatus prints of sampleStatuses.
const wantStatus = `ROUTER  ZONE    STATE     REVISION  DIGEST    REJECTED    PEERS  OPEN  UPTIME
r1      zone-a  ready     6         -         -           1      3     0s
r2      zone-b  stopping  6         01234567  7: targets  0      0     1m1s

POOL       REGION  SCHEDULER  QUEUED  BUSY  SLOTS  SPARE  GRANTED  REFUSED
desk       north   r1         4       5     12     2      9        1
model/1/2  -       r1         1       0     0      0      0        0

TARGET  POOL  SCHEDULER  BUSY  SLOTS  STATE
desk-1  desk  r1         5     8      up
desk-2  desk  r1         0     4      down, leaving

CODE  REFUSAL     COUNT
300   QUEUE_FULL  3
`

// TestStatusOfDiscoveredRouters checks that targets in the instance list are not asked for a
// status, and the tables of the routers that are.
func TestStatusOfDiscoveredRouters(t *testing.T) {
	is := is.New(t)
	list := &v1.InstanceList{Instances: []*v1.Instance{{Name: "desk-1", IsTarget: true, AdminAddress: "127.0.0.1:1"}}}
	for _, status := range sampleStatuses() {
		list.Instances = append(list.Instances, &v1.Instance{Name: status.Router, AdminAddress: serveStatus(t, status)})
	}
	routers, err := client().Discover(context.Background(), servePlatform(t, list))
	is.NoErr(err)
	fleet, err := client().Fetch(context.Background(), routers)
	is.NoErr(err)
	is.True(!fleet.Incomplete())
	var out bytes.Buffer
	is.NoErr(PrintStatus(&out, fleet))
	is.Equal(out.String(), wantStatus)
}

// TestUnreachableRouters checks that a router without a status is reported, and makes the
// sample incomplete only if the router is not leaving.
func TestUnreachableRouters(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		is := is.New(t)
		broken := httptest.NewServer(http.NotFoundHandler())
		defer broken.Close()
		address := strings.TrimPrefix(broken.URL, "http://")
		fleet, err := client().Fetch(context.Background(), []Router{
			{Address: serveStatus(t, sampleStatuses()[0])},
			{Address: address, Leaving: leaving},
		})
		is.NoErr(err)
		is.Equal(len(fleet.Routers), 1)
		is.Equal(len(fleet.Unreachable), 1)
		is.Equal(fleet.Incomplete(), !leaving)
		var out bytes.Buffer
		is.NoErr(PrintStatusJSON(&out, fleet))
		is.True(strings.Contains(out.String(), address))
	}
}

func TestNoRouters(t *testing.T) {
	is := is.New(t)
	_, err := client().Fetch(context.Background(), nil)
	is.True(errors.Is(err, ErrNoRouters))
}

// fleetOf returns a sample of one router, taken at the given Unix time, with the usage.
func fleetOf(incarnation uint64, seconds int64, usage ...*v1.WorkspaceUsage) Fleet {
	return Fleet{
		At:      time.Unix(seconds, 0),
		Routers: []*v1.RouterStatus{{Router: "r1", Incarnation: incarnation, Workspaces: usage}},
	}
}

// usageOf returns the counters of a workspace in the pool "desk". A request costs 10.
func usageOf(workspace string, share uint32, cost uint64, queued uint32) *v1.WorkspaceUsage {
	return &v1.WorkspaceUsage{Workspace: workspace, Pool: "desk", Share: share, Cost: cost, Requests: cost / 10, Queued: queued}
}

func TestUsageBetween(t *testing.T) {
	is := is.New(t)
	before := fleetOf(1, 100, usageOf("big", 3, 500, 0), usageOf("small", 1, 50, 0), usageOf("idle", 6, 10, 0))
	after := fleetOf(1, 110, usageOf("big", 3, 1100, 5), usageOf("small", 1, 350, 2), usageOf("idle", 6, 110, 0))
	var out bytes.Buffer
	is.NoErr(PrintUsage(&out, UsageBetween(before, after)))
	is.Equal(out.String(), `POOL  WORKSPACE  SHARE  QUEUED  REQ/S  COST/S  DESERVED%  RECEIVED%  GAP%
desk  big        3      5       6.0    60      67.5       60.0       -7.5
desk  idle       6      0       1.0    10      10.0       10.0       +0.0
desk  small      1      2       3.0    30      22.5       30.0       +7.5
`)
}

// TestUsageAcrossRestart guards against wrong rates when the earlier sample has no counters to
// subtract: it contains an earlier incarnation of the router, or not the router at all.
func TestUsageAcrossRestart(t *testing.T) {
	is := is.New(t)
	before := fleetOf(1, 100, usageOf("big", 3, 500, 0))
	rows := UsageBetween(before, fleetOf(2, 110, usageOf("big", 3, 100, 0)))
	is.Equal(rows[0].Cost, 10.0) // the new incarnation counts from zero
	rows = UsageBetween(Fleet{At: time.Unix(100, 0)}, fleetOf(2, 110, usageOf("big", 3, 100, 0)))
	is.Equal(rows[0].Cost, 0.0) // the router was not in the earlier sample
}

// TestDeservedAddsUp checks the max-min fair division: the parts that workspaces deserve and
// received add up to all that was delivered, a workspace with queued requests deserves at least
// its share, and another one no more than it received.
func TestDeservedAddsUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var usage []*v1.WorkspaceUsage
		var shares uint32
		count := rapid.IntRange(1, 6).Draw(t, "count")
		for i := range count {
			share := rapid.Uint32Range(1, 100).Draw(t, "share")
			cost := rapid.Uint64Range(1, 1000).Draw(t, "cost")
			usage = append(usage, usageOf(string(rune('a'+i)), share, cost, rapid.Uint32Range(0, 1).Draw(t, "queued")))
			shares += share
		}
		var deserved, received float64
		for _, row := range UsageBetween(fleetOf(1, 0), fleetOf(1, 1, usage...)) {
			deserved += row.Deserved
			received += row.Received
			if row.Queued > 0 && row.Deserved < percent*float64(row.Share)/float64(shares)-1e-6 {
				t.Fatalf("%+v deserves less than its share", row)
			}
			if row.Queued == 0 && row.Deserved > row.Received+1e-6 {
				t.Fatalf("%+v deserves more than it wanted", row)
			}
		}
		if math.Abs(deserved-percent) > 1e-6 || math.Abs(received-percent) > 1e-6 {
			t.Fatalf("deserved %v, received %v", deserved, received)
		}
	})
}

// TestTopEndsWithItsContext checks that cancelling the context ends Top without an error.
func TestTopEndsWithItsContext(t *testing.T) {
	is := is.New(t)
	var waits int
	top := Top{
		Sample: func(context.Context) (Fleet, error) { return fleetOf(1, int64(waits), usageOf("big", 1, 1, 0)), nil },
		Wait: func(context.Context, time.Duration) error {
			if waits++; waits > 2 {
				return context.Canceled
			}
			return nil
		},
	}
	var out bytes.Buffer
	is.NoErr(top.Run(context.Background(), &out))
	is.Equal(strings.Count(out.String(), clearScreen), 2)
}
