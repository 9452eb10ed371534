package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/chiveseam/chiveseam/config"
)

// spareTargetShift is the position of the target in the number of a spare
// slot, from which an expired or unknown spare is still attributed.
const spareTargetShift = 32

// spare is a slot that was handed to a router. Its timer is the end of its
// grace.
type spare struct {
	timer
	id      uint64
	router  *router
	target  *target
	revoked bool
	// pos is the index in spareSet.usable while not revoked.
	pos int
}

// spareSet holds the spare slots that are handed out.
type spareSet struct {
	byID map[uint64]*spare
	// usable holds those that are not being revoked.
	usable []*spare
	next   uint32
	// demanders holds the routers with grants in this step.
	demanders []*router
}

func newSpareSet(seed uint64) spareSet {
	return spareSet{byID: map[uint64]*spare{}, next: uint32(seed ^ seed>>spareTargetShift)}
}

func (p *spareSet) add(sp *spare) {
	sp.pos = len(p.usable)
	p.usable = append(p.usable, sp)
	p.byID[sp.id] = sp
}

// unlist takes sp off the usable ones.
func (p *spareSet) unlist(sp *spare) {
	if sp.revoked {
		return
	}
	last := p.usable[len(p.usable)-1]
	p.usable[sp.pos] = last
	last.pos = sp.pos
	p.usable = p.usable[:len(p.usable)-1]
}

func (p *spareSet) newID(target config.ID) uint64 {
	p.next++
	return uint64(target)<<spareTargetShift | uint64(p.next)
}

// recent notes a demand of r, which attracts spare slots.
func (s *Scheduler) recent(r *router) {
	if s.options.MaxSpares <= 0 {
		return
	}
	r.demandRate.add(s.now, s.options.SpareTTL)
	s.spares.demanders = append(s.spares.demanders, r)
}

// balanceSpares hands out spare slots when nothing waits, and asks for them
// back when something does.
func (s *Scheduler) balanceSpares() {
	if s.waiting == 0 {
		for _, r := range s.spares.demanders {
			s.handSpare(r)
		}
	}
	s.spares.demanders = s.spares.demanders[:0]
	s.revokeContended()
}

// handSpare hands a spare slot to r within the bounds: the recent demand of r,
// Options.MaxSpares, and half of the free slots.
func (s *Scheduler) handSpare(r *router) {
	recent := int(r.demandRate.read(s.now, s.options.SpareTTL))
	if !r.joined || r.spares >= min(recent, s.options.MaxSpares) {
		return
	}
	t := s.chooseSpare(r.zone)
	if t == nil {
		return
	}
	sp := &spare{id: s.spares.newID(t.ID), router: r, target: t}
	sp.owner = sp
	s.spares.add(sp)
	r.spares++
	t.spares++
	s.updateOpen(t)
	expires := s.now.Add(s.options.SpareTTL)
	s.timers.set(&sp.timer, expires.Add(s.options.SpareGrace))
	s.emit(HandSpare{Router: r.Router, Spare: sp.id, Target: t.ID, Expires: expires, Rate: t.service.rate()})
}

// chooseSpare returns the best target whose slots are at most half in use. There
// is none before the routers have told which are.
func (s *Scheduler) chooseSpare(zone string) *target {
	if s.settling.active {
		return nil
	}
	var best *target
	for _, t := range s.open {
		if 2*t.free() <= t.usable || !t.healthy(zone, s.now) {
			continue
		}
		if best == nil || better(t, best, zone, nil) {
			best = t
		}
	}
	return best
}

// revokeContended asks for as many spare slots back as demands wait that may
// use them.
func (s *Scheduler) revokeContended() {
	pending := len(s.spares.byID) - len(s.spares.usable)
	for i := len(s.spares.usable) - 1; i >= 0 && pending < s.waiting; i-- {
		sp := s.spares.usable[i]
		if s.next(sp.target) == nil {
			continue
		}
		s.revoke(sp)
		pending++
	}
}

// revokeUnusable asks for the spare slots of targets back that get no new work
// or have no slots left for them.
func (s *Scheduler) revokeUnusable() {
	for i := len(s.spares.usable) - 1; i >= 0; i-- {
		if sp := s.spares.usable[i]; !sp.target.admits() || sp.target.free() < 0 {
			s.revoke(sp)
		}
	}
}

func (s *Scheduler) revoke(sp *spare) {
	s.spares.unlist(sp)
	sp.revoked = true
	s.emit(RevokeSpare{Router: sp.router.Router, Spare: sp.id})
}

// release makes the slot of sp free again.
func (s *Scheduler) release(sp *spare) {
	s.spares.unlist(sp)
	delete(s.spares.byID, sp.id)
	s.timers.stop(&sp.timer)
	sp.router.spares--
	sp.target.spares--
	s.yieldFree(sp.target)
	s.updateOpen(sp.target)
	s.touch(sp.target)
}

// due implements timed.
func (sp *spare) due(s *Scheduler) {
	s.release(sp)
}

// owned returns a spare slot that r holds, or nil.
func (s *Scheduler) owned(id uint64, r *router) *spare {
	sp := s.spares.byID[id]
	if sp == nil || sp.router != r {
		return nil
	}
	return sp
}

func (s *Scheduler) spareReturned(e SpareReturned) {
	if sp := s.owned(e.Spare, s.routers[e.Router]); sp != nil {
		s.release(sp)
	}
}

// spareUsed starts a demand on a spare slot. The demand runs already, so that
// it counts as in flight even if the spare slot is unknown or has expired.
func (s *Scheduler) spareUsed(e SpareUsed) {
	r := s.routers[e.Demand.ID.Router]
	if sp := s.owned(e.Spare, r); sp != nil {
		s.release(sp)
	}
	if r == nil || !r.joined || r.knows(e.Demand.ID.Seq) {
		return
	}
	d := s.newRunning(r, e.Demand)
	s.admitCopy(d)
	s.begin(d, s.target(config.ID(e.Spare>>spareTargetShift)))
	s.granted++
	s.recent(r)
}

func (s *Scheduler) newRunning(r *router, e Demand) *demand {
	d := &demand{
		id:        e.ID,
		router:    r,
		workspace: s.workspaceOf(e.Workspace),
		estimate:  e.Estimate,
		prefix:    e.Prefix,
		digest:    e.Digest,
		deadline:  time.Time{},
	}
	d.owner = d
	r.demands[e.ID.Seq] = d
	return d
}

// dropSpares frees the spare slots of a router whose stream was replaced.
func (s *Scheduler) dropSpares(r *router) {
	if r.spares == 0 {
		return
	}
	var held []*spare
	for _, sp := range s.spares.byID {
		if sp.router == r {
			held = append(held, sp)
		}
	}
	slices.SortFunc(held, func(a, b *spare) int { return cmp.Compare(a.id, b.id) })
	for _, sp := range held {
		s.release(sp)
	}
}
