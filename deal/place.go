package deal

import (
	"cmp"
	"maps"
	"slices"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/pool"
)

// manyTargets: a holder that has slots of more targets than this is told which slots to give up,
// those of the targets of which it has the fewest, so that its reports and allotments stay short.
// Other holders give up the slots that come free first.
const manyTargets = 16

// smallYieldDivisor: a holder of more than manyTargets targets nevertheless gives up the slots
// that come free first if they are at most 1/smallYieldDivisor of the slots that it keeps in a
// data centre.
const smallYieldDivisor = 32

// placement chooses the targets of the slots that each holder is to have in each data centre,
// so that few slots move.
type placement struct {
	targets map[config.ID]pool.Target
	// byDataCentre holds the targets of each data centre, ordered by ID.
	byDataCentre map[string][]config.ID
	// left holds the number of slots of each target that are not assigned to a holder yet.
	left map[config.ID]int
}

// assignment is what a holder is to have.
type assignment struct {
	slots map[config.ID]int
	// yield is how many of the slots, by data centre, the holder gives up as they come free.
	yield map[string]int
}

// place returns what each live holder is to have. counts holds the number of its slots by data
// centre. Holders keep what they have as far as counts and left allow. Slots that a holder is
// to yield are given to others when they have come free.
func (d *Dealer) place(live []int, counts []map[string]int, left map[config.ID]int) []assignment {
	p := &placement{targets: map[config.ID]pool.Target{}, byDataCentre: map[string][]config.ID{}, left: maps.Clone(left)}
	for _, t := range d.targets {
		p.targets[t.ID] = t
		p.byDataCentre[t.DataCentre] = append(p.byDataCentre[t.DataCentre], t.ID)
	}
	wanted := make([]assignment, len(live))
	for n, i := range live {
		wanted[n] = assignment{p.retain(d.holders[i].slots), map[string]int{}}
	}
	for n, i := range live {
		for _, dataCentre := range slices.Sorted(maps.Keys(p.byDataCentre)) {
			yield := p.reduce(wanted[n].slots, dataCentre, counts[n][dataCentre], d.holders[i])
			if yield > 0 {
				wanted[n].yield[dataCentre] = yield
			}
		}
	}
	for _, dataCentre := range slices.Sorted(maps.Keys(p.byDataCentre)) {
		for _, n := range p.leastFilledFirst(wanted, counts, dataCentre) {
			p.fill(wanted[n].slots, dataCentre, counts[n][dataCentre])
		}
	}
	return wanted
}

// leastFilledFirst returns the holders that are to have more slots of a data centre, ordered
// by the part of these slots that they have, the least first.
func (p *placement) leastFilledFirst(wanted []assignment, counts []map[string]int, dataCentre string) []int {
	var lacking []int
	have := make([]int, len(wanted))
	for n := range wanted {
		have[n] = p.count(wanted[n].slots, dataCentre)
		if have[n] < counts[n][dataCentre] {
			lacking = append(lacking, n)
		}
	}
	slices.SortStableFunc(lacking, func(a, b int) int {
		return cmp.Compare(have[a]*counts[b][dataCentre], have[b]*counts[a][dataCentre])
	})
	return lacking
}

// retain returns the slots that a holder has as far as they are left, and takes them from left.
func (p *placement) retain(slots map[config.ID]int) map[config.ID]int {
	kept := map[config.ID]int{}
	for id, n := range slots {
		if n = min(n, p.left[id]); n > 0 {
			kept[id] = n
			p.left[id] -= n
		}
	}
	return kept
}

// count returns how many of the slots belong to targets of a data centre.
func (p *placement) count(slots map[config.ID]int, dataCentre string) int {
	sum := 0
	for id, n := range slots {
		if p.targets[id].DataCentre == dataCentre {
			sum += n
		}
	}
	return sum
}

// reduce takes away free slots of a data centre until count are left. If too few are free, a
// holder of at most manyTargets targets yields the others as they come free, as does one that
// has to give up few (see smallYieldDivisor): reduce returns their number. From other holders it
// takes the slots of the targets of which they have the fewest, and returns zero.
func (p *placement) reduce(slots map[config.ID]int, dataCentre string, count int, holder *holderState) int {
	excess := p.count(slots, dataCentre) - count
	for _, id := range p.smallestFirst(slots, dataCentre) {
		n := min(max(holder.freeSlots(id)-(holder.slots[id]-slots[id]), 0), slots[id], excess)
		excess -= p.release(slots, id, n)
	}
	if len(slots) <= manyTargets || excess <= count/smallYieldDivisor {
		return max(excess, 0)
	}
	for _, id := range p.smallestFirst(slots, dataCentre) {
		excess -= p.release(slots, id, min(slots[id], excess))
	}
	return 0
}

// release moves n slots of a target to left, if n is positive, and returns how many it moved.
func (p *placement) release(slots map[config.ID]int, id config.ID, n int) int {
	n = max(n, 0)
	slots[id] -= n
	p.left[id] += n
	return n
}

// smallestFirst returns the targets of a data centre of which slots are held, those with the
// fewest held slots first.
func (p *placement) smallestFirst(slots map[config.ID]int, dataCentre string) []config.ID {
	var ids []config.ID
	for _, id := range p.byDataCentre[dataCentre] {
		if slots[id] > 0 {
			ids = append(ids, id)
		}
	}
	slices.SortStableFunc(ids, func(a, b config.ID) int { return cmp.Compare(slots[a], slots[b]) })
	return ids
}

// fill adds slots of a data centre up to count, spread over the availability zones.
func (p *placement) fill(slots map[config.ID]int, dataCentre string, count int) {
	for missing := count - p.count(slots, dataCentre); missing > 0; {
		id := p.bestTarget(slots, dataCentre)
		if p.left[id] <= 0 {
			return
		}
		n := min((missing+1)/2, p.left[id])
		slots[id] += n
		p.left[id] -= n
		missing -= n
	}
}

// bestTarget returns the target to take slots of. It lies in the availability zone of which
// the holder has the fewest slots. Within the zone, targets of which the holder has slots come
// first, then the one with the most slots left. For a holder of more than manyTargets targets,
// targets of which it has slots come first in any zone.
func (p *placement) bestTarget(slots map[config.ID]int, dataCentre string) config.ID {
	zones := map[string]int{}
	for id, n := range slots {
		zones[p.targets[id].Zone] += n
	}
	var best config.ID
	found := false
	for _, id := range p.byDataCentre[dataCentre] {
		if p.left[id] <= 0 {
			continue
		}
		if !found || p.preferred(slots, zones, id, best) {
			best, found = id, true
		}
	}
	return best
}

// preferred reports whether bestTarget prefers target a to target b.
func (p *placement) preferred(slots map[config.ID]int, zones map[string]int, a, b config.ID) bool {
	hasA, hasB := slots[a] > 0, slots[b] > 0
	if len(slots) > manyTargets && hasA != hasB {
		return hasA
	}
	if za, zb := zones[p.targets[a].Zone], zones[p.targets[b].Zone]; za != zb {
		return za < zb
	}
	if hasA != hasB {
		return hasA
	}
	return p.left[a] > p.left[b]
}
