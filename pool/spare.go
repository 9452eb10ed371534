package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/chiveseam/chiveseam/config"
)

// spareTargetShift is the bit position of the target's ID in the ID of a spare slot.
// With it, SpareUsed for an expired or unknown spare slot still names its target.
const spareTargetShift = 32

// spare is a spare slot that a router holds. Its timer is the end of
// Options.SpareGrace after its expiry.
type spare struct {
	timer
	// id is HandSpare.Spare.
	id     uint64
	router *router
	target *target
	// revoked is set once RevokeSpare was sent.
	revoked bool
	// pos is the index in spareSet.usable while revoked is not set.
	pos int
}

// spareSet holds the spare slots that routers hold.
type spareSet struct {
	byID map[uint64]*spare
	// usable holds the spare slots that are not revoked.
	usable []*spare
	// lastNumber is the low half of the ID that was assigned last.
	lastNumber uint32
	// grantedRouters holds the routers that had a grant or used a spare slot in
	// this step.
	grantedRouters []*router
}

func newSpareSet(seed uint64) spareSet {
	return spareSet{byID: map[uint64]*spare{}, lastNumber: uint32(seed ^ seed>>spareTargetShift)}
}

func (p *spareSet) add(sp *spare) {
	sp.pos = len(p.usable)
	p.usable = append(p.usable, sp)
	p.byID[sp.id] = sp
}

// removeUsable removes sp from usable, unless it was revoked and is not in it.
func (p *spareSet) removeUsable(sp *spare) {
	if sp.revoked {
		return
	}
	last := p.usable[len(p.usable)-1]
	p.usable[sp.pos] = last
	last.pos = sp.pos
	p.usable = p.usable[:len(p.usable)-1]
}

func (p *spareSet) newID(target config.ID) uint64 {
	p.lastNumber++
	return uint64(target)<<spareTargetShift | uint64(p.lastNumber)
}

// countRecentGrant counts a demand of r that started. Routers with recent grants get
// spare slots.
func (s *Scheduler) countRecentGrant(r *router) {
	if s.options.MaxSpares <= 0 {
		return
	}
	r.recentGrants.add(s.now, s.options.SpareTTL)
	s.spares.grantedRouters = append(s.spares.grantedRouters, r)
}

// balanceSpares hands out spare slots while no demand waits, and revokes spare slots
// that waiting demands may use.
func (s *Scheduler) balanceSpares() {
	if s.waiting == 0 {
		for _, r := range s.spares.grantedRouters {
			s.handSpare(r)
		}
	}
	s.spares.grantedRouters = s.spares.grantedRouters[:0]
	s.revokeContended()
}

// handSpare hands a spare slot to r, unless r holds as many as it had recent grants, or
// Options.MaxSpares, or no target has more than half of its slots free.
func (s *Scheduler) handSpare(r *router) {
	recent := int(r.recentGrants.read(s.now, s.options.SpareTTL))
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
	s.updateFreeTargets(t)
	expires := s.now.Add(s.options.SpareTTL)
	s.timers.set(&sp.timer, expires.Add(s.options.SpareGrace))
	s.emit(HandSpare{Router: r.Router, Spare: sp.id, Target: t.ID, Expires: expires, Rate: t.service.rate()})
}

// chooseSpare returns the best target with more than half of its usable slots free, or
// nil. It returns nil during Options.SettleTime, when slots that are in use may seem
// free.
func (s *Scheduler) chooseSpare(zone string) *target {
	if s.settling.active {
		return nil
	}
	var best *target
	for _, t := range s.freeTargets {
		if 2*t.free() <= t.usable || !t.healthy(zone, s.now) {
			continue
		}
		if best == nil || betterTarget(t, best, zone, nil) {
			best = t
		}
	}
	return best
}

// revokeContended revokes spare slots that a waiting demand may use, until the number of
// revoked slots that were not returned yet reaches the number of waiting demands.
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

// revokeUnusable revokes the spare slots of targets that accept no new requests or
// have more slots in use than are usable.
func (s *Scheduler) revokeUnusable() {
	for i := len(s.spares.usable) - 1; i >= 0; i-- {
		if sp := s.spares.usable[i]; !sp.target.acceptsWork() || sp.target.free() < 0 {
			s.revoke(sp)
		}
	}
}

// revoke asks the router to return sp.
func (s *Scheduler) revoke(sp *spare) {
	s.spares.removeUsable(sp)
	sp.revoked = true
	s.emit(RevokeSpare{Router: sp.router.Router, Spare: sp.id})
}

// release frees the slot of sp.
func (s *Scheduler) release(sp *spare) {
	s.spares.removeUsable(sp)
	delete(s.spares.byID, sp.id)
	s.timers.stop(&sp.timer)
	sp.router.spares--
	sp.target.spares--
	s.yieldFreeSlots(sp.target)
	s.updateFreeTargets(sp.target)
	s.markForDispatch(sp.target)
}

// timerFired implements timerOwner: sp has expired.
func (sp *spare) timerFired(s *Scheduler) {
	s.release(sp)
}

// findSpare returns the spare slot with the ID if r holds it, or nil.
func (s *Scheduler) findSpare(id uint64, r *router) *spare {
	sp := s.spares.byID[id]
	if sp == nil || sp.router != r {
		return nil
	}
	return sp
}

func (s *Scheduler) handleSpareReturned(e SpareReturned) {
	if sp := s.findSpare(e.Spare, s.routers[e.Router]); sp != nil {
		s.release(sp)
	}
}

// handleSpareUsed records a demand that a router started on a spare slot. The demand
// runs already, so that it counts as in flight even if the spare slot is unknown or
// has expired.
func (s *Scheduler) handleSpareUsed(e SpareUsed) {
	r := s.routers[e.Demand.ID.Router]
	if sp := s.findSpare(e.Spare, r); sp != nil {
		s.release(sp)
	}
	if r == nil || !r.joined || r.hasSeen(e.Demand.ID.Seq) {
		return
	}
	d := s.newGrantedDemand(r, e.Demand)
	s.admitCopy(d)
	s.startDemand(d, s.target(config.ID(e.Spare>>spareTargetShift)))
	s.grantCount++
	s.countRecentGrant(r)
}

// newGrantedDemand adds a demand that runs already. It has no deadline.
func (s *Scheduler) newGrantedDemand(r *router, e Demand) *demand {
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

// dropSpares frees all spare slots of a router whose stream was replaced.
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
