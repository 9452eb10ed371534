package edge

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/chiveseam/chiveseam/h1"
	"github.com/chiveseam/chiveseam/placement"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/routing"
)

// call is one request of a caller on its way through the router.
type call struct {
	edge      *Edge
	req       *h1.Request
	reply     *reply
	id        string
	arrived   time.Time
	table     *routing.Table
	route     *routing.Route
	workspace string
	service   string
	forward   h1.Header
	digest    uint64
	demand    placement.Demand
	// giveUp is the earlier of the caller's deadline and the route's timeout.
	giveUp time.Time
	// lastEvent is the ID of the last event that was passed on.
	lastEvent string
	// firstAfter is the time from the request's arrival to the answer's first bytes.
	firstAfter time.Duration
	// tried are the targets that got the request, or could not be reached.
	tried map[string]bool
	// sent counts the targets that got the request.
	sent int
	// mayHaveRun is set once an attempt ended without proof that it did not run.
	mayHaveRun bool
	// failed is the last error answer of a target.
	failed *answer
	log    log.Logger
}

// Retry-After of refusals that no prediction backs.
const (
	// notReadyRetry: a router reads its configuration within some hundred ms.
	notReadyRetry = 500 * time.Millisecond
	// busyRetry: a caller that comes back reaches another router.
	busyRetry = 100 * time.Millisecond
	// stoppingRetry: the balancer has taken a stopping router out.
	stoppingRetry = 100 * time.Millisecond
	// brokenRetry: a target that rejects or fails a request may take the next one.
	brokenRetry = 200 * time.Millisecond
	// suspectRetry: a request that crashed targets is not welcome soon.
	suspectRetry = 10 * time.Second
	// defaultWait is the time that a caller waits if neither it nor its route
	// states one.
	defaultWait = 30 * time.Second
)

// newCall takes the head of a request. It answers the request and returns false
// if no target gets it, before the body is read.
func (e *Edge) newCall(req *h1.Request, r *reply, arrived time.Time) (*call, bool) {
	c := &call{edge: e, req: req, reply: r, id: r.id, arrived: arrived}
	c.log = log.With(e.logger, "id", c.id)
	if !c.accept() {
		return c, false
	}
	c.prepare()
	return c, c.foreseen()
}

// serve answers a request whose body was read.
func (c *call) serve(ctx context.Context) {
	c.digest = digestOf(c.workspace, c.req.Target, c.req.Body)
	if !c.unsuspected() {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, c.giveUp)
	defer cancel()
	ctx, span := c.span(ctx)
	defer span.End()
	c.run(ctx)
}

// accept finds the route and the workspace. It answers requests that have none.
func (c *call) accept() bool {
	c.table = c.edge.table.Load()
	switch {
	case c.table == nil:
		c.refuse(v1.Code_NOT_READY, http.StatusServiceUnavailable, notReadyRetry, "no configuration")
		return false
	case c.edge.late.Load():
		c.reply.close = true
		c.refuse(v1.Code_STOPPING, http.StatusServiceUnavailable, stoppingRetry, "stopping")
		return false
	case c.edge.busy():
		c.refuse(v1.Code_ROUTER_BUSY, http.StatusServiceUnavailable, busyRetry, "router overloaded")
		return false
	}
	route, ok := c.table.Match(c.req.Header.Get("Host"), c.req.Path())
	if !ok {
		c.refuse(v1.Code_UNKNOWN_POOL, http.StatusNotFound, 0, "no route")
		return false
	}
	c.route = route
	key := c.req.Header.Get(c.edge.headers.APIKey)
	if c.workspace, ok = c.table.Workspace(route, key); !ok {
		c.refuse(v1.Code_UNKNOWN_TOKEN, http.StatusUnauthorized, 0, "unknown key")
		return false
	}
	return true
}

func (c *call) prepare() {
	names := &c.edge.headers
	wait := names.wait(c.req.Header)
	if wait == 0 {
		wait = defaultWait
	}
	if c.route.Timeout > 0 {
		wait = min(wait, c.route.Timeout)
	}
	c.giveUp = c.arrived.Add(wait)
	c.forward = names.forwarded(c.req.Header)
	c.tried = make(map[string]bool)
	c.demand = placement.Demand{
		Workspace: c.workspace,
		Parts:     names.parts(c.req.Header),
		Output:    names.output(c.req.Header),
		Want:      c.route.LatencyObjective,
		Excluded:  func(target string) bool { return c.tried[target] },
	}
}

// foreseen counts the request, and refuses it if no target would take it now.
func (c *call) foreseen() bool {
	e := c.edge
	e.mu.Lock()
	now := time.Now()
	c.service = c.route.Pick(rand.Float64(), func(s string) bool { return e.book.Usable(s, now) })
	c.demand.Service = c.service
	c.demand.Left = c.giveUp.Sub(now)
	e.budget(c.service).Requested(now)
	_, err := e.book.Choose(now, &c.demand)
	if !errors.Is(err, placement.ErrNoTarget) {
		e.book.Asked(now, &c.demand)
	}
	e.mu.Unlock()
	if err != nil {
		c.giveBack(err)
	}
	return err == nil
}

func (c *call) unsuspected() bool {
	c.edge.mu.Lock()
	refused := c.edge.suspects.refused(time.Now(), c.digest)
	c.edge.mu.Unlock()
	if refused {
		c.refuse(v1.Code_QUARANTINED, http.StatusServiceUnavailable, suspectRetry, "targets were lost with this request in flight")
	}
	return !refused
}

// run tries targets until the request is answered or given up.
func (c *call) run(ctx context.Context) {
	e := c.edge
	for tries := 1; ; tries++ {
		a, err := c.choose(tries)
		if err != nil {
			c.giveBack(err)
			return
		}
		f := a.run(ctx)
		e.ended(a, f)
		if !c.again(ctx, a, f) {
			return
		}
	}
}

// choose asks the book for a target and takes a place there.
func (c *call) choose(tries int) (*attempt, error) {
	e := c.edge
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	c.demand.Waited = now.Sub(c.arrived)
	c.demand.Left = c.giveUp.Sub(now)
	choice, err := e.book.Choose(now, &c.demand)
	if err != nil {
		return nil, err
	}
	a := &attempt{call: c, number: c.sent + 1, began: now}
	a.ticket = e.book.Begin(now, &c.demand, choice)
	a.target = e.directory.targets[choice.Target]
	a.fetchFrom = e.directory.targets[choice.Donor].Address
	c.tried[choice.Target] = true
	level.Info(log.With(c.log, standingFields(choice.Standing)...)).Log("event", "target_chosen", "route", c.route.Name, "version", c.table.Version,
		"workspace", c.workspace, "cost", c.demand.Cost(), "target", choice.Target, "try", tries, "unread", choice.Unread, "fetched", choice.Fetched,
		"backlog", choice.Backlog, "running", choice.Running, "slowness", math.Round(choice.Slowness*100)/100,
		"predicted_ms", choice.Predicted.Milliseconds(), "view_age_ms", choice.Age.Milliseconds())
	return a, nil
}

// maxUnsent bounds the targets that could not be connected to, for one request.
const maxUnsent = 4

// again decides whether another target is tried after an attempt, and answers
// the caller if not.
func (c *call) again(ctx context.Context, a *attempt, f fate) bool {
	c.logAttempt(a, f)
	switch f {
	case answered:
		return false
	case abandoned:
		c.abandon(ctx)
		return false
	case notSent:
		if len(c.tried)-c.sent <= maxUnsent {
			return true
		}
	case rejected:
		c.sent++
	case lost, failing:
		c.sent++
		c.mayHaveRun = true
		c.failed = a.answer
	}
	if ctx.Err() != nil || c.timeOver() {
		c.abandon(ctx)
		return false
	}
	if why := c.hindrance(); why != "" {
		c.giveBack(errors.New(why))
		return false
	}
	c.demand.Repeated = true
	return true
}

// hindrance says why a request that was sent may not be sent again.
func (c *call) hindrance() string {
	switch {
	case c.mayHaveRun && !c.mayRepeat():
		return "may have run"
	case c.sent >= c.route.MaxAttempts:
		return "no attempts left"
	case c.reply.begun && c.route.RetryPolicy != routing.Resumable:
		return "answer begun"
	}
	c.edge.mu.Lock()
	defer c.edge.mu.Unlock()
	now := time.Now()
	if c.edge.suspects.refused(now, c.digest) {
		return "targets were lost with this request in flight"
	}
	if !c.edge.budget(c.service).Take(now) {
		return "retry budget used up"
	}
	return ""
}

func (c *call) mayRepeat() bool { return c.route.RetryPolicy != routing.AtMostOnce }
