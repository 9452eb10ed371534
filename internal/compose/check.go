package compose

import (
	"slices"
	"time"

	"github.com/chiveseam/chiveseam/pool"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/requestkey"
	"github.com/chiveseam/chiveseam/rollout"
)

// Promised times.
const (
	leavingLimit = 3 * time.Second
	rolloutLimit = 5 * time.Second
	// calmTime is how long routers must have been able to talk before a loss
	// for all to learn of it.
	calmTime = 5 * time.Second
	// openLimit is the longest time of a call at a router that is not paused.
	openLimit = totalTime + 2*forwardGrace + maxClaimRounds*claimTimeout
	// overdueLimit allows for the interval of the sweep.
	overdueLimit = answerGrace + 2*tickInterval
	// maxInformedLosses is the number of targets that a request may take down
	// after a first one, while routers can talk.
	maxInformedLosses = 1
	// maxLosses is the number of targets that a request may take down while
	// routers can talk, also when it is sent many times at once.
	maxLosses = 2
)

// watch is what the checks remember of a router.
type watch struct {
	started, resumed  time.Time
	served            bool
	requests, retries int
	// missing is the version that the router could have had since the time
	// missingSince.
	missing      rollout.Version
	missingSince time.Time
	// leaving holds since when the router could know of leaving targets.
	leaving map[string]time.Time
}

func newWatch() watch { return watch{leaving: map[string]time.Time{}} }

// reset forgets what a paused router could have known.
func (o *watch) reset() {
	o.missingSince = time.Time{}
	clear(o.leaving)
}

// check is run at each interval.
func (w *World) check() {
	if w.trouble() {
		w.troubleAt = w.now
	}
	for _, r := range w.Routers {
		if !r.alive || r.paused {
			r.watch.reset()
			continue
		}
		r.checkRollout()
		r.checkServes()
		r.checkLeaving()
		r.checkOpen()
	}
	w.after(nil, tickInterval, w.check)
}

// checkRun checks a run at a target against all earlier ones.
func (w *World) checkRun(a *attempt, run *Execution) {
	op := a.call.op
	if a.call.toldNo {
		w.fail("operation %d runs after NO was told", op.Number)
	}
	if op.Idempotent {
		return
	}
	for _, earlier := range w.runs[op] {
		if earlier.call == run.call || op.Key != "" && w.remembered(op, earlier) {
			w.fail("operation %d with key %q runs twice", op.Number, op.Key)
		}
	}
}

// remembered returns whether a run must be known under the operation's key.
func (w *World) remembered(op *Operation, run *Execution) bool {
	return requestkey.IsIssued(op.Key) || w.now.Before(run.begun.Add(w.opts.Keys.Lifetime))
}

// checkFinal checks the decision of a router on a request. NO holds for a key
// at the time of the decision: another call may run while the result is relayed
// to a router that is paused.
func (r *Router) checkFinal(x *execution, f Final) {
	if f.Ran != v1.Ran_NO {
		return
	}
	op := x.call.op
	x.call.toldNo = true
	for _, run := range r.w.runs[op] {
		ofKey := op.Key != "" && !x.relayed && r.w.remembered(op, run)
		if run.call == x.call || ofKey {
			r.w.fail("%v with NO is told of operation %d, which ran", f.Code, op.Number)
		}
	}
}

// checkAnswer checks that an answer is whole and the caller's own.
func (w *World) checkAnswer(c *Call) {
	f := c.Final
	if f.Code != v1.Code_OK && f.Code != v1.Code_REPLAYED {
		if f.Body != "" {
			w.fail("operation %d got a body with %v", c.op.Number, f.Code)
		}
		return
	}
	own := slices.ContainsFunc(w.runs[c.op], func(run *Execution) bool {
		return run.body == f.Body && (c.op.Key != "" || run.call == c)
	})
	if !own {
		w.fail("operation %d got the answer %q", c.op.Number, f.Body)
	}
}

// checkGrant checks that a leaving target gets no new work.
func (r *Router) checkGrant(g pool.Grant) {
	r.w.Stats.Grants++
	name := r.w.targets[g.Target].name
	since, known := r.watch.leaving[name]
	if late := r.w.now.Sub(since); known && late > leavingLimit {
		r.w.fail("%s grants leaving target %s after %v", r.member.Name, name, late)
	}
}

// checkLeaving notes since when the router could know of leaving targets.
func (r *Router) checkLeaving() {
	for _, t := range r.w.Targets {
		_, known := r.watch.leaving[t.name]
		switch {
		case !r.couldKnow(t.name):
			delete(r.watch.leaving, t.name)
		case !known:
			r.watch.leaving[t.name] = r.w.now
		}
	}
}

func (r *Router) couldKnow(target string) bool {
	if r.view.TargetLeaving(target) {
		return true
	}
	return slices.ContainsFunc(r.talkers(), func(p *Router) bool { return p.view.TargetLeaving(target) })
}

// talkers returns the routers with which messages are exchanged in time. One of
// two routers has to know the address of the other.
func (r *Router) talkers() []*Router {
	if r.w.Loss > 0 || r.w.Slow {
		return nil
	}
	var list []*Router
	for _, p := range r.w.Routers {
		if p != r && p.alive && !p.paused && r.w.connected(p.zone, r.zone) && (r.knows(p) || p.knows(r)) {
			list = append(list, p)
		}
	}
	return list
}

// knows returns whether a peer's address is known.
func (r *Router) knows(p *Router) bool {
	_, ok := r.view.Lookup(p.member.Name)
	return ok
}

// checkRollout checks that the newest configuration arrives in time.
func (r *Router) checkRollout() {
	newest := r.w.Platform.newest().version
	version, _ := r.tracker.InForce()
	offered := r.w.Platform.offers(r.zone, newest)
	for _, p := range r.talkers() {
		held, _ := p.tracker.InForce()
		offered = offered || held == newest
	}
	switch {
	case version == newest || !offered || r.w.Loss > 0 || r.w.Slow:
		r.watch.missingSince = time.Time{}
	case r.watch.missingSince.IsZero() || r.watch.missing != newest:
		r.watch.missing, r.watch.missingSince = newest, r.w.now
	case r.w.now.Sub(r.watch.missingSince) > rolloutLimit:
		r.w.fail("%s lacks configuration %v since %v", r.member.Name, newest, r.watch.missingSince.UTC())
	}
}

// checkApply checks that what is in force does not go back.
func (r *Router) checkApply(a rollout.Apply) {
	if r.accepted == nil {
		return
	}
	before := rollout.Version{Revision: r.accepted.Revision, Digest: r.accepted.Digest}
	if a.Version.Compare(before) <= 0 {
		r.w.fail("%s goes from configuration %v to %v", r.member.Name, before, a.Version)
	}
}

// checkServes checks that a router that begins to serve is not behind what
// those that it could always talk to have had for a while.
func (r *Router) checkServes() {
	if r.watch.served || !r.ready() {
		return
	}
	r.watch.served = true
	if r.watch.started.Sub(r.w.troubleAt) < -tickInterval {
		return
	}
	own, _ := r.tracker.InForce()
	limit := r.w.now.Add(-rollout.DefaultOptions().AnswerMaxAge - tickInterval)
	for _, p := range r.talkers() {
		held, _ := p.tracker.InForce()
		if held.Compare(own) > 0 && held != r.watch.missing || held.Compare(own) > 0 && r.watch.missingSince.Before(limit) {
			r.w.fail("%s serves configuration %v, %s has %v", r.member.Name, own, p.member.Name, held)
		}
	}
}

// checkOpen checks that calls and demands that are given up end at once.
func (r *Router) checkOpen() {
	if r.w.now.Sub(r.watch.resumed) < openLimit {
		return
	}
	for _, call := range r.openCalls() {
		if age := r.w.now.Sub(call.sent); age > openLimit {
			r.w.fail("operation %d has no final answer after %v", call.op.Number, age)
		}
	}
	for _, d := range r.broker.sorted() {
		overdue := min(r.now().Sub(d.event.Deadline), r.now().Sub(d.asked))
		if !d.granted && overdue > overdueLimit {
			r.w.fail("%s keeps demand %d after its deadline", r.member.Name, d.event.ID.Seq)
		}
	}
}

// checkWaits checks that a request that cannot start any more does not wait.
func (r *Router) checkWaits(j *job) {
	if late := r.now().Sub(j.startBy); late > 0 {
		r.w.fail("operation %d waits %v after it had to start", j.call.op.Number, late)
	}
}

// checkRefused checks that a refusal has ended its request.
func (r *Router) checkRefused(x *execution, code v1.Code) {
	if !x.replied {
		r.w.fail("operation %d is not answered at its refusal with %v", x.call.op.Number, code)
	}
}

// checkQueue checks the bound of the queue.
func (r *Router) checkQueue(s *pool.Scheduler) {
	if n := s.Queued(); n > workspaces*MaxQueued {
		r.w.fail("%s queues %d demands", r.member.Name, n)
	}
}

// checkRetry counts a repeated attempt against the budget.
func (r *Router) checkRetry() {
	r.watch.retries++
	r.w.Stats.Retries++
	elapsed := r.w.now.Sub(r.watch.started).Seconds()
	limit := retryBurst + float64(r.watch.requests*retryPercent)/percent + elapsed*retryFloor
	if float64(r.watch.retries) > limit+1 {
		r.w.fail("%s made %d retries, limit %v", r.member.Name, r.watch.retries, limit)
	}
}

// lossTold notes that the loss of a target is told to the caller.
func (w *World) lossTold(op *Operation) {
	w.Stats.Lost++
	op.losses = append(op.losses, w.now)
}

// informed returns whether a router must know of an earlier loss when it gets a
// call that was sent after it: routers could talk before and since.
func (w *World) informed(r *Router, c *Call) bool {
	if r.w.trouble() || !r.watch.served {
		return false
	}
	return slices.ContainsFunc(c.op.losses, func(lost time.Time) bool {
		return c.sent.After(lost) && lost.Sub(w.troubleAt) > calmTime
	})
}

// poisoned counts the targets that an operation took down, also those that are
// lost only after the router has given the request up.
func (w *World) poisoned(a *attempt) {
	op := a.call.op
	op.lost = append(op.lost, a.target.name)
	if len(op.lost) > maxLosses && w.calmSince(op.firstSent) {
		w.fail("operation %d took down targets %v while all routers could talk", op.Number, op.lost)
	}
	if !a.informed {
		return
	}
	op.informedLosses++
	if op.informedLosses > maxInformedLosses {
		w.fail("operation %d took down targets %v", op.Number, op.lost)
	}
}

// calmSince returns whether routers could talk all the time from calmTime before
// then on.
func (w *World) calmSince(then time.Time) bool {
	return !w.trouble() && then.Sub(w.troubleAt) > calmTime
}

// checkExit checks that a planned stop cuts nothing off and that no other
// router takes it for the holder of a role.
func (r *Router) checkExit() {
	for _, call := range r.openCalls() {
		if call.taken {
			r.w.fail("%s stops while operation %d is in progress", r.member.Name, call.op.Number)
		}
	}
	if r.working > 0 {
		r.w.fail("%s stops while %d requests are in progress", r.member.Name, r.working)
	}
	if r.w.now.Sub(r.w.troubleAt) < calmTime {
		return
	}
	for _, p := range r.talkers() {
		for _, m := range p.view.Reachable() {
			if m.Name == r.member.Name {
				r.w.fail("%s takes %s for reachable at its end", p.member.Name, m.Name)
			}
		}
	}
}
