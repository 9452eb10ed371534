package measure

import (
	"fmt"
	"io"
	"time"
)

// Options are the sizes of a run.
type Options struct {
	Deployments []*Deployment
	Seeds       int
	Duration    time.Duration
	// Latency is the time that a message between routers takes.
	Latency time.Duration
	// Warmup is the time before the figures start.
	Warmup time.Duration
}

const percent = 100

// figures are the results of one run.
type figures struct {
	gapLarge    float64
	gapAny      float64
	gapOfBound  float64
	utilisation float64
	reports     float64
	starvation  float64
	excess      int
	over        int
	lost        int
	refused     int
	waits       []samples
	bound       func(i, j int) float64
	gaps        *gapMeter
	// idlePerGrant is the idle time of a slot between two requests.
	idlePerGrant time.Duration
}

// scenario is one run of a policy.
type scenario struct {
	policy         Policy
	reportEstimate bool
	prepare        func(*cluster, *workload)
}

func (o Options) run(d *Deployment, s scenario, seed int) figures {
	c := newCluster(d, s.policy, uint64(seed), o.Latency)
	c.reportEstimate = s.reportEstimate
	l := newWorkload(c, uint64(seed))
	if s.prepare != nil {
		s.prepare(c, l)
	}
	l.start()
	c.after(o.Warmup, func() { c.meter.reset(o.Warmup) })
	c.runUntil(o.Duration)
	c.meter.finish(o.Duration)
	return c.figures()
}

func (c *cluster) figures() figures {
	m := c.meter
	f := figures{
		gapLarge:    m.gaps.seconds(largeCount, c.deployment.capacity()),
		gapAny:      m.gaps.seconds(len(m.served), c.deployment.capacity()),
		utilisation: m.utilisation() * percent,
		reports:     float64(m.reports) / float64(max(m.grants, 1)),
		starvation:  m.starvation.Seconds(),
		excess:      m.excessMax,
		over:        m.overAdmitted,
		lost:        m.lost,
		waits:       m.waitTimes,
		bound:       boundOver(c.hosts),
		gaps:        m.gaps,
	}
	f.idlePerGrant = seconds((m.slotSeconds - m.busySeconds) / float64(max(m.grants, 1)))
	f.gapOfBound = m.gaps.ofBound(f.bound) * percent
	for _, n := range m.refusals {
		f.refused += n
	}
	return f
}

// Fairness prints the gap and the utilisation of each policy.
func (o Options) Fairness(w io.Writer) {
	for _, d := range o.Deployments {
		title := fmt.Sprintf("%s: gap and utilisation, %d slots, %.0f cost units/s, %d seeds, %v",
			d.Name, d.slots(), d.capacity(), o.Seeds, o.Duration)
		t := newTable(w, title, "policy", "gap of large, s", "gap of any, s", "gap, % of bound", "busy slots while work waits, %", "longest starvation, s", "idle per grant, ms", "reports/request", "refused")
		for _, p := range Policies {
			o.fairnessRow(t, d, p.String(), scenario{policy: p})
		}
		o.fairnessRow(t, d, "pool.Scheduler, reports from the estimate", scenario{policy: Fair, reportEstimate: true})
		t.flush()
	}
}

func (o Options) fairnessRow(t *table, d *Deployment, name string, s scenario) {
	var large, gap, bound, use, starved, idle, reports, refused samples
	for seed := 1; seed <= o.Seeds; seed++ {
		f := o.run(d, s, seed)
		if s.policy != Fair {
			f.gapOfBound = o.ofFairBound(d, s, seed)
		}
		large = append(large, f.gapLarge)
		gap = append(gap, f.gapAny)
		bound = append(bound, f.gapOfBound)
		use = append(use, f.utilisation)
		starved = append(starved, f.starvation)
		idle = append(idle, float64(f.idlePerGrant.Microseconds())/1000)
		reports = append(reports, f.reports)
		refused = append(refused, float64(f.refused))
	}
	t.row(name, large.spread("%.2f"), gap.spread("%.2f"), bound.spread("%.1f"), use.spread("%.2f"), starved.spread("%.1f"), idle.spread("%.1f"), reports.spread("%.2f"), refused.spread("%.0f"))
}

// ofFairBound returns the gap of a baseline as a part of the bound of
// pool.Scheduler with the same requests.
func (o Options) ofFairBound(d *Deployment, s scenario, seed int) float64 {
	fair := o.run(d, scenario{policy: Fair}, seed)
	return o.run(d, s, seed).gaps.ofBound(fair.bound) * percent
}

// Waits prints the waits of the workspaces under each policy, and how a flood
// by the largest one changes them.
func (o Options) Waits(w io.Writer) {
	for _, d := range o.Deployments {
		t := newTable(w, d.Name+": wait for a grant in s; the flood is by "+d.names[0],
			"policy", "load", "large p50", "large p99", "light p50", "light p99", "light refused, %", "worst light p99")
		for _, p := range Policies {
			o.waitsRow(t, d, p, "large idle", 0)
			o.waitsRow(t, d, p, "60 callers", 1)
			o.waitsRow(t, d, p, "600 callers", floodFactor)
		}
		t.flush()
	}
}

const (
	floodFactor = 10
	// floodAt is the time at which the flood begins and waits are counted.
	floodAt = 60 * time.Second
)

func (o Options) waitsRow(t *table, d *Deployment, p Policy, name string, flood int) {
	var largeMedian, largeTail, lightMedian, lightTail, refused, worst samples
	for seed := 1; seed <= o.Seeds; seed++ {
		var c *cluster
		f := o.run(d, scenario{policy: p, prepare: func(started *cluster, l *workload) {
			c = started
			l.silent, l.flood, l.floodAt = true, flood, floodAt
			c.after(floodAt, func() { c.meter.reset(floodAt) })
		}}, seed)
		var large, light samples
		for i, waits := range f.waits {
			switch {
			case i == 0:
			case i < largeCount:
				large = append(large, waits...)
			default:
				light = append(light, waits...)
			}
		}
		largeMedian = append(largeMedian, large.median())
		largeTail = append(largeTail, large.quantile(0.99))
		lightMedian = append(lightMedian, light.median())
		lightTail = append(lightTail, light.quantile(0.99))
		worst = append(worst, worstTail(f.waits[largeCount:]))
		refused = append(refused, refusedPart(c.meter.refusals[largeCount:], len(light)))
	}
	t.row(p.String(), name, largeMedian.spread("%.1f"), largeTail.spread("%.1f"), lightMedian.spread("%.3f"), lightTail.spread("%.3f"), refused.spread("%.1f"), worst.spread("%.2f"))
}

func worstTail(waits []samples) float64 {
	worst := 0.0
	for _, s := range waits {
		if len(s) > 0 {
			worst = max(worst, s.quantile(0.99))
		}
	}
	return worst
}

func refusedPart(refusals []int, granted int) float64 {
	sum := 0
	for _, n := range refusals {
		sum += n
	}
	return float64(sum) / float64(max(sum+granted, 1)) * percent
}
