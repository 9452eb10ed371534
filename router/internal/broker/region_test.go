package broker

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/config/configtest"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const remoteEngine = "engine-2"

// configure puts a configuration in force with two regions, each a data centre of its
// own. Workspace "small" belongs to dataCentre.
func (f *fixture) configure(t *testing.T, dataCentre string) {
	t.Helper()
	c := configtest.Valid()
	c.Zones[0].DataCentre = "dc-1"
	c.Zones = append(c.Zones, &v1.Zone{Name: "zone-s", Region: remoteRegion, DataCentre: "dc-2"})
	for i, g := range c.Targets[:2] {
		copied := proto.Clone(g).(*v1.Target)
		copied.Name, copied.Zone, copied.Address = []string{remoteEngine, "desk-2"}[i], "zone-s", []string{"127.0.0.1:7101", "127.0.0.1:7201"}[i]
		c.Targets = append(c.Targets, copied)
	}
	c.Workspaces[0].DataCentre = dataCentre
	payload, err := proto.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := config.Accept(2, payload)
	if err != nil {
		t.Fatal(err)
	}
	f.store.SetConfig(accepted)
}

// The workspace of a waiting demand moves to a data centre in another region. The
// scheduler that has the demand then has no target for it, and the demand must move
// too.
func TestWaitingDemandMovesWithItsWorkspace(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, member("a", homeRegion, 1), member("z", remoteRegion, 1))
	f.configure(t, "dc-1")
	r := f.acquire(time.Minute)
	f.configure(t, "dc-2")
	f.refuse("a", &v1.Refusal{Seq: r.seq, Code: v1.Code_NO_TARGET})
	is.Equal(r.answer(), reply{})
	is.Equal(seqs(f.sentTo("z").Demands), []uint64{r.seq})
	f.grant("z", r.seq, config.IDOf(remoteEngine))
	is.Equal(r.answer().target(), config.IDOf(remoteEngine))
}

func TestDemandWithoutTargetInAnyRegionIsRefused(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, member("a", homeRegion, 1), member("z", remoteRegion, 1))
	f.configure(t, "dc-2")
	r := f.acquire(time.Minute)
	r.demand.Exclude = []config.ID{config.IDOf(remoteEngine)}
	f.refuse("a", &v1.Refusal{Seq: r.seq, Code: v1.Code_NO_TARGET})
	is.Equal(r.answer().code(), v1.Code_NO_TARGET)
}

func TestDemandIsNotMovedOutsideItsDataCentre(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, member("a", homeRegion, 1), member("z", remoteRegion, 1))
	f.configure(t, "dc-1")
	r := f.acquire(time.Minute)
	f.refuse("a", &v1.Refusal{Seq: r.seq, Code: v1.Code_NO_TARGET})
	is.Equal(r.answer().code(), v1.Code_NO_TARGET)
}

// newMovedDemand returns a broker with a demand that went to the other region because
// the home region has no target for it.
func newMovedDemand(t *testing.T) (*fixture, *request) {
	f := newFixture(t, member("a", homeRegion, 1), member("z", remoteRegion, 1))
	f.configure(t, "dc-1")
	r := f.acquire(time.Minute)
	f.configure(t, "dc-2")
	f.refuse("a", &v1.Refusal{Seq: r.seq, Code: v1.Code_NO_TARGET})
	f.sentTo("a")
	return f, r
}

func TestMovedDemandReturnsToItsHomeRegionWhenTheOtherRegionIsLost(t *testing.T) {
	is := is.New(t)
	f, r := newMovedDemand(t)
	f.setFleet(member("a", homeRegion, 1))
	f.input(closedInput{f.links["z"], nil})
	is.Equal(r.answer(), reply{})
	is.Equal(seqs(f.sentTo("a").Demands), []uint64{r.seq})
	f.grant("a", r.seq, target1)
	is.Equal(r.answer().target(), target1)
}

func TestMovedDemandReturnsToItsHomeRegionWhenRefused(t *testing.T) {
	for _, code := range []v1.Code{v1.Code_NO_TARGET, v1.Code_NOT_READY, v1.Code_UNKNOWN_POOL, v1.Code_QUEUE_FULL} {
		is := is.New(t)
		f, r := newMovedDemand(t)
		f.refuse("z", &v1.Refusal{Seq: r.seq, Code: code})
		is.Equal(r.answer(), reply{})
		again := f.sentTo("a").Demands
		is.Equal(seqs(again), []uint64{r.seq})
		is.True(again[0].Moved)
		f.refuse("a", &v1.Refusal{Seq: r.seq, Code: code})
		is.Equal(r.answer().code(), code) // the refusal in the home region is final
	}
}

func TestMovedDemandExpiresInTheOtherRegion(t *testing.T) {
	is := is.New(t)
	f, r := newMovedDemand(t)
	f.refuse("z", &v1.Refusal{Seq: r.seq, Code: v1.Code_DEADLINE_EXCEEDED})
	is.Equal(r.answer().code(), v1.Code_DEADLINE_EXCEEDED)
}
