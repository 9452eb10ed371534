package placement

import (
	"math"
	"time"

	"github.com/chiveseam/chiveseam/routing"
)

// maxRemoved bounds the removed targets that are remembered.
const maxRemoved = 1024

// removedTargets holds the restrictions of targets without a registration. The registration may only have lapsed,
// as while a target does not reach the store: the restriction still counts when it is back.
type removedTargets map[incarnation]restriction

// restriction is the pause and the rate limit that a target asked for in its answers.
type restriction struct {
	service, version string
	pausedUntil      time.Time
	rateLimit        rateLimit
}

// remember keeps the restriction of a target that is removed.
func (r removedTargets) remember(t *target) {
	if t.pausedUntil.IsZero() && !t.rateLimit.limited() {
		return
	}
	r.put(t.incarnation(), restriction{t.Service, t.Version, t.pausedUntil, t.rateLimit})
}

// change changes the restriction of a target without a registration that has answered.
func (r removedTargets) change(answered routing.Target, apply func(*restriction)) {
	i := incarnationOf(answered)
	asked, ok := r[i]
	if !ok {
		asked = restriction{service: answered.Service, version: answered.Version, rateLimit: rateLimit{perSecond: math.Inf(1)}}
	}
	apply(&asked)
	if ok || !asked.pausedUntil.IsZero() || asked.rateLimit.limited() {
		r.put(i, asked)
	}
}

func (r removedTargets) put(i incarnation, asked restriction) {
	if len(r) >= maxRemoved {
		for known := range r {
			delete(r, known)
			break
		}
	}
	r[i] = asked
}

// restore applies the restriction that a target had before it was removed, if it has not started again since.
func (r removedTargets) restore(t *target) {
	asked, ok := r[t.incarnation()]
	if !ok {
		return
	}
	delete(r, t.incarnation())
	if asked.service == t.Service && asked.version == t.Version {
		t.pausedUntil, t.rateLimit = asked.pausedUntil, asked.rateLimit
	}
}
