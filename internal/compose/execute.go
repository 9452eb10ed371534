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
	startTime        = 5 * time.Second
	totalTime        = 20 * time.Second
	firstByteTimeout = 4 * time.Second
	// maxSuspectPause is that of the daemon's guard.
	maxSuspectPause = 250 * time.Millisecond
	dialTimeout     = 50 * time.Millisecond
	// announceTime is that of the daemon's guard.
	announceTime = 500 * time.Millisecond
	// watchTime is that of the daemon's dispatcher.
	watchTime = 10 * time.Second
)

// job is the sequence of attempts at one execution.
type job struct {
	*execution
	mayStart func() bool
	end      func(Final)
	number   int
	ran      v1.Ran
	exclude  []config.ID
	// informed is set when the attempt at hand is made by a router that must
	// know of an earlier loss.
	informed bool
}

// attempt is one try at a target.
type attempt struct {
	*job
	target *Target
	seq    uint64
	sent   time.Time
	over   bool
	// watched is set while the connection is kept after the attempt was given
	// up.
	watched bool
}

// outcome is how an attempt ended.
type outcome struct {
	final   Final
	outcome v1.Outcome
	crashed bool
}

// dispatch makes one attempt after the other as far as that is allowed.
func (r *Router) dispatch(x *execution, mayStart func() bool, end func(Final)) {
	r.budget.RecordRequest(r.now())
	r.watch.requests++
	j := &job{execution: x, mayStart: mayStart, end: end, ran: v1.Ran_NO}
	j.next()
}

// next asks the quarantine for the next attempt.
func (j *job) next() {
	r := j.r
	op := j.call.op
	d := r.book.Begin(r.now(), op.digest())
	switch {
	case d.Action == quarantine.Refuse:
		j.finish(Final{Code: d.Code, Ran: v1.Ran_NO})
	case d.Action == quarantine.Run:
		j.informed = r.w.informed(r, j.call)
		j.acquire(d.Suspect)
	case !r.now().Before(j.startBy):
		j.finish(Final{Code: v1.Code_DEADLINE_EXCEEDED, Ran: v1.Ran_NO})
	case d.Announcement > 0:
		limit := min(announceTime, j.startBy.Sub(r.now()))
		r.announce(limit, func(answered bool) { j.settle(answered, d) })
	default:
		j.pause(d.RetryAfter)
	}
}

// settle asks again when all routers have answered the announcement, or after a
// pause.
func (j *job) settle(answered bool, d quarantine.Decision) {
	if answered {
		j.r.book.Acknowledge(j.r.now(), j.call.op.digest(), d.Announcement)
	}
	if answered || !j.r.now().Before(j.startBy) {
		j.next()
		return
	}
	j.pause(d.RetryAfter)
}

// pause lets the job ask again later, at its deadline at the latest.
func (j *job) pause(retryAfter time.Duration) {
	r := j.r
	pause := min(retryAfter, maxSuspectPause, j.startBy.Sub(r.now()))
	r.checkWaits(j)
	r.w.after(r, pause, j.next)
}

func (j *job) acquire(suspect bool) {
	b := j.r.broker
	event := pool.Demand{
		Workspace: config.IDOf(j.call.op.Workspace), Deadline: j.startBy, BodyBytes: 1, Exclude: j.exclude,
	}
	if !suspect {
		event.Digest = uint32(j.call.op.Number)
	}
	var seq uint64
	b.acquire(event, func(target config.ID, refusal Final) {
		if refusal.Code != v1.Code_CODE_UNSPECIFIED {
			j.r.book.Ended(j.r.now(), j.call.op.digest())
			j.finish(refusal)
			j.r.checkRefused(j.execution, refusal.Code)
			return
		}
		if !j.r.book.Confirm(j.r.now(), j.call.op.digest()) {
			j.r.book.NotRun(j.r.now(), j.call.op.digest())
			b.finish(seq, pool.Done{Outcome: v1.Outcome_ABANDONED})
			j.next()
			return
		}
		a := &attempt{job: j, target: j.r.w.targets[target], seq: seq}
		a.start()
	})
	seq = b.seq
}

// start sends the request to the target.
func (a *attempt) start() {
	r := a.r
	a.number++
	a.sent = r.w.now
	if !a.target.accepts(r.zone) {
		r.w.after(r, dialTimeout, func() {
			a.ended(outcome{final: Final{Code: v1.Code_NO_TARGET, Ran: v1.Ran_NO}, outcome: v1.Outcome_NOT_RUN})
		})
		return
	}
	if !a.mayStart() {
		a.ended(outcome{final: Final{Code: v1.Code_KEY_RIGHT_LAPSED, Ran: v1.Ran_NO}, outcome: v1.Outcome_NOT_RUN})
		return
	}
	r.w.after(nil, r.w.delay(), func() { a.target.execute(a) })
	limit := min(firstByteTimeout, a.endBy.Sub(r.now()))
	r.w.after(r, limit, a.giveUp)
}

// giveUp ends an attempt whose target is silent. Its connection is kept for
// watchTime.
func (a *attempt) giveUp() {
	if a.over {
		return
	}
	a.watched = true
	a.r.w.after(a.r, watchTime, func() { a.unwatch(a.r.book.Ended) })
	a.lost(v1.Code_TARGET_TIMEOUT, false)
}

// unwatch tells the quarantine how a watched attempt ended, once.
func (a *attempt) unwatch(tell func(time.Time, quarantine.Digest)) {
	if a.watched {
		a.watched = false
		tell(a.r.now(), a.call.op.digest())
	}
}

// answered takes in the target's whole answer.
func (a *attempt) answered(body string) {
	a.unwatch(a.r.book.Ended)
	a.ended(outcome{final: Final{Code: v1.Code_OK, Ran: v1.Ran_YES, Body: body}, outcome: v1.Outcome_SERVED})
}

// reset takes in the end of the connection.
func (a *attempt) reset() {
	a.unwatch(func(now time.Time, digest quarantine.Digest) {
		a.r.book.Lost(now, digest, quarantine.Target(a.target.id))
		a.r.announce(announceTime, func(bool) { a.r.w.lossTold(a.call.op) })
	})
	a.lost(v1.Code_TARGET_LOST, true)
}

func (a *attempt) lost(code v1.Code, crashed bool) {
	a.ended(outcome{final: Final{Code: code, Ran: v1.Ran_UNKNOWN}, outcome: v1.Outcome_LOST, crashed: crashed})
}

// ended gives the slot back and tells the quarantine, once.
func (a *attempt) ended(o outcome) {
	if a.over {
		return
	}
	a.over = true
	r := a.r
	digest := a.call.op.digest()
	switch {
	case a.watched:
	case o.crashed:
		r.book.Lost(r.now(), digest, quarantine.Target(a.target.id))
	case o.final.Code == v1.Code_OK:
		r.book.Answered(r.now(), digest)
	default:
		r.book.Ended(r.now(), digest)
	}
	a.exclude = append(a.exclude, a.target.id)
	if o.crashed {
		r.announce(announceTime, func(bool) {
			r.w.lossTold(a.call.op)
			a.free(o)
			a.conclude(o)
		})
		return
	}
	a.free(o)
	a.conclude(o)
}

// free gives the slot back.
func (a *attempt) free(o outcome) {
	service := a.r.w.now.Sub(a.sent)
	done := pool.Done{Cost: service.Milliseconds(), Outcome: o.outcome, ServiceTime: service}
	if a.watched {
		done.Unresolved = watchTime
	}
	a.r.broker.finish(a.seq, done)
}

// conclude ends the job or repeats the attempt.
func (j *job) conclude(o outcome) {
	if o.final.Code == v1.Code_OK {
		j.finish(o.final)
		return
	}
	r := j.r
	j.ran = combine(j.ran, o.final.Ran)
	verdict := retry.Policy{}.Next(r.now(), retry.Attempt{
		Number: j.number, Ran: j.ran, Idempotent: j.call.op.Idempotent, Deadline: j.startBy,
	}, r.budget, r.rng.Uint64())
	if verdict.Retry {
		r.checkRetry()
		r.w.after(r, verdict.Delay, j.next)
		return
	}
	if verdict.Code != v1.Code_CODE_UNSPECIFIED && j.ran == v1.Ran_NO {
		o.final.Code = verdict.Code
	}
	j.finish(o.final)
}

// finish ends the job with what is true of all its attempts.
func (j *job) finish(f Final) {
	j.ran = combine(j.ran, f.Ran)
	f.Ran = j.ran
	j.end(f)
}

// combine returns what is true of all attempts together.
func combine(earlier, last v1.Ran) v1.Ran {
	if last == v1.Ran_NO {
		return earlier
	}
	return last
}
