package storereaders

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/rendezvous"
)

const (
	// MinRouters is the number of live routers of a zone, this one included, from which on the readers
	// watch for the others. With fewer, the calls saved are not worth the dependence.
	MinRouters = 8
	// readers is the number of routers of a zone that watch the registrations.
	readers = 2
	// liveTime is the time after its last report for which a router counts as live.
	liveTime = 3 * time.Second
	// minSilence and silentIntervals bound the silence, the latter in report intervals, after which a
	// reader counts as lost. A change must be in force two seconds after a reader was killed:
	// silence, takeoverTime, maxJitter and a call of the store add up to less in fleets of 200 routers.
	minSilence      = 700 * time.Millisecond
	silentIntervals = 3.5
	// stallTime is the time for which a reader may not know the newest change that another router
	// knows. It is longer than the pause in which a watch collects changes.
	stallTime = 1500 * time.Millisecond
	// takeoverTime is the time that another router gets to become the reader before a router without
	// one watches by itself. maxJitter bounds what is added, so that not all routers of a zone call
	// the store at once.
	takeoverTime = 300 * time.Millisecond
	maxJitter    = 300 * time.Millisecond
	// settleTime is the time for which a router could have followed without a break before it stops to
	// watch, so that roles do not flap.
	settleTime = 2 * time.Second
)

// Reasons of a Decision.
const (
	ReasonFewRouters = "few_routers"
	ReasonReader     = "reader"
	ReasonFollows    = "follows"
	ReasonSilent     = "readers_silent"
	ReasonUnable     = "readers_unable"
	ReasonStalled    = "readers_stalled"
	ReasonGap        = "readers_lack_history"
)

// Decision says whether a router watches the registrations by itself, and whether it passes the changes
// on to its zone.
type Decision struct {
	Watch, PassOn bool
	// Shared is set if the zone has enough routers to share the reading.
	Shared bool
	Reason string
}

// View is what a router knows of itself and of the fleet.
type View struct {
	Self string
	// Able is set if the router's last call of the store succeeded.
	Able bool
	// Interval is the time between two reports of a router.
	Interval time.Duration
	// Covered is the revision up to which the router knows all changes, and Newest that of the newest
	// change that any router knows.
	Covered, Newest Revision
}

// Zone is one router's view of the other routers of its zone, and its own role.
type Zone struct {
	peers map[string]*peer
	// follows is set while the router does not watch.
	follows bool
	passOn  bool
	// servedAt is when a reader last served this router, stepDownAt when this router may stop to watch.
	servedAt, stepDownAt time.Time
	// changes counts the changes of the role; jitter is drawn anew at each.
	changes int
	jitter  time.Duration
}

// peer is another router of the zone.
type peer struct {
	heard       time.Time
	able        bool
	passesOn    bool
	since       Revision
	covered     Revision
	behindSince time.Time
	returnedAt  time.Time
}

// HandleReport records the report of another router of the zone.
func (z *Zone) HandleReport(now time.Time, r *v1.LoadReport) {
	if r.Leaving {
		delete(z.peers, r.Router)
		return
	}
	s := r.StoreReading
	if s == nil {
		return
	}
	if z.peers == nil {
		z.peers = make(map[string]*peer)
	}
	p, ok := z.peers[r.Router]
	if !ok {
		p = &peer{}
		z.peers[r.Router] = p
	}
	p.heard, p.able, p.passesOn, p.since = now, s.Able, s.PassesOn, Revision{Epoch: s.Epoch, Number: s.Since}
	covered := Revision{Epoch: r.StoreEpoch, Number: r.TargetsRevision}
	if covered.Compare(p.covered) > 0 {
		p.behindSince = time.Time{}
	}
	p.covered = covered
	p.returnedAt = time.Time{}
	if s.ReturnedMs > 0 {
		p.returnedAt = now.Add(-time.Duration(s.ReturnedMs) * time.Millisecond)
	}
}

// silence returns the time without a report after which a reader counts as lost.
func (v View) silence() time.Duration {
	return max(minSilence, time.Duration(silentIntervals*float64(v.Interval)))
}

// stalled reports whether the peer has not learned of the newest change for stallTime.
func (p *peer) stalled(now time.Time, newest Revision) bool {
	switch {
	case newest.Compare(p.covered) <= 0:
		p.behindSince = time.Time{}
	case p.behindSince.IsZero():
		p.behindSince = now
	}
	return !p.behindSince.IsZero() && now.Sub(p.behindSince) > stallTime
}

// Decide returns the role of this router at now. It is called several times in a second.
func (z *Zone) Decide(now time.Time, v View) Decision {
	type candidate struct {
		name  string
		score uint64
	}
	var candidates []candidate
	live, reason := 1, ReasonSilent
	for name, p := range z.peers {
		quiet := now.Sub(p.heard)
		if quiet > liveTime {
			delete(z.peers, name)
			continue
		}
		live++
		stalled := p.stalled(now, v.Newest)
		if quiet > v.silence() {
			continue
		}
		if p.able && !stalled {
			candidates = append(candidates, candidate{name, rendezvous.Score(readerKey, name)})
		}
		if p.passesOn {
			reason = strongest(reason, p.fault(stalled, v.Covered))
		}
	}
	if live < MinRouters {
		z.setFollows(now, v.Self, false)
		z.passOn = false
		z.stepDownAt = now.Add(settleTime + z.jitter)
		return Decision{Watch: true, Reason: ReasonFewRouters}
	}
	if v.Able {
		candidates = append(candidates, candidate{v.Self, rendezvous.Score(readerKey, v.Self)})
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name)) })
	candidates = candidates[:min(readers, len(candidates))]
	chosen := slices.ContainsFunc(candidates, func(c candidate) bool { return c.name == v.Self })
	switch {
	case chosen:
		reason = ReasonReader
		z.setFollows(now, v.Self, false)
		z.passOn = true
		z.stepDownAt = now.Add(settleTime + z.jitter)
	case reason != ReasonFollows:
		z.stepDownAt = now.Add(settleTime + z.jitter)
		if now.Sub(z.servedAt) >= takeoverTime+z.jitter {
			z.setFollows(now, v.Self, false)
		}
	default:
		z.servedAt = now
		if !now.Before(z.stepDownAt) {
			z.setFollows(now, v.Self, true)
			z.passOn = false
		}
	}
	return Decision{Watch: !z.follows, PassOn: z.passOn, Shared: true, Reason: reason}
}

// readerKey is the key of the rendezvous hashing.
const readerKey = "registrations"

// setFollows changes the role.
func (z *Zone) setFollows(now time.Time, self string, follows bool) {
	if z.follows == follows {
		return
	}
	z.follows = follows
	z.changes++
	z.jitter = time.Duration(rendezvous.Score(strconv.Itoa(z.changes), self) % uint64(maxJitter))
}

// fault says why a router that passes changes on does not serve one that knows all changes up to a
// revision; ReasonFollows if it does.
func (p *peer) fault(stalled bool, covered Revision) string {
	switch {
	case !p.able:
		return ReasonUnable
	case stalled:
		return ReasonStalled
	case p.since.Epoch != covered.Epoch || p.since.Compare(covered) > 0:
		return ReasonGap
	}
	return ReasonFollows
}

// reasonOrder orders the reasons by how much they say of the readers of a zone together.
var reasonOrder = []string{ReasonSilent, ReasonUnable, ReasonStalled, ReasonGap, ReasonFollows}

func strongest(a, b string) string {
	if slices.Index(reasonOrder, b) > slices.Index(reasonOrder, a) {
		return b
	}
	return a
}

// StoreReturned returns when the store last answered again after an outage, if all routers that pass
// changes on say that there was one. A router that alone was cut off from the store says nothing of it:
// registrations did not lapse meanwhile.
func (z *Zone) StoreReturned(now time.Time, v View) (time.Time, bool) {
	var at time.Time
	for _, p := range z.peers {
		if !p.passesOn || !p.able || now.Sub(p.heard) > v.silence() {
			continue
		}
		if p.returnedAt.IsZero() {
			return time.Time{}, false
		}
		if p.returnedAt.After(at) {
			at = p.returnedAt
		}
	}
	return at, !at.IsZero()
}
