package fleet

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/chiveseam/chiveseam/rendezvous"
)

// rings orders the members on several circles, each by a hash of its own.
type rings struct {
	// names holds the members in order.
	names []string
	// order holds the members of each ring in ring order.
	order [][]string
	// position holds the index of a member on each ring.
	position []map[string]int
}

func (r *rings) set(names []string, count int) {
	if slices.Equal(r.names, names) && len(r.order) == count {
		return
	}
	r.names = names
	r.order = make([][]string, count)
	r.position = make([]map[string]int, count)
	for i := range count {
		r.order[i] = ringOrder("ring/"+strconv.Itoa(i), names)
		r.position[i] = make(map[string]int, len(names))
		for j, name := range r.order[i] {
			r.position[i][name] = j
		}
	}
}

func ringOrder(key string, names []string) []string {
	scores := make(map[string]uint64, len(names))
	for _, name := range names {
		scores[name] = rendezvous.Score(key, name)
	}
	ordered := slices.Clone(names)
	slices.SortFunc(ordered, func(a, b string) int {
		return cmp.Or(cmp.Compare(scores[a], scores[b]), cmp.Compare(a, b))
	})
	return ordered
}

// holds returns whether name is a member.
func (r *rings) holds(name string) bool {
	_, ok := slices.BinarySearch(r.names, name)
	return ok
}

// successors returns the members after name on a ring, up to and including the
// first that answered lately. Past n silent members it takes n untried ones at
// once, so that a long run of silent members is found in a logarithmic number
// of rounds. A name outside the ring has no successors.
func (r *rings) successors(ring int, name string, down map[string]bool, answered func(string) bool) []string {
	order := r.order[ring]
	start, ok := r.position[ring][name]
	if !ok {
		return nil
	}
	var names []string
	silent, untried := 0, 0
	for step := 1; step < len(order); step++ {
		next := order[(start+step)%len(order)]
		names = append(names, next)
		if down[next] {
			silent++
			continue
		}
		untried++
		if answered(next) || untried >= silent {
			break
		}
	}
	return names
}

// predecessor returns the first member before name on a ring that is not down.
func (r *rings) predecessor(ring int, name string, down map[string]bool) (string, bool) {
	order := r.order[ring]
	start, ok := r.position[ring][name]
	if !ok {
		return "", false
	}
	for step := 1; step < len(order); step++ {
		next := order[(start-step+len(order))%len(order)]
		if !down[next] {
			return next, true
		}
	}
	return "", false
}

// watched returns the members that name watches, in order.
func (r *rings) watched(name string, down map[string]bool, answered func(string) bool) []string {
	var names []string
	for ring := range r.order {
		names = append(names, r.successors(ring, name, down, answered)...)
	}
	return sortedUnique(names)
}

// watchers returns the reachable members that watch name, in order.
func (r *rings) watchers(name string, down map[string]bool) []string {
	var names []string
	for ring := range r.order {
		if watcher, ok := r.predecessor(ring, name, down); ok {
			names = append(names, watcher)
		}
	}
	return sortedUnique(names)
}

func sortedUnique(names []string) []string {
	slices.Sort(names)
	return slices.Compact(names)
}
