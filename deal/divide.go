package deal

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/pool"
)

// claim is the claim to slots of a group of workspaces of one holder. The workspaces have the
// same data centre, and either all of them are backlogged or none is.
type claim struct {
	// holder is the index among the live holders.
	holder int
	// dataCentre is the only one that the workspaces may use; empty allows all.
	dataCentre string
	weight     float64
	// need is the number of slots that the workspaces want, got those given to them so far.
	need int
	got  int
	// lag is how far the shard is behind the mean level, in horizons; see levels. notAhead is
	// set for backlogged workspaces if their lag is known and not negative.
	lag      float64
	notAhead bool
}

// backlogClaim returns the claim of the backlogged workspaces of a shard. The lag of the shard
// corrects its weight.
func (d *Dealer) backlogClaim(holder, shard int, b pool.Backlog) *claim {
	lag := d.levels.lag(shard, b)
	return &claim{
		holder:     holder,
		dataCentre: b.DataCentre,
		weight:     float64(max(b.Share, 1)) * d.levels.weightFactor(shard, b),
		need:       b.Need,
		lag:        lag,
		notAhead:   d.levels.horizon > 0 && lag >= 0,
	}
}

// levelBisections is the number of bisections in which fillToLevel finds the level.
const levelBisections = 48

// division computes how many slots of each data centre each live holder is to have.
type division struct {
	claims      []*claim
	dataCentres []string
	// left holds the slots that are not divided yet, restrictedNeed the slots that restricted
	// claims still lack, and unrestricted the slots given to unrestricted claims, each by
	// data centre.
	left, restrictedNeed, unrestricted map[string]int
	// held and slots hold the present and the new number of slots by holder and data centre.
	held, slots []map[string]int
}

// divide returns what each live holder is to have, and whether the claims exceed the slots.
// left holds the slots of each target that the live holders may use.
func (d *Dealer) divide(live []int, left map[config.ID]int) (wanted []assignment, scarce bool) {
	if len(live) == 0 {
		return nil, false
	}
	v := d.newDivision(live, left)
	v.fill()
	v.assignDataCentres()
	v.spreadUnclaimed()
	v.suppressSmallChanges()
	for _, c := range v.claims {
		scarce = scarce || c.got < c.need
	}
	return d.place(live, v.slots, left), scarce
}

func (d *Dealer) newDivision(live []int, left map[config.ID]int) *division {
	v := &division{claims: d.claims(live), left: map[string]int{}, restrictedNeed: map[string]int{}, unrestricted: map[string]int{}}
	for _, t := range d.targets {
		v.left[t.DataCentre] += left[t.ID]
	}
	v.dataCentres = slices.Sorted(maps.Keys(v.left))
	for _, c := range v.claims {
		if c.dataCentre != "" {
			v.restrictedNeed[c.dataCentre] += c.need
		}
	}
	for _, i := range live {
		held := map[string]int{}
		for _, t := range d.targets {
			held[t.DataCentre] += d.holders[i].slots[t.ID]
		}
		v.held = append(v.held, held)
		v.slots = append(v.slots, map[string]int{})
	}
	return v
}

// claims updates the levels from the reports of the live holders and returns their claims.
func (d *Dealer) claims(live []int) []*claim {
	var reports []Report
	for _, i := range live {
		reports = append(reports, d.holders[i].report)
	}
	d.levels.update(reports, d.options.Horizon.Seconds())
	var claims []*claim
	for n, r := range reports {
		for _, b := range r.Backlogs {
			if b.Active > 0 {
				claims = append(claims, &claim{holder: n, dataCentre: b.DataCentre, weight: float64(max(b.ActiveShare, 1)), need: b.Active})
			}
			if b.Need > 0 {
				claims = append(claims, d.backlogClaim(n, r.Shard, b))
			}
		}
	}
	return claims
}

// fill divides the slots between the claims. First it gives one slot to each backlogged claim
// that is not ahead of the mean, the claims furthest behind first, so that a shard of little
// weight does not wait until its weight amounts to a slot. Then it gives one slot after the
// other to the claim with the fewest slots per weight.
func (v *division) fill() {
	order := slices.Clone(v.claims)
	slices.SortStableFunc(order, func(a, b *claim) int { return cmp.Compare(b.lag, a.lag) })
	for _, c := range order {
		if c.notAhead {
			v.give(c, 1)
		}
	}
	v.fillToLevel()
	var unmet claimHeap
	for _, c := range v.claims {
		if c.got < c.need {
			unmet = append(unmet, c)
		}
	}
	heap.Init(&unmet)
	for len(unmet) > 0 {
		c := unmet[0]
		if v.give(c, 1) == 1 && c.got < c.need {
			heap.Fix(&unmet, 0)
			continue
		}
		heap.Pop(&unmet)
	}
}

// fillToLevel shortens the loop of fill, which gives one slot at a time: it gives each claim
// at once all but the last of the slots that the loop would give it. The level is the number
// of slots per weight that all claims reach. If any claim is restricted to a data centre,
// fillToLevel does nothing.
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
		if v.slotsMissingAt(middle) > total {
			high = middle
		} else {
			low = middle
		}
	}
	for _, c := range v.claims {
		for c.got < c.slotsAt(low) && v.give(c, c.slotsAt(low)-c.got) > 0 {
		}
	}
}

// slotsMissingAt returns how many more slots the claims need to reach a level of slots per
// weight.
func (v *division) slotsMissingAt(level float64) int {
	sum := 0
	for _, c := range v.claims {
		sum += max(c.slotsAt(level)-c.got, 0)
	}
	return sum
}

// slotsAt returns the slots of the claim at a level of slots per weight, at most its need.
func (c *claim) slotsAt(level float64) int {
	return int(min(float64(c.need), level*c.weight))
}

// give gives up to n slots of one data centre to a claim and returns how many it gave.
func (v *division) give(c *claim, n int) int {
	dataCentre := c.dataCentre
	if dataCentre == "" {
		dataCentre = v.mostAvailable()
	}
	n = max(min(n, v.left[dataCentre], c.need-c.got), 0)
	v.left[dataCentre] -= n
	c.got += n
	if c.dataCentre == "" {
		v.unrestricted[dataCentre] += n
	} else {
		v.restrictedNeed[dataCentre] -= n
		v.slots[c.holder][dataCentre] += n
	}
	return n
}

// mostAvailable returns the data centre with the most slots left beyond those that claims
// restricted to it still lack. It returns an empty string if no slots are left.
func (v *division) mostAvailable() string {
	best, most, found := "", 0, false
	for _, dataCentre := range v.dataCentres {
		if v.left[dataCentre] <= 0 {
			continue
		}
		if n := v.left[dataCentre] - v.restrictedNeed[dataCentre]; !found || n > most {
			best, most, found = dataCentre, n, true
		}
	}
	return best
}

// claimHeap is a heap of claims. On top is the claim that has the fewest slots per weight
// after it gets one more.
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
