package fleet

import (
	"slices"
	"time"

	"github.com/chiveseam/chiveseam/rendezvous"
)

// nextLeavingProbe returns a leaving router to contact now, if one is due, and records an
// attempt. A leaving router is on no ring. If it is started again at the same address while it
// gets no answer from the platform, it knows no other router. So a few routers, selected by
// rendezvous hashing, contact it every ProbeInterval.
func (v *View) nextLeavingProbe(now time.Time) (Member, bool) {
	for _, name := range v.routerNames() {
		if name == v.self.Name || !v.isLeaving(name, v.router(name).Incarnation) {
			continue
		}
		p := v.peer(name)
		if p.sinceLastContact(now) < v.opts.ProbeInterval || !v.probesLeavingRouter(name) {
			continue
		}
		p.recordAttempt(now, v.attemptResetAfter())
		return memberOf(v.router(name)), true
	}
	return Member{}, false
}

// probesLeavingRouter reports whether this router is one of those that probe the leaving
// router.
func (v *View) probesLeavingRouter(name string) bool {
	ranked := rendezvous.Rank("leaving/"+name, v.reachableNames(), v.opts.Rings)
	return slices.Contains(ranked, v.self.Name)
}
