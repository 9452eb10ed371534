package control

import (
	"context"
	"errors"
	"time"

	"github.com/chiveseam/chiveseam/platform"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/requestkey"
)

// RunInstances is the duty that reads the platform's instance list. It asks
// for the list even when it is unchanged, since the time at which the list was
// true renews the right to execute keys chosen by callers.
func (c *Control) RunInstances(ctx context.Context) error {
	for ctx.Err() == nil {
		list, err := c.opts.Platform.Instances(ctx, c.listRevision(), c.opts.ListPoll)
		if errors.Is(err, platform.ErrUnchanged) {
			list, err = c.opts.Platform.Instances(ctx, 0, 0)
		}
		c.opts.Observer.PlatformCall("instances", outcome(err))
		if err != nil {
			sleep(ctx, retryDelay)
			continue
		}
		c.applyList(time.Now(), list)
	}
	return nil
}

func (c *Control) listRevision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.ListRevision()
}

func (c *Control) applyList(now time.Time, list *v1.InstanceList) {
	c.mu.Lock()
	c.view.ApplyList(now, list)
	c.mu.Unlock()
	c.opts.Keys.Observe(keyView(list))
	c.publishFleet()
}

// keyView returns the routers of the list that may own keys.
func keyView(list *v1.InstanceList) requestkey.View {
	asOf := time.UnixMilli(list.AsOfUnixMs)
	view := requestkey.View{Revision: list.Revision, FirstAsOf: asOf, LastAsOf: asOf}
	if list.PublishedUnixMs > 0 {
		view.FirstAsOf = time.UnixMilli(min(list.PublishedUnixMs, list.AsOfUnixMs))
	}
	for _, instance := range list.Instances {
		if !instance.IsTarget && instance.State == v1.InstanceState_LIVE {
			view.Routers = append(view.Routers, requestkey.Member{Name: instance.Name, Incarnation: instance.Incarnation})
		}
	}
	return view
}

// observeList lets the keys follow the list in force, which came from a peer.
// The caller holds the lock.
func (c *Control) observeList() {
	history := c.view.History(time.Now())
	for _, l := range history {
		view := requestkey.View{Revision: l.Revision, FirstAsOf: l.AsOf, LastAsOf: l.AsOf}
		for name, incarnation := range l.Routers {
			view.Routers = append(view.Routers, requestkey.Member{Name: name, Incarnation: incarnation})
		}
		c.opts.Keys.Observe(view)
	}
}

// RunKeyViews is the duty that learns from peers which lists decided about
// keys before this router knew one.
func (c *Control) RunKeyViews(ctx context.Context) error {
	asked := map[string]bool{}
	for ctx.Err() == nil {
		for _, m := range c.opts.Store.Fleet().Reachable {
			if m.Name == c.opts.Self.Name || asked[m.Name] {
				continue
			}
			reply, err := c.opts.Caller.KeyViews(ctx, m.PeerAddress)
			if err != nil {
				continue
			}
			asked[m.Name] = true
			c.opts.Keys.ObserveReply(reply)
		}
		sleep(ctx, retryDelay)
	}
	return nil
}
