package fleet

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/chiveseam/chiveseam/rendezvous"
)

// rings arranges the members in several rings, each ordered by a different hash.
type rings struct {
	// names holds the names of the members in alphabetical order.
	names []string
	// order holds, for each ring, the names in the order of the ring.
	order [][]string
	// positions holds, for each ring, the index of each name in order.
	positions []map[string]int
}

// set replaces the members and the number of rings.
func (r *rings) set(names []string, count int) {
	if slices.Equal(r.names, names) && len(r.order) == count {
		return
	}
	r.names = names
	r.order = make([][]string, count)
	r.positions = make([]map[string]int, count)
	for i := range count {
		r.order[i] = ringOrder("ring/"+strconv.Itoa(i), names)
		r.positions[i] = make(map[string]int, len(names))
		for j, name := range r.order[i] {
			r.positions[i][name] = j
		}
	}
}

// ringOrder orders the names by their rendezvous score for key.
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

// contains reports whether name is a member.
func (r *rings) contains(name string) bool {
	_, ok := slices.BinarySearch(r.names, name)
	return ok
}

// successors returns the members after name on a ring, up to and including the first that
// answered recently. After n members that are down it returns up to n others that have not
// answered yet, to contact them at once. So the end of a long run of silent members is found in
// a number of rounds that grows with its logarithm. A name outside the ring has no successors.
func (r *rings) successors(ring int, name string, down map[string]bool, answered func(string) bool) []string {
	order := r.order[ring]
	start, ok := r.positions[ring][name]
	if !ok {
		return nil
	}
	var names []string
	silent, untried := 0, 0
	for offset := 1; offset < len(order); offset++ {
		next := order[(start+offset)%len(order)]
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
	start, ok := r.positions[ring][name]
	if !ok {
		return "", false
	}
	for offset := 1; offset < len(order); offset++ {
		next := order[(start-offset+len(order))%len(order)]
		if !down[next] {
			return next, true
		}
	}
	return "", false
}

// watched returns the names of the members that name watches, in alphabetical order.
func (r *rings) watched(name string, down map[string]bool, answered func(string) bool) []string {
	var names []string
	for ring := range r.order {
		names = append(names, r.successors(ring, name, down, answered)...)
	}
	return sortedUnique(names)
}

// watchers returns the names of the reachable members that watch name, in alphabetical order.
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
