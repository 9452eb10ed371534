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

// TestStreamOfAReplacedSessionEnds lets the streams of two sessions of one
// router arrive in either order: what is sent on the replaced one is ignored.
func TestStreamOfAReplacedSessionEnds(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	ended := false
	f.session.end = func() { ended = true }
	next := f.newSession(f.session.router, configtest.Zone, nil)
	next.end = func() {}
	f.handle(openInput{next}, f.now)
	is.True(ended)
	f.handle(closeInput{f.session}, f.now)
	is.Equal(f.sessions[next.router], next)
}

// TestStreamEndsWithoutAConfiguration lets a router connect to one that has
// just started.
func TestStreamEndsWithoutAConfiguration(t *testing.T) {
	is := is.New(t)
	store := state.NewStore(state.Member{Name: "a", Incarnation: 1})
	h := New(&tomb.Tomb{}, store, Options{})
	ended := false
	s := h.newSession(pool.Router{Name: "r", Incarnation: 1}, configtest.Zone, nil)
	s.end = func() { ended = true }
	h.handle(openInput{s}, time.Unix(1e9, 0))
	is.True(ended)
	is.Equal(len(h.sessions), 0)
}

// TestHelloBeforeItsPoolIsConfigured lets the router join with its first demand
// once the pool is there.
func TestHelloBeforeItsPoolIsConfigured(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	configured := f.store.Config()
	without := proto.CloneOf(configured.Proto)
	without.Pools = without.Pools[:1]
	without.Targets = without.Targets[:1]
	payload, err := proto.Marshal(without)
	is.NoErr(err)
	accepted, err := config.Accept(1, payload)
	is.NoErr(err)
	f.store.SetConfig(accepted)
	hello := &v1.Hello{Router: "r", Counters: []*v1.PoolCounters{{Pool: uint32(poolID)}}}
	f.receive(f.session, &v1.EntryBatch{Hello: hello}, f.now)
	f.store.SetConfig(configured)
	f.receive(f.session, &v1.EntryBatch{Demands: []*v1.Demand{{
		Seq: 1, Pool: uint32(poolID), Workspace: uint32(config.IDOf("small")), WaitMs: minute,
	}}}, f.now)
	is.Equal(len(f.session.out.Grants), 1)
}
