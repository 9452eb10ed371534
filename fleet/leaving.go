package fleet

import (
	"slices"
	"time"
)

// MarkLeaving marks an instance, router or target, as leaving for this incarnation and all
// lower ones. It returns whether the mark is new.
func (v *View) MarkLeaving(now time.Time, name string, incarnation uint64) bool {
	return v.markLeaving(now, name, incarnation, "")
}

// markLeaving adds a leaving mark. from is the router that sent it; it is empty if the mark
// does not come from the message of another router.
func (v *View) markLeaving(now time.Time, name string, incarnation uint64, from string) bool {
	if v.isLeaving(name, incarnation) {
		return false
	}
	v.leaving[name] = leavingMark{incarnation: incarnation, lastKnown: now}
	v.marksAdded++
	v.log.add(change{kind: changeLeaving, name: name}, from)
	v.refreshRings()
	return true
}

// Leaving reports whether this incarnation of an instance is marked as leaving.
func (v *View) Leaving(name string, incarnation uint64) bool {
	return v.isLeaving(name, incarnation)
}

// LeavingTargets returns the names of the leaving targets, in order. These are the targets
// whose listed incarnation is marked, and all marked instances that the list does not have,
// since they may be targets that are still configured. Leaving targets get no new work.
func (v *View) LeavingTargets() []string {
	var names []string
	for name := range v.leaving {
		instance, ok := v.listed[name]
		if (!ok || instance.IsTarget) && v.TargetLeaving(name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// TargetLeaving reports whether the listed incarnation of a target is leaving. A marked target
// that is not in the list is leaving too.
func (v *View) TargetLeaving(name string) bool {
	instance, ok := v.listed[name]
	if !ok {
		_, marked := v.leaving[name]
		return marked
	}
	return v.isLeaving(name, instance.Incarnation)
}

func (v *View) isLeaving(name string, incarnation uint64) bool {
	m, ok := v.leaving[name]
	return ok && m.incarnation >= incarnation
}

// dropStale drops leaving marks after MarkRetention, and the contact state and reports of
// routers that are no longer known.
func (v *View) dropStale(now time.Time) {
	for name, m := range v.leaving {
		if v.listed[name] != nil || v.router(name) != nil {
			m.lastKnown = now
			v.leaving[name] = m
			continue
		}
		if now.Sub(m.lastKnown) > v.opts.MarkRetention {
			delete(v.leaving, name)
			v.log.remove(change{kind: changeLeaving, name: name})
		}
	}
	for name := range v.peers {
		if v.router(name) == nil {
			delete(v.peers, name)
		}
	}
	for name := range v.reports {
		if v.router(name) == nil {
			delete(v.reports, name)
			v.log.remove(change{kind: changeReport, name: name})
		}
	}
}
