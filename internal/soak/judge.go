package soak

import (
	"fmt"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/chiveseam/chiveseam/platform/standin"
)

// Bounds of the promises, as the deployments' rules state them.
const (
	// contact is the time without a disturbance from which a bound holds again.
	contact = 3 * time.Second
	// applyTime and drainTime are those of a configuration and of a leaving target.
	applyTime = 2 * time.Second
	drainTime = 2 * time.Second
	// regressSlack is the time after which a router must not go back to an older
	// version, and timeoutSlack how late a final answer may be.
	regressSlack = 250 * time.Millisecond
	timeoutSlack = 500 * time.Millisecond
	// leaveSlack is how long after its caller left a request may still reach a target.
	leaveSlack = 500 * time.Millisecond
	// measureSlack is for the scheduling of the soak itself and its relays.
	measureSlack = 500 * time.Millisecond
)

// Violation is a broken promise.
type Violation struct {
	Promise string
	Request string
	Detail  string
	At      time.Duration
}

// String returns one line of a report.
func (v *Violation) String() string {
	return fmt.Sprintf("%s at %.2f s, request %s: %s", v.Promise, v.At.Seconds(), v.Request, v.Detail)
}

// judge checks the promises while a run goes on, from what callers and targets see.
// It keeps the first violation. It is safe for concurrent use.
type judge struct {
	start  time.Time
	faults []Fault

	mu       sync.Mutex
	requests map[string]*request
	first    *Violation
	// draining holds when a target's leaving was published.
	draining map[string]time.Time
	// published holds when each version was, and newest is the last.
	published map[uint64]time.Time
	newest    uint64
	// proven is the newest version that a boot of a router has shown, and since when.
	proven map[bootKey]proof
	// addressed tells the number of the target with an ID.
	addressed map[string]int
	counts    map[string]int
}

type bootKey struct{ router, boot int }

type proof struct {
	version uint64
	at      time.Time
}

func newJudge(start time.Time, faults []Fault) *judge {
	return &judge{
		start: start, faults: faults,
		requests: make(map[string]*request), draining: make(map[string]time.Time),
		published: make(map[uint64]time.Time), proven: make(map[bootKey]proof),
		addressed: make(map[string]int), counts: make(map[string]int),
	}
}

func (j *judge) violated() *Violation {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.first
}

// fail records a violation. The lock is held.
func (j *judge) fail(promise, request, format string, args ...any) {
	if j.first == nil {
		j.first = &Violation{promise, request, fmt.Sprintf(format, args...), time.Since(j.start)}
	}
}

// disturbed reports whether a fault that is not planned work touched a router, a
// target or the store between two moments, with the contact time before the first.
func (j *judge) disturbed(from, to time.Time, touches func(Fault) bool) bool {
	for _, f := range j.faults {
		begin := j.start.Add(f.At)
		end := begin.Add(f.For + contact)
		if touches(f) && begin.Before(to.Add(measureSlack)) && end.After(from) {
			return true
		}
	}
	return false
}

// calm reports whether a router and the store were undisturbed.
func (j *judge) calm(router int, from, to time.Time) bool {
	return !j.disturbed(from, to, func(f Fault) bool {
		if f.Kind.onRouter() {
			return f.On == router && f.Kind != ReloadRouter
		}
		return f.Kind == StoreDown || f.Kind == StoreSilent || f.Kind == StoreCompact
	})
}

// steady reports whether no router lost its process or its links to callers without
// a plan.
func (j *judge) steady(router int, from, to time.Time) bool {
	return !j.disturbed(from, to, func(f Fault) bool { return f.On == router && f.Kind.onRouter() && !f.Kind.planned() })
}

func (j *judge) soundTarget(target int, from, to time.Time) bool {
	return !j.disturbed(from, to, func(f Fault) bool { return f.On == target && f.Kind.onTarget() && !f.Kind.planned() })
}

// begin sets the time from which the faults are counted.
func (j *judge) begin() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.start = time.Now()
}

// asked takes a request before its first byte is sent.
func (j *judge) asked(r *request) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r.sent = time.Now()
	j.requests[r.id] = r
	j.counts["requests"]++
}

// left takes a request whose caller has closed its connection.
func (j *judge) left(r *request) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r.left = time.Now()
}

// leaving takes the publication of a target's leaving.
func (j *judge) leaving(target string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.draining[target] = time.Now()
}

// added takes a target that starts.
func (j *judge) added(id string, number int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.addressed[id] = number
}

// publishedVersion takes a configuration that the store has accepted.
func (j *judge) publishedVersion(version uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.published[version] = time.Now()
	j.newest = version
}

// exited takes a process that ended by itself.
func (j *judge) exited(router int, err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.fail("processes keep running", "-", "router %d ended by itself: %v", router, err)
}

// began takes a run at a target.
func (j *judge) began(run standin.Run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counts["runs"]++
	r, ok := j.requests[run.Request]
	if !ok {
		j.fail(promiseAsked, run.Request, "target %s runs a request that no caller sent", run.Target)
		return
	}
	r.runs = append(r.runs, run)
	j.checkAsked(r, run)
	j.checkRuns(r, run)
	j.checkDrain(r, run)
	j.checkLeft(r, run)
	if !r.ended.IsZero() && r.answer.promisesNotRun() {
		j.fail(promiseNotRun, r.id, "runs at %s after status %d", run.Target, r.answer.status)
	}
}

// Promises, as docs/PROMISES.md names them.
const (
	promiseWhole   = "each answer is whole and the caller's own"
	promiseAsked   = "nothing is run that no caller sent, or otherwise than sent"
	promiseOnce    = "a request that is not idempotent runs once"
	promiseNotRun  = "\"not run\" is true"
	promiseProper  = "nothing proper is refused with 401 or 404"
	promiseBounded = "attempts and deadlines are bounded"
	promiseService = "only targets of the route's service run a request"
	promiseDrain   = "a target that leaves gets no more requests"
	promiseVersion = "the configuration is in force in time and never goes back"
	promiseNoLoss  = "planned work loses no answer"
	promiseStream  = "streams go on without a gap or a repeat"
	promiseLeft    = "a caller that leaves frees its target"
	promiseTimeout = "the final answer comes by the route's timeout"
	promiseRecover = "the fleet serves again after the faults"
)

func (j *judge) checkAsked(r *request, run standin.Run) {
	switch {
	case run.Method != r.method || run.Path != r.path || run.Body != r.body:
		j.fail(promiseAsked, r.id, "target %s runs %s %s with %d bytes", run.Target, run.Method, run.Path, len(run.Body))
	case run.Workspace != r.workspace:
		j.fail(promiseAsked, r.id, "target %s is told workspace %q", run.Target, run.Workspace)
	case len(run.Reserved) > 0:
		j.fail(promiseAsked, r.id, "target %s gets %v", run.Target, run.Reserved)
	case run.Service != r.route.service:
		j.fail(promiseService, r.id, "service %s runs it", run.Service)
	case r.unknownKey:
		j.fail(promiseAsked, r.id, "its key is unknown, and target %s runs it", run.Target)
	}
}

func (j *judge) checkRuns(r *request, run standin.Run) {
	switch {
	case r.route.once && len(r.runs) > 1:
		j.fail(promiseOnce, r.id, "runs at %s after %s", run.Target, r.runs[0].Target)
	case len(r.runs) > r.route.attempts:
		j.fail(promiseBounded, r.id, "%d runs, %d are allowed", len(r.runs), r.route.attempts)
	case run.Deadline <= 0 || run.Deadline > r.route.timeout+timeoutSlack:
		j.fail(promiseBounded, r.id, "target %s is given %v", run.Target, run.Deadline)
	}
}

// checkDrain takes a run at a target that leaves. Requests that were on their way are
// given the time of a slow relay.
func (j *judge) checkDrain(r *request, run standin.Run) {
	since, leaving := j.draining[run.Target]
	limit := since.Add(drainTime + measureSlack)
	if leaving && r.sent.After(limit) && j.calm(r.router, since, run.At) {
		j.fail(promiseDrain, r.id, "target %s runs it %v after its leaving", run.Target, run.At.Sub(since))
	}
}

// checkLeft takes a run whose caller may have left.
func (j *judge) checkLeft(r *request, run standin.Run) {
	late := run.At.Sub(r.left)
	if !r.left.IsZero() && late > leaveSlack+measureSlack && j.steady(r.router, r.sent, run.At) &&
		j.soundTarget(j.addressed[run.Target], r.sent, run.At) {
		j.fail(promiseLeft, r.id, "target %s begins to run it %v after its caller left", run.Target, late)
	}
}

// endedAt takes a run whose answer a target has sent whole.
func (j *judge) endedAt(run standin.Run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if r, ok := j.requests[run.Request]; ok && run.Sound {
		r.whole = true
	}
}

// answered takes the end of a request.
func (j *judge) answered(r *request, a answer) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r.answer, r.ended = a, time.Now()
	j.counts[fmt.Sprintf("status %d", a.status)]++
	if r.probe == 0 && !r.unknownKey {
		j.counts["proper"]++
		if a.status == 200 && a.complete {
			j.counts["proper served"]++
		}
	}
	switch {
	case a.status == 0 || !a.complete:
		j.checkLoss(r)
	case a.requestID != r.id:
		j.fail(promiseWhole, r.id, "answer belongs to %q", a.requestID)
	case a.status < 300:
		j.checkSuccess(r)
	case a.promisesNotRun() && len(r.runs) > 0:
		j.fail(promiseNotRun, r.id, "status %d, and it has run at %s", a.status, r.runs[0].Target)
	case a.status == 401 && !r.unknownKey:
		j.fail(promiseProper, r.id, "its key is known")
	case a.status == 404 && r.probe == 0:
		j.fail(promiseProper, r.id, "its route is there")
	case a.status == 502 || a.status == 504:
		j.checkLoss(r)
	}
	j.checkVersion(r)
	j.checkTimeout(r)
}

func (j *judge) checkSuccess(r *request) {
	a := r.answer
	if r.unknownKey {
		j.fail(promiseAsked, r.id, "its key is unknown, and it is answered %d", a.status)
		return
	}
	target, signed := strings.CutPrefix(a.signature, "signed-")
	if !signed || len(r.runs) == 0 {
		j.fail(promiseWhole, r.id, "success with signature %q after %d runs", a.signature, len(r.runs))
		return
	}
	if !r.route.stream {
		if a.body != standin.Body(target, r.id) {
			j.fail(promiseWhole, r.id, "the body of %d bytes is not that of %s", len(a.body), target)
		}
		return
	}
	var want strings.Builder
	for n := range standin.Events {
		want.WriteString(standin.Event(r.id, n+1))
	}
	if a.body != want.String() {
		j.fail(promiseStream, r.id, "events are %q", a.body)
	}
}

// checkLoss takes a request without an answer, although a target has answered it
// whole and all on the way was sound or planned work.
func (j *judge) checkLoss(r *request) {
	if !r.whole || r.ended.Sub(r.sent) >= r.route.timeout || !j.steady(r.router, r.sent, r.ended) {
		return
	}
	for _, run := range r.runs {
		if !j.soundTarget(j.addressed[run.Target], r.sent, r.ended) {
			return
		}
	}
	j.fail(promiseNoLoss, r.id, "status %d (%v) though %s answered", r.answer.status, r.answer.err, r.runs[0].Target)
}

// checkVersion takes the answer to a request for a version's own route.
func (j *judge) checkVersion(r *request) {
	if r.probe == 0 || !r.answer.complete {
		return
	}
	key := bootKey{r.router, r.boot}
	served := r.answer.status < 300
	if seen := j.proven[key]; served && r.probe < seen.version && r.sent.After(seen.at.Add(regressSlack)) {
		j.fail(promiseVersion, r.id, "version %d is served after %d", r.probe, seen.version)
	}
	if served && r.probe > j.proven[key].version {
		j.proven[key] = proof{r.probe, r.ended}
	}
	published := j.published[r.probe]
	current := r.probe == j.newest
	since := j.published[j.newest]
	if r.sent.Before(since.Add(applyTime+measureSlack)) || !j.calm(r.router, since, r.ended) {
		return
	}
	if current && r.answer.status == 404 {
		j.fail(promiseVersion, r.id, "version %d is not in force %v after its publication", r.probe, r.sent.Sub(published))
	}
	if !current && served {
		j.fail(promiseVersion, r.id, "version %d is served %v after version %d", r.probe, r.sent.Sub(since), j.newest)
	}
}

func (j *judge) checkTimeout(r *request) {
	late := r.ended.Sub(r.sent) - r.route.timeout - timeoutSlack - measureSlack
	if late > 0 && j.steady(r.router, r.sent, r.ended) {
		j.fail(promiseTimeout, r.id, "answered %v after its timeout", late)
	}
}

// recovered takes the requests that were served after the faults, of those sent.
func (j *judge) recovered(served, sent int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if sent == 0 || float64(served) < recoveredShare*float64(sent) {
		j.fail(promiseRecover, "-", "%d of %d are served", served, sent)
	}
}

// recoveredShare is the part of requests that is served once all faults are over:
// nothing is left that could refuse one.
const recoveredShare = 0.99

// counted returns a copy of the counts.
func (j *judge) counted() map[string]int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return maps.Clone(j.counts)
}

// tally returns the numbers of proper requests that were served, and that have ended.
func (j *judge) tally() (served, ended int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.counts["proper served"], j.counts["proper"]
}
