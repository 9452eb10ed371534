package soak

import (
	"strings"
	"time"

	"github.com/chiveseam/chiveseam/platform/standin"
)

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

func (j *judge) checkAsked(r *request, run standin.Run) {
	switch {
	case run.Method != r.method || run.Path != r.path || run.Body != r.body:
		j.fail(promiseAsked, r.id, "target %s runs %s %s with %d bytes", run.Target, run.Method, run.Path, len(run.Body))
	case run.Workspace != r.workspace:
		j.fail(promiseAsked, r.id, "target %s is told workspace %q", run.Target, run.Workspace)
	case len(run.ReservedHeaders) > 0:
		j.fail(promiseAsked, r.id, "target %s gets %v", run.Target, run.ReservedHeaders)
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
	if leaving && r.sent.After(limit) && j.calm(r.router, since, run.StartedAt) {
		j.fail(promiseDrain, r.id, "target %s runs it %v after its leaving", run.Target, run.StartedAt.Sub(since))
	}
}

// checkLeft takes a run whose caller may have left.
func (j *judge) checkLeft(r *request, run standin.Run) {
	late := run.StartedAt.Sub(r.left)
	if !r.left.IsZero() && late > leaveSlack+measureSlack && j.steady(r.router, r.sent, run.StartedAt) &&
		j.soundTarget(j.addressed[run.Target], r.sent, run.StartedAt) {
		j.fail(promiseLeft, r.id, "target %s begins to run it %v after its caller left", run.Target, late)
	}
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
		if a.body != standin.AnswerBody(target, r.id) {
			j.fail(promiseWhole, r.id, "the body of %d bytes is not that of %s", len(a.body), target)
		}
		return
	}
	var want strings.Builder
	for n := range standin.EventCount {
		want.WriteString(standin.EventText(r.id, n+1))
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
	if r.sent.Before(j.published.Add(applyTime+measureSlack)) || !j.calm(r.router, j.published, r.ended) {
		return
	}
	current := r.probe == j.newest
	if current && r.answer.status == 404 {
		j.fail(promiseVersion, r.id, "version %d is not in force %v after its publication", r.probe, r.sent.Sub(j.published))
	}
	if !current && served {
		j.fail(promiseVersion, r.id, "version %d is served %v after version %d", r.probe, r.sent.Sub(j.published), j.newest)
	}
}

func (j *judge) checkTimeout(r *request) {
	late := r.ended.Sub(r.sent) - r.route.timeout - timeoutSlack - measureSlack
	if late > 0 && j.steady(r.router, r.sent, r.ended) {
		j.fail(promiseTimeout, r.id, "answered %v after its timeout", late)
	}
}
