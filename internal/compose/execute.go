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
	// startLimit bounds the time from the arrival of a request to the start of its last
	// attempt.
	startLimit = 5 * time.Second
	// totalTimeout bounds the time from the arrival of a request to its result.
	totalTimeout = 20 * time.Second
	// firstByteTimeout is the time after which an attempt without an answer is given up.
	firstByteTimeout = 4 * time.Second
	// maxSuspectWait bounds the time between two checks of whether a suspect may run. The
	// daemon's guard (router/internal/guard) uses the same value.
	maxSuspectWait = 250 * time.Millisecond
	// dialTimeout is the time until a connection to a target fails.
	dialTimeout = 50 * time.Millisecond
	// announceTimeout bounds the wait for the answers of other routers to an announcement.
	// The constant of the same name in the daemon's guard is 100 ms.
	announceTimeout = 500 * time.Millisecond
	// watchDuration is how long the connection of an attempt that was given up is watched
	// for a crash of the target. The daemon's dispatcher (router/internal/dispatch) uses the
	// same value.
	watchDuration = 10 * time.Second
)

// attemptSeries is the sequence of attempts at one request. At most one attempt is in
// progress.
type attemptSeries struct {
	*request
	// mayStart is called directly before each attempt is sent; false ends the attempt.
	mayStart func() bool
	onEnd    func(Result)
	number   int
	ran      v1.Ran
	exclude  []config.ID
	// mustKnowLoss is set if the router must have known of an earlier loss when the
	// present attempt began. See Simulation.mustKnowLoss.
	mustKnowLoss bool
}

// attempt is one attempt at a target.
type attempt struct {
	*attemptSeries
	target *Target
	// seq is the sequence number of the demand whose slot the attempt uses.
	seq      uint64
	sentAt   time.Time
	finished bool
	// watched is set while the connection is kept open after the attempt was given up.
	watched bool
}

// attemptResult is how an attempt ended.
type attemptResult struct {
	result  Result
	outcome v1.Outcome
	// crashed is set if the connection broke while the target had the request.
	crashed bool
}

// dispatch makes attempts at a request, one after another, until one is answered or no
// further one is allowed. It calls onEnd with the result.
func (r *Router) dispatch(req *request, mayStart func() bool, onEnd func(Result)) {
	r.budget.RecordRequest(r.now())
	r.checkState.requests++
	s := &attemptSeries{request: req, mayStart: mayStart, onEnd: onEnd, ran: v1.Ran_NO}
	s.nextAttempt()
}

// nextAttempt asks the quarantine tracker whether the next attempt may be made, and makes it,
// waits or ends the series accordingly.
func (s *attemptSeries) nextAttempt() {
	r := s.r
	op := s.call.op
	d := r.quarantineTracker.Begin(r.now(), op.contentDigest())
	switch {
	case d.Action == quarantine.Refuse:
		s.finish(Result{Code: d.Code, Ran: v1.Ran_NO})
	case d.Action == quarantine.Run:
		s.mustKnowLoss = r.sim.mustKnowLoss(r, s.call)
		s.acquireSlot(d.Suspect)
	case !r.now().Before(s.startBy):
		s.finish(Result{Code: v1.Code_DEADLINE_EXCEEDED, Ran: v1.Ran_NO})
	case d.Announcement > 0:
		limit := min(announceTimeout, s.startBy.Sub(r.now()))
		r.announce(limit, func(answered bool) { s.announcementDone(answered, d) })
	default:
		s.retryLater(d.RetryAfter)
	}
}

// announcementDone continues after an announcement: at once if all routers have answered or
// startBy has passed, otherwise after a pause.
func (s *attemptSeries) announcementDone(answered bool, d quarantine.Decision) {
	if answered {
		s.r.quarantineTracker.Acknowledge(s.r.now(), s.call.op.contentDigest(), d.Announcement)
	}
	if answered || !s.r.now().Before(s.startBy) {
		s.nextAttempt()
		return
	}
	s.retryLater(d.RetryAfter)
}

// retryLater calls nextAttempt after retryAfter, but after maxSuspectWait or at startBy if
// that is earlier.
func (s *attemptSeries) retryLater(retryAfter time.Duration) {
	r := s.r
	pause := min(retryAfter, maxSuspectWait, s.startBy.Sub(r.now()))
	r.checkSuspectWait(s)
	r.sim.after(r, pause, s.nextAttempt)
}

// acquireSlot asks for a slot and starts an attempt on it. The demand of a suspect has no
// digest, as the quarantine tracker already limits the runs of a suspect.
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
			s.r.quarantineTracker.Ended(s.r.now(), s.call.op.contentDigest())
			s.finish(refusal)
			s.r.checkRefused(s.request, refusal.Code)
			return
		}
		if !s.r.quarantineTracker.Confirm(s.r.now(), s.call.op.contentDigest()) {
			s.r.quarantineTracker.NotRun(s.r.now(), s.call.op.contentDigest())
			b.releaseSlot(seq, pool.Done{Outcome: v1.Outcome_ABANDONED})
			s.nextAttempt()
			return
		}
		a := &attempt{attemptSeries: s, target: s.r.sim.targets[target], seq: seq}
		a.start()
	})
	seq = b.seq
}

// start sends the request to the target. It ends the attempt without a run if the target
// accepts no connection or the right to begin the key has lapsed.
func (a *attempt) start() {
	r := a.r
	a.number++
	a.sentAt = r.sim.now
	if !a.target.accepts(r.zone) {
		r.sim.after(r, dialTimeout, func() {
			a.finishAttempt(attemptResult{
				result: Result{Code: v1.Code_NO_TARGET, Ran: v1.Ran_NO}, outcome: v1.Outcome_NOT_RUN})
		})
		return
	}
	if !a.mayStart() {
		a.finishAttempt(attemptResult{
			result: Result{Code: v1.Code_KEY_RIGHT_LAPSED, Ran: v1.Ran_NO}, outcome: v1.Outcome_NOT_RUN})
		return
	}
	r.sim.after(nil, r.sim.delay(), func() { a.target.execute(a) })
	limit := min(firstByteTimeout, a.endBy.Sub(r.now()))
	r.sim.after(r, limit, a.giveUp)
}

// giveUp ends an attempt whose target has not answered in time. Its connection is watched
// for watchDuration, so that a later crash of the target counts as a loss.
func (a *attempt) giveUp() {
	if a.finished {
		return
	}
	a.watched = true
	a.r.sim.after(a.r, watchDuration, func() { a.stopWatching(a.r.quarantineTracker.Ended) })
	a.markLost(v1.Code_TARGET_TIMEOUT, false)
}

// stopWatching records with the quarantine tracker how a watched attempt ended. It has no
// effect on an attempt that is not watched.
func (a *attempt) stopWatching(record func(time.Time, quarantine.Digest)) {
	if a.watched {
		a.watched = false
		record(a.r.now(), a.call.op.contentDigest())
	}
}

// receiveAnswer ends the attempt with the target's complete answer.
func (a *attempt) receiveAnswer(body string) {
	a.stopWatching(a.r.quarantineTracker.Ended)
	a.finishAttempt(attemptResult{
		result: Result{Code: v1.Code_OK, Ran: v1.Ran_YES, Body: body}, outcome: v1.Outcome_SERVED})
}

// connectionLost ends the attempt because the connection broke. For a watched attempt, it
// records the loss of the target and announces it.
func (a *attempt) connectionLost() {
	a.stopWatching(func(now time.Time, digest quarantine.Digest) {
		a.r.quarantineTracker.Lost(now, digest, quarantine.Target(a.target.id))
		a.r.announce(announceTimeout, func(bool) { a.r.sim.recordReportedLoss(a.call.op) })
	})
	a.markLost(v1.Code_TARGET_LOST, true)
}

// markLost ends the attempt without an answer. The request may have run.
func (a *attempt) markLost(code v1.Code, crashed bool) {
	a.finishAttempt(attemptResult{
		result: Result{Code: code, Ran: v1.Ran_UNKNOWN}, outcome: v1.Outcome_LOST, crashed: crashed})
}

// finishAttempt records the end of the attempt with the quarantine tracker, gives the slot
// back, and then retries or ends the series. After a crash it first announces the loss to
// the other routers. Only the first call has an effect.
func (a *attempt) finishAttempt(end attemptResult) {
	if a.finished {
		return
	}
	a.finished = true
	r := a.r
	digest := a.call.op.contentDigest()
	switch {
	case a.watched:
	case end.crashed:
		r.quarantineTracker.Lost(r.now(), digest, quarantine.Target(a.target.id))
	case end.result.Code == v1.Code_OK:
		r.quarantineTracker.Answered(r.now(), digest)
	default:
		r.quarantineTracker.Ended(r.now(), digest)
	}
	a.exclude = append(a.exclude, a.target.id)
	if end.crashed {
		r.announce(announceTimeout, func(bool) {
			r.sim.recordReportedLoss(a.call.op)
			a.returnSlot(end)
			a.retryOrFinish(end)
		})
		return
	}
	a.returnSlot(end)
	a.retryOrFinish(end)
}

// returnSlot gives the slot of the attempt back to the scheduler.
func (a *attempt) returnSlot(end attemptResult) {
	service := a.r.sim.now.Sub(a.sentAt)
	done := pool.Done{Cost: service.Milliseconds(), Outcome: end.outcome, ServiceTime: service}
	if a.watched {
		done.Unresolved = watchDuration
	}
	a.r.broker.releaseSlot(a.seq, done)
}

// retryOrFinish makes another attempt if the retry policy allows it, and ends the series
// otherwise.
func (s *attemptSeries) retryOrFinish(end attemptResult) {
	if end.result.Code == v1.Code_OK {
		s.finish(end.result)
		return
	}
	r := s.r
	s.ran = combineRan(s.ran, end.result.Ran)
	decision := retry.Policy{}.Next(r.now(), retry.Attempt{
		Number: s.number, Ran: s.ran, Idempotent: s.call.op.Idempotent, Deadline: s.startBy,
	}, r.budget, r.rng.Uint64())
	if decision.Retry {
		r.checkRetry()
		r.sim.after(r, decision.Delay, s.nextAttempt)
		return
	}
	if decision.Code != v1.Code_CODE_UNSPECIFIED && s.ran == v1.Ran_NO {
		end.result.Code = decision.Code
	}
	s.finish(end.result)
}

// finish ends the series with a result whose Ran holds for all its attempts.
func (s *attemptSeries) finish(result Result) {
	s.ran = combineRan(s.ran, result.Ran)
	result.Ran = s.ran
	s.onEnd(result)
}

// combineRan returns the Ran value that holds for all earlier attempts and the last one.
func combineRan(earlier, last v1.Ran) v1.Ran {
	if last == v1.Ran_NO {
		return earlier
	}
	return last
}
