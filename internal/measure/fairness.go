package measure

import (
	"fmt"
	"io"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/chiveseam/chiveseam/deal"
)

// Options are the settings of the simulations.
type Options struct {
	Deployments []*Deployment
	// Seeds is the number of runs of each case, with the seeds 1, 2 and so on.
	Seeds int
	// Duration is the virtual time of a run. Tables with faults set their own Duration and
	// Warmup.
	Duration time.Duration
	// Latency is the time that a message between a router and a scheduler takes.
	Latency time.Duration
	// Warmup is the virtual time before the results start.
	Warmup time.Duration
	// RateSpread is the standard deviation of the logarithm of the rate at which the
	// slots of a target serve different requests.
	RateSpread float64
}

const (
	percent = 100
	// parallelRuns is the largest number of runs at the same time.
	parallelRuns = 3
)

// runResult holds the results of one run.
type runResult struct {
	// largeGap and anyGap are the largest gaps between the large workspaces and between
	// all workspaces, as times in seconds (gapMeter.maxGapSeconds).
	largeGap float64
	anyGap   float64
	// utilisation is the busy part of the slots while requests wait, in percent.
	utilisation float64
	// reports is the number of progress reports per grant.
	reports float64
	// starvation is the longest time, in seconds, that a workspace with waiting requests
	// was without a grant.
	starvation float64
	// maxEngineQueued is the largest number of requests in the queues of full engines,
	// and overAdmitted the number of requests that were sent to a full engine.
	maxEngineQueued int
	overAdmitted    int
	// largeWorkspaces is the number of workspaces that are always backlogged.
	largeWorkspaces int
	lost            int
	refused         int
	// lightRefused is the part of the light workspaces' requests that were refused, in
	// percent.
	lightRefused float64
	// waits holds the times in seconds between arrival and grant, by workspace.
	waits []samples
	// bound returns the bound on the gap of two workspaces in cost units at share 1.
	bound func(i, j int) float64
	gaps  *gapMeter
	// idlePerGrant is the mean time for which a slot is idle between two requests while
	// others wait.
	idlePerGrant time.Duration
	// dealTraffic counts the messages between the holders of shards and their dealer.
	dealTraffic dealTraffic
	shards      int
}

// scenario is the configuration of a run.
type scenario struct {
	policy Policy
	// shards is the number of shards of the pool. Zero runs one scheduler and no dealer.
	shards int
	// deal are the settings of the dealer and the holders.
	deal deal.Options
	// setUp changes the cluster and the workload before the run starts. It may be nil.
	setUp func(*cluster, *workload)
}

// run simulates a scenario with one seed.
func (o Options) run(d *Deployment, s scenario, seed int) runResult {
	c := newCluster(d, s, uint64(seed), o.Latency)
	c.rateSpread = o.RateSpread
	l := newWorkload(c, uint64(seed))
	if s.setUp != nil {
		s.setUp(c, l)
	}
	l.start()
	c.after(o.Warmup, func() { c.meter.reset(o.Warmup) })
	c.runUntil(o.Duration)
	c.meter.finish(o.Duration)
	return c.result()
}

// result returns the results at the end of a run.
func (c *cluster) result() runResult {
	m := c.meter
	f := runResult{
		largeGap:        m.gaps.maxGapSeconds(c.deployment.largeWorkspaces, c.deployment.capacity()),
		anyGap:          m.gaps.maxGapSeconds(len(m.served), c.deployment.capacity()),
		utilisation:     m.utilisation() * percent,
		reports:         float64(m.reports) / float64(max(m.grants, 1)),
		starvation:      m.starvation.Seconds(),
		maxEngineQueued: m.maxEngineQueued,
		overAdmitted:    m.overAdmitted,
		lost:            m.lost,
		largeWorkspaces: c.deployment.largeWorkspaces,
		waits:           m.waitTimes,
		bound:           boundOver(c.hosts),
		gaps:            m.gaps,
	}
	if sharded, ok := c.hosts[0].scheduler.(*shardedScheduler); ok {
		f.dealTraffic, f.shards = sharded.traffic, len(sharded.shards)
	}
	if len(c.regions) > 0 {
		f.bound = c.regionBound()
	}
	f.idlePerGrant = seconds((m.slotSeconds - m.busySeconds) / float64(max(m.grants, 1)))
	for _, n := range m.refusals {
		f.refused += n
	}
	f.lightRefused = refusedPercent(m.refusals[f.largeWorkspaces:], m.grantsFrom(f.largeWorkspaces))
	return f
}

// Fairness prints the gap and the utilisation of each policy.
func (o Options) Fairness(w io.Writer) {
	for _, d := range o.Deployments {
		title := fmt.Sprintf("%s: gap and utilisation, %d slots, %.0f cost units/s, %d seeds, %v",
			d.Name, d.slots(), d.capacity(), o.Seeds, o.Duration)
		t := newTable(w, title, "policy", "gap of large, s", "gap of any, s", "gap, % of bound", "busy slots while work waits, %", "longest starvation, s", "idle per grant, ms", "reports/request", "refused")
		var bounds []func(i, j int) float64
		for _, p := range Policies {
			runs := o.runs(d, scenario{policy: p})
			if p == Fair {
				bounds = boundsOf(runs)
			}
			fairnessRow(t, p, runs, bounds)
		}
		t.flush()
	}
}

// runs simulates a scenario with each seed, several at the same time. The function
// scenario.setUp must not share state between runs.
func (o Options) runs(d *Deployment, s scenario) []runResult {
	runs := make([]runResult, o.Seeds)
	var group errgroup.Group
	group.SetLimit(parallelRuns)
	for i := range runs {
		group.Go(func() error {
			runs[i] = o.run(d, s, i+1)
			return nil
		})
	}
	_ = group.Wait()
	return runs
}

// boundsOf returns the bound of each run.
func boundsOf(runs []runResult) []func(i, j int) float64 {
	var bounds []func(i, j int) float64
	for _, f := range runs {
		bounds = append(bounds, f.bound)
	}
	return bounds
}

// column formats the median and range of one result of all runs.
func column(runs []runResult, format string, value func(runResult) float64) string {
	var s samples
	for _, f := range runs {
		s = append(s, value(f))
	}
	return s.spread(format)
}

// fairnessRow prints the runs of a policy. The bounds are those of pool.Scheduler with the
// same requests.
func fairnessRow(t *table, p Policy, runs []runResult, bounds []func(i, j int) float64) {
	var boundPercents samples
	for i, f := range runs {
		boundPercents = append(boundPercents, f.gaps.maxBoundRatio(bounds[i])*percent)
	}
	t.row(p.String(),
		column(runs, "%.2f", func(f runResult) float64 { return f.largeGap }),
		column(runs, "%.2f", func(f runResult) float64 { return f.anyGap }),
		boundPercents.spread("%.1f"),
		column(runs, "%.2f", func(f runResult) float64 { return f.utilisation }),
		column(runs, "%.1f", func(f runResult) float64 { return f.starvation }),
		column(runs, "%.1f", func(f runResult) float64 { return f.idlePerGrant.Seconds() * 1000 }),
		column(runs, "%.2f", func(f runResult) float64 { return f.reports }),
		column(runs, "%.0f", func(f runResult) float64 { return float64(f.refused) }))
}

// Waits prints the waits of the workspaces under each policy, and how they change when the
// workspace with the largest share sends a flood of requests.
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
	// floodFactor multiplies the callers of the flooding workspace.
	floodFactor = 10
	// floodAt is the time at which the flood begins and from which waits are counted.
	floodAt = 60 * time.Second
)

// waitsRow prints the waits while the first workspace has the given multiple of its usual
// callers. The waits of this workspace itself are left out.
func (o Options) waitsRow(t *table, d *Deployment, p Policy, name string, flood int) {
	var largeMedian, largeP99, lightMedian, lightP99, refused, worstP99 samples
	for seed := 1; seed <= o.Seeds; seed++ {
		var c *cluster
		f := o.run(d, scenario{policy: p, setUp: func(created *cluster, l *workload) {
			c = created
			l.idleUntilFlood, l.callerFactor, l.floodAt = true, flood, floodAt
			c.after(floodAt, func() { c.meter.reset(floodAt) })
		}}, seed)
		var large, light samples
		for i, waits := range f.waits {
			switch {
			case i == 0:
			case i < f.largeWorkspaces:
				large = append(large, waits...)
			default:
				light = append(light, waits...)
			}
		}
		largeMedian = append(largeMedian, large.median())
		largeP99 = append(largeP99, large.quantile(0.99))
		lightMedian = append(lightMedian, light.median())
		lightP99 = append(lightP99, light.quantile(0.99))
		worstP99 = append(worstP99, maxQuantile99(f.waits[f.largeWorkspaces:]))
		refused = append(refused, refusedPercent(c.meter.refusals[f.largeWorkspaces:], len(light)))
	}
	t.row(p.String(), name, largeMedian.spread("%.1f"), largeP99.spread("%.1f"), lightMedian.spread("%.3f"), lightP99.spread("%.3f"), refused.spread("%.1f"), worstP99.spread("%.2f"))
}

// maxQuantile99 returns the largest 99% quantile of the workspaces' waits.
func maxQuantile99(waits []samples) float64 {
	worst := 0.0
	for _, s := range waits {
		if len(s) > 0 {
			worst = max(worst, s.quantile(0.99))
		}
	}
	return worst
}

// refusedPercent returns the refused part of the requests in percent.
func refusedPercent(refusals []int, granted int) float64 {
	sum := 0
	for _, n := range refusals {
		sum += n
	}
	return float64(sum) / float64(max(sum+granted, 1)) * percent
}
