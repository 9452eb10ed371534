package control

import (
	"context"
	"errors"
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/publisher"
	"github.com/chiveseam/chiveseam/requestkey"
)

// RunInstances watches the platform's instance list until the context ends. It returns
// nil.
func (c *Control) RunInstances(ctx context.Context) error {
	reader := c.newReader("instances")
	return c.runReader(ctx, reader, func(wait time.Duration) error {
		return c.readInstances(ctx, c.listRevision(), wait)
	})
}

// RunListRenewal reads the instance list about every Options.ListPoll, even if it has not
// changed, until the context ends. The time at which a list was current, by the
// platform's clock, renews this router's right to begin request keys chosen by callers.
// The pauses vary between half and one and a half times ListPoll, so that the routers do
// not read at the same time. It returns nil.
func (c *Control) RunListRenewal(ctx context.Context) error {
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

// readInstances reads the instance list and applies it. With a revision after other than
// zero, the platform answers with publisher.ErrUnchanged if the list has no later
// revision within wait.
func (c *Control) readInstances(ctx context.Context, after uint64, wait time.Duration) error {
	list, err := c.opts.Platform.Instances(ctx, after, wait)
	c.opts.Observer.PlatformCall("instances", outcome(err))
	if err == nil {
		c.applyList(time.Now(), list)
	}
	return err
}

func isUnchanged(err error) bool { return errors.Is(err, publisher.ErrUnchanged) }

// outcome returns the outcome of a call to the platform for Observer.PlatformCall.
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

// observeListHistory passes the list in force, which came from another router, to
// Options.Keys, which decides by it who owns a request key. The caller holds mu.
func (c *Control) observeListHistory() {
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

// keyViewsInterval is the time between two rounds of calls in RunKeyViews.
const keyViewsInterval = time.Second

// sleep waits for the duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// RunKeyViews asks each reachable router once, until it has answered, for the instance
// lists that decided which router owns a request key before this router knew a list. It
// returns nil when the context ends.
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
		sleep(ctx, keyViewsInterval)
	}
	return nil
}
