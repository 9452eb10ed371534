package requestkey

import "slices"

// handOvers holds, for each stopped router, the successors that have received its records.
type handOvers map[Member]*handOverState

// handOverState holds the known hand-overs of one stopped router.
type handOverState struct {
	// revision is that of the list by which the stopped router found its successors.
	revision uint64
	holders  []Member
}

// add notes a hand-over. It ignores one whose revision differs from the first of that router.
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

// transferredTo reports whether the records that m had of a key were handed over to self, by
// m or by successors of m that have stopped since.
func (h handOvers) transferredTo(views *history, self, m Member, id ID) bool {
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
		if holder == self || h.transferredTo(views, self, holder, id) {
			return true
		}
	}
	return false
}

// transferredFrom returns the stopped routers whose records of a key were handed over to self.
func (h handOvers) transferredFrom(views *history, self Member, id ID) []Member {
	var members []Member
	for m := range h {
		if h.transferredTo(views, self, m, id) {
			members = append(members, m)
		}
	}
	return members
}

// list returns all known hand-overs, for HandOver.Earlier.
func (h handOvers) list() []HeldHandOver {
	var result []HeldHandOver
	for m, state := range h {
		for _, holder := range state.holders {
			result = append(result, HeldHandOver{From: m, Holder: holder, Revision: state.revision})
		}
	}
	return result
}

// prune deletes the hand-overs of stopped routers that no known list contains. Without such a
// list, the router is not among the earlier owners of any key.
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
