package deal

import (
	"cmp"
	"slices"
)

// smallChangeDivisor: changes of at most 1/smallChangeDivisor of the slots that a holder has
// in a data centre are left out.
const smallChangeDivisor = 32

// assignDataCentres decides which data centres the slots of the unrestricted claims come from,
// so that holders keep what they have as far as possible.
func (v *division) assignDataCentres() {
	unassigned := make([]int, len(v.slots))
	for _, c := range v.claims {
		if c.dataCentre == "" {
			unassigned[c.holder] += c.got
		}
	}
	for _, keep := range []bool{true, false} {
		for holder := range unassigned {
			for _, dataCentre := range v.dataCentres {
				n := min(unassigned[holder], v.unrestricted[dataCentre])
				if keep {
					n = min(n, v.held[holder][dataCentre]-v.slots[holder][dataCentre])
				}
				n = max(n, 0)
				v.unrestricted[dataCentre] -= n
				unassigned[holder] -= n
				v.slots[holder][dataCentre] += n
			}
		}
	}
}

// spreadUnclaimed divides the slots that no claim needs. Half of them go to the holders in equal
// parts. Of the rest, each holder gets as many as it needs to keep what it has, and those that
// are then left are given out one by one.
func (v *division) spreadUnclaimed() {
	for _, dataCentre := range v.dataCentres {
		left := v.left[dataCentre]
		equal := left / (2 * len(v.slots))
		for _, slots := range v.slots {
			slots[dataCentre] += equal
		}
		left -= equal * len(v.slots)
		for holder, slots := range v.slots {
			n := max(min(left, v.held[holder][dataCentre]-slots[dataCentre]), 0)
			slots[dataCentre] += n
			left -= n
		}
		for holder := 0; left > 0; holder = (holder + 1) % len(v.slots) {
			v.slots[holder][dataCentre]++
			left--
		}
		v.left[dataCentre] = 0
	}
}

// suppressSmallChanges leaves holders what they have if the change is small, so that slots do
// not move with each request. The service that a shard misses or gains by this adds up in its
// level, which corrects later divisions.
func (v *division) suppressSmallChanges() {
	for _, dataCentre := range v.dataCentres {
		surplus := 0
		var kept []int
		for holder, slots := range v.slots {
			held := v.held[holder][dataCentre]
			change := held - slots[dataCentre]
			if change != 0 && absDiff(change, 0) <= held/smallChangeDivisor {
				surplus += change
				kept = append(kept, holder)
			}
		}
		v.restoreHeld(dataCentre, kept, surplus)
	}
}

// restoreHeld sets the slots of the kept holders back to what they have. surplus is by how much
// that exceeds what the division gives them together; it is negative if it falls short. The
// holders with the largest changes bear the surplus, so that the sum of all slots stays the same.
func (v *division) restoreHeld(dataCentre string, kept []int, surplus int) {
	change := func(holder int) int { return v.held[holder][dataCentre] - v.slots[holder][dataCentre] }
	slices.SortStableFunc(kept, func(a, b int) int { return cmp.Compare(absDiff(change(b), 0), absDiff(change(a), 0)) })
	for _, holder := range kept {
		n := change(holder)
		taken := 0
		switch {
		case n > 0 && surplus > 0:
			taken = min(n, surplus)
		case n < 0 && surplus < 0:
			taken = max(n, surplus)
		}
		surplus -= taken
		v.slots[holder][dataCentre] += n - taken
	}
}
