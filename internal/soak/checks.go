package soak

import (
	"slices"
	"strings"
	"time"

	"github.com/chiveseam/chiveseam/platform/standin"
)

// Promises of docs/PROMISES.md, in the words that reports print.
const (
	promiseOwnAnswer     = "each answer is whole and the caller's own"
	promiseRunAsSent     = "nothing is run that no caller sent, or otherwise than sent"
	promiseRunOnce       = "a request that is not idempotent runs once"
	promiseNotRun        = "\"not run\" is true"
	promiseValidAccepted = "nothing proper is refused with 401 or 404"
	promiseLimits        = "attempts and deadlines are bounded"
	promiseService       = "only targets of the route's service run a request"
	promiseDrain         = "a target that leaves gets no more requests"
	promisePause         = "a target that asks for a pause gets it"
	promiseRateLimit     = "a target gets no more requests than the rate limit that it names"
	promisePromptCrash   = "a prompt part that crashes targets is soon refused"
	promiseVersion       = "the configuration is in force in time and never goes back"
	promiseNoLoss        = "planned work loses no answer"
	promiseStreamVersion = "a stream goes on only at the software version that began it"
	promiseGoesOn        = "streams that are taken up at routers in touch go on"
	promiseStream        = "streams go on without a gap or a repeat"
	promiseCancelled     = "a caller that leaves frees its target"
	promiseTimeout       = "the final answer comes by the route's timeout"
	promiseMemory        = "a router stays within the memory of its machine"
	promiseRecovery      = "the fleet serves again after the faults"
)

// Bounds within which the promises must hold, as the rules for deployments state them.
const (
	// settleTime is how long after the end of a fault its effects are excused; from then on the
	// bounds hold again.
	settleTime = 3 * time.Second
	// applyTime bounds the time from the publication of a configuration until routers use it,
	// and drainTime that from the publication of a draining target until routers send it no new
	// requests.
	applyTime = 2 * time.Second
	drainTime = 2 * time.Second
	// regressionSlack is how long after its first use of a version a router process may still
	// use an older one. timeoutSlack is how much later than the route's timeout the final
	// answer may come.
	regressionSlack = 250 * time.Millisecond
	timeoutSlack    = 500 * time.Millisecond
	// cancelSlack is how long after its caller disconnected a request may still start to run at
	// a target.
	cancelSlack = 500 * time.Millisecond
	// measurementSlack allows for scheduling delays of the soak process and its relays.
	measurementSlack = 500 * time.Millisecond
)

// checkRunAsSent checks that a target received the request as its caller sent it, and that the
// target belongs to the route's service. c.mu is held.
func (c *checker) checkRunAsSent(r *request, run standin.Run) {
	switch {
	case run.Method != r.method || run.Path != r.path || run.Body != r.body:
		c.fail(promiseRunAsSent, r.id, "target %s runs %s %s with %d bytes", run.Target, run.Method, run.Path, len(run.Body))
	case run.Workspace != r.workspace:
		c.fail(promiseRunAsSent, r.id, "target %s received workspace %q", run.Target, run.Workspace)
	case len(run.ReservedHeaders) > 0:
		c.fail(promiseRunAsSent, r.id, "target %s received reserved headers %v", run.Target, run.ReservedHeaders)
	case run.Service != r.route.service:
		c.fail(promiseService, r.id, "a target of service %s runs it", run.Service)
	case r.unknownKey:
		c.fail(promiseRunAsSent, r.id, "its API key is unknown, but target %s runs it", run.Target)
	}
}

// checkRunLimits checks the number of runs of a request and the deadline that its target was
// received. c.mu is held.
func (c *checker) checkRunLimits(r *request, run standin.Run) {
	switch {
	case r.route.nonIdempotent && len(r.runs) > 1:
		c.fail(promiseRunOnce, r.id, "runs at target %s after target %s", run.Target, r.runs[0].Target)
	case len(r.runs) > r.route.maxAttempts:
		c.fail(promiseLimits, r.id, "%d runs, at most %d are allowed", len(r.runs), r.route.maxAttempts)
	case run.Deadline <= 0 || run.Deadline > r.route.timeout+timeoutSlack:
		c.fail(promiseLimits, r.id, "target %s received deadline %v", run.Target, run.Deadline)
	}
}

// checkDrain checks that a draining target gets no requests that were sent after drainTime.
// Requests sent earlier don't count, since a slow relay may still hold them. c.mu is held.
func (c *checker) checkDrain(r *request, run standin.Run) {
	since, draining := c.drainingSince[run.Target]
	limit := since.Add(drainTime + measurementSlack)
	if draining && r.sentAt.After(limit) && c.controlPathFaultFree(r.router, since, run.StartedAt) {
		c.fail(promiseDrain, r.id, "target %s runs it %v after it was published as draining", run.Target, run.StartedAt.Sub(since))
	}
}

// checkLeaving checks that a router sends a target no requests later than drainTime after the target
// has told it that it leaves. c.mu is held.
func (c *checker) checkLeaving(r *request, run standin.Run) {
	heard, ok := c.leavingHeard[answeredBy{r.process(), run.Target}]
	if ok && r.sentAt.After(heard.Add(drainTime+measurementSlack)) && c.routerFaultFree(r.router, heard, run.StartedAt) {
		c.fail(promiseDrain, r.id, "target %s runs it %v after it told the router that it leaves", run.Target, run.StartedAt.Sub(heard))
	}
}

const (
	// pauseSlack is how long after a target has asked for a pause requests for it may still be sent, and
	// maxLateInPause the number of requests that may come later.
	pauseSlack     = 500 * time.Millisecond
	maxLateInPause = 2
)

// checkPause counts a request that reaches a target in a pause. Requests sent earlier don't count, since
// a slow relay may still hold them. c.mu is held.
func (c *checker) checkPause(r *request, target string) {
	now := time.Now()
	p, ok := c.pauses[answeredBy{r.process(), target}]
	if !ok || r.sentAt.Before(p.from.Add(pauseSlack)) || now.After(p.until) || !c.routerFaultFree(r.router, p.from, now) {
		return
	}
	if p.late++; p.late > maxLateInPause {
		c.fail(promisePause, r.id, "target %s gets %d requests in its pause", target, p.late)
	}
}

const (
	// limitWindow is the time within which a target that names a rate limit may get limitFactor times
	// what it allows and limitSlack more requests, from settleTime after it first named it. Routers
	// count from limitHeard after it has told them.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	limitHeard  = 500 * time.Millisecond
)

// limitedTarget is a target that names a rate limit.
type limitedTarget struct {
	// from is when it first answered with the limit, and told when it first answered each router
	// process so.
	from time.Time
	told map[processKey]time.Time
	// runs are the times at which it got requests of routers that it had told.
	runs []time.Time
}

// checkRateLimit counts a run at a target that names a rate limit, unless its router has had a fault
// since. c.mu is held.
func (c *checker) checkRateLimit(r *request, run standin.Run) {
	l := c.limited[run.Target]
	if !run.Limited {
		delete(c.limited, run.Target)
		return
	}
	if l == nil {
		return
	}
	now := time.Now()
	told, ok := l.told[r.process()]
	if !ok || now.Before(told.Add(limitHeard)) || !c.routerFaultFree(r.router, l.from, now) {
		return
	}
	l.runs = append(l.runs, now)
	for now.Sub(l.runs[0]) >= limitWindow {
		l.runs = l.runs[1:]
	}
	c.counts["runs under a rate limit"]++
	allowed := limitFactor*standin.RateLimit*limitWindow.Seconds() + limitSlack
	if now.After(l.from.Add(settleTime)) && float64(len(l.runs)) > allowed {
		c.fail(promiseRateLimit, r.id, "target %s gets %d requests in %v", run.Target, len(l.runs), limitWindow)
	}
}

// noteRateLimit records that a target has answered a request with a rate limit. c.mu is held.
func (c *checker) noteRateLimit(r *request, run standin.Run) {
	now := time.Now()
	l := c.limited[run.Target]
	if l == nil {
		l = &limitedTarget{from: now, told: make(map[processKey]time.Time)}
		c.limited[run.Target] = l
	}
	if l.told[r.process()].IsZero() {
		l.told[r.process()] = now
	}
}

const (
	// crashesToDetect is the number of targets that may crash under a prompt part, detectionTime the
	// time after that in which the fleet must begin to refuse it, and maxLateCrashes the number of
	// requests with it that may run later.
	crashesToDetect = 5
	detectionTime   = 3 * time.Second
	maxLateCrashes  = 3
)

// checkPromptCrash counts a run of a prompt that crashes targets, unless its router had a fault within
// detectionTime. c.mu is held.
func (c *checker) checkPromptCrash(r *request, run standin.Run) {
	if !strings.Contains(","+run.PromptParts, ","+crashingPart+":") || len(c.promptCrashes) < crashesToDetect {
		return
	}
	limit := c.promptCrashes[crashesToDetect-1].Add(detectionTime)
	if r.sentAt.Before(limit) || !c.routerFaultFree(r.router, r.sentAt.Add(-detectionTime), run.StartedAt) {
		return
	}
	if c.lateCrashes++; c.lateCrashes > maxLateCrashes {
		c.fail(promisePromptCrash, r.id, "%d prompts run %v after the fifth crash", c.lateCrashes, run.StartedAt.Sub(limit)+detectionTime)
	}
}

// checkStreamVersion checks that a run which goes on with a stream is at a target of the version that
// began it. A run without LastEventID shows that the ones before it brought no event. c.mu is held.
func (c *checker) checkStreamVersion(r *request, run standin.Run) {
	if run.LastEventID == "" {
		return
	}
	c.counts["streams continued"]++
	var begun standin.Run
	for _, earlier := range r.stream().runs {
		if earlier.LastEventID == "" {
			begun = earlier
		}
	}
	if begun.Version != run.Version {
		c.countMixed(r)
		c.fail(promiseStreamVersion, r.id, "target %s (%s) goes on with a stream of target %s (%s)", run.Target, run.Version, begun.Target, begun.Version)
	}
}

// countMixed counts a stream of two software versions once. c.mu is held.
func (c *checker) countMixed(r *request) {
	if stream := r.stream(); !stream.mixed {
		stream.mixed = true
		c.counts["streams of two versions"]++
	}
}

const (
	// minServing is the number of targets of a stream's version that must have been registered for registeredTime when it is
	// taken up, so that it should go on. From minTakenUp of such streams on, minGoesOn of them must.
	minServing     = 2
	registeredTime = 500 * time.Millisecond
	minTakenUp     = 12
	minGoesOn      = 0.5
)

// countTakenUp counts a stream that has begun at a router in touch when a request first takes it up while targets of its version
// serve: once out of touch, and once at a router in touch, where the request decides whether the stream goes on. c.mu is held.
func (c *checker) countTakenUp(r *request) {
	begun := r.stream()
	if r == begun || begun.version == "" || r.serving < minServing || !c.controlPathFaultFree(begun.router, begun.sentAt, r.sentAt) {
		return
	}
	if !c.controlPathFaultFree(r.router, begun.sentAt, r.sentAt) {
		if !begun.takenUpOutside {
			begun.takenUpOutside = true
			c.counts["streams taken up out of touch"]++
		}
		return
	}
	if begun.takenUpInTouch {
		return
	}
	begun.takenUpInTouch = true
	c.counts["streams taken up in touch"]++
	if r.answer.status == 200 && (r.answer.complete || r.answer.body != "") {
		c.counts["streams taken up in touch, gone on"]++
	}
}

// servingTargets returns the number of targets that serve when a request is sent, of the version and service of its stream. c.mu is
// held.
func (c *checker) servingTargets(r *request) int {
	count := 0
	for id, t := range c.registered {
		faulty := c.faultDuring(r.sentAt, r.sentAt, func(f Fault) bool {
			return f.Kind.onTarget() && f.Index == c.targetNumbers[id] && !f.Kind.sound()
		})
		if t.service == r.route.service && t.version == r.stream().version && t.since.Add(registeredTime).Before(r.sentAt) && !faulty {
			count++
		}
	}
	return count
}

// checkGoesOn checks at the end of a run that enough streams that were taken up went on. c.mu is held.
func (c *checker) checkGoesOn() {
	taken, gone := c.counts["streams taken up in touch"], c.counts["streams taken up in touch, gone on"]
	if taken >= minTakenUp && float64(gone) < minGoesOn*float64(taken) {
		c.fail(promiseGoesOn, "-", "%d of %d streams go on", gone, taken)
	}
}

// checkCancelled checks that a request doesn't start to run long after its caller disconnected.
// c.mu is held.
func (c *checker) checkCancelled(r *request, run standin.Run) {
	late := run.StartedAt.Sub(r.disconnectedAt)
	if !r.disconnectedAt.IsZero() && late > cancelSlack+measurementSlack && c.routerFaultFree(r.router, r.sentAt, run.StartedAt) &&
		c.targetFaultFree(c.targetNumbers[run.Target], r.sentAt, run.StartedAt) {
		c.fail(promiseCancelled, r.id, "target %s starts to run it %v after its caller disconnected", run.Target, late)
	}
}

// checkSuccess checks an answer with status 2xx: a target signed it, and its body or its events
// are those that the target sent for this request. c.mu is held.
func (c *checker) checkSuccess(r *request) {
	a := r.answer
	if r.unknownKey {
		c.fail(promiseRunAsSent, r.id, "its API key is unknown, but the answer has status %d", a.status)
		return
	}
	target, signed := strings.CutPrefix(a.signature, "signed-")
	if !signed || len(r.runs) == 0 {
		c.fail(promiseOwnAnswer, r.id, "success with signature %q after %d runs", a.signature, len(r.runs))
		return
	}
	if !slices.ContainsFunc(r.runs, func(run standin.Run) bool { return run.Target == target }) {
		c.fail(promiseOwnAnswer, r.id, "success of target %s, which has not run it", target)
	}
	if !r.route.stream {
		if !c.isWhole(r) {
			c.fail(promiseOwnAnswer, r.id, "the body of %d bytes is not the answer of target %s", len(a.body), target)
		}
		return
	}
	c.checkStream(r)
}

// checkStream checks the events that arrived in answer to a request of a stream, whole or broken off. c.mu is held.
func (c *checker) checkStream(r *request) {
	if r.isGenerated() {
		c.checkGenerated(r)
		return
	}
	last, rest := c.checkEvents(r)
	if r.answer.complete && (last != r.events || rest != "") {
		c.fail(promiseStream, r.id, "the answer ends as complete after event %d of %d and %q", last, r.events, rest)
	}
}

// isWhole reports whether the body is all of what the target that signed the answer sends, or holds as many events.
// c.mu is held.
func (c *checker) isWhole(r *request) bool {
	if r.route.stream {
		events, rest := standin.SplitEvents(r.answer.body, true)
		return rest == "" && r.lastEvent+len(events) == r.events
	}
	return r.answer.body == standin.AnswerBody(strings.TrimPrefix(r.answer.signature, "signed-"), r.id)
}

// checkEvents checks the events that arrived in answer to a request of a stream, whole or broken off:
// they go on after the last one that the caller had, without a gap or a repeat, and all events of the
// stream are of targets of one software version. It returns the number of the last event, and the bytes
// of the one that has not arrived in whole. c.mu is held.
func (c *checker) checkEvents(r *request) (last int, rest string) {
	last, rest = r.lastEvent, r.answer.body
	for {
		event, after, whole := strings.Cut(rest, "\n\n")
		if !whole {
			break
		}
		last++
		version := event[strings.LastIndex(event, " ")+1:]
		if event+"\n\n" != standin.EventText(version, r.id, last) {
			c.fail(promiseStream, r.id, "%.200q instead of event %d", event, last)
			return last, rest
		}
		rest = after
		stream := r.stream()
		if stream.version == "" {
			stream.version = version
		}
		if stream.version != version {
			c.countMixed(r)
			c.fail(promiseStreamVersion, r.id, "event %d is of version %s, the first one of %s", last, version, stream.version)
		}
	}
	if len(r.runs) > 0 && r.runs[len(r.runs)-1].Endless {
		return last, rest
	}
	next := standin.EventText("", r.id, last+1)
	if prefix := strings.TrimSuffix(next, "\n\n"); !strings.HasPrefix(prefix, rest) && !strings.HasPrefix(rest, prefix) {
		c.fail(promiseStream, r.id, "%.200q instead of a part of event %d", rest, last+1)
	}
	return last, rest
}

// checkLoss checks a request that got no complete answer, or status 502 or 504. That is a
// violation if a target sent a full answer within the timeout, and neither the router nor a
// target of the request had an unplanned fault meanwhile, such as a crash under another request.
// c.mu is held.
func (c *checker) checkLoss(r *request) {
	if !r.fullAnswerSent || r.endedAt.Sub(r.sentAt) >= r.deadline || !c.routerFaultFree(r.router, r.sentAt, r.endedAt) {
		return
	}
	for _, run := range r.runs {
		if !c.targetFaultFree(c.targetNumbers[run.Target], r.sentAt, r.endedAt) {
			return
		}
		if broken, ok := c.brokenOffAt[run.Target]; ok && broken.After(r.sentAt) && broken.Before(r.endedAt.Add(measurementSlack)) {
			return
		}
	}
	c.fail(promiseNoLoss, r.id, "status %d (%v) although target %s answered", r.answer.status, r.answer.err, r.runs[0].Target)
}

// checkVersion checks the answer to a request for the route of one configuration version. A
// router process must not go back to an older version. Once applyTime has passed without a
// fault on the router or the store, it must serve the newest version alone. c.mu is held.
func (c *checker) checkVersion(r *request) {
	if r.probedVersion == 0 || !r.answer.complete {
		return
	}
	key := r.process()
	served := r.answer.status < 300
	if seen := c.newestServed[key]; served && r.probedVersion < seen.version && r.sentAt.After(seen.at.Add(regressionSlack)) {
		c.fail(promiseVersion, r.id, "version %d is served after %d", r.probedVersion, seen.version)
	}
	if served && r.probedVersion > c.newestServed[key].version {
		c.newestServed[key] = servedVersion{r.probedVersion, r.endedAt}
	}
	if r.sentAt.Before(c.publishedAt.Add(applyTime+measurementSlack)) || !c.controlPathFaultFree(r.router, c.publishedAt, r.endedAt) {
		return
	}
	current := r.probedVersion == c.newestVersion
	if current && r.answer.status == 404 {
		c.fail(promiseVersion, r.id, "version %d is not served %v after its publication", r.probedVersion, r.sentAt.Sub(c.publishedAt))
	}
	if !current && served {
		c.fail(promiseVersion, r.id, "version %d is served %v after version %d", r.probedVersion, r.sentAt.Sub(c.publishedAt), c.newestVersion)
	}
}

// checkTimeout checks that the request ended by its route's timeout, unless the router had an
// unplanned fault meanwhile. c.mu is held.
func (c *checker) checkTimeout(r *request) {
	late := r.endedAt.Sub(r.sentAt) - r.route.timeout - timeoutSlack - measurementSlack
	if late > 0 && c.routerFaultFree(r.router, r.sentAt, r.endedAt) {
		c.fail(promiseTimeout, r.id, "answered %v after its timeout and the slack", late)
	}
}
