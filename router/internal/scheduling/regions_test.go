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
	remoteAddress = "127.0.0.1:9" // Nothing connects to it.
	minuteMs      = 60_000
)

var poolID = config.IDOf(configtest.ServicePool)

// fixture is a Host with the session of one entry router. The test calls the methods of
// the loop's goroutine itself, in place of Host.Run.
type fixture struct {
	*Host
	session *Session
	now     time.Time
}

// newFixture returns the host of a router "a" in a region with one slot of the pool. A
// router "z" in another region is reachable, where the pool has a target in data centre
// dc-2. Workspace large is restricted to data centre dc-1, that of the host's region.
// changes may alter the configuration.
func newFixture(t *testing.T, changes ...func(*v1.Configuration)) *fixture {
	t.Helper()
	c := configtest.Valid()
	c.Zones[0].DataCentre = "dc-1"
	c.Zones = append(c.Zones, &v1.Zone{Name: "zone-s", Region: remoteRegion, DataCentre: "dc-2"})
	for _, g := range c.Targets {
		g.Slots = 1
	}
	remote := proto.Clone(c.Targets[1]).(*v1.Target)
	remote.Name, remote.Zone, remote.Address = "desk-2", "zone-s", "127.0.0.1:7201"
	c.Targets = append(c.Targets, remote)
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
	f.session.endStream = func() {}
	f.handle(openInput{f.session}, f.now)
	return f
}

// A router sends its Hello to a scheduler that has no configuration yet. Its demands are
// refused for the time being. Once a configuration is in force, the next demand must be
// granted without a second Hello.
func TestHelloBeforeAnyConfiguration(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	accepted := f.store.Config()
	f.store.SetConfig(nil)
	is.True(!f.Configured())
	hello := &v1.Hello{Router: "r", Counters: []*v1.PoolCounters{{Pool: uint32(poolID)}}}
	f.receive(f.session, &v1.EntryBatch{Hello: hello}, f.now)
	f.sendDemands("small", minuteMs, 1)
	is.Equal(f.session.out.Refusals[0].Code, v1.Code_NO_TARGET)
	f.store.SetConfig(accepted)
	f.now = f.now.Add(settleTime)
	f.receive(f.session, &v1.EntryBatch{Demands: []*v1.Demand{{
		Seq: 2, Pool: uint32(poolID), Workspace: uint32(config.IDOf("small")), WaitMs: minuteMs,
	}}}, f.now)
	is.Equal(len(f.session.out.Grants), 1)
}

// sendDemands sends demands of a workspace, and drops the grants from the batch to the
// router.
func (f *fixture) sendDemands(workspace string, waitMs uint32, seqs ...uint64) {
	for _, seq := range seqs {
		f.receive(f.session, &v1.EntryBatch{Demands: []*v1.Demand{{
			Seq: seq, Pool: uint32(poolID), Workspace: uint32(config.IDOf(workspace)), WaitMs: waitMs,
		}}}, f.now)
	}
	f.session.out.Grants = nil
}

// setReachable sets whether the other region can be reached, and returns the counters of
// one exchange.
func (f *fixture) setReachable(reachable bool) map[string]*v1.CountersShare {
	fleet := *f.store.Fleet()
	fleet.Reachable = []state.Member{fleet.Self}
	if reachable {
		fleet.Reachable = append(fleet.Reachable, state.Member{Name: "z", Region: remoteRegion, PeerAddress: remoteAddress, Incarnation: 1})
	}
	f.store.SetFleet(&fleet)
	return f.collectCounters(f.now)
}

// takeTied returns the demands that were tied since the last call.
func (f *fixture) takeTied() []uint64 {
	var seqs []uint64
	for _, c := range f.session.out.Ties {
		if c.Region == remoteRegion {
			seqs = append(seqs, c.Seq)
		}
	}
	f.session.out.Ties = nil
	return seqs
}

// Demands that wait are tied in another region whenever it is reachable: those that
// waited before it became reachable, and those that arrived while it was not. After an
// interruption all are tied again.
func TestWaitingDemandsAreTiedToAReachableRegion(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.setReachable(false)
	f.sendDemands("small", minuteMs, 1, 2, 3) // demand 1 runs here
	is.Equal(len(f.takeTied()), 0)
	f.setReachable(true)
	is.Equal(f.takeTied(), []uint64{2, 3})
	f.sendDemands("small", minuteMs, 4)
	is.Equal(f.takeTied(), []uint64{4})
	f.setReachable(false)
	f.sendDemands("small", minuteMs, 5)
	is.Equal(len(f.takeTied()), 0)
	f.setReachable(true)
	is.Equal(f.takeTied(), []uint64{2, 3, 4, 5})
}

// A workspace has a limited number of tied demands. If one of them is granted, in the
// other region or here, the next waiting demand must be tied in its place.
func TestNextDemandIsTiedWhenATiedOneIsWithdrawn(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.setReachable(true)
	f.sendDemands("small", minuteMs, 1, 2, 3, 4, 5, 6, 7)
	is.Equal(f.takeTied(), []uint64{2, 3, 4, 5})
	f.receive(f.session, &v1.EntryBatch{Cancels: []uint64{3}}, f.now) // granted in the other region
	is.Equal(f.takeTied(), []uint64{6})
	f.receive(f.session, &v1.EntryBatch{Done: []*v1.Done{{Seq: 1}}}, f.now) // demand 2 runs here
	is.Equal(f.takeTied(), []uint64{7})
}

// A demand of a workspace that is restricted to a data centre must not be tied in a
// region without targets in that data centre.
func TestDemandsAreTiedOnlyToUsableDataCentres(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.setReachable(true)
	f.sendDemands("large", minuteMs, 1, 2)
	f.sendDemands("small", minuteMs, 3)
	is.Equal(f.takeTied(), []uint64{3})
}

// An exchange sends one message for the pool, to the scheduler in the other region. The
// answer to an exchange has a higher version than an earlier message, so that the
// receiver does not ignore it.
func TestCountersGoToTheSchedulersOfOtherRegions(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.sendDemands("small", minuteMs, 1)
	shares := f.setReachable(true)
	is.Equal(len(shares), 1)
	message := shares[remoteAddress].Pools[0]
	is.Equal(message.Pool, uint32(poolID))
	is.Equal(message.Region, configtest.Region)
	is.Equal(message.SpareSlots, uint32(0)) // the one slot is in use
	is.Equal(message.Epoch, uint64(f.now.UnixNano()))
	reply := f.buildCounters([]*v1.PoolCounters{message})
	is.True(reply.Pools[0].Version > message.Version)
}

// Messages with counters may arrive in another order than they were sent. An older one
// must not replace the number of free slots of a newer one.
func TestOutdatedPeerCountersAreIgnored(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.setReachable(true)
	f.sendDemands("small", minuteMs, 1)
	for _, version := range []uint64{2, 1} {
		f.mergePeerCounters([]*v1.PoolCounters{{Pool: uint32(poolID), Region: remoteRegion, Version: version, SpareSlots: 10 - uint32(version)}}, f.now)
	}
	is.Equal(f.schedulers[poolID].Status().PeerFreeSlots[remoteRegion], 8)
}
