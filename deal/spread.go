package deal

import (
	"cmp"
	"slices"
)

// dampParts is the part of what a holder has, as a divisor, up to which a change
// is left out.
const dampParts = 32

// compose divides what the unrestricted claims got between the data centres,
// so that holders keep what they have as far as possible.
func (v *division) compose() {
	open := make([]int, len(v.slots))
	for _, c := range v.claims {
		if c.dataCentre == "" {
			open[c.party] += c.got
		}
	}
	for _, keep := range []bool{true, false} {
		for party := range open {
			for _, dataCentre := range v.dataCentres {
				n := min(open[party], v.taken[dataCentre])
				if keep {
					n = min(n, v.held[party][dataCentre]-v.slots[party][dataCentre])
				}
				n = max(n, 0)
				v.taken[dataCentre] -= n
				open[party] -= n
				v.slots[party][dataCentre] += n
			}
		}
	}
}

// spread divides the slots that nobody claims: half of them equally, the rest
// to the holders that have them, and what is then left one by one.
func (v *division) spread() {
	for _, dataCentre := range v.dataCentres {
		left := v.left[dataCentre]
		equal := left / (2 * len(v.slots))
		for _, slots := range v.slots {
			slots[dataCentre] += equal
		}
		left -= equal * len(v.slots)
		for party, slots := range v.slots {
			n := max(min(left, v.held[party][dataCentre]-slots[dataCentre]), 0)
			slots[dataCentre] += n
			left -= n
		}
		for party := 0; left > 0; party = (party + 1) % len(v.slots) {
			v.slots[party][dataCentre]++
			left--
		}
		v.left[dataCentre] = 0
	}
}

// damp leaves holders with what they have if it is nearly right, so that slots
// do not move with each request. What it leaves wrong adds up in the levels.
func (v *division) damp() {
	for _, dataCentre := range v.dataCentres {
		surplus := 0
		var kept []int
		for party, slots := range v.slots {
			held := v.held[party][dataCentre]
			change := held - slots[dataCentre]
			if change != 0 && distance(change, 0) <= held/dampParts {
				surplus += change
				kept = append(kept, party)
			}
		}
		v.undamp(dataCentre, kept, surplus)
	}
}

// undamp lets kept holders keep what they have but for the surplus that this
// takes of others, or leaves.
func (v *division) undamp(dataCentre string, kept []int, surplus int) {
	change := func(party int) int { return v.held[party][dataCentre] - v.slots[party][dataCentre] }
	slices.SortStableFunc(kept, func(a, b int) int { return cmp.Compare(distance(change(b), 0), distance(change(a), 0)) })
	for _, party := range kept {
		n := change(party)
		taken := 0
		switch {
		case n > 0 && surplus > 0:
			taken = min(n, surplus)
		case n < 0 && surplus < 0:
			taken = max(n, surplus)
		}
		surplus -= taken
		v.slots[party][dataCentre] += n - taken
	}
}
