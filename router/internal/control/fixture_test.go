package control

import (
	"context"
	"errors"
	"maps"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/chiveseam/chiveseam/config/configtest"
	"github.com/chiveseam/chiveseam/fleet"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/requestkey"
	"github.com/chiveseam/chiveseam/router/internal/state"
)

// callTimeout bounds each exchange, as the peer client of a router does.
const callTimeout = 2 * announceTimeout

var errDown = errors.New("no answer")

// network is a Caller that connects Controls in one process. Their names are their
// addresses.
type network struct {
	routers map[string]*Control

	mu sync.Mutex
	// exchanges counts the exchanges by receiver. received is the last value of
	// testGossip that each receiver got.
	exchanges map[string]int
	received  map[string]uint64
	// silent holds the routers that do not answer.
	silent map[string]bool
	// release blocks the exchanges until it is closed. If it is nil, they are not
	// blocked.
	release chan struct{}
}

func newNetwork(t *testing.T, names ...string) *network {
	t.Helper()
	n := &network{routers: map[string]*Control{}, received: map[string]uint64{}, silent: map[string]bool{}}
	for _, name := range names {
		n.routers[name] = n.newControl(name, &fakePlatform{})
	}
	n.resetCounts()
	return n
}

func (n *network) newControl(name string, platform *fakePlatform) *Control {
	self := state.Member{Name: name, Incarnation: 1, Zone: configtest.Zone, Region: configtest.Region, PeerAddress: name}
	return New(Options{
		Self:         self,
		Store:        state.NewStore(self),
		Platform:     platform,
		Caller:       n,
		Keys:         noKeys{},
		Observer:     noObserver{},
		Logger:       log.NewNopLogger(),
		Fleet:        fleet.DefaultOptions(),
		WatchWait:    10 * time.Second,
		FallbackPoll: time.Minute,
	})
}

// list returns the instance list that names all routers.
func (n *network) list() *v1.InstanceList {
	list := &v1.InstanceList{Revision: 1, AsOfUnixMs: time.Now().UnixMilli()}
	for name := range n.routers {
		list.Instances = append(list.Instances, &v1.Instance{
			Name: name, Incarnation: 1, Zone: configtest.Zone, PeerAddress: name, State: v1.InstanceState_LIVE,
		})
	}
	return list
}

// resetCounts sets the counts of exchanges to zero.
func (n *network) resetCounts() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.exchanges = map[string]int{}
}

// counts returns the number of exchanges since resetCounts by receiver.
func (n *network) counts() map[string]int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return maps.Clone(n.exchanges)
}

func (n *network) setSilent(name string, silent bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent[name] = silent
}

func (n *network) Exchange(ctx context.Context, address string, in *v1.PeerState) (*v1.PeerState, error) {
	n.mu.Lock()
	n.exchanges[address]++
	release, silent := n.release, n.silent[address]
	n.mu.Unlock()
	if silent {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if release != nil {
		<-release
	}
	n.mu.Lock()
	n.received[address] = in.SuspectsSeq
	n.mu.Unlock()
	return proto.CloneOf(n.routers[address].Exchange(proto.CloneOf(in))), nil
}

func (n *network) FetchConfiguration(_ context.Context, address string, minRevision uint64) (*v1.PublishedConfiguration, error) {
	if published, ok := n.routers[address].Configuration(minRevision); ok {
		return published, nil
	}
	return nil, errDown
}

func (n *network) KeyViews(context.Context, string) (*v1.KeyViewsReply, error) { return nil, errDown }

// run runs the loops of the named routers for the duration, in the synthetic time of
// synctest, and waits for their end.
func (n *network) run(is *is.I, d time.Duration, names ...string) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	var open sync.WaitGroup
	for _, name := range names {
		c := n.routers[name]
		for _, duty := range []func(context.Context) error{c.RunExchange, c.RunConfiguration, c.RunInstances} {
			open.Go(func() { is.NoErr(duty(ctx)) })
		}
	}
	open.Wait()
}

// fakePlatform publishes a fixed configuration and instance list. A call for one that is
// nil fails.
type fakePlatform struct {
	configuration *v1.PublishedConfiguration
	list          *v1.InstanceList
}

func (p *fakePlatform) Configuration(context.Context, uint64, time.Duration) (*v1.PublishedConfiguration, error) {
	if p.configuration == nil {
		return nil, errDown
	}
	return proto.CloneOf(p.configuration), nil
}

func (p *fakePlatform) Instances(context.Context, uint64, time.Duration) (*v1.InstanceList, error) {
	if p.list == nil {
		return nil, errDown
	}
	return proto.CloneOf(p.list), nil
}

type noKeys struct{}

func (noKeys) Observe(...requestkey.View)     {}
func (noKeys) ObserveReply(*v1.KeyViewsReply) {}

type noObserver struct{}

func (noObserver) PlatformCall(string, string) {}
func (noObserver) Configuration(uint64)        {}
func (noObserver) Rejected()                   {}
