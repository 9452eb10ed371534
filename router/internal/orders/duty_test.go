package orders_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/config/configtest"
	"github.com/chiveseam/chiveseam/internal/standin/engine"
	public "github.com/chiveseam/chiveseam/orders"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/router/internal/orders"
	"github.com/chiveseam/chiveseam/router/internal/state"
)

// observer records the latest counts.
type observer struct {
	mu      sync.Mutex
	orders  map[string]int
	engines map[string]int
	changed chan struct{}
}

func newObserver() *observer {
	return &observer{orders: map[string]int{}, engines: map[string]int{}, changed: make(chan struct{}, 1)}
}

func (o *observer) OrderEnded(kind, outcome string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.orders[kind+" "+outcome]++
}

func (o *observer) Engines(condition string, count int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.engines[condition] = count
	select {
	case o.changed <- struct{}{}:
	default:
	}
}

// await waits until no engine differs after the number of loaded adapters.
func (o *observer) await(adapters int) {
	for range o.changed {
		o.mu.Lock()
		reached := o.orders["load_adapter done"] == adapters && o.engines["differing"] == 0
		o.mu.Unlock()
		if reached {
			return
		}
	}
}

func accept(t *testing.T, revision uint64, version, address string) *config.Accepted {
	t.Helper()
	c := configtest.Valid()
	c.WeightStore = &v1.WeightStore{MaxConcurrentLoads: 1, BytesPerSecond: 1 << 30}
	c.Pools[0].Model = &v1.ModelState{Version: version, WeightBytes: 1 << 20, Adapters: []string{"legal"}}
	c.Targets[0].Role = "mixed"
	c.Targets[0].Address = address
	c.Targets[0].ChecksFencing = true
	payload, err := proto.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := config.Accept(revision, payload)
	if err != nil {
		t.Fatal(err)
	}
	return accepted
}

// TestEngineFollowsConfiguration runs the duty against the engine stand-in.
func TestEngineFollowsConfiguration(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(engine.New(engine.Settings{ChecksFencing: true}).Handler())
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	store := state.NewStore(state.Member{Name: "router-1", Zone: configtest.Zone, Region: configtest.Region})
	seen := newObserver()
	client := orders.NewHTTP(time.Second)
	duty := orders.New(store, client, seen, log.NewNopLogger(), orders.Settings{SuspectAfter: time.Millisecond})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- duty.Run(ctx) }()

	for i, version := range []string{"v1", "v2"} {
		revision := i + 1
		store.SetConfig(accept(t, uint64(revision), version, address))
		seen.await(revision)
		reported, err := client.State(ctx, address)
		is.NoErr(err)
		is.Equal(reported.Version, version)
		is.Equal(reported.Adapters, []string{"legal"})
		is.Equal(reported.Role, "mixed")
		is.Equal(reported.Fencing.Revision(), uint64(revision))
	}
	cancel()
	is.NoErr(<-ended)
	is.Equal(seen.orders, map[string]int{"load_model done": 2, "load_adapter done": 2, "set_role done": 1})
	_, err := client.Order(context.Background(), address, public.Order{Kind: public.SetRole, Role: "old", Fencing: 1})
	is.True(errors.Is(err, orders.ErrRefused))
}

// silentEngines never answers orders.
type silentEngines struct{}

func (silentEngines) State(context.Context, string) (public.State, error) {
	return public.State{}, nil
}

func (silentEngines) Order(ctx context.Context, _ string, _ public.Order) (public.State, error) {
	<-ctx.Done()
	return public.State{}, ctx.Err()
}

// TestSilentEngineIsTriedAgain checks in virtual time that an order without an
// answer ends, is counted and sent again.
func TestSilentEngineIsTriedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := state.NewStore(state.Member{Name: "router-1", Zone: configtest.Zone, Region: configtest.Region})
		store.SetConfig(accept(t, 1, "v1", "127.0.0.1:1"))
		seen := newObserver()
		duty := orders.New(store, silentEngines{}, seen, log.NewNopLogger(), orders.Settings{SuspectAfter: time.Second})
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
		defer cancel()
		is.NoErr(duty.Run(ctx))
		is.True(seen.orders["set_role unknown"] > 2)
		is.Equal(seen.engines["failing"], 1)
	})
}
