package pool

import (
	"slices"
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const (
	// maxUnanswered bounds the copies of a request that may take down a target
	// before one is answered: those that are admitted, and those that were given
	// up and may still be executed.
	maxUnanswered = 2
	// patience is how long an admitted copy may run without an answer before
	// another one is admitted.
	patience = 3 * time.Second
	// proofTime is how long copies of an answered request are admitted freely.
	proofTime = time.Minute
)

// content is what is known of the requests of one digest. Its timer is the end
// of the proof or of the first unresolved copy.
type content struct {
	timer
	digest uint32
	// admitted holds the copies that wait for a slot or have one.
	admitted []*demand
	// held holds, in the order of arrival, the copies that wait for an answer to
	// another one.
	held []*demand
	// unresolved holds until when copies that were given up may be executed.
	unresolved []time.Time
	// provenUntil is when the proof ends that a target answers the request.
	provenUntil time.Time
}

// admits reports whether another copy may be sent to a target.
func (c *content) admits(now time.Time) bool {
	if now.Before(c.provenUntil) {
		return true
	}
	fresh := slices.ContainsFunc(c.admitted, func(d *demand) bool { return d.fresh(now) })
	return !fresh && len(c.admitted)+len(c.unresolved) < maxUnanswered
}

// fresh reports whether an admitted copy may be answered soon.
func (d *demand) fresh(now time.Time) bool {
	return d.router.joined && (!d.granted() || now.Before(d.grantedAt.Add(patience)))
}

func (c *content) empty(now time.Time) bool {
	return len(c.admitted) == 0 && len(c.held) == 0 && len(c.unresolved) == 0 && !now.Before(c.provenUntil)
}

// contentOf returns what is known of a digest, or nil for the digest zero.
func (s *Scheduler) contentOf(digest uint32) *content {
	if digest == 0 {
		return nil
	}
	c := s.contents[digest]
	if c == nil {
		c = &content{digest: digest}
		c.owner = c
		s.contents[digest] = c
	}
	return c
}

// admitCopy counts a copy that waits for a slot or has one.
func (s *Scheduler) admitCopy(d *demand) {
	if c := s.contentOf(d.digest); c != nil && !slices.Contains(c.admitted, d) {
		c.admitted = append(c.admitted, d)
	}
}

// hold makes a demand wait while its content admits no copy. It reports whether
// the demand waits or was refused.
func (s *Scheduler) hold(d *demand) bool {
	c := s.contentOf(d.digest)
	if c == nil || c.admits(s.now) {
		s.admitCopy(d)
		return false
	}
	w := d.workspace
	if w.full(d.bytes) {
		s.refuse(d, v1.Code_QUEUE_FULL, s.retryAfter(d))
		return true
	}
	c.held = append(c.held, d)
	d.held = true
	w.held++
	w.bytes += d.bytes
	s.timers.set(&d.timer, d.deadline)
	s.askFirstByte(c)
	s.armContent(c)
	return true
}

// askFirstByte asks to be told of the first byte of the answers that others
// wait for.
func (s *Scheduler) askFirstByte(c *content) {
	for _, d := range c.admitted {
		if !d.asked {
			d.asked = true
			s.emit(AskFirstByte{ID: d.id})
		}
	}
}

// recheck lets the end of the step see to the copies that wait for d.
func (s *Scheduler) recheck(d *demand) {
	if c := s.contents[d.digest]; c != nil {
		s.freed = append(s.freed, c)
	}
}

// unhold takes d off its content's held copies.
func (s *Scheduler) unhold(d *demand) {
	if !d.held {
		return
	}
	c := s.contents[d.digest]
	i := slices.Index(c.held, d)
	c.held = slices.Delete(c.held, i, i+1)
	d.held = false
	d.workspace.held--
	d.workspace.bytes -= d.bytes
}

// leaveContent forgets a copy. Others may be admitted at the end of the step.
func (s *Scheduler) leaveContent(d *demand) {
	c := s.contents[d.digest]
	if c == nil {
		return
	}
	s.unhold(d)
	if i := slices.Index(c.admitted, d); i >= 0 {
		c.admitted = slices.Delete(c.admitted, i, i+1)
	}
	s.freed = append(s.freed, c)
}

// judge takes in how a copy ended.
func (s *Scheduler) judge(d *demand, e Done) {
	c := s.contents[d.digest]
	if c == nil {
		return
	}
	switch e.Outcome {
	case v1.Outcome_SERVED, v1.Outcome_FAILED:
		s.prove(c, d)
	case v1.Outcome_LOST, v1.Outcome_ABANDONED:
		if e.Unresolved > 0 {
			c.unresolved = append(c.unresolved, s.now.Add(e.Unresolved))
		}
		if e.Outcome == v1.Outcome_LOST {
			c.provenUntil = time.Time{}
		}
		s.armContent(c)
	}
}

// prove records that a target answers the request. Only requests with copies
// that had to wait are remembered.
func (s *Scheduler) prove(c *content, d *demand) {
	if len(c.held) == 0 && !d.asked {
		return
	}
	c.provenUntil = s.now.Add(proofTime)
	s.armContent(c)
	s.freed = append(s.freed, c)
}

func (s *Scheduler) firstByte(e FirstByte) {
	d := s.find(e.ID)
	if d == nil || !d.granted() {
		return
	}
	if c := s.contents[d.digest]; c != nil {
		s.prove(c, d)
	}
}

// armContent sets the timer to the next change that time brings.
func (s *Scheduler) armContent(c *content) {
	var next time.Time
	changes := append(slices.Clone(c.unresolved), c.provenUntil)
	for _, d := range c.admitted {
		if d.granted() && len(c.held) > 0 {
			changes = append(changes, d.grantedAt.Add(patience))
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

// due implements timed.
func (c *content) due(s *Scheduler) {
	c.unresolved = slices.DeleteFunc(c.unresolved, func(at time.Time) bool { return !at.After(s.now) })
	s.armContent(c)
	s.freed = append(s.freed, c)
}

// admitHeld admits held copies after the step's changes, behind the demands
// that wait for slots.
func (s *Scheduler) admitHeld() {
	for len(s.freed) > 0 {
		c := s.freed[0]
		s.freed = s.freed[1:]
		for len(c.held) > 0 && c.admits(s.now) {
			s.admitFirst(c)
		}
		if len(c.held) > 0 {
			s.askFirstByte(c)
			s.armContent(c)
		}
		if c.empty(s.now) && s.contents[c.digest] == c {
			s.timers.stop(&c.timer)
			delete(s.contents, c.digest)
		}
	}
}

// admitFirst seats the first held copy, or refuses it.
func (s *Scheduler) admitFirst(c *content) {
	d := c.held[0]
	s.unhold(d)
	s.timers.stop(&d.timer)
	s.admitCopy(d)
	s.dispatch()
	if s.workspaces[d.workspace.ID] != d.workspace {
		s.refuse(d, v1.Code_NOT_ALLOWED, 0)
		return
	}
	if code := s.admissible(d, d.exclude); code != v1.Code_OK {
		s.refuse(d, code, s.retryAfter(d))
		return
	}
	s.seat(d)
}
