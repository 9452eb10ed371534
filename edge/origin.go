package edge

import (
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/chiveseam/chiveseam/placement"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/routing"
	"github.com/chiveseam/chiveseam/streams"
)

const (
	// originWait is the time for which a request waits for other routers to tell where its stream
	// began: a report interval of a large fleet.
	originWait = 300 * time.Millisecond
	// unknownOriginRetryAfter: the router that began the stream may report it by then.
	unknownOriginRetryAfter = 200 * time.Millisecond
	// maxOriginQuestions limits the questions to other routers that wait for an answer: each goes to all
	// of them, and callers may name any stream.
	maxOriginQuestions = 64
	// originRefresh is the time after which the origin of a stream that goes on is recorded again.
	originRefresh = streams.Lifetime / 2
)

// resolveOrigin restricts a request that takes a stream up to the targets of the service and of the
// software version that began it. If these cannot be told, and the service may have had several versions, it
// answers the request and returns false. The route may have been resumable when the stream began.
func (c *call) resolveOrigin() bool {
	e := c.edge
	resumable := c.route.RetryPolicy == routing.Resumable
	if c.req.Header.Get(e.headers.LastEventID) == "" {
		if resumable {
			c.stream = streams.IDOf(c.id)
		}
		return true
	}
	if !c.route.Stream {
		return true
	}
	c.stream = streams.IDOf(c.req.Header.Get(e.headers.Resumes))
	origin, found := e.findOrigin(c.stream, c.route, c.deadline)
	if found == originKnown {
		if !c.followOrigin(origin) {
			c.refuseUnknownOrigin()
			return false
		}
		return true
	}
	e.mu.Lock()
	now := time.Now()
	fields := e.versionKnowledge(now, c.route)
	resumable = resumable || e.streamAges.mayHaveBeenResumable(now, c.route)
	e.mu.Unlock()
	if !resumable {
		return true
	}
	level.Info(log.With(c.log, fields...)).Log("event", "stream_origin_unknown", "stream", uint64(c.stream), "refused", found == originAmbiguous)
	if found == originAmbiguous {
		c.refuseUnknownOrigin()
	}
	c.originUnknown = true
	return found == onlyOneVersion
}

func (c *call) refuseUnknownOrigin() {
	c.refuse(v1.Code_NO_TARGET, http.StatusServiceUnavailable, unknownOriginRetryAfter, "version of the stream unknown")
}

// pinVersion restricts a stream of unknown origin to the only version that its service has had, since another one
// may come before a target is chosen. It returns false if one has come. The caller holds e.mu.
func (c *call) pinVersion() bool {
	if !c.originUnknown || c.demand.Version != 0 {
		return true
	}
	if c.edge.mayHaveSeveralVersions(c.route) {
		return false
	}
	c.demand.Version = c.edge.origins.OnlyVersion(placement.Hash(c.service))
	return true
}

// maxMoves is the number of services to which a stream is followed.
const maxMoves = 4

// followOrigin restricts the request to the service and version that began its stream. If the route no longer leads to
// that service, the stream goes on at one to which it does, and at the same version of that from then on: the one that
// began it, if it is there. It returns false if another router may have gone on with the stream at a version that this one does not know.
func (c *call) followOrigin(origin streams.Origin) bool {
	began := origin.Version
	for range maxMoves {
		if c.setOrigin(origin) {
			return true
		}
		c.stream = c.stream.After(origin.Service)
		next, found := c.edge.findTakeUp(c.stream, c.route, c.deadline)
		switch found {
		case originAmbiguous:
			level.Info(c.log).Log("event", "stream_take_up_unknown", "stream", uint64(c.stream))
			return false
		case onlyOneVersion:
			c.originUnknown = true
		}
		if found != originKnown {
			break
		}
		origin = next
	}
	c.movedVersion, c.demand.Repeated = began, true
	return true
}

// setOrigin restricts the request to the targets of a service and version. It returns false if the route does not lead
// to the service.
func (c *call) setOrigin(origin streams.Origin) bool {
	for _, s := range c.route.Services {
		if placement.Hash(s.Service) == origin.Service {
			c.originService = s.Service
			c.demand.Version = origin.Version
			c.demand.Repeated = true
			return true
		}
	}
	return false
}

// foundOrigin is what is known of where a stream began.
type foundOrigin int

const (
	// originAmbiguous: it may have begun at any of several versions.
	originAmbiguous foundOrigin = iota
	// originKnown: a router has recorded it.
	originKnown
	// onlyOneVersion: nobody asked knows, and the services of the route have had one version each.
	onlyOneVersion
	// notTakenUp: the stream has not gone on at the services to which its route has come.
	notTakenUp
)

// findOrigin returns where a stream began, as far as that is known. If it is not and the services of
// the route may have had several versions, it asks the other routers and waits for an answer, for originWait
// at the longest.
func (e *Edge) findOrigin(id streams.ID, route *routing.Route, deadline time.Time) (streams.Origin, foundOrigin) {
	if origin, known := e.lookupOrigin(id); known {
		return origin, originKnown
	}
	missing := originAmbiguous
	if e.hasOneVersion(route, deadline) {
		missing = onlyOneVersion
	} else if id != 0 {
		e.awaitOrigin(id, maxQuestions(route))
	}
	if origin, known := e.lookupOrigin(id); known {
		return origin, originKnown
	}
	return streams.Origin{}, missing
}

// lookupOrigin returns where a stream began, and whether this router knows it.
func (e *Edge) lookupOrigin(id streams.ID) (streams.Origin, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.origins.Lookup(id)
}

// awaitOrigin asks the other routers where a stream began, unless limit questions wait for an answer, and waits for the
// answer.
func (e *Edge) awaitOrigin(id streams.ID, limit int) {
	e.mu.Lock()
	told := e.originWaiter(id, limit)
	e.mu.Unlock()
	if told != nil {
		<-told
	}
}

// maxQuestions returns the number of waiting questions up to which a route may ask another one. Most streams of routes that may not be
// resumed are recorded nowhere, and would keep those of others from being asked for.
func maxQuestions(route *routing.Route) int {
	if route.RetryPolicy == routing.Resumable {
		return maxOriginQuestions
	}
	return maxOriginQuestions / 2
}

// originWaiter returns a channel that is closed when another router has told where a stream began, or
// after originWait; nil if limit questions wait for an answer. The caller holds e.mu.
func (e *Edge) originWaiter(id streams.ID, limit int) <-chan struct{} {
	if waiter, ok := e.originWaiters[id]; ok {
		return waiter
	}
	if len(e.originWaiters) >= limit {
		return nil
	}
	waiter := make(chan struct{})
	e.originWaiters[id] = waiter
	e.askForOrigin(id, waiter)
	return waiter
}

// versionKnowledge returns log fields with what this router knows of the versions of a route's services, and how old the
// news are that it has of the store and of other routers; -1 if it has none. The caller holds e.mu.
func (e *Edge) versionKnowledge(now time.Time, route *routing.Route) []any {
	age := func(at time.Time) int64 {
		if at.IsZero() {
			return -1
		}
		return now.Sub(at).Milliseconds()
	}
	return []any{
		"versions", e.versionCounts(route), "known_for_ms", e.origins.VersionsKnownFor(now).Milliseconds(), "up_ms", age(e.started),
		"store_answer_age_ms", age(e.outage.lastAnswer()), "report_age_ms", age(e.members.LastHeard()), "routers", e.members.LiveCount(now) + 1,
		"revision", e.targetsRevision.load().Number, "revision_reported", e.peerTargetsRevision.load().Number,
	}
}

// versionCounts returns how many versions of each service of the route this router knows, for the logs: 2
// stands for any larger number. The caller holds e.mu.
func (e *Edge) versionCounts(route *routing.Route) []int {
	counts := make([]int, len(route.Services))
	for i, s := range route.Services {
		counts[i] = e.origins.VersionCount(placement.Hash(s.Service))
	}
	return counts
}

// askForOrigin asks the other routers where a stream began, and ends the wait for their answers after
// originWait. The caller holds e.mu.
func (e *Edge) askForOrigin(id streams.ID, waiter chan struct{}) {
	recipients := e.members.Recipients(time.Now())
	level.Info(e.logger).Log("event", "stream_origin_asked", "stream", uint64(id), "routers", len(recipients))
	if len(recipients) == 0 {
		e.endOriginWait(id, waiter)
		return
	}
	question := e.baseReport()
	question.WantedStreams = []uint64{uint64(id)}
	go e.sendReport(question, recipients)
	time.AfterFunc(originWait, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.endOriginWait(id, waiter)
	})
}

// endOriginWait continues the requests that wait for an origin, unless they have been. The caller holds
// e.mu.
func (e *Edge) endOriginWait(id streams.ID, waiter chan struct{}) {
	if e.originWaiters[id] == waiter {
		close(waiter)
		delete(e.originWaiters, id)
	}
}

// answerOrigins tells the router from where streams began that it asks for, and if it asks whether one has gone on elsewhere, that this
// one does not know. The caller holds e.mu.
func (e *Edge) answerOrigins(asking *v1.LoadReport) *v1.LoadReport {
	known := e.origins.Answer(asking.WantedStreams)
	asksOne := asking.Question > 0 && len(asking.WantedStreams) == 1
	if len(known) == 0 && !asksOne {
		return nil
	}
	answer := e.baseReport()
	answer.StreamOrigins, answer.Question = known, asking.Question
	if len(known) == 0 {
		e.answerTakeUp(asking.WantedStreams[0], answer)
	}
	return answer
}

// wakeOriginWaiters continues the requests that wait for origins in a report. The caller holds e.mu.
func (e *Edge) wakeOriginWaiters(report *v1.LoadReport) {
	if len(e.originWaiters) == 0 {
		return
	}
	for _, s := range report.StreamOrigins {
		if waiter, ok := e.originWaiters[streams.ID(s.Stream)]; ok {
			e.endOriginWait(streams.ID(s.Stream), waiter)
		}
	}
}

// recordOrigin records, before events of a stream are forwarded, at which version they were written:
// the stream may go on only there, in this answer and in those to later requests of its caller.
// Where a process of unknown version has begun it, or has gone on with a stream of unknown origin, that stays unknown.
func (a *attempt) recordOrigin() {
	c, e := a.call, a.call.edge
	if a.processUnknown && (c.originUnknown || c.demand.Version == 0) {
		c.originUnknown, c.demand.Version = true, 0
		return
	}
	now := time.Now()
	if now.Sub(c.originRecordedAt) < originRefresh {
		return
	}
	c.originRecordedAt = now
	c.originUnknown = false
	c.demand.Version = placement.VersionHash(a.target.Version)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.origins.Record(now, c.stream, streams.Origin{Service: placement.Hash(c.service), Version: c.demand.Version})
}
