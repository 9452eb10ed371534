package requestkey

import "slices"

// handOvers holds, for each router that has stopped, who holds its records.
type handOvers map[Member]*handOverState

type handOverState struct {
	// revision is the list by which the successors were found.
	revision uint64
	holders  []Member
}

func (h handOvers) add(held HeldHandOver) {
	state := h[held.From]
	if state == nil {
		state = &handOverState{revision: held.Revision}
		h[held.From] = state
	}
	if state.revision == held.Revision {
		state.holders = appendMember(state.holders, held.Holder)
	}
}

// reached reports whether the records that m had of a key came to self, from
// m or from successors that have stopped since.
func (h handOvers) reached(views *history, self, m Member, id ID) bool {
	state := h[m]
	if state == nil {
		return false
	}
	view, ok := views.find(state.revision)
	if !ok {
		return false
	}
	successor, ok := ownerOf(view.Routers, id, m.Name)
	if !ok {
		return false
	}
	for _, holder := range state.holders {
		if holder.Name != successor.Name {
			continue
		}
		if holder == self || h.reached(views, self, holder, id) {
			return true
		}
	}
	return false
}

// reachedFrom returns the members whose records of a key came to self.
func (h handOvers) reachedFrom(views *history, self Member, id ID) []Member {
	var members []Member
	for m := range h {
		if h.reached(views, self, m, id) {
			members = append(members, m)
		}
	}
	return members
}

func (h handOvers) list() []HeldHandOver {
	var result []HeldHandOver
	for m, state := range h {
		for _, holder := range state.holders {
			result = append(result, HeldHandOver{From: m, Holder: holder, Revision: state.revision})
		}
	}
	return result
}

// prune forgets the routers that no known list contains.
func (h handOvers) prune(views *history) {
	for m := range h {
		listed := slices.ContainsFunc(views.views, func(v View) bool {
			return slices.Contains(v.Routers, m)
		})
		if !listed {
			delete(h, m)
		}
	}
}
