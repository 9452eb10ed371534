package compose

import (
	"slices"
	"time"

	"github.com/chiveseam/chiveseam/pool"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/requestkey"
	"github.com/chiveseam/chiveseam/rollout"
)

// Limits that the checks enforce.
const (
	// leavingTimeLimit is the time after which a scheduler that could know that a target
	// is leaving grants no more slots on it.
	leavingTimeLimit = 3 * time.Second
	// rolloutTimeLimit is the time in which a router that can get the newest
	// configuration puts it into force.
	rolloutTimeLimit = 5 * time.Second
	// undisruptedTime is the time without disruption that must precede the loss of a
	// target for all routers to learn of the loss, and the end of a planned stop for its
	// guarantees to hold.
	undisruptedTime = 5 * time.Second
	// maxCallTime bounds the time of a call at a router that is not paused.
	maxCallTime = totalTimeout + 2*forwardGrace + maxClaimRounds*claimTimeout
	// maxDemandOverdue is the time after its deadline at which a waiting demand must have
	// ended. It allows for the tick that ends expired demands.
	maxDemandOverdue = answerGrace + 2*tickInterval
	// maxInformedLosses bounds the targets that one operation crashes in attempts of
	// routers that must know of an earlier loss.
	maxInformedLosses = 1
	// maxLosses bounds the targets that one operation crashes while the fleet is not
	// disrupted, also if it is sent many times at once.
	maxLosses = 2
)

// checkState is what the checks remember of one router incarnation.
type checkState struct {
	// started and resumed are the times of the start and of the end of the last pause.
	started, resumed time.Time
	// served is set once a check has found the router ready.
	served bool
	// requests and retries count what the retry budget bounds.
	requests, retries int
	// missing is the newest configuration version, which the router does not have in force
	// although it could have got it since missingSince. missing is valid only while
	// missingSince is not zero.
	missing      rollout.Version
	missingSince time.Time
	// leaving holds, for each leaving target, the time since which the router could know
	// that it leaves.
	leaving map[string]time.Time
}

func newCheckState() checkState { return checkState{leaving: map[string]time.Time{}} }

// reset restarts the times since which the router could have known something. It is called
// for a router that is paused, has ended or resumes.
func (s *checkState) reset() {
	s.missingSince = time.Time{}
	clear(s.leaving)
}

// checkRouters checks all running routers. It is called every tickInterval.
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

// checkRun checks a run at a target against the earlier runs of the operation. An operation
// that is not idempotent runs at most once for each call, and at most once for each key
// while the key is remembered. None runs for a call that was ended with Ran NO.
func (sim *Simulation) checkRun(a *attempt, run *TargetRun) {
	op := a.call.op
	if a.call.toldNotRun {
		sim.fail("operation %d runs after its call was ended with Ran NO", op.Number)
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

// mustRemember returns whether the routers must still remember the run under the key of the
// operation.
func (sim *Simulation) mustRemember(op *Operation, run *TargetRun) bool {
	return requestkey.IsIssued(op.Key) || sim.now.Before(run.begunAt.Add(sim.opts.Keys.Lifetime))
}

// checkFinal checks the result of a request at a router: Ran NO requires that neither the
// call nor, for a request with a key, any remembered call with the key has run. NO holds only
// at the time of the owner's decision, because another call may run while the result is on
// its way to a paused router. A relayed result is therefore checked against the runs of its
// own call only.
func (r *Router) checkFinal(req *request, result Result) {
	if result.Ran != v1.Ran_NO {
		return
	}
	op := req.call.op
	req.call.toldNotRun = true
	for _, run := range r.sim.runs[op] {
		ofKey := op.Key != "" && !req.relayed && r.sim.mustRemember(op, run)
		if run.call == req.call || ofKey {
			r.sim.fail("%v with Ran NO ends a call of operation %d, which ran", result.Code, op.Number)
		}
	}
}

// checkAnswer checks that the answer of a call comes from a run of its operation. If the
// operation has no key, the run must belong to this call. A failed call must have no body.
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
		sim.fail("operation %d got the answer %q of another request", c.op.Number, f.Body)
	}
}

// checkGrant checks that a scheduler grants no slot on a target that it could know to be
// leaving for longer than leavingTimeLimit.
func (r *Router) checkGrant(g pool.Grant) {
	r.sim.Stats.Grants++
	name := r.sim.targets[g.Target].name
	since, known := r.checkState.leaving[name]
	if late := r.sim.now.Sub(since); known && late > leavingTimeLimit {
		r.sim.fail("%s grants leaving target %s after %v", r.member.Name, name, late)
	}
}

// updateLeaving sets checkState.leaving to the current time for each target that the router
// can newly know to be leaving, and deletes the entries of all that it cannot know to be.
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

// couldKnowLeaving returns whether the router or a router in contact with it knows that a
// target is leaving.
func (r *Router) couldKnowLeaving(target string) bool {
	if r.view.TargetLeaving(target) {
		return true
	}
	return slices.ContainsFunc(r.contacts(), func(p *Router) bool { return p.view.TargetLeaving(target) })
}

// contacts returns the routers that can exchange messages with this one without loss or
// delay. One of the two routers has to know the address of the other.
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

// knowsAddress returns whether the router knows the address of a peer.
func (r *Router) knowsAddress(p *Router) bool {
	_, ok := r.view.Lookup(p.member.Name)
	return ok
}

// checkRollout checks that a router that can get the newest configuration, from the platform
// or from a router in contact, puts it into force within rolloutTimeLimit.
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

// checkApply checks that each configuration put into force is newer than the one before.
func (r *Router) checkApply(a rollout.Apply) {
	if r.accepted == nil {
		return
	}
	before := rollout.Version{Revision: r.accepted.Revision, Digest: r.accepted.Digest}
	if a.Version.Compare(before) <= 0 {
		r.sim.fail("%s replaces configuration %v by %v, which is not newer", r.member.Name, before, a.Version)
	}
}

// checkFirstServedVersion checks, when a router becomes ready, that no router in contact has
// a newer configuration in force. Only the newest configuration may be missing, and only if
// the router has been able to get it for no longer than AnswerMaxAge and one tick. The check
// is skipped if the fleet was disrupted more than a tick after the router's start.
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
		if held.Compare(own) > 0 && held != r.checkState.missing ||
			held.Compare(own) > 0 && r.checkState.missingSince.Before(limit) {
			r.sim.fail("%s begins to serve configuration %v, but %s has %v", r.member.Name, own, p.member.Name, held)
		}
	}
}

// checkOpen checks that calls end within maxCallTime and that waiting demands end within
// maxDemandOverdue of their deadline. A router is not checked for maxCallTime after a pause.
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

// checkSuspectWait checks that a suspect does not wait beyond the deadline for its start.
func (r *Router) checkSuspectWait(s *attemptSeries) {
	if late := r.now().Sub(s.startBy); late > 0 {
		r.sim.fail("operation %d still waits %v after the deadline for its start", s.call.op.Number, late)
	}
}

// checkRefused checks that a refused request was answered.
func (r *Router) checkRefused(req *request, code v1.Code) {
	if !req.replied {
		r.sim.fail("operation %d was not answered when it was refused with %v", req.call.op.Number, code)
	}
}

// checkQueue checks that a scheduler queues at most MaxQueued demands of each workspace in
// total.
func (r *Router) checkQueue(s *pool.Scheduler) {
	if n := s.Queued(); n > workspaceCount*MaxQueued {
		r.sim.fail("%s queues %d demands, which is above the limit", r.member.Name, n)
	}
}

// checkRetry counts a retry and checks that the router keeps within its retry budget.
func (r *Router) checkRetry() {
	r.checkState.retries++
	r.sim.Stats.Retries++
	elapsed := r.sim.now.Sub(r.checkState.started).Seconds()
	limit := retryBurst + float64(r.checkState.requests*retryPercent)/percentBase + elapsed*retryFloor
	if float64(r.checkState.retries) > limit+1 {
		r.sim.fail("%s made %d retries, limit %v", r.member.Name, r.checkState.retries, limit)
	}
}

// recordReportedLoss records the time at which the loss of a target is reported to the caller.
func (sim *Simulation) recordReportedLoss(op *Operation) {
	sim.Stats.Lost++
	op.reportedLosses = append(op.reportedLosses, sim.now)
}

// mustKnowLoss returns whether a router that makes an attempt for a call must know of an
// earlier loss by the operation. It must if it has been ready, the call was sent after the
// loss was reported, and the fleet was not disrupted from undisruptedTime before the report
// until now.
func (sim *Simulation) mustKnowLoss(r *Router, c *Call) bool {
	if r.sim.disrupted() || !r.checkState.served {
		return false
	}
	return slices.ContainsFunc(c.op.reportedLosses, func(lost time.Time) bool {
		return c.sentAt.After(lost) && lost.Sub(sim.lastDisruption) > undisruptedTime
	})
}

// recordTargetCrash records that an operation crashes a target and checks maxLosses and
// maxInformedLosses. It counts crashes after the router has given the attempt up, too.
func (sim *Simulation) recordTargetCrash(a *attempt) {
	op := a.call.op
	op.lostTargets = append(op.lostTargets, a.target.name)
	if len(op.lostTargets) > maxLosses && sim.undisruptedSince(op.firstSent) {
		sim.fail("operation %d crashed targets %v while the fleet was not disrupted", op.Number, op.lostTargets)
	}
	if !a.mustKnowLoss {
		return
	}
	op.informedLosses++
	if op.informedLosses > maxInformedLosses {
		sim.fail("operation %d crashed targets %v although the routers had to know of an earlier loss",
			op.Number, op.lostTargets)
	}
}

// undisruptedSince returns whether there was no disruption in the period that begins
// undisruptedTime before the given time and ends now.
func (sim *Simulation) undisruptedSince(since time.Time) bool {
	return !sim.disrupted() && since.Sub(sim.lastDisruption) > undisruptedTime
}

// checkExit checks that a planned stop cuts no request off. If the fleet was not disrupted for
// undisruptedTime, it also checks that no router in contact counts the router as reachable,
// since it could otherwise choose it as its scheduler.
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
				r.sim.fail("%s counts %s as reachable at the end of its planned stop", p.member.Name, m.Name)
			}
		}
	}
}
