package pool

import (
	"slices"
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const (
	// maxUnanswered bounds the copies of a request that may run before a target has
	// answered one, because each may crash its target. It counts the admitted copies,
	// and those that were given up and may still be executed.
	maxUnanswered = 2
	// nextCopyDelay is how long an admitted copy runs without an answer before
	// another one may be admitted.
	nextCopyDelay = 3 * time.Second
	// answeredTTL is how long after an answer the copies of the request are admitted
	// without a limit.
	answeredTTL = time.Minute
)

// copyGroup is the state of the demands with one digest, which are copies of one
// request. Its timer is the next time at which another copy may become admissible
// without an event.
type copyGroup struct {
	timer
	digest uint32
	// admitted holds the copies that wait in a queue for a slot, or have one.
	admitted []*demand
	// held holds the copies that wait for the answer to an admitted one, in the
	// order of arrival.
	held []*demand
	// unresolved holds, for each copy that was given up, the time until which a
	// target may still execute it.
	unresolved []time.Time
	// answeredUntil is the time until which the request counts as answered.
	answeredUntil time.Time
}

// admitsCopy reports whether another copy may be sent to a target: the request
// counts as answered, or fewer than maxUnanswered copies may run and none of them
// is expected to answer soon.
func (c *copyGroup) admitsCopy(now time.Time) bool {
	if now.Before(c.answeredUntil) {
		return true
	}
	awaited := slices.ContainsFunc(c.admitted, func(d *demand) bool { return d.mayAnswerSoon(now) })
	return !awaited && len(c.admitted)+len(c.unresolved) < maxUnanswered
}

// mayAnswerSoon reports whether an admitted copy waits for a slot, or has one for
// less than nextCopyDelay, and its router is connected.
func (d *demand) mayAnswerSoon(now time.Time) bool {
	return d.router.joined && (!d.granted() || now.Before(d.grantedAt.Add(nextCopyDelay)))
}

func (c *copyGroup) empty(now time.Time) bool {
	return len(c.admitted) == 0 && len(c.held) == 0 && len(c.unresolved) == 0 && !now.Before(c.answeredUntil)
}

// copyGroupOf returns the copy group of a digest, and adds it if there is none. For
// the digest zero it returns nil.
func (s *Scheduler) copyGroupOf(digest uint32) *copyGroup {
	if digest == 0 {
		return nil
	}
	c := s.copyGroups[digest]
	if c == nil {
		c = &copyGroup{digest: digest}
		c.owner = c
		s.copyGroups[digest] = c
	}
	return c
}

// admitCopy adds a copy to the admitted ones of its copy group.
func (s *Scheduler) admitCopy(d *demand) {
	if c := s.copyGroupOf(d.digest); c != nil && !slices.Contains(c.admitted, d) {
		c.admitted = append(c.admitted, d)
	}
}

// holdCopy holds a demand if its copy group admits no copy now, or refuses it if the
// workspace's queue is full. It returns false if the demand is neither held nor
// refused; the demand is then an admitted copy.
func (s *Scheduler) holdCopy(d *demand) bool {
	c := s.copyGroupOf(d.digest)
	if c == nil || c.admitsCopy(s.now) {
		s.admitCopy(d)
		return false
	}
	w := d.workspace
	if w.exceedsBounds(d.bytes) {
		s.refuse(d, v1.Code_QUEUE_FULL, s.retryAfter(d))
		return true
	}
	c.held = append(c.held, d)
	d.held = true
	w.held++
	w.bytes += d.bytes
	s.timers.set(&d.timer, d.deadline)
	s.askFirstByte(c)
	s.armCopyTimer(c)
	return true
}

// askFirstByte asks the routers of the admitted copies, once for each copy, to report
// the first byte of the answer.
func (s *Scheduler) askFirstByte(c *copyGroup) {
	for _, d := range c.admitted {
		if !d.firstByteAsked {
			d.firstByteAsked = true
			s.emit(AskFirstByte{ID: d.id})
		}
	}
}

// recheckCopies makes admitHeldCopies look at the copies of d at the end of the step.
func (s *Scheduler) recheckCopies(d *demand) {
	if c := s.copyGroups[d.digest]; c != nil {
		s.copyGroupsToRecheck = append(s.copyGroupsToRecheck, c)
	}
}

// unholdCopy removes d from the held copies of its group.
func (s *Scheduler) unholdCopy(d *demand) {
	if !d.held {
		return
	}
	c := s.copyGroups[d.digest]
	i := slices.Index(c.held, d)
	c.held = slices.Delete(c.held, i, i+1)
	d.held = false
	d.workspace.held--
	d.workspace.bytes -= d.bytes
}

// leaveCopyGroup removes a copy from its group. Others may be admitted at the end of
// the step.
func (s *Scheduler) leaveCopyGroup(d *demand) {
	c := s.copyGroups[d.digest]
	if c == nil {
		return
	}
	s.unholdCopy(d)
	if i := slices.Index(c.admitted, d); i >= 0 {
		c.admitted = slices.Delete(c.admitted, i, i+1)
	}
	s.copyGroupsToRecheck = append(s.copyGroupsToRecheck, c)
}

// recordCopyOutcome updates the copy group of d by the outcome of d. An answer lifts
// the limit on copies, a lost copy restores it. A copy that its target may still
// execute counts as unresolved.
func (s *Scheduler) recordCopyOutcome(d *demand, e Done) {
	c := s.copyGroups[d.digest]
	if c == nil {
		return
	}
	switch e.Outcome {
	case v1.Outcome_SERVED, v1.Outcome_FAILED:
		s.recordAnswered(c, d)
	case v1.Outcome_LOST, v1.Outcome_ABANDONED:
		if e.Unresolved > 0 {
			c.unresolved = append(c.unresolved, s.now.Add(e.Unresolved))
		}
		if e.Outcome == v1.Outcome_LOST {
			c.answeredUntil = time.Time{}
		}
		s.armCopyTimer(c)
	}
}

// recordAnswered records that a target answered the request. It does so only for
// requests of which copies had to wait, so that others leave no state.
func (s *Scheduler) recordAnswered(c *copyGroup, d *demand) {
	if len(c.held) == 0 && !d.firstByteAsked {
		return
	}
	c.answeredUntil = s.now.Add(answeredTTL)
	s.armCopyTimer(c)
	s.copyGroupsToRecheck = append(s.copyGroupsToRecheck, c)
}

func (s *Scheduler) handleFirstByte(e FirstByte) {
	d := s.findDemand(e.ID)
	if d == nil || !d.granted() {
		return
	}
	if c := s.copyGroups[d.digest]; c != nil {
		s.recordAnswered(c, d)
	}
}

// armCopyTimer arms the timer for the next time at which an unresolved copy ends, the
// answer expires, or nextCopyDelay is over for a copy that others wait for.
func (s *Scheduler) armCopyTimer(c *copyGroup) {
	var next time.Time
	changes := append(slices.Clone(c.unresolved), c.answeredUntil)
	for _, d := range c.admitted {
		if d.granted() && len(c.held) > 0 {
			changes = append(changes, d.grantedAt.Add(nextCopyDelay))
		}
	}
	for _, at := range changes {
		if at.After(s.now) && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	if next.IsZero() {
		s.timers.stop(&c.timer)
		return
	}
	s.timers.set(&c.timer, next)
}

// timerFired implements timerOwner. It drops the unresolved copies whose time is over.
func (c *copyGroup) timerFired(s *Scheduler) {
	c.unresolved = slices.DeleteFunc(c.unresolved, func(at time.Time) bool { return !at.After(s.now) })
	s.armCopyTimer(c)
	s.copyGroupsToRecheck = append(s.copyGroupsToRecheck, c)
}

// admitHeldCopies admits held copies at the end of a step. Demands that wait in queues
// get free slots first. It also forgets copy groups without state.
func (s *Scheduler) admitHeldCopies() {
	for len(s.copyGroupsToRecheck) > 0 {
		c := s.copyGroupsToRecheck[0]
		s.copyGroupsToRecheck = s.copyGroupsToRecheck[1:]
		for len(c.held) > 0 && c.admitsCopy(s.now) {
			s.admitFirstHeld(c)
		}
		if len(c.held) > 0 {
			s.askFirstByte(c)
			s.armCopyTimer(c)
		}
		if c.empty(s.now) && s.copyGroups[c.digest] == c {
			s.timers.stop(&c.timer)
			delete(s.copyGroups, c.digest)
		}
	}
}

// admitFirstHeld grants a slot to the first held copy, puts it in its workspace's
// queue, or refuses it.
func (s *Scheduler) admitFirstHeld(c *copyGroup) {
	d := c.held[0]
	s.unholdCopy(d)
	s.timers.stop(&d.timer)
	s.admitCopy(d)
	s.dispatch()
	if s.workspaces[d.workspace.ID] != d.workspace {
		s.refuse(d, v1.Code_NOT_ALLOWED, 0)
		return
	}
	if code := s.admissionCode(d, d.exclude); code != v1.Code_OK {
		s.refuse(d, code, s.retryAfter(d))
		return
	}
	s.grantOrEnqueue(d)
}
