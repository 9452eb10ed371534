package fleet

import (
	"maps"
	"slices"
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
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
	v.leaving[name] = mark{incarnation: incarnation, since: now, lastNeeded: now}
	v.marksAdded++
	v.log.add(change{kind: changeLeaving, name: name}, from)
	v.refreshRings()
	return true
}

// Leaving returns whether the incarnation of an instance is marked.
func (v *View) Leaving(name string, incarnation uint64) bool {
	return v.leavingAt(name, incarnation)
}

// LeavingTargets returns the names of the targets of the list in force whose
// listed incarnation is leaving, in order. They get no new work.
func (v *View) LeavingTargets() []string {
	var names []string
	for name, instance := range v.listed {
		if instance.IsTarget && v.leavingAt(name, instance.Incarnation) {
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

// forget drops marks that have not been needed for MarkRetention and routers
// outside the list that have been silent for ForgetAfter.
func (v *View) forget(now time.Time) {
	for name, m := range v.leaving {
		if v.listed[name] != nil || v.joined[name] != nil || name == v.self.Name {
			m.lastNeeded = now
			v.leaving[name] = m
			continue
		}
		if now.Sub(m.lastNeeded) > v.opts.MarkRetention {
			delete(v.leaving, name)
			v.log.remove(change{kind: changeLeaving, name: name})
		}
	}
	maps.DeleteFunc(v.forgotten, func(_ string, m mark) bool {
		return now.Sub(m.lastNeeded) > v.opts.MarkRetention
	})
	for name, instance := range v.joined {
		if v.silentFor(now, name) > v.opts.ForgetAfter {
			v.forgotten[name] = mark{incarnation: instance.Incarnation, since: now, lastNeeded: now}
			v.dropJoined(name)
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

// join adds a router outside the list. direct is set when the router itself
// was in contact.
func (v *View) join(now time.Time, instance *v1.Instance, direct bool, from string) {
	if instance == nil || instance.IsTarget || instance.Name == v.self.Name {
		return
	}
	known := v.router(instance.Name)
	if known != nil && known.Incarnation >= instance.Incarnation {
		return
	}
	if gone, ok := v.forgotten[instance.Name]; ok && !direct && gone.incarnation >= instance.Incarnation {
		return
	}
	if listed := v.listed[instance.Name]; listed != nil && listed.IsTarget {
		return
	}
	delete(v.forgotten, instance.Name)
	v.joined[instance.Name] = instance
	v.resetPeer(instance)
	v.log.add(change{kind: changeJoined, name: instance.Name}, from)
	v.refreshRings()
}

func (v *View) dropJoined(name string) {
	delete(v.joined, name)
	v.log.remove(change{kind: changeJoined, name: name})
	v.refreshRings()
}
