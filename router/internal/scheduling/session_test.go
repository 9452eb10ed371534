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

// A router that reconnects has two streams for a while, whose ends may arrive in either
// order. The new session must end the stream of the old one, and the late close of the
// old session must not remove the new one.
func TestReplacedSessionIsClosedAndIgnored(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	ended := false
	f.session.endStream = func() { ended = true }
	next := f.newSession(f.session.router, configtest.Zone, nil)
	next.endStream = func() {}
	f.handle(openInput{next}, f.now)
	is.True(ended)
	f.handle(closeInput{f.session}, f.now)
	is.Equal(f.sessions[next.router], next)
}

// A router connects to one that has just started and has no configuration. The stream
// must end, so that the router tries another scheduler.
func TestStreamEndsWithoutAConfiguration(t *testing.T) {
	is := is.New(t)
	store := state.NewStore(state.Member{Name: "a", Incarnation: 1})
	h := New(&tomb.Tomb{}, store, Options{})
	ended := false
	s := h.newSession(pool.Router{Name: "r", Incarnation: 1}, configtest.Zone, nil)
	s.endStream = func() { ended = true }
	h.handle(openInput{s}, time.Unix(1e9, 0))
	is.True(ended)
	is.Equal(len(h.sessions), 0)
}

// A Hello names a pool that is not in the configuration in force here yet. Once the pool
// is configured, the first demand must join the router to its scheduler and be granted.
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
		Seq: 1, Pool: uint32(poolID), Workspace: uint32(config.IDOf("small")), WaitMs: minuteMs,
	}}}, f.now)
	is.Equal(len(f.session.out.Grants), 1)
}
