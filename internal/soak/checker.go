package soak

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/chiveseam/chiveseam/platform/standin"
)

// Violation is the breach of a promise.
type Violation struct {
	// Promise is the text of the promise: one of the promise constants, or the one that
	// processExited states.
	Promise string
	// Request is the ID of the request concerned, "-" if there is none.
	Request string
	Detail  string
	// At is the time since the start of the traffic.
	At time.Duration
	// Context names the route of the request, and the faults meanwhile of its router and of the targets that ran it.
	Context string
}

// String returns the violation as one line of a report.
func (v *Violation) String() string {
	return fmt.Sprintf("%s at %.2f s, request %s: %s", v.Promise, v.At.Seconds(), v.Request, v.Detail)
}

// checker checks the promises during a run. Callers report their requests and answers to it,
// and the stand-in targets the requests that they run. It keeps the first violation. It is safe
// for concurrent use.
type checker struct {
	// start is the time from which Fault.At is counted.
	start  time.Time
	faults []Fault

	// mu guards start and the fields below. start is read without it once the traffic runs.
	mu sync.Mutex
	// requests holds all requests sent, by ID.
	requests       map[string]*request
	firstViolation *Violation
	// cases holds the violations by promise, at most one for each request.
	cases map[string][]Violation
	// drainingSince holds, by target ID, when the target was published as draining.
	drainingSince map[string]time.Time
	// leavingHeard holds when a router process was first answered by a target that it leaves, and
	// pauses what it was answered by one that wants no requests.
	leavingHeard map[answeredBy]time.Time
	pauses       map[answeredBy]*pause
	// limited holds the targets that name a rate limit, by ID.
	limited map[string]*limitedTarget
	// promptCrashes are the times at which targets crashed under crashingPart, and lateCrashes the
	// number of prompts with it that ran too late after.
	promptCrashes []time.Time
	lateCrashes   int
	// brokenOffAt holds, by target ID, when the target crashed under crashingPart, or when its connections
	// were reset at the end of a release: what it sent just before may be lost.
	brokenOffAt map[string]time.Time
	// newestVersion is the configuration version published last, and publishedAt the time of
	// its publication.
	newestVersion uint64
	publishedAt   time.Time
	// newestServed holds the newest version that each router process has served, and since
	// when.
	newestServed map[processKey]servedVersion
	// targetNumbers maps target IDs to the numbers that Fault.Index uses, and startedAt to the start of the last
	// target with the ID.
	targetNumbers map[string]int
	startedAt     map[string]time.Time
	// registered holds the targets that are registered as ready, by ID.
	registered map[string]registeredTarget
	// counts holds the counts of Report.Counts.
	counts map[string]int
}

// processKey identifies a router process: the router's number and the number of its start.
type processKey struct{ router, incarnation int }

// answeredBy names a router process and a target that answered it.
type answeredBy struct {
	process processKey
	target  string
}

// registeredTarget is a target that is registered as ready, and since when it has been.
type registeredTarget struct {
	service, version string
	since            time.Time
}

// pause is a time in which a target wants no requests from a router process.
type pause struct {
	from, until time.Time
	// late is the number of requests that came later than pauseSlack after from.
	late int
}

// servedVersion is a configuration version and when a router process was first seen to serve
// it.
type servedVersion struct {
	version uint64
	at      time.Time
}

// newChecker returns a checker for a run with the given faults.
func newChecker(start time.Time, faults []Fault) *checker {
	return &checker{
		start: start, faults: faults, cases: make(map[string][]Violation),
		requests: make(map[string]*request), drainingSince: make(map[string]time.Time),
		newestServed: make(map[processKey]servedVersion), targetNumbers: make(map[string]int), counts: make(map[string]int),
		brokenOffAt: make(map[string]time.Time), leavingHeard: make(map[answeredBy]time.Time), pauses: make(map[answeredBy]*pause),
		limited: make(map[string]*limitedTarget), startedAt: make(map[string]time.Time),
		registered: make(map[string]registeredTarget),
	}
}

// violation returns the first violation, nil if there is none.
func (c *checker) violation() *Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.firstViolation
}

// fail records a violation, unless the request has broken the promise before. c.mu is held.
func (c *checker) fail(promise, request, format string, args ...any) {
	if slices.ContainsFunc(c.cases[promise], func(v Violation) bool { return v.Request == request }) {
		return
	}
	v := Violation{promise, request, fmt.Sprintf(format, args...), time.Since(c.start), c.context(request)}
	c.cases[promise] = append(c.cases[promise], v)
	if c.firstViolation == nil {
		c.firstViolation = &v
	}
}

// casesCopy returns the violations by promise.
func (c *checker) casesCopy() map[string][]Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	cases := make(map[string][]Violation)
	for promise, violations := range c.cases {
		cases[promise] = slices.Clone(violations)
	}
	return cases
}

// context returns Violation.Context of a request. c.mu is held.
func (c *checker) context(request string) string {
	r, ok := c.requests[request]
	if !ok {
		return ""
	}
	targets := make(map[int]bool)
	for _, run := range r.runs {
		targets[c.targetNumbers[run.Target]] = true
	}
	words := []string{r.route.name}
	for _, f := range c.faults {
		of := f.Kind.onRouter() && f.Index == r.router || f.Kind.onTarget() && targets[f.Index]
		begin, end := c.start.Add(f.At), c.start.Add(f.At+f.Duration)
		if of && begin.Before(time.Now()) && end.After(r.sentAt) && !slices.Contains(words, string(f.Kind)) {
			words = append(words, string(f.Kind))
		}
	}
	return strings.Join(words, " ") + r.stream().drawnAnswers()
}

// faultDuring reports whether one of the faults that affects selects overlaps the period. A
// fault counts until settleTime after its end, and also if it starts up to measurementSlack
// after the period.
func (c *checker) faultDuring(from, to time.Time, affects func(Fault) bool) bool {
	for _, f := range c.faults {
		begin, end := c.start.Add(f.disturbsAt()), c.start.Add(f.At+f.Duration+settleTime)
		if affects(f) && begin.Before(to.Add(measurementSlack)) && end.After(from) {
			return true
		}
	}
	return false
}

// controlPathFaultFree reports whether the router had no fault other than a reload, and the store
// had none, in the period.
func (c *checker) controlPathFaultFree(router int, from, to time.Time) bool {
	return !c.faultDuring(from, to, func(f Fault) bool {
		if f.Kind.onRouter() {
			return f.Index == router && f.Kind != ReloadRouter
		}
		return f.Kind == StoreDown || f.Kind == StoreSilent || f.Kind == StoreCompact || f.Kind == StoreRestore
	})
}

// routerFaultFree reports whether the router had no unplanned fault in the period.
func (c *checker) routerFaultFree(router int, from, to time.Time) bool {
	return !c.faultDuring(from, to, func(f Fault) bool { return f.Index == router && f.Kind.onRouter() && !f.Kind.planned() })
}

// targetFaultFree reports whether the target had no unplanned fault in the period.
func (c *checker) targetFaultFree(target int, from, to time.Time) bool {
	return !c.faultDuring(from, to, func(f Fault) bool {
		return f.Index == target && f.Kind.onTarget() && !f.Kind.planned() && !f.Kind.sound()
	})
}

// startClock sets the time from which Fault.At is counted to now.
func (c *checker) startClock() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.start = time.Now()
}

// requestSent records a request. Callers call it before they send the first byte.
func (c *checker) requestSent(r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.sentAt = time.Now()
	c.requests[r.id] = r
	r.stream().tries = append(r.stream().tries, r)
	r.serving = c.servingTargets(r)
	c.counts["requests"]++
}

// callerDisconnected records that the caller closed its connection without reading the answer.
func (c *checker) callerDisconnected(r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.disconnectedAt = time.Now()
}

// targetDraining records that a target was published as draining.
func (c *checker) targetDraining(target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drainingSince[target] = time.Now()
	delete(c.registered, target)
}

// targetRegistered records that a target is registered as ready, which it may have been before.
func (c *checker) targetRegistered(target, service, version string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.registered[target]; !ok {
		c.registered[target] = registeredTarget{service, version, time.Now()}
	}
}

// targetEnded records that a target has ended.
func (c *checker) targetEnded(target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.registered, target)
}

// targetStarted records the ID of a target that is about to start. What an earlier one with the ID has said of itself
// is over.
func (c *checker) targetStarted(id string, number int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.targetNumbers[id], c.startedAt[id] = number, time.Now()
	delete(c.drainingSince, id)
	maps.DeleteFunc(c.leavingHeard, func(by answeredBy, _ time.Time) bool { return by.target == id })
	maps.DeleteFunc(c.pauses, func(by answeredBy, _ *pause) bool { return by.target == id })
}

// nextVersion returns the next configuration version and takes the present as the time of its
// publication. It is called before the version is written, because a router may use the version
// before the store has answered the write.
func (c *checker) nextVersion() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.newestVersion++
	c.publishedAt = time.Now()
	return c.newestVersion
}

// latestVersion returns the configuration version published last.
func (c *checker) latestVersion() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.newestVersion
}

// processExited records a violation: a router process ended without a signal that should end it.
func (c *checker) processExited(router int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fail("processes keep running", "-", "the process of router %d exited unexpectedly: %v", router, err)
}

// memoryUsed checks the peak memory of a router process in MiB.
func (c *checker) memoryUsed(router, peak, limit int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts["peak MiB"] = max(c.counts["peak MiB"], peak)
	if peak > limit {
		c.fail(promiseMemory, "-", "router %d has had %d MiB, its machine has %d", router, peak, limit)
	}
}

// runStarted checks a request that a target starts to run.
func (c *checker) runStarted(run standin.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts["runs"]++
	r, ok := c.requests[run.RequestID]
	if !ok {
		c.fail(promiseRunAsSent, run.RequestID, "target %s runs a request that no caller sent", run.Target)
		return
	}
	if r.unframedSent {
		c.counts["unframed whole, run again"]++
	}
	r.runs = append(r.runs, run)
	c.countGenerated(r, run)
	c.checkRunAsSent(r, run)
	c.checkRunLimits(r, run)
	c.checkDrain(r, run)
	c.checkLeaving(r, run)
	c.checkPause(r, run.Target)
	c.checkRateLimit(r, run)
	c.checkPromptCrash(r, run)
	c.checkStreamVersion(r, run)
	c.checkCancelled(r, run)
	if !r.endedAt.IsZero() && r.answer.statesNotRun() {
		c.fail(promiseNotRun, r.id, "runs at target %s after status %d", run.Target, r.answer.status)
	}
}

// runEnded records whether a target sent its full answer.
func (c *checker) runEnded(run standin.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r, ok := c.requests[run.RequestID]; ok && run.FullAnswer {
		r.fullAnswerSent = true
		r.unframedSent = run.Unframed
		if by := (answeredBy{r.process(), run.Target}); run.Leaving && c.leavingHeard[by].IsZero() && run.StartedAt.After(c.startedAt[run.Target]) {
			c.leavingHeard[by] = time.Now()
		}
		if run.Limited {
			c.noteRateLimit(r, run)
		}
	}
}

// promptCrashed records that a target crashes under crashingPart.
func (c *checker) promptCrashed(target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.promptCrashes = append(c.promptCrashes, now)
	c.brokenOffAt[target] = now
	c.counts["prompt crashes"]++
}

// connectionsReset records that the connections of a target that has been replaced are reset.
func (c *checker) connectionsReset(target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.brokenOffAt[target] = time.Now()
}

// requestPaused records that a target turned a request away and wants no others for a time.
func (c *checker) requestPaused(target, requestID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.requests[requestID]
	if !ok {
		c.fail(promiseRunAsSent, requestID, "target %s gets a request that no caller sent", target)
		return
	}
	c.checkPause(r, target)
	now := time.Now()
	if by := (answeredBy{r.process(), target}); c.pauses[by] == nil || now.After(c.pauses[by].until) {
		c.pauses[by] = &pause{from: now, until: now.Add(standin.PauseTime)}
	}
}

// requestEnded checks the answer to a request, or the failure to get one.
func (c *checker) requestEnded(r *request, a answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.answer, r.endedAt = a, time.Now()
	c.counts[fmt.Sprintf("status %d", a.status)]++
	if r.probedVersion == 0 && !r.unknownKey {
		c.counts["proper"]++
		if a.status == 200 && a.complete {
			c.counts["proper served"]++
		}
	}
	c.countUnframed(r)
	switch {
	case a.status == 0 || !a.complete:
		c.checkLoss(r)
		if r.route.stream && a.status == 200 {
			c.checkStream(r)
		}
	case a.requestID != r.id:
		c.fail(promiseOwnAnswer, r.id, "the answer carries request ID %q", a.requestID)
	case a.status < 300:
		c.checkSuccess(r)
	case a.statesNotRun() && len(r.runs) > 0:
		c.fail(promiseNotRun, r.id, "status %d, but it has run at target %s", a.status, r.runs[0].Target)
	case a.status == 401 && !r.unknownKey:
		c.fail(promiseValidAccepted, r.id, "its API key is known")
	case a.status == 404 && r.probedVersion == 0:
		c.fail(promiseValidAccepted, r.id, "its route exists")
	case a.status >= 500 && a.signature != "" && r.isGenerated():
		c.fail(promiseOwnAnswer, r.id, "status %d ends as complete, but its target has broken it off", a.status)
	case a.status == 502 || a.status == 504:
		c.checkLoss(r)
	}
	c.checkVersion(r)
	c.checkTimeout(r)
	c.countTakenUp(r)
}

// countUnframed counts an answer whose last run answered with neither a length nor chunks. "Whole" is what a target
// has sent in full, or what its caller has got in full. c.mu is held.
func (c *checker) countUnframed(r *request) {
	if len(r.runs) == 0 || !r.runs[len(r.runs)-1].Unframed {
		return
	}
	passed := r.answer.complete && r.answer.status < 300
	switch {
	case passed && c.isWhole(r):
		c.counts["unframed whole"]++
	case passed:
		c.counts["unframed short, passed as whole"]++
	case r.unframedSent:
		c.counts["unframed whole, cut"]++
	default:
		c.counts["unframed short, cut"]++
	}
}

// checkRecovery checks that enough requests are served after the faults are over. sent is the
// number of valid requests that ended in that period, and served how many of them got status 200.
func (c *checker) checkRecovery(served, sent int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkGoesOn()
	if sent == 0 || float64(served) < minRecoveredShare*float64(sent) {
		c.fail(promiseRecovery, "-", "%d of %d requests are served", served, sent)
	}
}

// minRecoveredShare is the fraction of valid requests that must be served once all faults are
// over. It is close to 1 because nothing is left that justifies a refusal.
const minRecoveredShare = 0.99

// requestsOf returns the IDs of all requests of the stream of a request; of the request alone if it is of
// no stream.
func (c *checker) requestsOf(id string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	ids := []string{id}
	if r, ok := c.requests[id]; ok {
		for other, o := range c.requests {
			if other != id && o.stream() == r.stream() {
				ids = append(ids, other)
			}
		}
	}
	return ids
}

// countsCopy returns a copy of the counts.
func (c *checker) countsCopy() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.counts)
}

// servedAndEnded returns the number of valid requests that were served with status 200, and of
// all valid requests that ended. Valid requests have a known API key and don't probe a version.
func (c *checker) servedAndEnded() (served, ended int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts["proper served"], c.counts["proper"]
}
