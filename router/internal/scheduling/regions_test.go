package scheduling

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"gopkg.in/tomb.v2"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/config/configtest"
	"github.com/chiveseam/chiveseam/pool"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/router/internal/state"
)

const (
	remoteRegion  = "south"
	remoteAddress = "127.0.0.1:9"
	minute        = 60_000
)

var poolID = config.IDOf(configtest.ServicePool)

// fixture is a host whose loop the test drives, with one entry router.
type fixture struct {
	*Host
	session *Session
	now     time.Time
}

// newFixture returns the host of a region with one slot of the pool; the other
// region has targets in data centre dc-2. Workspace large belongs to dc-1.
// Changes may alter the configuration.
func newFixture(t *testing.T, changes ...func(*v1.Configuration)) *fixture {
	t.Helper()
	c := configtest.Valid()
	c.Zones[0].DataCentre = "dc-1"
	c.Zones = append(c.Zones, &v1.Zone{Name: "zone-s", Region: remoteRegion, DataCentre: "dc-2"})
	for _, g := range c.Targets {
		g.Slots = 1
	}
	far := proto.Clone(c.Targets[1]).(*v1.Target)
	far.Name, far.Zone, far.Address = "desk-2", "zone-s", "127.0.0.1:7201"
	c.Targets = append(c.Targets, far)
	c.Workspaces[1].DataCentre = "dc-1"
	for _, change := range changes {
		change(c)
	}
	payload, err := proto.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := config.Accept(1, payload)
	if err != nil {
		t.Fatal(err)
	}
	self := state.Member{Name: "a", Region: configtest.Region, Incarnation: 1}
	store := state.NewStore(self)
	store.SetConfig(accepted)
	store.SetFleet(&state.Fleet{Self: self, Reachable: []state.Member{
		self, {Name: "z", Region: remoteRegion, PeerAddress: remoteAddress, Incarnation: 1},
	}})
	f := &fixture{Host: New(&tomb.Tomb{}, store, Options{HoldTime: time.Second}), now: time.Unix(1e9, 0)}
	f.session = f.newSession(pool.Router{Name: "r", Incarnation: 1}, configtest.Zone, nil)
	f.session.end = func() {}
	f.handle(openInput{f.session}, f.now)
	return f
}

// A router that greets a scheduler before its pool is configured there is refused
// for the time being, and served afterwards.
func TestHelloBeforeTheConfiguration(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	accepted := f.store.Config()
	f.store.SetConfig(nil)
	is.True(!f.Configured())
	hello := &v1.Hello{Router: "r", Counters: []*v1.PoolCounters{{Pool: uint32(poolID)}}}
	f.receive(f.session, &v1.EntryBatch{Hello: hello}, f.now)
	f.ask("small", minute, 1)
	is.Equal(f.session.out.Refusals[0].Code, v1.Code_NO_TARGET)
	f.store.SetConfig(accepted)
	f.now = f.now.Add(settleTime)
	f.receive(f.session, &v1.EntryBatch{Demands: []*v1.Demand{{
		Seq: 2, Pool: uint32(poolID), Workspace: uint32(config.IDOf("small")), WaitMs: minute,
	}}}, f.now)
	is.Equal(len(f.session.out.Grants), 1)
}

// ask sends demands of a workspace and drops what is granted.
func (f *fixture) ask(workspace string, waitMs uint32, seqs ...uint64) {
	for _, seq := range seqs {
		f.receive(f.session, &v1.EntryBatch{Demands: []*v1.Demand{{
			Seq: seq, Pool: uint32(poolID), Workspace: uint32(config.IDOf(workspace)), WaitMs: waitMs,
		}}}, f.now)
	}
	f.session.out.Grants = nil
}

// setReachable sets whether the other region can be reached and exchanges once.
func (f *fixture) setReachable(reachable bool) map[string]*v1.CountersShare {
	fleet := *f.store.Fleet()
	fleet.Reachable = []state.Member{fleet.Self}
	if reachable {
		fleet.Reachable = append(fleet.Reachable, state.Member{Name: "z", Region: remoteRegion, PeerAddress: remoteAddress, Incarnation: 1})
	}
	f.store.SetFleet(&fleet)
	return f.collectShares(f.now)
}

// tied returns the demands that were tied since the last call.
func (f *fixture) tied() []uint64 {
	var seqs []uint64
	for _, c := range f.session.out.Ties {
		if c.Region == remoteRegion {
			seqs = append(seqs, c.Seq)
		}
	}
	f.session.out.Ties = nil
	return seqs
}

func TestWaitingDemandsAreTiedToAReachableRegion(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.setReachable(false)
	f.ask("small", minute, 1, 2, 3) // demand 1 runs here
	is.Equal(len(f.tied()), 0)
	f.setReachable(true)
	is.Equal(f.tied(), []uint64{2, 3})
	f.ask("small", minute, 4)
	is.Equal(f.tied(), []uint64{4})
	f.setReachable(false)
	f.ask("small", minute, 5)
	is.Equal(len(f.tied()), 0)
	f.setReachable(true)
	is.Equal(f.tied(), []uint64{2, 3, 4, 5})
}

func TestWithdrawnDemandMakesRoomForATie(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.setReachable(true)
	f.ask("small", minute, 1, 2, 3, 4, 5, 6, 7)
	is.Equal(f.tied(), []uint64{2, 3, 4, 5})
	f.receive(f.session, &v1.EntryBatch{Cancels: []uint64{3}}, f.now) // granted in the other region
	is.Equal(f.tied(), []uint64{6})
	f.receive(f.session, &v1.EntryBatch{Done: []*v1.Done{{Seq: 1}}}, f.now) // demand 2 runs here
	is.Equal(f.tied(), []uint64{7})
}

func TestDemandsAreTiedOnlyToUsableDataCentres(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.setReachable(true)
	f.ask("large", minute, 1, 2)
	f.ask("small", minute, 3)
	is.Equal(f.tied(), []uint64{3})
}

func TestSharesGoToTheSchedulersOfOtherRegions(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.ask("small", minute, 1)
	shares := f.setReachable(true)
	is.Equal(len(shares), 1)
	message := shares[remoteAddress].Pools[0]
	is.Equal(message.Pool, uint32(poolID))
	is.Equal(message.Region, configtest.Region)
	is.Equal(message.SpareSlots, uint32(0)) // the one slot is in use
	is.Equal(message.Epoch, uint64(f.now.UnixNano()))
	reply := f.countersOf([]*v1.PoolCounters{message})
	is.True(reply.Pools[0].Version > message.Version)
}

// TestLateCountersChangeNothing delivers the free slots of two messages in the
// wrong order.
func TestLateCountersChangeNothing(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.setReachable(true)
	f.ask("small", minute, 1)
	for _, version := range []uint64{2, 1} {
		f.peerCounters([]*v1.PoolCounters{{Pool: uint32(poolID), Region: remoteRegion, Version: version, SpareSlots: 10 - uint32(version)}}, f.now)
	}
	is.Equal(f.pools[poolID].Status().PeerFreeSlots[remoteRegion], 8)
}
