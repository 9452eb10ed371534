// Package control keeps a router's view of the fleet and its configuration up
// to date: it reads the platform, exchanges state with other routers, and
// publishes both through the state store.
package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/fleet"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/publisher"
	"github.com/chiveseam/chiveseam/requestkey"
	"github.com/chiveseam/chiveseam/rollout"
	"github.com/chiveseam/chiveseam/router/internal/state"
)

// Caller reaches other routers.
type Caller interface {
	Exchange(ctx context.Context, address string, in *v1.PeerState) (*v1.PeerState, error)
	FetchConfiguration(ctx context.Context, address string, minRevision uint64) (*v1.PublishedConfiguration, error)
	KeyViews(ctx context.Context, address string) (*v1.KeyViewsReply, error)
}

// KeyObserver follows the instance lists that decide about request keys.
type KeyObserver interface {
	Observe(views ...requestkey.View)
	ObserveReply(reply *v1.KeyViewsReply)
}

// Gossip adds to the messages between routers and takes in what they carry.
type Gossip interface {
	Fill(out *v1.PeerState)
	Merge(in *v1.PeerState)
}

// Observer is told of calls of the platform and of configurations.
type Observer interface {
	PlatformCall(resource, outcome string)
	Configuration(revision uint64)
	Rejected()
}

// Options are the parts and intervals of a Control.
type Options struct {
	Self     state.Member
	Store    *state.Store
	Platform publisher.Source
	Caller   Caller
	Keys     KeyObserver
	Gossip   []Gossip
	Observer Observer
	Logger   log.Logger
	Fleet    fleet.Options
	// WatchWait is how long the platform may hold a watch open.
	WatchWait time.Duration
	// FallbackPoll is the time between reads of a router that is no watcher.
	FallbackPoll time.Duration
	// ListPoll is the time between reads of the instance list that renew the
	// right to execute keys chosen by callers.
	ListPoll time.Duration
}

// Control owns the view and the configuration. It is safe for concurrent use.
type Control struct {
	opts   Options
	logger log.Logger

	mu      sync.Mutex
	view    *fleet.View
	tracker *rollout.Tracker

	ready atomic.Bool
	// calls bounds the calls of peers that the tracker asks for.
	calls     chan struct{}
	announcer announcer
}

// New returns a control that knows only the router itself.
func New(opts Options) *Control {
	self := &v1.Instance{
		Name:         opts.Self.Name,
		Incarnation:  opts.Self.Incarnation,
		Zone:         opts.Self.Zone,
		PeerAddress:  opts.Self.PeerAddress,
		EntryAddress: opts.Self.EntryAddress,
		AdminAddress: opts.Self.AdminAddress,
		State:        v1.InstanceState_LIVE,
	}
	return &Control{
		opts:      opts,
		logger:    log.With(opts.Logger, "duty", "control"),
		view:      fleet.New(self, opts.Fleet),
		tracker:   rollout.New(rollout.DefaultOptions(), config.Accept, newRand()),
		calls:     make(chan struct{}, maxExchanges),
		announcer: newAnnouncer(),
	}
}

// Stop marks the router as leaving and tells its neighbours at once.
func (c *Control) Stop(ctx context.Context) {
	c.mu.Lock()
	c.view.Stop(time.Now())
	c.mu.Unlock()
	c.publishFleet()
	c.exchangeDue(ctx)
}

// Listed reports whether the instance list in force has this router as live.
func (c *Control) Listed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	lists := c.view.History(time.Now())
	if len(lists) == 0 {
		return false
	}
	return lists[len(lists)-1].Routers[c.opts.Self.Name] == c.opts.Self.Incarnation
}

// publishFleet replaces the store's view if it changed.
func (c *Control) publishFleet() {
	c.mu.Lock()
	reachable := c.view.Reachable()
	known := c.view.Known()
	leaving := c.view.LeavingTargets()
	c.mu.Unlock()
	next := &state.Fleet{
		Self:           c.opts.Self,
		Known:          make(map[string]state.Member, len(known)),
		LeavingTargets: make(map[config.ID]bool, len(leaving)),
	}
	for _, m := range reachable {
		next.Reachable = append(next.Reachable, c.member(m))
	}
	for _, m := range known {
		next.Known[m.Name] = c.member(m)
	}
	for _, name := range leaving {
		next.LeavingTargets[config.IDOf(name)] = true
	}
	if !next.Equal(c.opts.Store.Fleet()) {
		c.opts.Store.SetFleet(next)
	}
}

func (c *Control) member(m fleet.Member) state.Member {
	region := c.opts.Self.Region
	if accepted := c.opts.Store.Config(); accepted != nil {
		if zone, ok := accepted.Zone(m.Zone); ok {
			region = zone.Region
		}
	}
	return state.Member{
		Name:         m.Name,
		Incarnation:  m.Incarnation,
		Zone:         m.Zone,
		Region:       region,
		PeerAddress:  m.PeerAddress,
		EntryAddress: m.EntryAddress,
		AdminAddress: m.AdminAddress,
	}
}

func (c *Control) logError(event string, err error) {
	level.Warn(c.logger).Log("event", event, "error", err)
}
