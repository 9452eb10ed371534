package fleet

import (
	"slices"
	"time"
)

// MarkLeaving marks an instance, router or target, as leaving for the
// incarnation and all lower ones. It returns whether the mark is new.
func (v *View) MarkLeaving(now time.Time, name string, incarnation uint64) bool {
	return v.markLeaving(now, name, incarnation, "")
}

func (v *View) markLeaving(now time.Time, name string, incarnation uint64, from string) bool {
	if v.leavingAt(name, incarnation) {
		return false
	}
	v.leaving[name] = mark{incarnation: incarnation, lastNeeded: now}
	v.marksAdded++
	v.log.add(change{kind: changeLeaving, name: name}, from)
	v.refreshRings()
	return true
}

// Leaving returns whether the incarnation of an instance is marked.
func (v *View) Leaving(name string, incarnation uint64) bool {
	return v.leavingAt(name, incarnation)
}

// LeavingTargets returns the names of the targets that are leaving, in order:
// those whose listed incarnation is marked, and marked instances that the list
// does not hold, which may be targets that are configured still. They get no
// new work.
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

// TargetLeaving returns whether the known incarnation of a target is leaving.
// A marked target that the list does not hold is leaving too.
func (v *View) TargetLeaving(name string) bool {
	instance, ok := v.listed[name]
	if !ok {
		_, marked := v.leaving[name]
		return marked
	}
	return v.leavingAt(name, instance.Incarnation)
}

func (v *View) leavingAt(name string, incarnation uint64) bool {
	m, ok := v.leaving[name]
	return ok && m.incarnation >= incarnation
}

// forget drops marks and reports that are not needed any more.
func (v *View) forget(now time.Time) {
	for name, m := range v.leaving {
		if v.listed[name] != nil || v.router(name) != nil {
			m.lastNeeded = now
			v.leaving[name] = m
			continue
		}
		if now.Sub(m.lastNeeded) > v.opts.MarkRetention {
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
