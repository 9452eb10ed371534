package dealing

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"gopkg.in/tomb.v2"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/config/configtest"
	"github.com/chiveseam/chiveseam/deal"
	"github.com/chiveseam/chiveseam/pool"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/router/internal/scheduling"
	"github.com/chiveseam/chiveseam/router/internal/state"
)

// totalSlots is the number of slots of the pool's target.
const totalSlots = 4

// fakeHolders records the allotments for holders on this router.
type fakeHolders struct{ allotted []scheduling.Allotment }

func (h *fakeHolders) Reports() <-chan scheduling.Report { return nil }

func (h *fakeHolders) ApplyAllotments(list []scheduling.Allotment) {
	h.allotted = append(h.allotted, list...)
}

// fakeCaller records the calls to other routers. All calls fail.
type fakeCaller struct{ calls chan *v1.DealBatch }

func (c *fakeCaller) Deal(_ context.Context, _ string, in *v1.DealBatch) (*v1.DealBatch, error) {
	c.calls <- in
	return nil, errors.New("no answer")
}

// fixture is the Host of router "dealer", with a router "holder" that is reachable. The
// test calls the methods of the loop's goroutine itself, in place of Host.Run.
type fixture struct {
	*Host
	holders *fakeHolders
	caller  *fakeCaller
	now     time.Time
}

func newFixture(t *testing.T, shards uint32) *fixture {
	t.Helper()
	here := state.Member{Name: self.Name, Incarnation: self.Incarnation, Region: configtest.Region}
	there := state.Member{Name: holder.Name, Incarnation: holder.Incarnation, Region: configtest.Region}
	store := state.NewStore(here)
	store.SetFleet(&state.Fleet{Self: here, Reachable: []state.Member{here, there}})
	f := &fixture{holders: &fakeHolders{}, caller: &fakeCaller{make(chan *v1.DealBatch, 1)}, now: time.Unix(1e9, 0)}
	running := &tomb.Tomb{}
	running.Go(func() error { <-running.Dying(); return nil })
	t.Cleanup(func() {
		running.Kill(nil)
		_ = running.Wait()
	})
	f.Host = New(running, store, f.holders, f.caller, log.NewNopLogger())
	f.setShards(t, shards)
	return f
}

// setShards puts a configuration into force in which the pool has the number of shards.
func (f *fixture) setShards(t *testing.T, shards uint32) {
	t.Helper()
	c := configtest.Valid()
	c.Pools[0].Shards = shards
	payload, err := proto.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := config.Accept(1, payload)
	if err != nil {
		t.Fatal(err)
	}
	f.store.SetConfig(accepted)
	f.reconfigure(f.now)
}

func shardOfTwo(index int) config.Shard {
	return config.Shard{Pool: configtest.EnginePool, Index: index, Count: 2}
}

// firstReport returns the first report of a holder, whose shard needs the given number of
// slots.
func firstReport(holder, dealer pool.Router, index, need int) scheduling.Report {
	backlogs := []pool.Backlog{{Share: 1, Need: need}}
	return scheduling.Report{Shard: shardOfTwo(index), Report: deal.Report{
		Shard: index, Holder: holder, Seq: 1, Dealer: dealer, Backlogs: backlogs,
	}}
}

// batch returns a batch with reports from the router "holder" to this one.
func (f *fixture) batch(reports ...scheduling.Report) *v1.DealBatch {
	batch := &v1.DealBatch{Router: holder.Name, Incarnation: holder.Incarnation, Receiver: self.Incarnation}
	for _, r := range reports {
		batch.Reports = append(batch.Reports, reportMessage(r.Shard.ID(), r.Report))
	}
	return batch
}

func sum(slots map[config.ID]int) int {
	total := 0
	for _, n := range slots {
		total += n
	}
	return total
}

// One shard of the pool is scheduled on this router, the other one on another router.
// Both must get the slots that they need, each allotment is sent once, and a batch for an
// earlier incarnation of this router is ignored.
func TestSlotsFollowTheNeedOfShardsOnTwoRouters(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 2)
	f.routeReport(firstReport(self, self, 0, totalSlots), f.now)
	f.receive(f.batch(firstReport(holder, self, 1, 1)), f.now)
	for range 5 {
		f.now = f.now.Add(deal.DefaultInterval)
		f.tick(f.now)
	}
	here := f.holders.allotted[len(f.holders.allotted)-1]
	is.Equal(here.Shard, shardOfTwo(0))
	reply := f.takeReply(f.batch())
	is.Equal(reply.Receiver, holder.Incarnation)
	is.Equal(len(reply.Allotments), 1)
	there := allotmentFromMessage(reply.Allotments[0], shardOfTwo(1), holder, self)
	is.Equal(there.Answers, uint64(1))
	is.Equal(sum(here.Slots)+sum(there.Slots), totalSlots)
	is.Equal(sum(there.Slots), 1)
	is.True(proto.Equal(f.takeReply(f.batch()), &v1.DealBatch{})) // each allotment is sent once
	late := f.batch(firstReport(holder, self, 1, 1))
	late.Receiver-- // the number of an earlier incarnation
	late.Reports[0].Seq = 2
	f.receive(late, f.now)
	f.tick(f.now.Add(deal.DefaultInterval))
	is.True(f.outbox(holder).empty())
}

// Reports of several shards to the same router are sent in one call, and a newer report
// of a shard replaces one that waits. While a call is in progress, reports wait for its
// end, even if it fails.
func TestReportsOfOneRouterShareABatch(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 2)
	for index := range 2 {
		f.routeReport(firstReport(self, holder, index, 1), f.now)
	}
	newer := firstReport(self, holder, 0, 2)
	newer.Seq = 2
	f.routeReport(newer, f.now)
	f.flush()
	batch := <-f.caller.calls
	is.Equal(batch.Receiver, holder.Incarnation)
	is.Equal(len(batch.Reports), 2) // the newer one of shard 0 replaces the first
	f.routeReport(newer, f.now)
	f.flush()
	is.Equal(len(f.caller.calls), 0) // the report waits for the end of the call
	f.handle(<-f.in, f.now)
	f.flush()
	is.Equal(len((<-f.caller.calls).Reports), 1)
}

// A dealer must not go on after the number of shards has changed, since its allotments
// are for shards that no longer exist. It must also end when the shards report to another
// router.
func TestDealerEndsWhenShardCountChangesOrReportsStop(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 2)
	f.routeReport(firstReport(self, self, 0, 1), f.now)
	is.Equal(len(f.dealers), 1)
	f.setShards(t, 3)
	is.Equal(len(f.dealers), 0)
	f.setShards(t, 2)
	f.routeReport(firstReport(self, self, 0, 1), f.now)
	f.tick(f.now.Add(deal.DefaultReclaim + time.Second))
	is.Equal(len(f.dealers), 0)
}
