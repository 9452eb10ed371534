package deal

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/pool"
)

// claim is what workspaces of one holder want of the slots.
type claim struct {
	// party is the index of the holder among those that are dealt to.
	party      int
	dataCentre string
	weight     float64
	need       int
	got        int
	// lag is that of the shard in horizons; see levels. The claim is due if it
	// is known not to be negative.
	lag float64
	due bool
}

func (d *Dealer) backlogged(party, shard int, b pool.Backlog) *claim {
	lag := d.levels.lag(shard, b)
	return &claim{
		party:      party,
		dataCentre: b.DataCentre,
		weight:     float64(max(b.Share, 1)) * d.levels.factor(shard, b),
		need:       b.Need,
		lag:        lag,
		due:        d.levels.horizon > 0 && lag >= 0,
	}
}

// levelBisections is the number of steps in which fillToLevel finds the level.
const levelBisections = 48

// division is the number of slots of each holder by data centre.
type division struct {
	claims      []*claim
	dataCentres []string
	// left holds the slots that are not divided yet, claimed what restricted
	// claims lack, and taken what unrestricted claims got, by data centre.
	left, claimed, taken map[string]int
	// held and slots are the present and the new slots by holder and data
	// centre.
	held, slots []map[string]int
}

// divide returns the slots by target that each live holder is to have, and
// whether the claims exceed the slots.
func (d *Dealer) divide(live []int, left map[config.ID]int) (wanted []portion, scarce bool) {
	if len(live) == 0 {
		return nil, false
	}
	v := d.newDivision(live, left)
	v.fill()
	v.compose()
	v.spread()
	v.damp()
	for _, c := range v.claims {
		scarce = scarce || c.got < c.need
	}
	return d.place(live, v.slots, left), scarce
}

func (d *Dealer) newDivision(live []int, left map[config.ID]int) *division {
	v := &division{claims: d.claims(live), left: map[string]int{}, claimed: map[string]int{}, taken: map[string]int{}}
	for _, t := range d.targets {
		v.left[t.DataCentre] += left[t.ID]
	}
	v.dataCentres = slices.Sorted(maps.Keys(v.left))
	for _, c := range v.claims {
		if c.dataCentre != "" {
			v.claimed[c.dataCentre] += c.need
		}
	}
	for _, i := range live {
		held := map[string]int{}
		for _, t := range d.targets {
			held[t.DataCentre] += d.parties[i].slots[t.ID]
		}
		v.held = append(v.held, held)
		v.slots = append(v.slots, map[string]int{})
	}
	return v
}

// claims returns the claims of the live holders.
func (d *Dealer) claims(live []int) []*claim {
	var reports []Report
	for _, i := range live {
		reports = append(reports, d.parties[i].report)
	}
	d.levels.update(reports, d.options.Horizon.Seconds())
	var claims []*claim
	for n, r := range reports {
		for _, b := range r.Backlogs {
			if b.Active > 0 {
				claims = append(claims, &claim{party: n, dataCentre: b.DataCentre, weight: float64(max(b.ActiveShare, 1)), need: b.Active})
			}
			if b.Need > 0 {
				claims = append(claims, d.backlogged(n, r.Shard, b))
			}
		}
	}
	return claims
}

// fill divides the slots between the claims: first one slot each to those that
// are not ahead of the mean, the furthest behind first, so that a light shard
// does not wait until its weight makes up a slot; then one slot after the other
// to the claim that has the least for its weight.
func (v *division) fill() {
	order := slices.Clone(v.claims)
	slices.SortStableFunc(order, func(a, b *claim) int { return cmp.Compare(b.lag, a.lag) })
	for _, c := range order {
		if c.due {
			v.give(c, 1)
		}
	}
	v.fillToLevel()
	var open claimHeap
	for _, c := range v.claims {
		if c.got < c.need {
			open = append(open, c)
		}
	}
	heap.Init(&open)
	for len(open) > 0 {
		c := open[0]
		if v.give(c, 1) == 1 && c.got < c.need {
			heap.Fix(&open, 0)
			continue
		}
		heap.Pop(&open)
	}
}

// fillToLevel gives all claims at once what they get one slot after the other,
// but for the last slot of each. It leaves restricted claims to that.
func (v *division) fillToLevel() {
	total, high := 0, 0.0
	for _, n := range v.left {
		total += n
	}
	for _, c := range v.claims {
		if c.dataCentre != "" {
			return
		}
		high = max(high, float64(c.need)/c.weight)
	}
	low := 0.0
	for range levelBisections {
		middle := (low + high) / 2
		if v.missing(middle) > total {
			high = middle
		} else {
			low = middle
		}
	}
	for _, c := range v.claims {
		for c.got < c.at(low) && v.give(c, c.at(low)-c.got) > 0 {
		}
	}
}

// missing returns how many slots the claims lack for a level of slots by
// weight.
func (v *division) missing(level float64) int {
	sum := 0
	for _, c := range v.claims {
		sum += max(c.at(level)-c.got, 0)
	}
	return sum
}

// at returns the slots of the claim at a level of slots by weight.
func (c *claim) at(level float64) int {
	return int(min(float64(c.need), level*c.weight))
}

// give gives up to n slots of one data centre to a claim and returns how many.
func (v *division) give(c *claim, n int) int {
	dataCentre := c.dataCentre
	if dataCentre == "" {
		dataCentre = v.widest()
	}
	n = max(min(n, v.left[dataCentre], c.need-c.got), 0)
	v.left[dataCentre] -= n
	c.got += n
	if c.dataCentre == "" {
		v.taken[dataCentre] += n
	} else {
		v.claimed[dataCentre] -= n
		v.slots[c.party][dataCentre] += n
	}
	return n
}

// widest returns the data centre with the most slots left beyond what the
// workspaces that are restricted to it still claim.
func (v *division) widest() string {
	best, most, found := "", 0, false
	for _, dataCentre := range v.dataCentres {
		if v.left[dataCentre] <= 0 {
			continue
		}
		if n := v.left[dataCentre] - v.claimed[dataCentre]; !found || n > most {
			best, most, found = dataCentre, n, true
		}
	}
	return best
}

// claimHeap orders claims by the slots for their weight after one more.
type claimHeap []*claim

func (h claimHeap) Len() int      { return len(h) }
func (h claimHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h claimHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	return float64(a.got+1)*b.weight < float64(b.got+1)*a.weight
}

// Push implements heap.Interface.
func (h *claimHeap) Push(x any) { *h = append(*h, x.(*claim)) }

// Pop implements heap.Interface.
func (h *claimHeap) Pop() any {
	old := *h
	last := len(old) - 1
	c := old[last]
	*h = old[:last]
	return c
}
