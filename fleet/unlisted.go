package fleet

import (
	"maps"
	"slices"
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// unlisted is the state of a router that is not in the list in force.
type unlisted struct {
	instance *v1.Instance
	beat     uint64
	// refreshed is the last time at which the router proved to be running: it sent a message, or
	// another router passed on an announcement with a higher beat. It starts as the time at which
	// the router was added.
	refreshed time.Time
}

// forgotten is a router that was unlisted and has not proved to be running for
// ForgetUnlistedAfter. It is still probed at a low rate. Without that, the two sides of a long
// partition would not find each other again if no list names their routers.
type forgotten struct {
	unlisted
	lastProbe time.Time
}

// announceSelf announces the router itself every AnnounceInterval, with a higher beat each time,
// while the list does not contain its incarnation.
func (v *View) announceSelf(now time.Time) {
	own := change{kind: changeUnlisted, name: v.self.Name}
	if listed := v.listed[v.self.Name]; listed != nil && listed.Incarnation >= v.self.Incarnation {
		v.log.remove(own)
		v.lastAnnounced = time.Time{}
		return
	}
	if !v.lastAnnounced.IsZero() && now.Sub(v.lastAnnounced) < v.opts.AnnounceInterval {
		return
	}
	v.lastAnnounced = now
	v.beat++
	v.log.add(own, "")
}

// expireUnlisted forgets unlisted routers that have not proved to be running for
// ForgetUnlistedAfter, and ends the probes of forgotten routers after MarkRetention.
func (v *View) expireUnlisted(now time.Time) {
	for name, u := range v.unlisted {
		if now.Sub(u.refreshed) > v.opts.ForgetUnlistedAfter {
			v.forgotten[name] = &forgotten{unlisted: *u, lastProbe: now}
			v.dropUnlisted(name)
		}
	}
	maps.DeleteFunc(v.forgotten, func(name string, f *forgotten) bool {
		return v.router(name) != nil || now.Sub(f.refreshed) > v.opts.MarkRetention
	})
}

// addSender adds the sender of a message, which describes itself in the message, as an unlisted
// router if its incarnation is new.
func (v *View) addSender(now time.Time, instance *v1.Instance) {
	if instance == nil || !v.isNewRouter(instance) {
		return
	}
	v.addUnlisted(now, &v1.UnlistedRouter{Instance: instance}, "")
}

// mergeUnlisted merges an announcement of an unlisted router that another router passes on. The
// announcement proves that the unlisted router is running only if its beat is higher than the
// known one.
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
	if !stale && v.isNewRouter(u.Instance) {
		v.addUnlisted(now, u, from)
	}
}

// isNewRouter reports whether an instance is another router that is not known, or known only
// with a lower incarnation.
func (v *View) isNewRouter(instance *v1.Instance) bool {
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

// keepRunningUnlisted adds the routers that a new list dropped as unlisted routers, unless they
// are silent or leaving. The list lags, so they may still be running.
func (v *View) keepRunningUnlisted(now time.Time, previous map[string]*v1.Instance) {
	for name, instance := range previous {
		if instance.IsTarget || name == v.self.Name || v.listed[name] != nil || v.unlisted[name] != nil {
			continue
		}
		if !v.down[name] && !v.isLeaving(name, instance.Incarnation) {
			v.unlisted[name] = &unlisted{instance: instance, refreshed: now}
		}
	}
}

// dropCaughtUp drops the unlisted routers that the list contains now, with the same incarnation or
// a higher one, and those whose name belongs to a target in the list.
func (v *View) dropCaughtUp() {
	for name, u := range v.unlisted {
		listed := v.listed[name]
		if listed != nil && (listed.IsTarget || listed.Incarnation >= u.instance.Incarnation) {
			delete(v.unlisted, name)
			v.log.remove(change{kind: changeUnlisted, name: name})
		}
	}
}

// nextForgottenProbe returns the forgotten router to contact now, if one is due: the one that
// was not probed for the longest time, at most one every ProbeInterval.
func (v *View) nextForgottenProbe(now time.Time) (Member, bool) {
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
