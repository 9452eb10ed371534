package streams

import (
	"slices"
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const (
	// recurrenceCount is the number of sightings of a deviation that show that it is usual, and sightingInterval the least time between
	// two of them: together they last longer than faults of targets, which come in bursts.
	recurrenceCount  = 8
	sightingInterval = 1200 * time.Millisecond
	// maxMostTargets bounds the number of targets that count as most of a service's.
	maxMostTargets = 5
	// maxRecentTargets is the number of streams of which the targets are remembered.
	maxRecentTargets = 32
	// maxRecurringFactor times the largest number that recurred is the largest one that is usual.
	maxRecurringFactor = 2
	// maxPauseFactor times the median time between two sightings is the longest one that may be: bursts leave longer ones.
	maxPauseFactor = 4
)

// sighting is a deviation of a target from what is usual for its service.
type sighting struct {
	at     time.Time
	target uint32
	// number is the number that deviates.
	number uint64
}

// recurrence decides whether a deviation is no fault: most targets of a service show it, again and again, for longer than
// faults of targets last. It is for streams that no second target may continue, so that nobody can refute a suspicion
// of them. The zero value has seen none.
type recurrence struct {
	// recent are the last sightings, oldest first.
	recent []sighting
	// usual is set once the deviation has recurred, and largest is the largest number that did.
	usual   bool
	largest uint64
	// added counts the sightings.
	added int
}

// see records a sighting. It reports whether the deviation is usual.
func (r *recurrence) see(s sighting, targets *recentTargets) bool {
	r.add(s, targets)
	return r.usual && s.number <= r.upTo()
}

// add records a sighting, unless there was another one at about that time: one that several routers tell counts once.
func (r *recurrence) add(s sighting, targets *recentTargets) {
	i, _ := slices.BinarySearchFunc(r.recent, s, func(a, b sighting) int { return a.at.Compare(b.at) })
	if i > 0 && s.at.Sub(r.recent[i-1].at) < sightingInterval || i < len(r.recent) && r.recent[i].at.Sub(s.at) < sightingInterval {
		return
	}
	r.recent = slices.Insert(r.recent, i, s)
	r.recent = r.recent[max(len(r.recent)-recurrenceCount, 0):]
	r.added++
	if r.recurs(targets) {
		r.usual = true
		for _, seen := range r.recent {
			r.largest = max(r.largest, seen.number)
		}
	}
}

// recurs reports whether the last sightings are many, steady and at most targets.
func (r *recurrence) recurs(targets *recentTargets) bool {
	if len(r.recent) < recurrenceCount {
		return false
	}
	var seen []uint32
	var pauses []time.Duration
	for i, s := range r.recent {
		if !slices.Contains(seen, s.target) {
			seen = append(seen, s.target)
		}
		if i > 0 {
			pauses = append(pauses, s.at.Sub(r.recent[i-1].at))
		}
	}
	slices.Sort(pauses)
	most := min(max(targets.count()/2+1, 2), maxMostTargets)
	return len(seen) >= most && pauses[len(pauses)-1] <= maxPauseFactor*pauses[len(pauses)/2]
}

// upTo returns the largest number that is usual; 0 if none is.
func (r *recurrence) upTo() uint64 {
	if !r.usual {
		return 0
	}
	return max(r.largest*maxRecurringFactor, r.largest)
}

// messages returns the last sightings, for other routers.
func (r *recurrence) messages(now time.Time) []*v1.Sighting {
	var list []*v1.Sighting
	for _, s := range r.recent {
		list = append(list, &v1.Sighting{AgeMs: uint32(max(now.Sub(s.at).Milliseconds(), 0)), Target: s.target, Number: s.number})
	}
	return list
}

// adopt learns from another router what it has seen, and up to which number a deviation is usual there; 0 if it is not.
func (r *recurrence) adopt(now time.Time, told []*v1.Sighting, upTo uint64, targets *recentTargets) {
	for _, s := range told[:min(len(told), recurrenceCount)] {
		r.add(sighting{at: now.Add(-time.Duration(s.AgeMs) * time.Millisecond), target: s.Target, number: s.Number}, targets)
	}
	if upTo > r.upTo() {
		r.usual, r.largest = true, upTo/maxRecurringFactor
	}
}

// recentTargets are those of the last streams of a service. The zero value has seen none.
type recentTargets struct {
	ring [maxRecentTargets]uint32
	seen int
}

// add records the target of a stream.
func (t *recentTargets) add(target uint32) {
	t.ring[t.seen%maxRecentTargets] = target
	t.seen++
}

// count returns the number of different targets.
func (t *recentTargets) count() int {
	targets := slices.Clone(t.ring[:min(t.seen, maxRecentTargets)])
	slices.Sort(targets)
	return len(slices.Compact(targets))
}
