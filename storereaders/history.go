// Package storereaders decides which routers of an availability zone watch the registrations of targets
// in the platform's store, and how the others follow them.
//
// In a zone with MinRouters live routers or more, two routers watch the registrations and pass each
// change on to the other routers of the zone. They are drawn by rendezvous hashing among the routers
// that can call the store, by each router from its own view. Routers that disagree cost some calls, and
// nothing else: a router that no reader serves watches by itself.
//
// A Batch holds all changes between two revisions of the store. A router applies a batch that continues
// what it knows (History). Both readers send each change, so that a lost batch alone leaves no gap.
//
// The package has no goroutine, clock or socket: callers pass in the current time. Its types are not safe
// for concurrent use, and their zero values are ready for use.
package storereaders

import (
	"errors"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/chiveseam/chiveseam/evacuation"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/routing"
)

// Revision is a position in the history of the store. The zero value is before all others.
type Revision = evacuation.Revision

// Change is the registration of a target or its removal.
type Change struct {
	ID     string
	Target routing.Target
	// Removed is set if the registration no longer exists.
	Removed bool
	// Err says why the registration cannot be decoded; Target is empty then.
	Err error
	// Revision is the store's revision of the change.
	Revision Revision
}

// Batch holds the changes between two revisions of an epoch. A router that knows all changes up to a
// revision between From and Until knows all up to To with it.
//
// Until is To for a batch from a watch, which holds each change. A batch from two complete reads is a
// difference of two states: it does not name a target that was registered and removed between them, so
// that a router that knows of the registration must not apply it. Its removals have the revision of
// the later state.
type Batch struct {
	Epoch           uint64
	From, Until, To uint64
	Changes         []Change
}

// Empty reports whether the batch says nothing. One without changes may say that there were none.
func (b Batch) Empty() bool { return b.To <= b.From }

const (
	// removedReports is the number of reports that name a target that a complete read no longer found,
	// since datagrams are lost.
	removedReports = 3
	// maxRemoved bounds the removed targets in one report.
	maxRemoved = 64
)

// History is what a router knows of the history of the registrations.
type History struct {
	// covered is the revision up to which all changes are known, since the one from which on they are.
	// There is no change between changed and covered.
	since, changed, covered Revision
	// registered holds the IDs of the registered targets.
	registered map[string]bool
	// removed are targets that a complete read no longer found, for reports.
	removed []removedTarget
}

// removedTarget is a target that a complete read no longer found.
type removedTarget struct {
	id         string
	at         Revision
	reportsDue int
}

// Covered returns the revision up to which all changes are known.
func (h *History) Covered() Revision { return h.covered }

// Since returns the revision from which on all changes are known.
func (h *History) Since() Revision { return h.since }

// Complete applies a complete list of the registrations at a revision. It returns false if later changes
// are known already, and otherwise what has changed: nothing if the list does not continue the history.
func (h *History) Complete(list []Change, at Revision) (Batch, bool) {
	if at.Compare(h.covered) < 0 {
		return Batch{}, false
	}
	listed := make(map[string]bool, len(list))
	for _, c := range list {
		listed[c.ID] = true
	}
	known, before := h.registered, h.covered
	h.registered, h.covered = listed, at
	if before == (Revision{}) || before.Epoch != at.Epoch {
		h.since, h.changed, h.removed = at, at, nil
		return Batch{}, true
	}
	var changes []Change
	for id := range known {
		if !listed[id] {
			changes = append(changes, Change{ID: id, Removed: true, Revision: at})
			h.removed = append(h.removed, removedTarget{id, at, removedReports})
		}
	}
	removals := len(changes)
	for _, c := range list {
		if c.Revision.Compare(before) > 0 {
			changes = append(changes, c)
		}
	}
	slices.SortFunc(changes[removals:], func(a, b Change) int { return a.Revision.Compare(b.Revision) })
	batch := Batch{Epoch: at.Epoch, From: h.changed.Number, Until: before.Number, To: at.Number, Changes: changes}
	h.changed = at
	return batch, true
}

// Watched applies the changes that a watch delivered, in the order of their revisions, and the revision
// from which it continues. It returns those that were not known.
func (h *History) Watched(list []Change, next Revision) Batch {
	if next.Epoch != h.covered.Epoch {
		return Batch{}
	}
	changes := h.later(list)
	if next.Compare(h.covered) > 0 {
		h.covered = next
	}
	if len(changes) == 0 {
		return Batch{}
	}
	from := h.changed
	h.changed = changes[len(changes)-1].Revision
	if h.changed.Compare(h.covered) > 0 {
		h.covered = h.changed
	}
	return Batch{Epoch: from.Epoch, From: from.Number, Until: h.changed.Number, To: h.changed.Number, Changes: changes}
}

// later returns the changes that are not known, and notes them.
func (h *History) later(list []Change) []Change {
	if h.registered == nil {
		h.registered = make(map[string]bool)
	}
	var changes []Change
	for _, c := range list {
		if c.Revision.Compare(h.covered) <= 0 {
			continue
		}
		changes = append(changes, c)
		if c.Removed {
			delete(h.registered, c.ID)
		} else {
			h.registered[c.ID] = true
		}
	}
	return changes
}

// Received applies a batch of another router, and returns the changes in it that were not known. It
// returns none if the batch does not continue what is known. The removals of a difference have no revision,
// since theirs may be later than that of the newest change.
func (h *History) Received(b Batch) []Change {
	covered := h.covered
	if b.Epoch != covered.Epoch || covered == (Revision{}) || covered.Number < b.From || covered.Number > b.Until || covered.Number >= b.To {
		return nil
	}
	changes := h.later(b.Changes)
	for i := range changes {
		if b.Until < b.To && changes[i].Removed {
			changes[i].Revision = Revision{}
		}
	}
	h.covered = Revision{Epoch: b.Epoch, Number: b.To}
	h.changed = h.covered
	return changes
}

// RemovedLater reports whether the statement of another router that a target had no registration at a
// revision is newer than what is known. The history stays as it is: the removal is passed on once this
// router reads it by itself.
func (h *History) RemovedLater(id string, at Revision) bool {
	return at.Epoch == h.covered.Epoch && at.Compare(h.covered) > 0 && h.registered[id]
}

// ReportRemoved returns the targets for the next report that a complete read no longer found.
func (h *History) ReportRemoved() []*v1.RemovedTarget {
	var out []*v1.RemovedTarget
	left := h.removed[:0]
	for _, r := range h.removed {
		if len(out) < maxRemoved {
			out = append(out, &v1.RemovedTarget{Id: r.id, Epoch: r.at.Epoch, Revision: r.at.Number})
			r.reportsDue--
		}
		if r.reportsDue > 0 {
			left = append(left, r)
		}
	}
	h.removed = left
	return out
}

const (
	// maxBatchBytes is the size of the changes in one datagram, which is then sent in one packet.
	maxBatchBytes = 1200
	// maxReasonBytes bounds the reason why a registration is unreadable.
	maxReasonBytes = 400
	// maxDifferenceBytes is the size of the changes in a datagram of several packets. No UDP datagram is
	// larger than 64 KiB.
	maxDifferenceBytes = 48 << 10
)

// Messages converts a batch into messages. One from a watch is split into batches that fit into one
// packet each. A difference is not split: a router that knows all changes up to some revision within it
// must not apply a part. One that is too large for a datagram is not sent; routers then read by themselves.
func (b Batch) Messages() []*v1.TargetChanges {
	difference := b.Until < b.To
	m := &v1.TargetChanges{Epoch: b.Epoch, From: b.From, Until: b.Until, To: b.To}
	out := []*v1.TargetChanges{m}
	size := 0
	for i, c := range b.Changes {
		r := registration(c)
		bytes := 40 + len(r.Id) + len(r.Service) + len(r.Address) + len(r.Zone) + len(r.Version) + len(r.Unreadable)
		if size += bytes; !difference && i > 0 && size > maxBatchBytes && c.Revision != b.Changes[i-1].Revision {
			m.Until, m.To = b.Changes[i-1].Revision.Number, b.Changes[i-1].Revision.Number
			m = &v1.TargetChanges{Epoch: b.Epoch, From: m.To, Until: b.To, To: b.To}
			out = append(out, m)
			size = bytes
		}
		m.Changes = append(m.Changes, r)
	}
	if difference && size > maxDifferenceBytes {
		return nil
	}
	return out
}

// registration converts a change into its message.
func registration(c Change) *v1.TargetRegistration {
	t := c.Target
	r := &v1.TargetRegistration{
		Id: c.ID, Revision: c.Revision.Number, Removed: c.Removed, Service: t.Service, Address: t.Address, Zone: t.Zone, Version: t.Version,
		Slots: uint32(t.Slots), Draining: t.Draining, StartedUnixMs: t.StartedUnixMs,
		ColdRemainingMs: uint32(min(t.ColdRemaining.Milliseconds(), math.MaxUint32)), Sequence: t.Sequence,
	}
	if c.Err != nil {
		text := c.Err.Error()
		r.Unreadable = strings.ToValidUTF8(text[:min(len(text), maxReasonBytes)], "")
	}
	return r
}

// BatchOf converts a message into a batch.
func BatchOf(m *v1.TargetChanges) Batch {
	b := Batch{Epoch: m.Epoch, From: m.From, Until: m.Until, To: m.To, Changes: make([]Change, 0, len(m.Changes))}
	for _, r := range m.Changes {
		c := Change{ID: r.Id, Removed: r.Removed, Revision: Revision{Epoch: m.Epoch, Number: r.Revision}}
		switch {
		case r.Unreadable != "":
			c.Err = errors.New(r.Unreadable)
		case !r.Removed:
			c.Target = routing.Target{
				ID: r.Id, Service: r.Service, Address: r.Address, Zone: r.Zone, Version: r.Version, Slots: int(r.Slots), Draining: r.Draining,
				StartedUnixMs: r.StartedUnixMs, ColdRemaining: time.Duration(r.ColdRemainingMs) * time.Millisecond, Sequence: r.Sequence,
			}
		}
		b.Changes = append(b.Changes, c)
	}
	return b
}
