package fleet

import (
	"slices"
	"time"

	"github.com/chiveseam/chiveseam/rendezvous"
)

// leavingToProbe returns a router that leaves and is to be contacted now, if
// one is due. Such a router is on no ring. One that was started again at the
// same address while the platform does not answer it knows nobody: a few routers,
// drawn by rendezvous hashing, contact it every ProbeInterval.
func (v *View) leavingToProbe(now time.Time) (Member, bool) {
	for _, name := range v.routerNames() {
		if name == v.self.Name || !v.leavingAt(name, v.router(name).Incarnation) {
			continue
		}
		p := v.peer(name)
		if p.quietFor(now) < v.opts.ProbeInterval || !v.probesLeaving(name) {
			continue
		}
		p.attempt(now, v.attemptMemory())
		return memberOf(v.router(name)), true
	}
	return Member{}, false
}

// probesLeaving returns whether this router is among those that contact a
// leaving one.
func (v *View) probesLeaving(name string) bool {
	ranked := rendezvous.Rank("leaving/"+name, v.reachableNames(), v.opts.Rings)
	return slices.Contains(ranked, v.self.Name)
}
