package edge

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/chiveseam/chiveseam/h1"
	"github.com/chiveseam/chiveseam/linkbudget"
	"github.com/chiveseam/chiveseam/placement"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/routing"
	"github.com/chiveseam/chiveseam/streams"
)

// call is one request of a caller while the router processes it. Only the goroutine of the caller's
// connection uses it.
type call struct {
	edge  *Edge
	req   *h1.Request
	reply *reply
	// id is the caller's request ID.
	id string
	// arrived is when the request came from the network, and queued the time until it was read.
	arrived   time.Time
	queued    time.Duration
	table     *routing.Table
	route     *routing.Route
	workspace string
	// service is the service that the route picked for the request.
	service string
	// forwardHeader holds the fields of the caller's request that targets receive.
	forwardHeader h1.Header
	// digest identifies the request when its caller sends it again; see digestOf.
	digest uint64
	demand placement.Demand
	// sharedParts holds the IDs of the prompt's parts but for the last one.
	sharedParts []uint64
	// deadline is the earlier of the caller's deadline and the route's timeout.
	deadline time.Time
	// linkExpected are the bytes that the link budget counts for forwarding the request and its
	// answer, beyond those of the request's arrival.
	linkExpected linkbudget.Bytes
	// lastEventID is the ID of the last event of a resumable stream that the caller received, and
	// unidentified is set if it received an event without ID after that: a target that continues the stream repeats it.
	lastEventID  string
	unidentified bool
	// halfEnd is set if the last event that the caller received may lack the second half of its line end: to a reader that knows
	// only line feeds, the next event would be part of it.
	halfEnd bool
	// suspectedGap is where a target seems to have left events out of the stream; nil if none has.
	suspectedGap *streams.Gap
	// lastDoubtful is set if the ID of the last event that the caller received may be wrong, so that the stream cannot go on
	// from there.
	lastDoubtful bool
	// suspectedForm is where a target seems to deviate from the form of the service's streams; nil if none has.
	suspectedForm *streams.Deviation
	// gapPassed is set if events are missing among those that the caller received.
	gapPassed bool
	// stream identifies a resumable stream, and originService is the service that began it, if the
	// request takes it up and the route leads there; "" otherwise.
	stream        streams.ID
	originService string
	// movedVersion is the version at which the stream began that the request takes up, if the route no longer leads to the
	// service of that and the stream has not gone on at another one yet; 0 otherwise.
	movedVersion uint32
	// originUnknown is set if nobody knows at which version the stream began that the request takes up or has begun.
	originUnknown bool
	// originRecordedAt is when the origin of the stream was last recorded; zero before its first event.
	originRecordedAt time.Time
	// firstByteLatency is the time from the request's arrival to the first bytes of the answer's
	// body; 0 before they have come.
	firstByteLatency time.Duration
	// tried holds the IDs of the targets that were chosen, including those that could not be
	// connected to.
	tried map[string]bool
	// sentOn holds the connections on which the request was sent.
	sentOn []*upstream
	// sentCount is the number of targets that received the request.
	sentCount int
	// targetsLost is set once a target was lost with the request.
	targetsLost bool
	// mayHaveRun is set once an attempt ended without proof that the target did not run it.
	mayHaveRun bool
	// errorAnswer is the error answer of the last attempt that may have run, and errorHold its memory; nil if it had
	// none or was given up.
	errorAnswer atomic.Pointer[answer]
	errorHold   *hold
	// bodyHold is the memory of the request's body.
	bodyHold *hold
	// refusal says why no target gets the request; nil before it is refused.
	refusal *placement.Refusal
	log     log.Logger
}

// Retry-After values of refusals without a predicted wait, and the default time limit.
const (
	// notReadyRetryAfter: a router reads its configuration within a few hundred milliseconds.
	notReadyRetryAfter = 500 * time.Millisecond
	// busyRetryAfter: a retry reaches another router.
	busyRetryAfter = 100 * time.Millisecond
	// linkRetryAfter: the callers of a full link must come back later, since each request takes from
	// what the link carries.
	linkRetryAfter = time.Second
	// stoppingRetryAfter: the load balancer has removed a stopping router from its rotation.
	stoppingRetryAfter = 100 * time.Millisecond
	// targetFailureRetryAfter: a target that rejects or fails one request may accept the next.
	targetFailureRetryAfter = 200 * time.Millisecond
	// suspectRetryAfter: a request during which targets crashed must not be repeated soon.
	suspectRetryAfter = 10 * time.Second
	// defaultTimeout limits a request whose caller states no deadline. The route's timeout may
	// shorten it.
	defaultTimeout = 30 * time.Second
)

// newCall decides from the head of a request whether a target can take it. If not, it answers the
// request and returns false, before the body is read.
func (e *Edge) newCall(req *h1.Request, r *reply, arrived time.Time) (*call, bool) {
	c := &call{edge: e, req: req, reply: r, id: r.id, arrived: arrived, queued: time.Since(arrived)}
	c.log = log.With(e.logger, "id", c.id)
	if !c.resolveRoute() {
		c.countRefused()
		return c, false
	}
	c.parseHeader()
	return c, c.checkDeadline() && c.checkPrompt() && c.resolveOrigin() && c.admit()
}

// serve answers a request whose body has been read.
func (c *call) serve(ctx context.Context) {
	defer c.settleLink()
	defer func() {
		c.errorHold.close()
		c.bodyHold.close()
	}()
	c.forwardHeader = c.edge.headers.forwarded(c.req.Header)
	c.digest = digestOf(c.workspace, c.req.Target, c.req.Body)
	if !c.checkDigest() {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	ctx, span := c.span(ctx)
	defer span.End()
	c.runAttempts(ctx)
}

// resolveRoute sets the configuration table, the route and the workspace of the request. It answers
// the request and returns false if one of them is missing or the router takes no requests now.
func (c *call) resolveRoute() bool {
	c.table = c.edge.table.Load()
	switch {
	case c.table == nil || c.edge.startsBehind():
		c.refuse(v1.Code_NOT_READY, http.StatusServiceUnavailable, notReadyRetryAfter, "no configuration")
		return false
	case c.edge.refuseNew.Load():
		c.refuseStopping()
		return false
	case c.edge.overloaded(rand.Float64()):
		c.refuse(v1.Code_ROUTER_BUSY, http.StatusServiceUnavailable, busyRetryAfter, "router overloaded")
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

// parseHeader sets the deadline and the demand from the request's header.
func (c *call) parseHeader() {
	names := &c.edge.headers
	wait := names.callerTimeout(c.req.Header)
	if wait == 0 {
		wait = defaultTimeout
	}
	if c.route.Timeout > 0 {
		wait = min(wait, c.route.Timeout)
	}
	c.deadline = c.arrived.Add(wait)
	c.tried = make(map[string]bool)
	c.demand = placement.Demand{
		Workspace:        c.workspace,
		Parts:            names.promptParts(c.req.Header),
		MaxOutputTokens:  names.maxOutputTokens(c.req.Header),
		LatencyObjective: c.route.LatencyObjective,
		Excluded:         func(target string) bool { return c.tried[target] },
		Regions:          c.table.AllowedRegions(c.route, c.workspace),
	}
	c.sharedParts = sharedParts(c.demand.Parts)
}

// admit picks the service, counts the request for the retry budget and the workspace's share, and
// refuses it if no target would accept it now. Requests of a service without usable targets do not
// count for the share.
func (c *call) admit() bool {
	e := c.edge
	e.mu.Lock()
	now := time.Now()
	if wait, ok := c.admitToLink(now); !ok {
		e.mu.Unlock()
		c.refuse(v1.Code_ROUTER_BUSY, http.StatusServiceUnavailable, max(wait, linkRetryAfter), "network link full")
		return false
	}
	c.service = c.originService
	if c.service == "" {
		c.service = c.pickService(now)
	}
	if !c.pinVersion() {
		c.releaseLink(now)
		e.mu.Unlock()
		c.refuseUnknownOrigin()
		return false
	}
	c.demand.Service = c.service
	c.demand.Waited = now.Sub(c.arrived)
	c.demand.Remaining = c.deadline.Sub(now)
	e.retryBudget(c.service).RecordRequest(now)
	err := e.balancer.Admit(now, &c.demand)
	if err != nil {
		c.releaseLink(now)
	}
	e.mu.Unlock()
	if err != nil {
		c.finishWithError(err)
	}
	return err == nil
}

// pickService picks a service of the route that has a usable target. If the stream that the request takes up began at another
// one, it goes on at its version where there is a service with that. The caller holds e.mu.
func (c *call) pickService(now time.Time) string {
	pick := func(version uint32) (service string, usable bool) {
		hasTarget := func(s string) bool { return c.edge.balancer.HasUsableTargetIn(c.demand.Regions, s, version, now) }
		service = c.route.Pick(rand.Float64(), hasTarget)
		return service, hasTarget(service)
	}
	if c.movedVersion != 0 {
		if service, usable := pick(c.movedVersion); usable {
			c.demand.Version = c.movedVersion
			return service
		}
	}
	service, _ := pick(0)
	return service
}

// checkDeadline refuses a request that was read after its deadline, and then returns false.
func (c *call) checkDeadline() bool {
	if c.deadlinePassed() {
		c.refuse(v1.Code_WAIT_EXCEEDS_DEADLINE, http.StatusServiceUnavailable, busyRetryAfter, "read after its deadline")
		return false
	}
	return true
}

// checkPrompt refuses a request whose prompt crashes targets, and then returns false. It comes before
// admit, so that the request does not count for the share of its workspace.
func (c *call) checkPrompt() bool {
	refused := c.edge.promptRefused(c.sharedParts)
	if refused {
		c.log = log.With(c.log, "prompt_parts", c.promptPartsText())
		c.refuse(v1.Code_QUARANTINED, http.StatusServiceUnavailable, suspectRetryAfter, "prompt crashes targets")
	}
	return !refused
}

// checkDigest refuses a request with which too many targets were lost, and then returns false.
func (c *call) checkDigest() bool {
	c.edge.mu.Lock()
	refused := c.edge.poison.RequestRefused(time.Now(), c.digest)
	c.edge.mu.Unlock()
	if refused {
		c.refuse(v1.Code_QUARANTINED, http.StatusServiceUnavailable, suspectRetryAfter, "targets were lost with this request in flight")
	}
	return !refused
}

// runAttempts tries targets until the request is answered or must not be tried again.
func (c *call) runAttempts(ctx context.Context) {
	e := c.edge
	for tries := 1; ; tries++ {
		a, err := c.choose(tries)
		if err != nil {
			c.finishWithError(err)
			return
		}
		outcome := a.run(ctx)
		a.checkCrash()
		e.recordEnd(a, outcome)
		again := c.retryOrFinish(ctx, a, outcome)
		if a.hold != c.errorHold {
			a.hold.close()
		}
		if !again {
			return
		}
	}
}

// choose selects a target and registers the new attempt with the placement balancer. The error is
// errStopping or a *placement.Refusal.
func (c *call) choose(tries int) (*attempt, error) {
	e := c.edge
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if !e.mayAttempt(now, tries, c.route.LatencyObjective) {
		return nil, errStopping
	}
	c.demand.Waited = now.Sub(c.arrived)
	c.demand.Remaining = c.deadline.Sub(now)
	choice, err := e.balancer.Choose(now, &c.demand)
	if err != nil {
		return nil, err
	}
	if tries > 1 {
		c.countResend(now)
	}
	a := &attempt{call: c, number: c.sentCount + 1, began: now}
	a.ticket = e.balancer.Begin(now, &c.demand, choice)
	e.metrics.sharedUnread.Add(float64(choice.SharedUnread))
	a.target = e.directory.targets[choice.Target]
	donor := e.directory.targets[choice.Donor]
	a.fetchFrom, a.fetchZone = donor.Address, donor.Zone
	c.tried[choice.Target] = true
	a.hasAlternative = e.balancer.HasAlternative(&c.demand, placement.VersionHash(a.target.Version))
	logger := log.With(c.log, shareUsageFields(choice.ShareUsage)...)
	if after := c.resumeAfter(); after != "" {
		logger = log.With(logger, "last_event_id", after, "resumes", c.req.Header.Get(e.headers.Resumes), "origin_known", !c.originUnknown)
	}
	if choice.Pace > 0 {
		logger = log.With(logger, "pace", math.Round(choice.Pace*100)/100)
	}
	level.Info(logger).Log("event", "target_chosen", "route", c.route.Name, "version", c.table.Version,
		"workspace", c.workspace, "cost", c.demand.Cost(), "target", choice.Target, "target_version", a.target.Version, "try", tries, "unread", choice.Unread, "shared_unread", choice.SharedUnread,
		"others_ms", choice.OthersCost.Milliseconds(), "memory_held", choice.MemoryHeld, "fetched", choice.Fetched,
		"backlog", choice.Backlog, "running", choice.Running, "cold", choice.Cold, "slowness", math.Round(choice.Slowness*100)/100,
		"predicted_ms", choice.Predicted.Milliseconds(), "view_age_ms", choice.ViewAge.Milliseconds(), "queued_ms", c.queued.Milliseconds())
	return a, nil
}

// maxConnectFailures is the number of targets that a request may fail to reach before further tries
// are subject to the retry limits (see retryBlocker).
const maxConnectFailures = 4

// retryOrFinish decides after an attempt whether to try another target. If it returns false, the
// request is finished: answered or aborted.
func (c *call) retryOrFinish(ctx context.Context, a *attempt, outcome attemptOutcome) bool {
	c.logAttempt(a, outcome)
	c.targetsLost = c.targetsLost || a.crashed
	switch outcome {
	case answered:
		return false
	case abandoned:
		if a.sent && endedByStop(ctx) {
			c.sentCount++
			c.mayHaveRun = true
			c.keepErrorAnswer(a)
		}
		c.abandon(ctx)
		return false
	case notSent:
		if len(c.tried)-c.sentCount <= maxConnectFailures {
			return true
		}
	case rejected:
		c.sentCount++
	case lost, failing:
		c.sentCount++
		c.mayHaveRun = true
		c.keepErrorAnswer(a)
	}
	if ctx.Err() != nil || c.deadlinePassed() {
		c.abandon(ctx)
		return false
	}
	if reason := c.retryBlocker(); reason != "" {
		c.finishWithError(errors.New(reason))
		return false
	}
	c.demand.Repeated = true
	return true
}

// keepErrorAnswer keeps the error answer of an attempt, if it has one, for the case that there is no other one.
func (c *call) keepErrorAnswer(a *attempt) {
	c.errorAnswer.Store(a.answer)
	c.errorHold.close()
	c.errorHold = nil
	if a.answer != nil {
		c.errorHold = a.hold
		a.hold.onGiveUp(func() { c.errorAnswer.CompareAndSwap(a.answer, nil) })
	}
}

// sendHeld sends a complete answer of a target. If its memory is needed while the caller does not read it, it is
// broken off.
func (c *call) sendHeld(a *answer, h *hold) error {
	h.onGiveUp(c.reply.interruptWrite)
	return c.reply.sendAnswer(a)
}

// retryBlocker returns the reason why a request must not be sent again. It returns "" if the request
// may be sent again, and then takes one retry from the service's retry budget.
func (c *call) retryBlocker() string {
	switch {
	case c.mayHaveRun && !c.mayRepeat():
		return "may have run"
	case c.sentCount >= c.route.MaxAttempts:
		return "no attempts left"
	case c.reply.begun && c.route.RetryPolicy != routing.Resumable:
		return "answer begun"
	case c.unidentified:
		return "events without IDs"
	case c.halfEnd:
		return "line end doubtful"
	case c.lastDoubtful:
		return "last event ID doubtful"
	case c.gapPassed:
		return "events missing"
	}
	if c.originUnknown && c.demand.Version == 0 && !c.edge.hasOneVersion(c.route, c.deadline) {
		return "version of the stream unknown"
	}
	c.edge.mu.Lock()
	defer c.edge.mu.Unlock()
	if !c.pinVersion() {
		return "version of the stream unknown"
	}
	now := time.Now()
	if c.targetsLost && !c.edge.poison.MayResend(now, c.digest, c.sharedParts) {
		return "targets were lost with this request in flight"
	}
	if !c.edge.retryBudget(c.service).Take(now) {
		return "retry budget used up"
	}
	return ""
}

// resumeAfter returns the ID of the event after which the next target continues a stream; "" if it
// begins one.
func (c *call) resumeAfter() string {
	if c.lastEventID != "" {
		return c.lastEventID
	}
	return c.req.Header.Get(c.edge.headers.LastEventID)
}

// maySendOn reports whether the next attempt may use a connection: one that has carried the request before may bring a late
// second copy of that answer, which has the ID of the request like the answer to the next attempt.
func (c *call) maySendOn(u *upstream) bool {
	return !u.hasSent(c.id) && !slices.Contains(c.sentOn, u)
}

func (c *call) mayRepeat() bool { return c.route.RetryPolicy != routing.AtMostOnce }
