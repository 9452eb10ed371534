package placement

import (
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/routing"
)

const (
	// MaxPause bounds the time for which a target can ask for no requests: a longer one is taken for
	// a mistake.
	MaxPause = 5 * time.Minute
	// maxLeaving bounds the targets that are remembered as leaving, and leavingLifetime the time.
	// Targets exit within a minute after they have said so.
	maxLeaving      = 4096
	leavingLifetime = 10 * time.Minute
	// leavingReports is the number of reports that repeat that a target leaves, in case some of them
	// are dropped.
	leavingReports = 3
)

// incarnation identifies one start of a target: the Hash of its ID and the Unix time in milliseconds
// at which it started.
type incarnation struct {
	target  uint32
	started int64
}

// leavingTargets holds the targets that said that they leave, by when that was last heard. Their
// registrations may say otherwise for a while.
type leavingTargets struct {
	heard map[incarnation]time.Time
	// due is the number of reports that must still include a target.
	due map[incarnation]int
}

func newLeavingTargets() leavingTargets {
	return leavingTargets{heard: make(map[incarnation]time.Time), due: make(map[incarnation]int)}
}

// add records that a target leaves.
func (l leavingTargets) add(now time.Time, i incarnation) {
	if len(l.heard) >= maxLeaving {
		for known, at := range l.heard {
			if now.Sub(at) > leavingLifetime {
				delete(l.heard, known)
			}
		}
	}
	if len(l.heard) < maxLeaving {
		l.heard[i] = now
	}
}

// SetLeaving records that a target has told this router that it leaves: it gets no new requests until
// it starts again, whatever its registration says, and also if that has lapsed and is made again. The other
// routers are told. It returns false if that is known.
func (b *Balancer) SetLeaving(now time.Time, answered routing.Target) bool {
	i := incarnationOf(answered)
	t := b.inUse(answered)
	if _, known := b.leaving.heard[i]; known || t != nil && t.leaving {
		return false
	}
	if t != nil {
		t.leaving = true
	}
	b.leaving.add(now, i)
	b.leaving.due[i] = leavingReports
	return true
}

// Leaves reports whether a target has told a router that it leaves.
func (b *Balancer) Leaves(t routing.Target) bool {
	_, heard := b.leaving.heard[incarnationOf(t)]
	return heard
}

// Pause records that a target wants no requests from this router for a time, at most MaxPause. A
// shorter one than it asked for before changes nothing.
func (b *Balancer) Pause(now time.Time, answered routing.Target, d time.Duration) {
	until := now.Add(min(d, MaxPause))
	if t := b.inUse(answered); t != nil {
		t.pausedUntil = laterOf(t.pausedUntil, until)
		return
	}
	b.removed.change(answered, func(r *restriction) { r.pausedUntil = laterOf(r.pausedUntil, until) })
}

func laterOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// inUse returns the target that has answered; nil if its registration has lapsed, or if it has started again since.
func (b *Balancer) inUse(answered routing.Target) *target {
	if t, ok := b.targets[answered.ID]; ok && t.StartedUnixMs == answered.StartedUnixMs {
		return t
	}
	return nil
}

func incarnationOf(t routing.Target) incarnation { return incarnation{Hash(t.ID), t.StartedUnixMs} }

func (t *target) incarnation() incarnation { return incarnation{t.hash, t.StartedUnixMs} }

// reportLeaving adds the targets that leave to a report for other routers.
func (b *Balancer) reportLeaving(r *v1.LoadReport) {
	for i := range b.leaving.due {
		b.leaving.due[i]--
		if b.leaving.due[i] == 0 {
			delete(b.leaving.due, i)
		}
		r.LeavingTargets = append(r.LeavingTargets, &v1.LeavingTarget{Target: i.target, Incarnation: uint64(i.started)})
	}
}

// LeavingTargets returns the targets in use that leave, for a router that starts.
func (b *Balancer) LeavingTargets() []*v1.LeavingTarget {
	var list []*v1.LeavingTarget
	for _, t := range b.targets {
		if t.leaving {
			list = append(list, &v1.LeavingTarget{Target: t.hash, Incarnation: uint64(t.StartedUnixMs)})
		}
	}
	return list
}

// mergeLeaving records the targets that leave according to another router. The word counts for the
// named start of the target only, so that a late report does not take its successor out of use.
func (b *Balancer) mergeLeaving(now time.Time, list []*v1.LeavingTarget) {
	for _, l := range list {
		i := incarnation{l.Target, int64(l.Incarnation)}
		b.leaving.add(now, i)
		if t, ok := b.byHash[l.Target]; ok && t.incarnation() == i {
			t.leaving = true
		}
	}
}
