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
	// targetFailures is the number of consecutive failed or lost requests that
	// opens the breaker of a target.
	targetFailures = 3

	// unreachableFailures is the number of consecutive requests from a zone that
	// did not reach a target after which it counts as unreachable from there.
	unreachableFailures = 2

	// anyDataCentre is the DataCentre of workspaces that may use all targets.
	anyDataCentre = ""
)

// target is the state of a target. Its timer is the time at which its breaker
// admits a probe.
type target struct {
	timer
	Target
	// listed is set while the target is in the list that setTargets got last. A
	// target that is not may still have requests in flight.
	listed bool
	// usable is the number of slots that this scheduler may use: Slots, or fewer
	// if slots are allotted. busy counts the granted demands, and spares the
	// spare slots that routers hold.
	usable int
	busy   int
	spares int
	// service is the service rate of one of its slots.
	service serviceRate
	breaker *breaker.Breaker
	// zoneHealth holds, by zone, the reachability from zones that saw failures.
	zoneHealth map[string]*zoneHealth
	// freeTargetsPos is the index in Scheduler.freeTargets plus one, or zero if
	// the target is not in it.
	freeTargetsPos int
}

// zoneHealth is the reachability of a target from the routers of one zone. Its
// timer is the time at which the breaker admits a probe.
type zoneHealth struct {
	timer
	target  *target
	breaker *breaker.Breaker
}

// free returns the number of usable slots that are free. It is negative if fewer
// are usable than are in use.
func (t *target) free() int {
	return t.usable - t.busy - t.spares
}

// acceptsWork reports whether the target may get new requests if it is healthy.
func (t *target) acceptsWork() bool {
	return t.listed && !t.Leaving
}

// serves reports whether demands of w with the excluded targets may use t, were it
// free and healthy.
func (t *target) serves(w *workspace, exclude []config.ID) bool {
	if !t.acceptsWork() || t.Slots <= 0 {
		return false
	}
	if w.DataCentre != anyDataCentre && w.DataCentre != t.DataCentre {
		return false
	}
	return !slices.Contains(exclude, t.ID)
}

// healthy reports whether the breakers of t admit a request from zone at now.
func (t *target) healthy(zone string, now time.Time) bool {
	if !t.breaker.Ready(now) {
		return false
	}
	r := t.zoneHealth[zone]
	return r == nil || r.breaker.Ready(now)
}

// timerFired implements timerOwner. The breaker is half-open and admits a probe.
func (t *target) timerFired(s *Scheduler) {
	s.markForDispatch(t)
}

// timerFired implements timerOwner. The breaker is half-open and admits a probe.
func (r *zoneHealth) timerFired(s *Scheduler) {
	s.markForDispatch(r.target)
}

// markForDispatch notes that a slot of t may have become usable.
func (s *Scheduler) markForDispatch(t *target) {
	s.dispatchTargets = append(s.dispatchTargets, t)
}

// target returns the state of a target. It adds the state of a target that is not
// listed, which a router may report before the list names it.
func (s *Scheduler) target(id config.ID) *target {
	t := s.targets[id]
	if t != nil {
		return t
	}
	t = &target{
		Target:     Target{ID: id},
		zoneHealth: map[string]*zoneHealth{},
		breaker: breaker.New(breaker.Options{
			Threshold: targetFailures,
			Seed:      s.options.Seed ^ uint64(id),
		}),
	}
	t.owner = t
	s.targets[id] = t
	return t
}

// setTargets replaces the list of targets.
func (s *Scheduler) setTargets(targets []Target) {
	for _, t := range s.targets {
		t.listed = false
	}
	for _, update := range targets {
		t := s.target(update.ID)
		t.Target = update
		t.listed = true
	}
	s.applyAllotment()
	for _, t := range s.sortedTargets() {
		s.updateFreeTargets(t)
		s.markForDispatch(t)
		s.forgetTarget(t)
	}
	s.revokeUnusable()
}

// countSlots sums up the usable slots of the targets that accept new requests, and
// tells the counters which data centres have such targets.
func (s *Scheduler) countSlots() {
	clear(s.slotsByDataCentre)
	for _, t := range s.targets {
		if !t.acceptsWork() {
			continue
		}
		s.slotsByDataCentre[anyDataCentre] += t.usable
		if t.DataCentre != anyDataCentre {
			s.slotsByDataCentre[t.DataCentre] += t.usable
		}
	}
	s.counters.SetGroupsWithCapacity(slices.Collect(maps.Keys(s.slotsByDataCentre)))
}

// forgetTarget drops a target that is neither listed nor has slots in use.
func (s *Scheduler) forgetTarget(t *target) {
	if t.listed || t.busy > 0 || t.spares > 0 {
		return
	}
	s.timers.stop(&t.timer)
	for _, r := range t.zoneHealth {
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

// updateFreeTargets adds t to Scheduler.freeTargets or removes it, by whether it
// accepts requests and has a free slot.
func (s *Scheduler) updateFreeTargets(t *target) {
	wanted := t.acceptsWork() && t.free() > 0
	switch {
	case wanted && t.freeTargetsPos == 0:
		s.freeTargets = append(s.freeTargets, t)
		t.freeTargetsPos = len(s.freeTargets)
	case !wanted && t.freeTargetsPos > 0:
		last := s.freeTargets[len(s.freeTargets)-1]
		s.freeTargets[t.freeTargetsPos-1] = last
		last.freeTargetsPos = t.freeTargetsPos
		s.freeTargets = s.freeTargets[:len(s.freeTargets)-1]
		t.freeTargetsPos = 0
	}
}

func (s *Scheduler) handleTargetReport(e TargetReport) {
	r := s.routers[e.Router]
	t := s.targets[e.Target]
	if r == nil || t == nil {
		return
	}
	if !e.Down {
		s.clearUnreachable(t, r.zone)
		s.markForDispatch(t)
		return
	}
	health := s.zoneHealthOf(t, r.zone)
	health.breaker.Trip(s.now)
	s.armBreakerTimer(&health.timer, health.breaker)
}

// zoneHealthOf returns the record of the reachability of t from zone, and adds one
// if there is none. It is called to record a failure.
func (s *Scheduler) zoneHealthOf(t *target, zone string) *zoneHealth {
	health := t.zoneHealth[zone]
	if health != nil {
		return health
	}
	health = &zoneHealth{target: t}
	health.owner = health
	health.breaker = breaker.New(breaker.Options{
		Threshold: unreachableFailures,
		Seed:      s.options.Seed ^ uint64(t.ID) ^ uint64(config.IDOf(zone))<<32,
	})
	t.zoneHealth[zone] = health
	return health
}

// clearUnreachable forgets the failures to reach t from zone.
func (s *Scheduler) clearUnreachable(t *target, zone string) {
	health := t.zoneHealth[zone]
	if health == nil {
		return
	}
	s.timers.stop(&health.timer)
	delete(t.zoneHealth, zone)
}

// armBreakerTimer arms the timer for the time at which the breaker admits a request
// again, or stops it if the breaker admits one now.
func (s *Scheduler) armBreakerTimer(t *timer, b *breaker.Breaker) {
	at, ok := b.RetryAt(s.now)
	if !ok {
		s.timers.stop(t)
		return
	}
	s.timers.set(t, at)
}
