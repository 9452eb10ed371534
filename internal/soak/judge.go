package soak

import (
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/chiveseam/chiveseam/platform/standin"
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
	// newest is the version that was published last, and published when that was.
	newest    uint64
	published time.Time
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
		proven: make(map[bootKey]proof), addressed: make(map[string]int), counts: make(map[string]int),
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

// publishes returns the next version, which is published now. A router may have it in
// force before the store has answered.
func (j *judge) publishes() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.newest++
	j.published = time.Now()
	return j.newest
}

// version returns the version that was published last.
func (j *judge) version() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.newest
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
	r, ok := j.requests[run.RequestID]
	if !ok {
		j.fail(promiseAsked, run.RequestID, "target %s runs a request that no caller sent", run.Target)
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

// endedAt takes a run whose answer a target has sent whole.
func (j *judge) endedAt(run standin.Run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if r, ok := j.requests[run.RequestID]; ok && run.FullAnswer {
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
