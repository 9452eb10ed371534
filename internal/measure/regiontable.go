package measure

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
)

// Regions prints the gap and the utilisation of two regions, under several loads and through
// failures.
func (o Options) Regions(w io.Writer) {
	for _, d := range o.Deployments {
		t := newTable(w, fmt.Sprintf("%s: two regions, %v, %d seeds", d.Name, o.Duration, o.Seeds), append([]string{"load"}, regionColumns...)...)
		for _, load := range regionalLoads {
			o.regionRows(t, load.name, d, load, regionFaults[0])
		}
		t.flush()
	}
	o.Warmup = faultTime - beforeFault
	o.Duration = faultTime + observationTime
	for _, d := range o.Deployments {
		t := newTable(w, fmt.Sprintf("%s: two regions, load %q, from %v before a fault to %v after it, %d seeds",
			d.Name, regionalLoads[0].name, beforeFault, observationTime, o.Seeds), append([]string{"fault"}, regionColumns...)...)
		for _, f := range regionFaults {
			o.regionRows(t, f.name, d, regionalLoads[0], f)
		}
		t.flush()
	}
}

// regionColumns are the headings of the tables' columns after the first.
var regionColumns = []string{"exchange", "gap of large, s", "gap of any, s", "gap, % of bound", "busy slots while work waits, %", "longest starvation, s", "sent to a full target", "lost", "refused"}

// regionRows prints the runs without and those with the exchange of counters. The bounds are
// those of the runs without a fault.
func (o Options) regionRows(t *table, name string, d *Deployment, load regionalLoad, f fault) {
	for _, exchange := range []bool{false, true} {
		bounds := boundsOf(o.regionRuns(d, load, regionFaults[0], exchange))
		runs := o.regionRuns(d, load, f, exchange)
		var boundPercents samples
		for i, r := range runs {
			boundPercents = append(boundPercents, r.gaps.maxBoundRatio(bounds[i])*percent)
		}
		t.row(name, fmt.Sprint(exchange),
			column(runs, "%.2f", func(r runResult) float64 { return r.largeGap }),
			column(runs, "%.2f", func(r runResult) float64 { return r.anyGap }),
			boundPercents.spread("%.1f"),
			column(runs, "%.2f", func(r runResult) float64 { return r.utilisation }),
			column(runs, "%.1f", func(r runResult) float64 { return r.starvation }),
			column(runs, "%.0f", func(r runResult) float64 { return float64(r.overAdmitted) }),
			column(runs, "%.0f", func(r runResult) float64 { return float64(r.lost) }),
			column(runs, "%.0f", func(r runResult) float64 { return float64(r.refused) }))
	}
}

// regionRuns simulates two regions under a load and with a fault.
func (o Options) regionRuns(d *Deployment, load regionalLoad, f fault, exchange bool) []runResult {
	return o.runs(d, scenario{policy: Fair, setUp: func(c *cluster, l *workload) {
		c.splitRegions(exchange)
		l.chooseRouter = load.routerPicker(c, rand.New(rand.NewPCG(c.seed, 3)))
		c.after(faultTime, func() { f.inject(c) })
	}})
}

// regionBound returns the bound on the gap of two workspaces with requests in several
// regions, in cost units at share 1. It adds to the bound of package fairshare the service
// of other regions that a scheduler does not know of: what they serve within one exchange
// interval and the latency, charged cost of requests in flight, and downward corrections.
func (c *cluster) regionBound() func(i, j int) float64 {
	merged := newChargeMeter(c)
	for i := range merged.terms {
		perRegion := map[*region]boundTerms{}
		for _, h := range c.hosts {
			perRegion[h.region] = perRegion[h.region].max(h.charges.terms[i])
		}
		slots := 0
		for _, t := range perRegion {
			slots += t.maxSlots
			merged.terms[i] = merged.terms[i].max(t)
		}
		merged.terms[i].maxSlots = slots
	}
	var capacities []float64
	total := 0.0
	for _, g := range c.regions {
		capacity := 0.0
		for _, t := range g.targets {
			capacity += float64(t.Slots) * t.Speed * slotRate
		}
		capacities = append(capacities, capacity)
		total += capacity
	}
	others := float64(len(c.regions) - 1)
	unexchanged := (total - slices.Min(capacities)) * (exchangeInterval + regionLatency).Seconds()
	regionDrift := func(i, j int) float64 {
		f, g := merged.terms[i], merged.terms[j]
		lag := unexchanged + f.outstanding() + others*(1+float64(f.maxSlots)*float64(f.downward))
		return drift(f, g, merged.share(i), merged.share(j)) + lag/merged.share(i) +
			others*float64(g.maxSlots)*float64(g.downward)/merged.share(j)
	}
	return func(i, j int) float64 {
		f, g := merged.terms[i], merged.terms[j]
		return regionDrift(i, j) + regionDrift(j, i) + f.outstanding()/merged.share(i) + g.outstanding()/merged.share(j)
	}
}
