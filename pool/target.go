package pool

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/chiveseam/chiveseam/breaker"
	"github.com/chiveseam/chiveseam/config"
)

const (
	// targetFailures is the number of consecutive lost requests that opens the
	// breaker of a target.
	targetFailures = 3

	// reachFailures is the number of consecutive failures after which a target
	// counts as unreachable from a zone.
	reachFailures = 2

	// anyDataCentre stands for the targets of all data centres.
	anyDataCentre = ""
)

// target is the state of a target. Its timer is the breaker's retry time.
type target struct {
	timer
	Target
	// known is set while the target is configured and listed.
	known bool
	// usable is the number of slots that this scheduler may use.
	usable int
	busy   int
	spares int
	// service is the rate of one of its slots.
	service serviceRate
	breaker *breaker.Breaker
	// reach holds the breakers of zones that saw failures.
	reach map[string]*reach
	// openPos is the index in Scheduler.open plus one; zero is absent.
	openPos int
}

// reach is the reachability of a target from a zone. Its timer is the
// breaker's retry time.
type reach struct {
	timer
	target  *target
	breaker *breaker.Breaker
}

func (t *target) free() int {
	return t.usable - t.busy - t.spares
}

// admits tells whether the target may get new work, health aside.
func (t *target) admits() bool {
	return t.known && !t.Leaving
}

// serves tells whether demands of w that exclude targets may ever use t.
func (t *target) serves(w *workspace, exclude []config.ID) bool {
	if !t.admits() || t.Slots <= 0 {
		return false
	}
	if w.DataCentre != anyDataCentre && w.DataCentre != t.DataCentre {
		return false
	}
	return !slices.Contains(exclude, t.ID)
}

// healthy tells whether t may be used from zone at now.
func (t *target) healthy(zone string, now time.Time) bool {
	if !t.breaker.Ready(now) {
		return false
	}
	r := t.reach[zone]
	return r == nil || r.breaker.Ready(now)
}

// due implements timed: the breaker is half-open.
func (t *target) due(s *Scheduler) {
	s.touch(t)
}

// due implements timed: the breaker is half-open.
func (r *reach) due(s *Scheduler) {
	s.touch(r.target)
}

// touch notes that a slot of t may have become usable.
func (s *Scheduler) touch(t *target) {
	s.touched = append(s.touched, t)
}

// target returns the state of a target, which may not be listed yet.
func (s *Scheduler) target(id config.ID) *target {
	t := s.targets[id]
	if t != nil {
		return t
	}
	t = &target{
		Target: Target{ID: id},
		reach:  map[string]*reach{},
		breaker: breaker.New(breaker.Options{
			Threshold: targetFailures,
			Seed:      s.options.Seed ^ uint64(id),
		}),
	}
	t.owner = t
	s.targets[id] = t
	return t
}

func (s *Scheduler) setTargets(targets []Target) {
	for _, t := range s.targets {
		t.known = false
	}
	for _, listed := range targets {
		t := s.target(listed.ID)
		t.Target = listed
		t.known = true
	}
	s.limitSlots()
	for _, t := range s.sortedTargets() {
		s.updateOpen(t)
		s.touch(t)
		s.forgetTarget(t)
	}
	s.revokeUnusable()
}

// countSlots sums up the usable slots of targets that get new work.
func (s *Scheduler) countSlots() {
	clear(s.slots)
	for _, t := range s.targets {
		if !t.admits() {
			continue
		}
		s.slots[anyDataCentre] += t.usable
		if t.DataCentre != anyDataCentre {
			s.slots[t.DataCentre] += t.usable
		}
	}
	s.counters.SetGroupsWithCapacity(slices.Collect(maps.Keys(s.slots)))
}

// forgetTarget drops a target that is neither listed nor in use.
func (s *Scheduler) forgetTarget(t *target) {
	if t.known || t.busy > 0 || t.spares > 0 {
		return
	}
	s.timers.stop(&t.timer)
	for _, r := range t.reach {
		s.timers.stop(&r.timer)
	}
	delete(s.targets, t.ID)
}

func (s *Scheduler) sortedTargets() []*target {
	targets := make([]*target, 0, len(s.targets))
	for _, t := range s.targets {
		targets = append(targets, t)
	}
	slices.SortFunc(targets, func(a, b *target) int { return cmp.Compare(a.ID, b.ID) })
	return targets
}

// updateOpen keeps t in Scheduler.open while it has a free slot.
func (s *Scheduler) updateOpen(t *target) {
	wanted := t.admits() && t.free() > 0
	switch {
	case wanted && t.openPos == 0:
		s.open = append(s.open, t)
		t.openPos = len(s.open)
	case !wanted && t.openPos > 0:
		last := s.open[len(s.open)-1]
		s.open[t.openPos-1] = last
		last.openPos = t.openPos
		s.open = s.open[:len(s.open)-1]
		t.openPos = 0
	}
}

func (s *Scheduler) targetReport(e TargetReport) {
	r := s.routers[e.Router]
	t := s.targets[e.Target]
	if r == nil || t == nil {
		return
	}
	if !e.Down {
		s.reachable(t, r.zone)
		s.touch(t)
		return
	}
	health := s.reach(t, r.zone)
	health.breaker.Trip(s.now)
	s.watch(&health.timer, health.breaker)
}

// reach returns the reachability of t from zone for recording a failure.
func (s *Scheduler) reach(t *target, zone string) *reach {
	health := t.reach[zone]
	if health != nil {
		return health
	}
	health = &reach{target: t}
	health.owner = health
	health.breaker = breaker.New(breaker.Options{
		Threshold: reachFailures,
		Seed:      s.options.Seed ^ uint64(t.ID) ^ uint64(config.IDOf(zone))<<32,
	})
	t.reach[zone] = health
	return health
}

// reachable forgets the failures of t as seen from zone.
func (s *Scheduler) reachable(t *target, zone string) {
	health := t.reach[zone]
	if health == nil {
		return
	}
	s.timers.stop(&health.timer)
	delete(t.reach, zone)
}

// watch arms the timer for the next change of the breaker by time.
func (s *Scheduler) watch(t *timer, b *breaker.Breaker) {
	at, ok := b.RetryAt(s.now)
	if !ok {
		s.timers.stop(t)
		return
	}
	s.timers.set(t, at)
}
