package compose

import (
	"time"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/pool"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/quarantine"
	"github.com/chiveseam/chiveseam/retry"
)

const (
	startLimit       = 5 * time.Second
	totalTimeout     = 20 * time.Second
	firstByteTimeout = 4 * time.Second
	// maxSuspectPause is that of the daemon's guard.
	maxSuspectPause = 250 * time.Millisecond
	dialTimeout     = 50 * time.Millisecond
	// announceTime is that of the daemon's guard.
	announceTime = 500 * time.Millisecond
	// watchTime is that of the daemon's dispatcher.
	watchTime = 10 * time.Second
)

// attemptSeries is the sequence of attempts at one execution.
type attemptSeries struct {
	*request
	mayStart func() bool
	end      func(Result)
	number   int
	ran      v1.Ran
	exclude  []config.ID
	// mustKnowLoss is set when the attempt at hand is made by a router that must
	// know of an earlier loss.
	mustKnowLoss bool
}

// attempt is one try at a target.
type attempt struct {
	*attemptSeries
	target   *Target
	seq      uint64
	sentAt   time.Time
	finished bool
	// watched is set while the connection is kept after the attempt was given
	// up.
	watched bool
}

// attemptResult is how an attempt ended.
type attemptResult struct {
	result  Result
	outcome v1.Outcome
	crashed bool
}

// dispatch makes one attempt after the other as far as that is allowed.
func (r *Router) dispatch(req *request, mayStart func() bool, end func(Result)) {
	r.budget.RecordRequest(r.now())
	r.checkState.requests++
	s := &attemptSeries{request: req, mayStart: mayStart, end: end, ran: v1.Ran_NO}
	s.nextAttempt()
}

// nextAttempt asks the quarantine for the nextAttempt attempt.
func (s *attemptSeries) nextAttempt() {
	r := s.r
	op := s.call.op
	d := r.quarantine.Begin(r.now(), op.contentDigest())
	switch {
	case d.Action == quarantine.Refuse:
		s.finish(Result{Code: d.Code, Ran: v1.Ran_NO})
	case d.Action == quarantine.Run:
		s.mustKnowLoss = r.sim.mustKnowLoss(r, s.call)
		s.acquireSlot(d.Suspect)
	case !r.now().Before(s.startBy):
		s.finish(Result{Code: v1.Code_DEADLINE_EXCEEDED, Ran: v1.Ran_NO})
	case d.Announcement > 0:
		limit := min(announceTime, s.startBy.Sub(r.now()))
		r.announce(limit, func(answered bool) { s.announcementDone(answered, d) })
	default:
		s.retryLater(d.RetryAfter)
	}
}

// announcementDone asks again when all routers have answered the announcement, or after a
// pause.
func (s *attemptSeries) announcementDone(answered bool, d quarantine.Decision) {
	if answered {
		s.r.quarantine.Acknowledge(s.r.now(), s.call.op.contentDigest(), d.Announcement)
	}
	if answered || !s.r.now().Before(s.startBy) {
		s.nextAttempt()
		return
	}
	s.retryLater(d.RetryAfter)
}

// retryLater lets the job ask again later, at its deadline at the latest.
func (s *attemptSeries) retryLater(retryAfter time.Duration) {
	r := s.r
	pause := min(retryAfter, maxSuspectPause, s.startBy.Sub(r.now()))
	r.checkSuspectWait(s)
	r.sim.after(r, pause, s.nextAttempt)
}

func (s *attemptSeries) acquireSlot(suspect bool) {
	b := s.r.broker
	event := pool.Demand{
		Workspace: config.IDOf(s.call.op.Workspace), Deadline: s.startBy, BodyBytes: 1, Exclude: s.exclude,
	}
	if !suspect {
		event.Digest = uint32(s.call.op.Number)
	}
	var seq uint64
	b.acquire(event, func(target config.ID, refusal Result) {
		if refusal.Code != v1.Code_CODE_UNSPECIFIED {
			s.r.quarantine.Ended(s.r.now(), s.call.op.contentDigest())
			s.finish(refusal)
			s.r.checkRefused(s.request, refusal.Code)
			return
		}
		if !s.r.quarantine.Confirm(s.r.now(), s.call.op.contentDigest()) {
			s.r.quarantine.NotRun(s.r.now(), s.call.op.contentDigest())
			b.releaseSlot(seq, pool.Done{Outcome: v1.Outcome_ABANDONED})
			s.nextAttempt()
			return
		}
		a := &attempt{attemptSeries: s, target: s.r.sim.targets[target], seq: seq}
		a.start()
	})
	seq = b.seq
}

// start sends the request to the target.
func (a *attempt) start() {
	r := a.r
	a.number++
	a.sentAt = r.sim.now
	if !a.target.accepts(r.zone) {
		r.sim.after(r, dialTimeout, func() {
			a.finishAttempt(attemptResult{result: Result{Code: v1.Code_NO_TARGET, Ran: v1.Ran_NO}, outcome: v1.Outcome_NOT_RUN})
		})
		return
	}
	if !a.mayStart() {
		a.finishAttempt(attemptResult{result: Result{Code: v1.Code_KEY_RIGHT_LAPSED, Ran: v1.Ran_NO}, outcome: v1.Outcome_NOT_RUN})
		return
	}
	r.sim.after(nil, r.sim.delay(), func() { a.target.execute(a) })
	limit := min(firstByteTimeout, a.endBy.Sub(r.now()))
	r.sim.after(r, limit, a.giveUp)
}

// giveUp ends an attempt whose target is silent. Its connection is kept for
// watchTime.
func (a *attempt) giveUp() {
	if a.finished {
		return
	}
	a.watched = true
	a.r.sim.after(a.r, watchTime, func() { a.stopWatching(a.r.quarantine.Ended) })
	a.markLost(v1.Code_TARGET_TIMEOUT, false)
}

// stopWatching tells the quarantine how a watched attempt ended, once.
func (a *attempt) stopWatching(tell func(time.Time, quarantine.Digest)) {
	if a.watched {
		a.watched = false
		tell(a.r.now(), a.call.op.contentDigest())
	}
}

// receiveAnswer takes in the target's whole answer.
func (a *attempt) receiveAnswer(body string) {
	a.stopWatching(a.r.quarantine.Ended)
	a.finishAttempt(attemptResult{result: Result{Code: v1.Code_OK, Ran: v1.Ran_YES, Body: body}, outcome: v1.Outcome_SERVED})
}

// connectionLost takes in the end of the connection.
func (a *attempt) connectionLost() {
	a.stopWatching(func(now time.Time, digest quarantine.Digest) {
		a.r.quarantine.Lost(now, digest, quarantine.Target(a.target.id))
		a.r.announce(announceTime, func(bool) { a.r.sim.recordReportedLoss(a.call.op) })
	})
	a.markLost(v1.Code_TARGET_LOST, true)
}

func (a *attempt) markLost(code v1.Code, crashed bool) {
	a.finishAttempt(attemptResult{result: Result{Code: code, Ran: v1.Ran_UNKNOWN}, outcome: v1.Outcome_LOST, crashed: crashed})
}

// finishAttempt gives the slot back and tells the quarantine, once.
func (a *attempt) finishAttempt(o attemptResult) {
	if a.finished {
		return
	}
	a.finished = true
	r := a.r
	digest := a.call.op.contentDigest()
	switch {
	case a.watched:
	case o.crashed:
		r.quarantine.Lost(r.now(), digest, quarantine.Target(a.target.id))
	case o.result.Code == v1.Code_OK:
		r.quarantine.Answered(r.now(), digest)
	default:
		r.quarantine.Ended(r.now(), digest)
	}
	a.exclude = append(a.exclude, a.target.id)
	if o.crashed {
		r.announce(announceTime, func(bool) {
			r.sim.recordReportedLoss(a.call.op)
			a.releaseSlot(o)
			a.retryOrFinish(o)
		})
		return
	}
	a.releaseSlot(o)
	a.retryOrFinish(o)
}

// releaseSlot gives the slot back.
func (a *attempt) releaseSlot(o attemptResult) {
	service := a.r.sim.now.Sub(a.sentAt)
	done := pool.Done{Cost: service.Milliseconds(), Outcome: o.outcome, ServiceTime: service}
	if a.watched {
		done.Unresolved = watchTime
	}
	a.r.broker.releaseSlot(a.seq, done)
}

// retryOrFinish ends the job or repeats the attempt.
func (s *attemptSeries) retryOrFinish(o attemptResult) {
	if o.result.Code == v1.Code_OK {
		s.finish(o.result)
		return
	}
	r := s.r
	s.ran = combineRan(s.ran, o.result.Ran)
	verdict := retry.Policy{}.Next(r.now(), retry.Attempt{
		Number: s.number, Ran: s.ran, Idempotent: s.call.op.Idempotent, Deadline: s.startBy,
	}, r.budget, r.rng.Uint64())
	if verdict.Retry {
		r.checkRetry()
		r.sim.after(r, verdict.Delay, s.nextAttempt)
		return
	}
	if verdict.Code != v1.Code_CODE_UNSPECIFIED && s.ran == v1.Ran_NO {
		o.result.Code = verdict.Code
	}
	s.finish(o.result)
}

// finish ends the job with what is true of all its attempts.
func (s *attemptSeries) finish(result Result) {
	s.ran = combineRan(s.ran, result.Ran)
	result.Ran = s.ran
	s.end(result)
}

// combineRan returns what is true of all attempts together.
func combineRan(earlier, last v1.Ran) v1.Ran {
	if last == v1.Ran_NO {
		return earlier
	}
	return last
}
