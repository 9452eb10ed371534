package edge

import (
	"time"

	"github.com/chiveseam/chiveseam/routing"
)

// directory decides which registered targets exist. It holds no clock and is not
// safe for concurrent use.
//
// A target whose registration is gone is gone. Registrations also lapse while
// the store is away, and come back shortly after its return: those that are
// missing then are kept for a grace time.
type directory struct {
	grace   time.Duration
	targets map[string]routing.Target
	// missing holds the time at which a target without a registration is given up.
	missing map[string]time.Time
	// returned is when the store was last back from an absence.
	returned time.Time
}

func newDirectory(grace time.Duration) *directory {
	return &directory{grace: grace, targets: map[string]routing.Target{}, missing: map[string]time.Time{}}
}

// event is one change of the targets in use.
type event struct {
	target  routing.Target
	removed bool
}

// back records that the store answers again.
func (d *directory) back(now time.Time) { d.returned = now }

// change takes one registration or its removal.
func (d *directory) change(now time.Time, c TargetChange) []event {
	if c.Removed || c.Err != nil {
		return d.remove(now, c.ID)
	}
	old, known := d.targets[c.ID]
	delete(d.missing, c.ID)
	if known && !c.Target.Supersedes(old) {
		return nil
	}
	d.targets[c.ID] = c.Target
	if known && sameUse(old, c.Target) {
		return nil
	}
	return []event{{target: c.Target}}
}

// sameUse reports whether two reports of a target differ in nothing that its use
// depends on.
func sameUse(a, b routing.Target) bool {
	a.Sequence = b.Sequence
	return a == b
}

func (d *directory) remove(now time.Time, id string) []event {
	old, known := d.targets[id]
	if !known {
		return nil
	}
	if since := now.Sub(d.returned); since < d.grace {
		if _, waits := d.missing[id]; !waits {
			d.missing[id] = d.returned.Add(d.grace)
		}
		return nil
	}
	delete(d.targets, id)
	delete(d.missing, id)
	return []event{{target: old, removed: true}}
}

// replace takes the whole list of registrations.
func (d *directory) replace(now time.Time, list []TargetChange) []event {
	var events []event
	listed := make(map[string]bool, len(list))
	for _, c := range list {
		listed[c.ID] = true
		events = append(events, d.change(now, c)...)
	}
	for id := range d.targets {
		if !listed[id] {
			events = append(events, d.remove(now, id)...)
		}
	}
	return events
}

// expire gives up the targets whose grace time is over.
func (d *directory) expire(now time.Time) []event {
	var events []event
	for id, at := range d.missing {
		if now.Before(at) {
			continue
		}
		events = append(events, event{target: d.targets[id], removed: true})
		delete(d.targets, id)
		delete(d.missing, id)
	}
	return events
}
