// Package control keeps a router's view of the fleet and its configuration up to date. It
// reads the configuration and the instance list from the platform and exchanges state
// with other routers (packages fleet and rollout). It publishes the results in the
// state.Store, from which the other components read them.
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

// Caller calls other routers at their peer addresses. It is called concurrently.
type Caller interface {
	Exchange(ctx context.Context, address string, in *v1.PeerState) (*v1.PeerState, error)
	FetchConfiguration(ctx context.Context, address string, minRevision uint64) (*v1.PublishedConfiguration, error)
	KeyViews(ctx context.Context, address string) (*v1.KeyViewsReply, error)
}

// KeyObserver gets the instance lists that decide which router owns a request key. It is
// called concurrently.
type KeyObserver interface {
	// Observe adds instance lists from the platform or from another router.
	Observe(views ...requestkey.View)
	// ObserveReply adds the lists that another router knows.
	ObserveReply(reply *v1.KeyViewsReply)
}

// Gossip exchanges further state with other routers in the messages of Control. Its
// methods are called concurrently.
type Gossip interface {
	// Fill adds the state of this router to an outgoing message.
	Fill(out *v1.PeerState)
	// Merge takes in the state of another router.
	Merge(in *v1.PeerState)
}

// Observer counts calls to the platform and follows the configuration. It is called
// concurrently.
type Observer interface {
	// PlatformCall is called after each call to the platform. The resource is
	// "configuration" or "instances". The outcome is "changed", "unchanged",
	// "rate_limited" or "failed".
	PlatformCall(resource, outcome string)
	// Configuration is called when a configuration comes into force.
	Configuration(revision uint64)
	// Rejected is called when a configuration is rejected.
	Rejected()
}

// Options are the dependencies and intervals of a Control.
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
	// WatchWait is how long the platform may hold a watch open until the value changes.
	WatchWait time.Duration
	// FallbackPoll is the mean time between the reads of a router that does not watch the
	// platform.
	FallbackPoll time.Duration
	// ListPoll is the mean time between the reads of the instance list that renew this
	// router's right to begin request keys chosen by callers.
	ListPoll time.Duration
}

// Control owns a router's fleet view and its configuration tracker. It is safe for
// concurrent use.
type Control struct {
	opts   Options
	logger log.Logger

	// mu guards view and tracker.
	mu      sync.Mutex
	view    *fleet.View
	tracker *rollout.Tracker

	ready atomic.Bool
	// peerCallSlots bounds the number of calls to other routers that run for the tracker.
	peerCallSlots chan struct{}
	announcer     announcer
}

// New returns a control whose view contains only the router itself, without a
// configuration.
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
		opts:          opts,
		logger:        log.With(opts.Logger, "duty", "control"),
		view:          fleet.New(self, opts.Fleet),
		tracker:       rollout.New(rollout.DefaultOptions(), config.Accept, newRand()),
		peerCallSlots: make(chan struct{}, maxExchanges),
		announcer:     newAnnouncer(),
	}
}

// Stop marks this router as leaving, and sends the change to the routers that are due for
// a message. It returns when they have answered or failed.
func (c *Control) Stop(ctx context.Context) {
	c.mu.Lock()
	c.view.Stop(time.Now())
	c.mu.Unlock()
	c.publishFleet()
	c.exchangeDue(ctx)
}

// Listed reports whether the instance list in force contains this incarnation of the
// router as live.
func (c *Control) Listed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	lists := c.view.History(time.Now())
	if len(lists) == 0 {
		return false
	}
	return lists[len(lists)-1].Routers[c.opts.Self.Name] == c.opts.Self.Incarnation
}

// publishFleet puts the current view into the store if it differs from the view there.
// The caller must not hold mu.
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

// member adds the region to a router of the view. For a router in an unknown availability
// zone, it is the region of this router.
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
