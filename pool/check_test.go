package pool

import (
	"fmt"
	"slices"
)

// checkAnsweredOnce fails if a scheduler sends two answers, Grant or Refuse, for a demand
// on one stream.
func (m *model) checkAnsweredOnce(s *Scheduler, id DemandID) {
	for _, r := range m.routers {
		if r.id != id.Router {
			continue
		}
		key := fmt.Sprintf("%p %v %d", s, id, r.epoch)
		if m.answered[key] {
			m.failf("demand %v answered twice on stream %d", id, r.epoch)
		}
		m.answered[key] = true
	}
}

// mayOverAdmit reports whether the event reports demands that run already. Such a step
// may occupy more slots of a target than it has.
func mayOverAdmit(e Event) bool {
	switch e.(type) {
	case RouterJoined, SpareUsed:
		return true
	}
	return false
}

// checkGrant fails if the demand may not be granted on the target, or if its deadline
// is over.
func (m *model) checkGrant(s *Scheduler, g Grant, overAdmits bool) {
	t := s.targets[g.Target]
	if t.Leaving || !t.listed || t.free() < 0 && !overAdmits {
		m.failf("grant on target %+v with %d busy and %d spare", t.Target, t.busy, t.spares)
	}
	if d := s.findDemand(g.ID); d != nil && !t.serves(d.workspace, nil) {
		m.failf("grant of %v to a workspace of %q on a target of %q", g.ID, d.workspace.DataCentre, t.DataCentre)
	}
	if d := s.findDemand(g.ID); d != nil && !d.deadline.After(s.now) {
		m.failf("grant of %v at %v, deadline %v", g.ID, s.now, d.deadline)
	}
}

// checkScheduler fails if a count of the scheduler differs from the demands that it
// holds, or if it is not work-conserving.
func (m *model) checkScheduler(s *Scheduler) {
	busy := map[*target]int{}
	running := map[*workspace]int{}
	var waiting []*demand
	for _, r := range s.routers {
		for _, d := range r.demands {
			if d.granted() {
				busy[d.target]++
				running[d.workspace]++
			} else {
				waiting = append(waiting, d)
			}
		}
	}
	if len(waiting) != s.waiting {
		m.failf("%d demands wait, counted %d", len(waiting), s.waiting)
	}
	for _, w := range s.workspaces {
		if w.running != running[w] {
			m.failf("workspace %d has %d demands running, counted %d", w.ID, running[w], w.running)
		}
	}
	for _, t := range s.targets {
		if t.busy != busy[t] {
			m.failf("target %d has %d busy slots, counted %d", t.ID, busy[t], t.busy)
		}
	}
	for _, d := range waiting {
		if !s.counters.Backlogged(d.workspace.ID) {
			m.failf("workspace %d waits and is not backlogged", d.workspace.ID)
		}
		m.checkWorkConserving(s, d)
	}
}

// checkWorkConserving fails if a waiting demand may use a free slot, or a spare slot
// that is not revoked while fewer spare slots are revoked than demands wait.
func (m *model) checkWorkConserving(s *Scheduler, d *demand) {
	for _, t := range s.targets {
		if t.free() > 0 && mayUse(s, d, t) {
			m.failf("target %d has %d free slots while %v waits", t.ID, t.free(), d.id)
		}
	}
	revoked := len(s.spares.byID) - len(s.spares.usable)
	for _, sp := range s.spares.usable {
		if revoked < s.waiting && mayUse(s, d, sp.target) {
			m.failf("spare %d is not revoked while %v waits", sp.id, d.id)
		}
	}
}

// mayUse reports whether a demand may use a target. It states the rule a second time, apart
// from the scheduler's code.
func mayUse(s *Scheduler, d *demand, t *target) bool {
	w := d.workspace
	sameDataCentre := w.DataCentre == "" || w.DataCentre == t.DataCentre
	health := t.zoneHealth[d.router.zone]
	reachable := health == nil || health.breaker.Ready(s.now)
	excluded := slices.Contains(d.class.exclude, t.ID)
	return t.listed && !t.Leaving && sameDataCentre && !excluded && reachable && t.breaker.Ready(s.now)
}

// counterOf returns the counter that the scheduler sends along with a grant.
func (m *model) counterOf(s *Scheduler, r *modelRouter, a Action) Counter {
	if g, ok := a.(Grant); ok && r.open[g.ID.Seq] != nil {
		return s.Counter(r.open[g.ID.Seq].Workspace)
	}
	return Counter{}
}
