package broker

import (
	"time"

	"github.com/chiveseam/chiveseam/router/internal/state"
)

const (
	// avoidTime is how long a scheduler whose link was lost is passed over.
	avoidTime = time.Second
	// maxAvoidTime bounds that time, which doubles while new links to the
	// scheduler are lost before anything was heard on them.
	maxAvoidTime = 16 * time.Second
)

// avoidances holds the schedulers that are passed over, by name. A router that
// sends but cannot be reached counts as reachable in the view of the fleet, so
// that each return to it costs the waiting demands a silence limit.
type avoidances map[string]*avoidance

type avoidance struct {
	incarnation uint64
	until       time.Time
	// pause is the time for which the router is passed over.
	pause time.Duration
	// ended is set once the end was reported.
	ended bool
}

// lost passes a router over whose link was lost; heard tells whether anything
// had arrived on the link.
func (a avoidances) lost(m state.Member, heard bool, now time.Time) {
	pause := avoidTime
	if last := a[m.Name]; last != nil && last.incarnation == m.Incarnation && !heard {
		pause = min(2*last.pause, maxAvoidTime)
	}
	a[m.Name] = &avoidance{incarnation: m.Incarnation, until: now.Add(pause), pause: pause}
}

// avoids reports whether the router is passed over.
func (a avoidances) avoids(m state.Member, now time.Time) bool {
	last := a[m.Name]
	return last != nil && last.incarnation == m.Incarnation && !now.After(last.until)
}

// end reports whether routers are passed over no longer, once for each, and
// forgets those that were not lost again for long.
func (a avoidances) end(now time.Time) bool {
	ended := false
	for name, last := range a {
		if now.After(last.until) && !last.ended {
			last.ended = true
			ended = true
		}
		if now.After(last.until.Add(maxAvoidTime)) {
			delete(a, name)
		}
	}
	return ended
}
