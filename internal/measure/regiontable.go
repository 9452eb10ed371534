package measure

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
)

// Regions prints the gap and the use of capacity of two regions.
func (o Options) Regions(w io.Writer) {
	for _, d := range o.Deployments {
		t := newTable(w, fmt.Sprintf("%s: two regions, %d seeds", d.Name, o.Seeds),
			"load", "schedulers", "gap of large, s", "gap of any, s", "gap, % of bound", "busy slots while work waits, %", "longest starvation, s", "refused")
		for _, load := range regionalLoads {
			for _, exchange := range []bool{false, true} {
				runs := o.runs(d, scenario{policy: Fair, prepare: func(c *cluster, l *workload) {
					c.splitRegions(exchange)
					l.pick = load.pick(c, rand.New(rand.NewPCG(c.seed, 3)))
				}})
				name := "without exchange"
				if exchange {
					name = "with exchange"
				}
				var ofBound samples
				for _, r := range runs {
					ofBound = append(ofBound, r.gaps.ofBound(r.bound)*percent)
				}
				t.row(load.name, name,
					column(runs, "%.2f", func(r figures) float64 { return r.gapLarge }),
					column(runs, "%.2f", func(r figures) float64 { return r.gapAny }),
					ofBound.spread("%.1f"),
					column(runs, "%.2f", func(r figures) float64 { return r.utilisation }),
					column(runs, "%.1f", func(r figures) float64 { return r.starvation }),
					column(runs, "%.0f", func(r figures) float64 { return float64(r.refused) }))
			}
		}
		t.flush()
	}
}

// regionBound returns the bound over regions in cost units at share 1.
func (c *cluster) regionBound() func(i, j int) float64 {
	merged := newChargeMeter(c)
	for i := range merged.terms {
		perRegion := map[*region]boundTerms{}
		for _, h := range c.hosts {
			perRegion[h.region] = perRegion[h.region].max(h.charges.terms[i])
		}
		slots := 0
		for _, t := range perRegion {
			slots += t.slots
			merged.terms[i] = merged.terms[i].max(t)
		}
		merged.terms[i].slots = slots
	}
	var capacities []float64
	total := 0.0
	for _, g := range c.regions {
		k := 0.0
		for _, t := range g.targets {
			k += float64(t.Slots) * t.Speed * slotRate
		}
		capacities = append(capacities, k)
		total += k
	}
	others := float64(len(c.regions) - 1)
	untold := (total - slices.Min(capacities)) * (shareInterval + regionLatency).Seconds()
	drift := func(i, j int) float64 {
		f, g := merged.terms[i], merged.terms[j]
		lag := untold + f.outstanding() + others*(1+float64(f.slots)*float64(f.downward))
		return drift(f, g, merged.share(i), merged.share(j)) + lag/merged.share(i) +
			others*float64(g.slots)*float64(g.downward)/merged.share(j)
	}
	return func(i, j int) float64 {
		f, g := merged.terms[i], merged.terms[j]
		return drift(i, j) + drift(j, i) + f.outstanding()/merged.share(i) + g.outstanding()/merged.share(j)
	}
}
