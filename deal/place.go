package deal

import (
	"cmp"
	"maps"
	"slices"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/pool"
)

// placement assigns numbers of slots by data centre to targets, with few moves.
type placement struct {
	targets map[config.ID]pool.Target
	// order holds the targets of each data centre.
	order map[string][]config.ID
	// left holds the slots of each target that nobody has.
	left map[config.ID]int
}

// place returns the slots of each live holder by target. The holders keep what
// they have as far as the counts and left allow.
func (d *Dealer) place(live []int, counts []map[string]int, left map[config.ID]int) []map[config.ID]int {
	p := &placement{targets: map[config.ID]pool.Target{}, order: map[string][]config.ID{}, left: maps.Clone(left)}
	for _, t := range d.targets {
		p.targets[t.ID] = t
		p.order[t.DataCentre] = append(p.order[t.DataCentre], t.ID)
	}
	wanted := make([]map[config.ID]int, len(live))
	for n, i := range live {
		wanted[n] = p.keep(d.parties[i].slots)
	}
	for n, i := range live {
		for _, dataCentre := range slices.Sorted(maps.Keys(p.order)) {
			p.lower(wanted[n], dataCentre, counts[n][dataCentre], d.parties[i])
		}
	}
	for n := range live {
		for _, dataCentre := range slices.Sorted(maps.Keys(p.order)) {
			p.raise(wanted[n], dataCentre, counts[n][dataCentre])
		}
	}
	return wanted
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

// lower takes slots away down to count: first those that are free, then those
// of the target with the most, which come free soonest.
func (p *placement) lower(slots map[config.ID]int, dataCentre string, count int, holder *party) {
	for excess := p.count(slots, dataCentre) - count; excess > 0; {
		id, free := p.mostFree(slots, dataCentre, holder)
		n := min(max(free, 1), excess, slots[id])
		slots[id] -= n
		p.left[id] += n
		excess -= n
	}
}

// mostFree returns the target of which the holder has the most free slots, or
// the most slots if none is free.
func (p *placement) mostFree(slots map[config.ID]int, dataCentre string, holder *party) (config.ID, int) {
	var best config.ID
	bestFree, found := 0, false
	for _, id := range p.order[dataCentre] {
		if slots[id] <= 0 {
			continue
		}
		free := max(holder.free(id)-(holder.slots[id]-slots[id]), 0)
		if !found || cmp.Or(cmp.Compare(free, bestFree), cmp.Compare(slots[id], slots[best])) > 0 {
			best, bestFree, found = id, free, true
		}
	}
	return best, bestFree
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
// has the fewest, one that it has already, then the one with the most left.
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
	if za, zb := zones[p.targets[a].Zone], zones[p.targets[b].Zone]; za != zb {
		return za < zb
	}
	if hasA != hasB {
		return hasA
	}
	return p.left[a] > p.left[b]
}
