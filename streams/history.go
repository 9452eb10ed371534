package streams

import (
	"slices"
	"time"
)

// Registration is a change in the history of registrations of targets.
type Registration struct {
	// Target is the ID of the target.
	Target string
	// Removed is set if the registration ended. The fields below are then empty.
	Removed bool
	// New is set if no target was registered under the ID before.
	New bool
	// Service and Version are hashes of the service and of the version of the target.
	Service, Version uint32
	// Started is when the target started, the Unix time 0 if that is not known, and Sequence the number of
	// its registrations since then, which it makes at a steady rate.
	Started  time.Time
	Sequence uint64
	// Revision is the store's revision of the change.
	Revision Revision
}

// History is the registrations of targets up to now, as far as they are known.
type History struct {
	// Registrations begin with the oldest one.
	Registrations []Registration
	// Whole is set if they go back to the beginning.
	Whole bool
	// Restored is set if the store may have lost some in between, as it was restored from a copy.
	Restored bool
	// Until is the revision up to which they go.
	Until Revision
}

// MergeHistory records the versions in a history, and since when these are all versions that there were.
//
// A history has no times. How far it goes back is the time in which targets made the registrations that it
// holds of them: one each heartbeat, or at their rate since their starts if that is higher, as they may have made
// fewer while the store was away. The second longest of these times counts, since a single target may state a wrong
// start.
func (o *Origins) MergeHistory(now time.Time, h History, heartbeat time.Duration) {
	for _, r := range h.Registrations {
		if !r.Removed {
			o.SeeVersion(r.Service, r.Version)
		}
	}
	lost := 0
	if h.Restored {
		lost = lossEnd(h.Registrations)
	}
	if h.Whole && lost == 0 {
		o.coverage = o.coverage.merge(Coverage{Since: time.Unix(0, 0), From: Revision{Epoch: h.Until.Epoch}, Until: h.Until})
		return
	}
	from := lost
	if !h.Whole {
		from = max(from, knownFrom(h.Registrations))
	}
	known := Coverage{Since: now.Add(-span(now, h.Registrations[from:], heartbeat)), From: h.Until, Until: h.Until}
	if from < len(h.Registrations) {
		known.From = h.Registrations[from].Revision
	}
	o.coverage = o.coverage.merge(known)
}

// lossEnd returns the index behind the last registration before which others of the same process are missing; 0 if
// there is none. A version may have been registered and left in the time that the store has lost.
func lossEnd(history []Registration) int {
	end := 0
	last := make(map[string]Registration)
	for i, r := range history {
		if r.Removed {
			continue
		}
		before, made := last[r.Target]
		switch {
		case made && before.Started.Equal(r.Started):
			if r.Sequence > before.Sequence+1 {
				end = i + 1
			}
		case made || r.New:
			if r.Sequence > 1 {
				end = i + 1
			}
		}
		last[r.Target] = r
	}
	return end
}

// knownFrom returns the index from which the versions of all registrations in a history are known: behind the
// last end of a registration that was made before the history, or the last start of a target under an ID that was
// registered before it.
func knownFrom(history []Registration) int {
	from := 0
	made := make(map[string]bool)
	for i, r := range history {
		if !made[r.Target] && (r.Removed || !r.New && r.Sequence <= 1) {
			from = i + 1
		}
		made[r.Target] = !r.Removed
	}
	return from
}

// span returns how long before now a history begins, at least.
func span(now time.Time, history []Registration, heartbeat time.Duration) time.Duration {
	first := make(map[string]Registration)
	spans := make(map[string]time.Duration)
	for _, r := range history {
		begin, ok := first[r.Target]
		if r.Removed || !ok || !begin.Started.Equal(r.Started) || r.Sequence < begin.Sequence {
			delete(first, r.Target)
			if !r.Removed {
				first[r.Target] = r
			}
			continue
		}
		if age := now.Sub(r.Started); age > 0 && r.Started.Unix() > 0 {
			interval := min(age/time.Duration(max(r.Sequence, 1)), heartbeat)
			spans[r.Target] = time.Duration(r.Sequence-begin.Sequence) * interval
		}
	}
	longest := make([]time.Duration, 0, len(spans))
	for _, s := range spans {
		longest = append(longest, s)
	}
	slices.Sort(longest)
	if len(longest) < 2 {
		return 0
	}
	return longest[len(longest)-2]
}
