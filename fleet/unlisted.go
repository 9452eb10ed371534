package fleet

import (
	"maps"
	"slices"
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// unlisted is a router outside the list in force.
type unlisted struct {
	instance *v1.Instance
	beat     uint64
	// refreshed is the last time at which the router showed that it runs.
	refreshed time.Time
}

// forgotten is a router that was unlisted and did not show that it runs. It is
// probed now and then, so that the sides of a long partition meet again though
// no list names them to each other.
type forgotten struct {
	unlisted
	lastProbe time.Time
}

// announceSelf raises the router's own beat while it is not in the list.
func (v *View) announceSelf(now time.Time) {
	own := change{kind: changeUnlisted, name: v.self.Name}
	if listed := v.listed[v.self.Name]; listed != nil && listed.Incarnation >= v.self.Incarnation {
		v.log.remove(own)
		v.lastBeat = time.Time{}
		return
	}
	if !v.lastBeat.IsZero() && now.Sub(v.lastBeat) < v.opts.BeatInterval {
		return
	}
	v.lastBeat = now
	v.beat++
	v.log.add(own, "")
}

// expireUnlisted forgets routers without a sign of life for ForgetAfter.
func (v *View) expireUnlisted(now time.Time) {
	for name, u := range v.unlisted {
		if now.Sub(u.refreshed) > v.opts.ForgetAfter {
			v.forgotten[name] = &forgotten{unlisted: *u, lastProbe: now}
			v.dropUnlisted(name)
		}
	}
	maps.DeleteFunc(v.forgotten, func(name string, f *forgotten) bool {
		return v.router(name) != nil || now.Sub(f.refreshed) > v.opts.MarkRetention
	})
}

// meet takes in a router that describes itself in a message.
func (v *View) meet(now time.Time, instance *v1.Instance) {
	if instance == nil || !v.mayAdd(instance) {
		return
	}
	v.addUnlisted(now, &v1.UnlistedRouter{Instance: instance}, "")
}

// mergeUnlisted takes in the word of another router. It counts as a sign of
// life only with a higher beat.
func (v *View) mergeUnlisted(now time.Time, u *v1.UnlistedRouter, from string) {
	if u.Instance == nil {
		return
	}
	if known := v.unlisted[u.Instance.Name]; known != nil && known.instance.Incarnation == u.Instance.Incarnation {
		if u.Beat > known.beat {
			known.beat, known.refreshed = u.Beat, now
			v.log.add(change{kind: changeUnlisted, name: u.Instance.Name}, from)
		}
		return
	}
	f := v.forgotten[u.Instance.Name]
	stale := f != nil && f.instance.Incarnation >= u.Instance.Incarnation && f.beat >= u.Beat
	if !stale && v.mayAdd(u.Instance) {
		v.addUnlisted(now, u, from)
	}
}

// mayAdd returns whether an instance is a router of a higher incarnation than
// the known one.
func (v *View) mayAdd(instance *v1.Instance) bool {
	if instance.IsTarget || instance.Name == v.self.Name {
		return false
	}
	if listed := v.listed[instance.Name]; listed != nil && listed.IsTarget {
		return false
	}
	known := v.router(instance.Name)
	return known == nil || known.Incarnation < instance.Incarnation
}

func (v *View) addUnlisted(now time.Time, u *v1.UnlistedRouter, from string) {
	name := u.Instance.Name
	delete(v.forgotten, name)
	v.unlisted[name] = &unlisted{instance: u.Instance, beat: u.Beat, refreshed: now}
	v.resetPeer(u.Instance)
	v.log.add(change{kind: changeUnlisted, name: name}, from)
	v.refreshRings()
}

func (v *View) dropUnlisted(name string) {
	delete(v.unlisted, name)
	v.log.remove(change{kind: changeUnlisted, name: name})
	v.refreshRings()
}

// keepDropped keeps the routers that a new list dropped, unless they are
// silent or leaving: the list lags, and they may still run.
func (v *View) keepDropped(now time.Time, previous map[string]*v1.Instance) {
	for name, instance := range previous {
		if instance.IsTarget || name == v.self.Name || v.listed[name] != nil || v.unlisted[name] != nil {
			continue
		}
		if !v.down[name] && !v.leavingAt(name, instance.Incarnation) {
			v.unlisted[name] = &unlisted{instance: instance, refreshed: now}
		}
	}
}

// dropListed drops unlisted routers that the list has caught up with.
func (v *View) dropListed() {
	for name, u := range v.unlisted {
		listed := v.listed[name]
		if listed != nil && (listed.IsTarget || listed.Incarnation >= u.instance.Incarnation) {
			delete(v.unlisted, name)
			v.log.remove(change{kind: changeUnlisted, name: name})
		}
	}
}

// forgottenToProbe returns the forgotten router to contact next, if one is due.
func (v *View) forgottenToProbe(now time.Time) (Member, bool) {
	var oldest *forgotten
	for _, name := range slices.Sorted(maps.Keys(v.forgotten)) {
		f := v.forgotten[name]
		if now.Sub(f.lastProbe) < maxProbeInterval {
			continue
		}
		if oldest == nil || f.lastProbe.Before(oldest.lastProbe) {
			oldest = f
		}
	}
	if oldest == nil || now.Sub(v.lastForgottenProbe) < v.opts.ProbeInterval {
		return Member{}, false
	}
	oldest.lastProbe, v.lastForgottenProbe = now, now
	return memberOf(oldest.instance), true
}
