package deal

import (
	"cmp"
	"maps"
	"slices"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/pool"
)

// manyTargets is the number of targets from which on a holder gives up slots of
// its smallest parts.
const manyTargets = 16

// fewParts is the part of its slots, as a divisor, up to which a holder of many
// targets yields any.
const fewParts = 32

// placement assigns numbers of slots by data centre to targets, with few moves.
type placement struct {
	targets map[config.ID]pool.Target
	// order holds the targets of each data centre.
	order map[string][]config.ID
	// left holds the slots of each target that nobody has.
	left map[config.ID]int
}

// portion is what a holder is to have.
type portion struct {
	slots map[config.ID]int
	// yield is the number of slots by data centre to give up as they come free.
	yield map[string]int
}

// place returns what each live holder is to have. The holders keep what they
// have as far as the counts and left allow. Slots that a holder is to yield are
// given to others once they came free.
func (d *Dealer) place(live []int, counts []map[string]int, left map[config.ID]int) []portion {
	p := &placement{targets: map[config.ID]pool.Target{}, order: map[string][]config.ID{}, left: maps.Clone(left)}
	for _, t := range d.targets {
		p.targets[t.ID] = t
		p.order[t.DataCentre] = append(p.order[t.DataCentre], t.ID)
	}
	wanted := make([]portion, len(live))
	for n, i := range live {
		wanted[n] = portion{p.keep(d.parties[i].slots), map[string]int{}}
	}
	for n, i := range live {
		for _, dataCentre := range slices.Sorted(maps.Keys(p.order)) {
			yield := p.lower(wanted[n].slots, dataCentre, counts[n][dataCentre], d.parties[i])
			if yield > 0 {
				wanted[n].yield[dataCentre] = yield
			}
		}
	}
	for _, dataCentre := range slices.Sorted(maps.Keys(p.order)) {
		for _, n := range p.shortestFirst(wanted, counts, dataCentre) {
			p.raise(wanted[n].slots, dataCentre, counts[n][dataCentre])
		}
	}
	return wanted
}

// shortestFirst returns the holders that are to have more slots, those first
// that have the least part of them.
func (p *placement) shortestFirst(wanted []portion, counts []map[string]int, dataCentre string) []int {
	var short []int
	have := make([]int, len(wanted))
	for n := range wanted {
		have[n] = p.count(wanted[n].slots, dataCentre)
		if have[n] < counts[n][dataCentre] {
			short = append(short, n)
		}
	}
	slices.SortStableFunc(short, func(a, b int) int {
		return cmp.Compare(have[a]*counts[b][dataCentre], have[b]*counts[a][dataCentre])
	})
	return short
}

// keep takes the slots that a holder has as far as they are left.
func (p *placement) keep(slots map[config.ID]int) map[config.ID]int {
	kept := map[config.ID]int{}
	for id, n := range slots {
		if n = min(n, p.left[id]); n > 0 {
			kept[id] = n
			p.left[id] -= n
		}
	}
	return kept
}

func (p *placement) count(slots map[config.ID]int, dataCentre string) int {
	sum := 0
	for id, n := range slots {
		if p.targets[id].DataCentre == dataCentre {
			sum += n
		}
	}
	return sum
}

// lower takes free slots away down to count. Of the slots in use a holder of
// few targets yields any, as does one that is to give up little, and their
// number is returned. Others give up their smallest parts, so that messages stay
// short.
func (p *placement) lower(slots map[config.ID]int, dataCentre string, count int, holder *party) int {
	excess := p.count(slots, dataCentre) - count
	for _, id := range p.smallestFirst(slots, dataCentre) {
		n := min(max(holder.free(id)-(holder.slots[id]-slots[id]), 0), slots[id], excess)
		excess -= p.drop(slots, id, n)
	}
	if len(slots) <= manyTargets || excess <= count/fewParts {
		return max(excess, 0)
	}
	for _, id := range p.smallestFirst(slots, dataCentre) {
		excess -= p.drop(slots, id, min(slots[id], excess))
	}
	return 0
}

// drop takes n slots of a target away, if that is positive, and returns how
// many it took.
func (p *placement) drop(slots map[config.ID]int, id config.ID, n int) int {
	n = max(n, 0)
	slots[id] -= n
	p.left[id] += n
	return n
}

// smallestFirst returns the targets of the data centre of which slots are held.
func (p *placement) smallestFirst(slots map[config.ID]int, dataCentre string) []config.ID {
	var ids []config.ID
	for _, id := range p.order[dataCentre] {
		if slots[id] > 0 {
			ids = append(ids, id)
		}
	}
	slices.SortStableFunc(ids, func(a, b config.ID) int { return cmp.Compare(slots[a], slots[b]) })
	return ids
}

// raise adds slots up to count, spread over the availability zones.
func (p *placement) raise(slots map[config.ID]int, dataCentre string, count int) {
	for missing := count - p.count(slots, dataCentre); missing > 0; {
		id := p.bestLeft(slots, dataCentre)
		if p.left[id] <= 0 {
			return
		}
		n := min((missing+1)/2, p.left[id])
		slots[id] += n
		p.left[id] -= n
		missing -= n
	}
}

// bestLeft returns the target to take slots of: in the zone of which the holder
// has the fewest, one that it has already, then the one with the most left. A
// holder of many targets takes one that it has already in any zone.
func (p *placement) bestLeft(slots map[config.ID]int, dataCentre string) config.ID {
	zones := map[string]int{}
	for id, n := range slots {
		zones[p.targets[id].Zone] += n
	}
	var best config.ID
	found := false
	for _, id := range p.order[dataCentre] {
		if p.left[id] <= 0 {
			continue
		}
		if !found || p.better(slots, zones, id, best) {
			best, found = id, true
		}
	}
	return best
}

func (p *placement) better(slots map[config.ID]int, zones map[string]int, a, b config.ID) bool {
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
