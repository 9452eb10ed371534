package control

import (
	"context"
	"errors"
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/publisher"
	"github.com/chiveseam/chiveseam/requestkey"
)

// RunInstances is the duty that watches the platform's instance list.
func (c *Control) RunInstances(ctx context.Context) error {
	reader := c.newReader("instances")
	return c.runReader(ctx, reader, func(wait time.Duration) error {
		return c.readInstances(ctx, c.listRevision(), wait)
	})
}

// RunRenewal is the duty that reads the list even when it is unchanged: the
// time at which it was true renews the right to execute keys chosen by
// callers.
func (c *Control) RunRenewal(ctx context.Context) error {
	rng := newRand()
	for ctx.Err() == nil {
		pause := c.opts.ListPoll/2 + time.Duration(rng.Int64N(int64(c.opts.ListPoll)))
		sleep(ctx, pause)
		if err := c.readInstances(ctx, 0, 0); err != nil && ctx.Err() == nil {
			c.logError("instances_read_failed", err)
		}
	}
	return nil
}

func (c *Control) readInstances(ctx context.Context, after uint64, wait time.Duration) error {
	list, err := c.opts.Platform.Instances(ctx, after, wait)
	c.opts.Observer.PlatformCall("instances", outcome(err))
	if err == nil {
		c.applyList(time.Now(), list)
	}
	return err
}

func isUnchanged(err error) bool { return errors.Is(err, publisher.ErrUnchanged) }

func outcome(err error) string {
	switch {
	case err == nil:
		return "changed"
	case isUnchanged(err):
		return "unchanged"
	case errors.Is(err, publisher.ErrRateLimited):
		return "rate_limited"
	}
	return "failed"
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
	c.opts.Keys.Observe(requestkey.ViewFromList(list))
	c.publishFleet()
}

// observeList lets the keys follow the list in force, which came from a peer.
// The caller holds the lock.
func (c *Control) observeList() {
	history := c.view.History(time.Now())
	for _, l := range history {
		view := requestkey.View{Revision: l.Revision, FirstAsOf: l.AsOf, LastAsOf: l.AsOf}
		if l.Published.UnixMilli() > 0 && l.Published.Before(l.AsOf) {
			view.FirstAsOf = l.Published
		}
		for name, incarnation := range l.Routers {
			view.Routers = append(view.Routers, requestkey.Member{Name: name, Incarnation: incarnation})
		}
		c.opts.Keys.Observe(view)
	}
}

const retryDelay = time.Second

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
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
