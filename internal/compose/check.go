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
	leavingTimeLimit = 3 * time.Second
	rolloutTimeLimit = 5 * time.Second
	// undisruptedTime is how long routers must have been able to talk before a loss
	// for all to learn of it.
	undisruptedTime = 5 * time.Second
	// maxCallTime is the longest time of a call at a router that is not paused.
	maxCallTime = totalTimeout + 2*forwardGrace + maxClaimRounds*claimTimeout
	// maxDemandOverdue allows for the interval of the sweep.
	maxDemandOverdue = answerGrace + 2*tickInterval
	// maxInformedLosses is the number of targets that a request may take down
	// after a first one, while routers can talk.
	maxInformedLosses = 1
	// maxLosses is the number of targets that a request may take down while
	// routers can talk, also when it is sent many times at once.
	maxLosses = 2
)

// checkState is what the checks remember of a router.
type checkState struct {
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

func newCheckState() checkState { return checkState{leaving: map[string]time.Time{}} }

// reset forgets what a paused router could have known.
func (s *checkState) reset() {
	s.missingSince = time.Time{}
	clear(s.leaving)
}

// checkRouters is run at each interval.
func (sim *Simulation) checkRouters() {
	if sim.disrupted() {
		sim.lastDisruption = sim.now
	}
	for _, r := range sim.Routers {
		if !r.alive || r.paused {
			r.checkState.reset()
			continue
		}
		r.checkRollout()
		r.checkFirstServedVersion()
		r.updateLeaving()
		r.checkOpen()
	}
	sim.after(nil, tickInterval, sim.checkRouters)
}

// checkRun checks a run at a target against all earlier ones.
func (sim *Simulation) checkRun(a *attempt, run *TargetRun) {
	op := a.call.op
	if a.call.toldNotRun {
		sim.fail("operation %d runs after NO was told", op.Number)
	}
	if op.Idempotent {
		return
	}
	for _, earlier := range sim.runs[op] {
		if earlier.call == run.call || op.Key != "" && sim.mustRemember(op, earlier) {
			sim.fail("operation %d with key %q runs twice", op.Number, op.Key)
		}
	}
}

// mustRemember returns whether a run must be known under the operation's key.
func (sim *Simulation) mustRemember(op *Operation, run *TargetRun) bool {
	return requestkey.IsIssued(op.Key) || sim.now.Before(run.begunAt.Add(sim.opts.Keys.Lifetime))
}

// checkFinal checks the decision of a router on a request. NO holds for a key
// at the time of the decision: another call may run while the result is relayed
// to a router that is paused.
func (r *Router) checkFinal(req *request, result Result) {
	if result.Ran != v1.Ran_NO {
		return
	}
	op := req.call.op
	req.call.toldNotRun = true
	for _, run := range r.sim.runs[op] {
		ofKey := op.Key != "" && !req.relayed && r.sim.mustRemember(op, run)
		if run.call == req.call || ofKey {
			r.sim.fail("%v with NO is told of operation %d, which ran", result.Code, op.Number)
		}
	}
}

// checkAnswer checks that an answer is whole and the caller's own.
func (sim *Simulation) checkAnswer(c *Call) {
	f := c.Result
	if f.Code != v1.Code_OK && f.Code != v1.Code_REPLAYED {
		if f.Body != "" {
			sim.fail("operation %d got a body with %v", c.op.Number, f.Code)
		}
		return
	}
	own := slices.ContainsFunc(sim.runs[c.op], func(run *TargetRun) bool {
		return run.body == f.Body && (c.op.Key != "" || run.call == c)
	})
	if !own {
		sim.fail("operation %d got the answer %q", c.op.Number, f.Body)
	}
}

// checkGrant checks that a leaving target gets no new work.
func (r *Router) checkGrant(g pool.Grant) {
	r.sim.Stats.Grants++
	name := r.sim.targets[g.Target].name
	since, known := r.checkState.leaving[name]
	if late := r.sim.now.Sub(since); known && late > leavingTimeLimit {
		r.sim.fail("%s grants leaving target %s after %v", r.member.Name, name, late)
	}
}

// updateLeaving notes since when the router could know of leaving targets.
func (r *Router) updateLeaving() {
	for _, t := range r.sim.Targets {
		_, known := r.checkState.leaving[t.name]
		switch {
		case !r.couldKnowLeaving(t.name):
			delete(r.checkState.leaving, t.name)
		case !known:
			r.checkState.leaving[t.name] = r.sim.now
		}
	}
}

func (r *Router) couldKnowLeaving(target string) bool {
	if r.view.TargetLeaving(target) {
		return true
	}
	return slices.ContainsFunc(r.contacts(), func(p *Router) bool { return p.view.TargetLeaving(target) })
}

// contacts returns the routers with which messages are exchanged in time. One of
// two routers has to know the address of the other.
func (r *Router) contacts() []*Router {
	if r.sim.LossPercent > 0 || r.sim.Slow {
		return nil
	}
	var list []*Router
	for _, p := range r.sim.Routers {
		if p != r && p.alive && !p.paused && r.sim.connected(p.zone, r.zone) && (r.knowsAddress(p) || p.knowsAddress(r)) {
			list = append(list, p)
		}
	}
	return list
}

// knowsAddress returns whether a peer's address is known.
func (r *Router) knowsAddress(p *Router) bool {
	_, ok := r.view.Lookup(p.member.Name)
	return ok
}

// checkRollout checks that the newest configuration arrives in time.
func (r *Router) checkRollout() {
	newest := r.sim.Platform.newestAcceptable().version
	version, _ := r.tracker.InForce()
	offered := r.sim.Platform.provides(r.zone, newest)
	for _, p := range r.contacts() {
		held, _ := p.tracker.InForce()
		offered = offered || held == newest
	}
	switch {
	case version == newest || !offered || r.sim.LossPercent > 0 || r.sim.Slow:
		r.checkState.missingSince = time.Time{}
	case r.checkState.missingSince.IsZero() || r.checkState.missing != newest:
		r.checkState.missing, r.checkState.missingSince = newest, r.sim.now
	case r.sim.now.Sub(r.checkState.missingSince) > rolloutTimeLimit:
		r.sim.fail("%s lacks configuration %v since %v", r.member.Name, newest, r.checkState.missingSince.UTC())
	}
}

// checkApply checks that what is in force does not go back.
func (r *Router) checkApply(a rollout.Apply) {
	if r.accepted == nil {
		return
	}
	before := rollout.Version{Revision: r.accepted.Revision, Digest: r.accepted.Digest}
	if a.Version.Compare(before) <= 0 {
		r.sim.fail("%s goes from configuration %v to %v", r.member.Name, before, a.Version)
	}
}

// checkFirstServedVersion checks that a router that begins to serve is not behind what
// those that it could always talk to have had for a while.
func (r *Router) checkFirstServedVersion() {
	if r.checkState.served || !r.ready() {
		return
	}
	r.checkState.served = true
	if r.checkState.started.Sub(r.sim.lastDisruption) < -tickInterval {
		return
	}
	own, _ := r.tracker.InForce()
	limit := r.sim.now.Add(-rollout.DefaultOptions().AnswerMaxAge - tickInterval)
	for _, p := range r.contacts() {
		held, _ := p.tracker.InForce()
		if held.Compare(own) > 0 && held != r.checkState.missing || held.Compare(own) > 0 && r.checkState.missingSince.Before(limit) {
			r.sim.fail("%s serves configuration %v, %s has %v", r.member.Name, own, p.member.Name, held)
		}
	}
}

// checkOpen checks that calls and demands that are given up end at once.
func (r *Router) checkOpen() {
	if r.sim.now.Sub(r.checkState.resumed) < maxCallTime {
		return
	}
	for _, call := range r.openCalls() {
		if age := r.sim.now.Sub(call.sentAt); age > maxCallTime {
			r.sim.fail("operation %d has no final answer after %v", call.op.Number, age)
		}
	}
	for _, d := range r.broker.sortedDemands() {
		overdue := min(r.now().Sub(d.event.Deadline), r.now().Sub(d.askedAt))
		if !d.granted && overdue > maxDemandOverdue {
			r.sim.fail("%s keeps demand %d after its deadline", r.member.Name, d.event.ID.Seq)
		}
	}
}

// checkSuspectWait checks that a request that cannot start any more does not wait.
func (r *Router) checkSuspectWait(s *attemptSeries) {
	if late := r.now().Sub(s.startBy); late > 0 {
		r.sim.fail("operation %d waits %v after it had to start", s.call.op.Number, late)
	}
}

// checkRefused checks that a refusal has ended its request.
func (r *Router) checkRefused(req *request, code v1.Code) {
	if !req.replied {
		r.sim.fail("operation %d is not answered at its refusal with %v", req.call.op.Number, code)
	}
}

// checkQueue checks the bound of the queue.
func (r *Router) checkQueue(s *pool.Scheduler) {
	if n := s.Queued(); n > workspaceCount*MaxQueued {
		r.sim.fail("%s queues %d demands", r.member.Name, n)
	}
}

// checkRetry counts a repeated attempt against the budget.
func (r *Router) checkRetry() {
	r.checkState.retries++
	r.sim.Stats.Retries++
	elapsed := r.sim.now.Sub(r.checkState.started).Seconds()
	limit := retryBurst + float64(r.checkState.requests*retryPercent)/percentBase + elapsed*retryFloor
	if float64(r.checkState.retries) > limit+1 {
		r.sim.fail("%s made %d retries, limit %v", r.member.Name, r.checkState.retries, limit)
	}
}

// recordReportedLoss notes that the loss of a target is told to the caller.
func (sim *Simulation) recordReportedLoss(op *Operation) {
	sim.Stats.Lost++
	op.reportedLosses = append(op.reportedLosses, sim.now)
}

// mustKnowLoss returns whether a router must know of an earlier loss when it gets a
// call that was sent after it: routers could talk before and since.
func (sim *Simulation) mustKnowLoss(r *Router, c *Call) bool {
	if r.sim.disrupted() || !r.checkState.served {
		return false
	}
	return slices.ContainsFunc(c.op.reportedLosses, func(lost time.Time) bool {
		return c.sentAt.After(lost) && lost.Sub(sim.lastDisruption) > undisruptedTime
	})
}

// recordTargetCrash counts the targets that an operation took down, also those that are
// lost only after the router has given the request up.
func (sim *Simulation) recordTargetCrash(a *attempt) {
	op := a.call.op
	op.lostTargets = append(op.lostTargets, a.target.name)
	if len(op.lostTargets) > maxLosses && sim.undisruptedSince(op.firstSent) {
		sim.fail("operation %d took down targets %v while all routers could talk", op.Number, op.lostTargets)
	}
	if !a.mustKnowLoss {
		return
	}
	op.informedLosses++
	if op.informedLosses > maxInformedLosses {
		sim.fail("operation %d took down targets %v", op.Number, op.lostTargets)
	}
}

// undisruptedSince returns whether routers could talk all the time from calmTime before
// then on.
func (sim *Simulation) undisruptedSince(since time.Time) bool {
	return !sim.disrupted() && since.Sub(sim.lastDisruption) > undisruptedTime
}

// checkExit checks that a planned stop cuts nothing off and that no other
// router takes it for the holder of a role.
func (r *Router) checkExit() {
	for _, call := range r.openCalls() {
		if call.received {
			r.sim.fail("%s stops while operation %d is in progress", r.member.Name, call.op.Number)
		}
	}
	if r.executing > 0 {
		r.sim.fail("%s stops while %d requests are in progress", r.member.Name, r.executing)
	}
	if r.sim.now.Sub(r.sim.lastDisruption) < undisruptedTime {
		return
	}
	for _, p := range r.contacts() {
		for _, m := range p.view.Reachable() {
			if m.Name == r.member.Name {
				r.sim.fail("%s takes %s for reachable at its end", p.member.Name, m.Name)
			}
		}
	}
}
