package edge

import (
	"time"

	"github.com/chiveseam/chiveseam/routing"
)

// directory is the list of targets in use, derived from the registrations in the store. It reads no
// clock and is not safe for concurrent use: the Edge's mu guards it.
//
// A target is removed when its registration is. The exception is an outage of the store:
// registrations lapse during it and are made again shortly after its end. A target whose
// registration is missing then stays in use until a grace time after the end of the outage.
type directory struct {
	grace time.Duration
	// targets holds the targets in use by ID.
	targets map[string]routing.Target
	// removeAt holds, by ID, when a target without a registration is removed.
	removeAt map[string]time.Time
	// storeReturnedAt is when the last outage of the store ended, or it was restored from a copy.
	storeReturnedAt time.Time
	// restoredAt is when the store was last restored from a copy.
	restoredAt time.Time
	// gone holds the last registrations of removed targets, by ID.
	gone map[string]goneTarget
	// received holds the registrations for takeReceived.
	received []routing.Target
}

// goneTarget is a target that was removed.
type goneTarget struct {
	target routing.Target
	at     time.Time
}

const (
	// restoreTime is the time after a restore of the store within which it may hold registrations of
	// targets that had left before: they lapse after a few missed heartbeats.
	restoreTime = 10 * time.Second
	// goneLifetime is how long a removed target is remembered. The copies from which the store is
	// restored are some seconds old.
	goneLifetime = time.Minute
)

func newDirectory(grace time.Duration) *directory {
	return &directory{grace: grace, targets: map[string]routing.Target{}, removeAt: map[string]time.Time{}, gone: map[string]goneTarget{}}
}

// targetUpdate is a change of the targets in use: a new or changed target, or a removed one.
type targetUpdate struct {
	target  routing.Target
	removed bool
}

// storeRestored records that the store was restored from a copy some seconds old. It lacks the newest
// registrations until they are made again, and has those of targets that have left since.
func (d *directory) storeRestored(now time.Time) {
	d.storeReturned(now)
	d.restoredAt = now
}

// comesFromCopy reports whether the registration of a target that is not in use is one of those that
// a restore brought back: no newer than the one that was removed.
func (d *directory) comesFromCopy(now time.Time, t routing.Target) bool {
	g, ok := d.gone[t.ID]
	return ok && now.Sub(d.restoredAt) < restoreTime && g.target.Supersedes(t)
}

// forgetGone removes old entries of gone.
func (d *directory) forgetGone(now time.Time) {
	for id, g := range d.gone {
		if now.Sub(g.at) >= goneLifetime {
			delete(d.gone, id)
		}
	}
}

// storeReturned records the end of an outage of the store.
func (d *directory) storeReturned(now time.Time) { d.storeReturnedAt = now }

// update applies one registration or its removal. A registration that cannot be decoded counts as
// removed. One that is older than the known one is ignored.
func (d *directory) update(now time.Time, c TargetChange) []targetUpdate {
	if c.Removed || c.Err != nil {
		return d.remove(now, c.ID)
	}
	old, known := d.targets[c.ID]
	delete(d.removeAt, c.ID)
	if known && !c.Target.Supersedes(old) || !known && d.comesFromCopy(now, c.Target) {
		return nil
	}
	delete(d.gone, c.ID)
	d.targets[c.ID] = c.Target
	if old != c.Target {
		d.received = append(d.received, c.Target)
	}
	if known && equalExceptHeartbeat(old, c.Target) {
		return nil
	}
	return []targetUpdate{{target: c.Target}}
}

// takeReceived returns the new registrations since the last call, also those that change nothing but the
// time for which a target is cold.
func (d *directory) takeReceived() []routing.Target {
	received := d.received
	d.received = nil
	return received
}

// equalExceptHeartbeat reports whether two registrations of a target have equal fields apart from
// the sequence number and the time for which the target is cold.
func equalExceptHeartbeat(a, b routing.Target) bool {
	a.Sequence, a.ColdRemaining = b.Sequence, b.ColdRemaining
	return a == b
}

// remove removes a target, or schedules its removal if the store returned less than the grace time
// ago.
func (d *directory) remove(now time.Time, id string) []targetUpdate {
	old, known := d.targets[id]
	if !known {
		return nil
	}
	if since := now.Sub(d.storeReturnedAt); since < d.grace {
		if _, pending := d.removeAt[id]; !pending {
			d.removeAt[id] = d.storeReturnedAt.Add(d.grace)
		}
		return nil
	}
	delete(d.targets, id)
	delete(d.removeAt, id)
	d.gone[id] = goneTarget{old, now}
	return []targetUpdate{{target: old, removed: true}}
}

// replace applies a complete list of registrations.
func (d *directory) replace(now time.Time, list []TargetChange) []targetUpdate {
	var updates []targetUpdate
	listed := make(map[string]bool, len(list))
	for _, c := range list {
		listed[c.ID] = true
		updates = append(updates, d.update(now, c)...)
	}
	for id := range d.targets {
		if !listed[id] {
			updates = append(updates, d.remove(now, id)...)
		}
	}
	return updates
}

// expire removes the targets whose grace time has ended.
func (d *directory) expire(now time.Time) []targetUpdate {
	d.forgetGone(now)
	var updates []targetUpdate
	for id, at := range d.removeAt {
		if now.Before(at) {
			continue
		}
		updates = append(updates, targetUpdate{target: d.targets[id], removed: true})
		d.gone[id] = goneTarget{d.targets[id], now}
		delete(d.targets, id)
		delete(d.removeAt, id)
	}
	return updates
}
