package measure

import (
	"fmt"
	"io"
	"time"
)

// shardFault is a failure in a pool that is divided into shards.
type shardFault struct {
	name   string
	inject func(*shardedScheduler)
}

// shardFaults are the failures in the tables of shards. The first is no failure.
var shardFaults = []shardFault{
	{name: "none", inject: func(*shardedScheduler) {}},
	{name: "holder of a shard lost", inject: func(s *shardedScheduler) { s.killShard(0) }},
	{name: "dealer lost", inject: (*shardedScheduler).killDealer},
	{name: "both lost", inject: func(s *shardedScheduler) {
		s.killDealer()
		s.killShard(0)
	}},
}

// Shards prints the gap, the utilisation and the control traffic of the dealer for each
// deployment's pool, divided into shards and with one scheduler.
func (o Options) Shards(w io.Writer) {
	for _, d := range o.Deployments {
		o.shardTable(w, d)
	}
}

// HotShards prints the same for the pool of a hot model at the planned size, and the control
// traffic of its requests.
func (o Options) HotShards(w io.Writer) {
	shardTraffic(w, uint64(o.Seeds))
	o.shardTable(w, hotDeployment())
}

// shardTraffic prints the control traffic of the requests of a hot model in shards.
func shardTraffic(w io.Writer, seeds uint64) {
	t := newTable(w, "Control traffic of requests, 165 routers, 27 pools, a third of the load on one in shards",
		"shards", "entry, B/s", "of it heartbeats, 1/s", "mean holder of a shard, B/s", "largest, B/s")
	for _, k := range []int{1, 4, 12, 70} {
		f := plannedFleet
		f.HotLoad, f.Shards = hotLoadFraction, k
		var entry, heartbeats, mean, largest samples
		for seed := uint64(1); seed <= seeds; seed++ {
			m := MeasureTraffic(f, seed)
			entry = append(entry, m.Entry.Total())
			heartbeats = append(heartbeats, m.Entry.Heartbeats)
			mean = append(mean, m.Shard.Total())
			largest = append(largest, m.MaxShard.Total())
		}
		t.row(fmt.Sprint(k), entry.spread("%.0f"), heartbeats.spread("%.0f"), mean.spread("%.0f"), largest.spread("%.0f"))
	}
	t.flush()
}

// shardFaultCount returns the number of shardFaults to simulate. The last one, the loss of
// both roles at once, takes too long with a large pool.
func shardFaultCount(d *Deployment) int {
	if d.slots() > hotSlots/2 {
		return len(shardFaults) - 1
	}
	return len(shardFaults)
}

// shardCounts returns the numbers of shards to simulate.
func shardCounts(d *Deployment) []int {
	if d.slots() > hotSlots/2 {
		return []int{1, 4, 12, 70}
	}
	return []int{1, 2, 3, 4}
}

// shardTable prints a deployment's pool in shards through failures.
func (o Options) shardTable(w io.Writer, d *Deployment) {
	faultAfter, after := faultTime, observationTime
	if d.slots() > hotSlots/2 {
		faultAfter, after = hotFaultAt, hotObservation
	}
	o.Warmup, o.Duration = faultAfter-beforeFault, faultAfter+after
	t := newTable(w, fmt.Sprintf("%s in shards: %d slots, %.0f cost units/s, from %v before a fault to %v after it, %d seeds",
		d.Name, d.slots(), d.capacity(), beforeFault, after, o.Seeds),
		"shards", "fault", "gap of large, s", "gap, % of bound", "busy slots while work waits, %", "longest starvation, s", "light p50, s", "light p99, s", "light refused, %", "sent to a full target", "holder, B/s", "dealer, B/s", "targets/report")
	unsharded := o.runs(d, scenario{policy: Fair, setUp: sampleGapsRarely})
	bounds := boundsOf(unsharded)
	o.shardRow(t, "no dealer", "none", unsharded, bounds)
	for _, k := range shardCounts(d) {
		for _, f := range shardFaults[:shardFaultCount(d)] {
			o.shardFaultRow(t, d, k, f, bounds)
		}
	}
	t.flush()
}

// shardFaultRow simulates a pool of k shards with a fault and prints the results.
func (o Options) shardFaultRow(t *table, d *Deployment, k int, f shardFault, bounds []func(i, j int) float64) {
	runs := o.runs(d, scenario{policy: Fair, shards: k, setUp: func(c *cluster, l *workload) {
		sampleGapsRarely(c, l)
		sharded := c.hosts[0].scheduler.(*shardedScheduler)
		c.after(o.Warmup, func() { sharded.traffic = dealTraffic{} })
		c.after(o.Warmup+beforeFault, func() { f.inject(sharded) })
	}})
	o.shardRow(t, fmt.Sprint(k), f.name, runs, bounds)
}

// shardRow prints the results of all seeds.
func (o Options) shardRow(t *table, shards, fault string, runs []runResult, bounds []func(i, j int) float64) {
	var boundPercents, median, p99, holder, dealer, targets samples
	for i, r := range runs {
		boundPercents = append(boundPercents, r.gaps.maxBoundRatio(bounds[i])*percent)
		var light samples
		for _, waits := range r.waits[r.largeWorkspaces:] {
			light = append(light, waits...)
		}
		median = append(median, light.median())
		p99 = append(p99, light.quantile(0.99))
		rate := float64(r.dealTraffic.bytes) / (o.Duration - o.Warmup).Seconds()
		dealer = append(dealer, rate)
		holder = append(holder, rate/float64(max(r.shards, 1)))
		targets = append(targets, float64(r.dealTraffic.targets)/float64(max(r.dealTraffic.reports, 1)))
	}
	t.row(shards, fault,
		column(runs, "%.2f", func(r runResult) float64 { return r.largeGap }),
		boundPercents.spread("%.1f"),
		column(runs, "%.2f", func(r runResult) float64 { return r.utilisation }),
		column(runs, "%.1f", func(r runResult) float64 { return r.starvation }),
		median.spread("%.3f"), p99.spread("%.2f"),
		column(runs, "%.1f", func(r runResult) float64 { return r.lightRefused }),
		column(runs, "%.0f", func(r runResult) float64 { return float64(r.overAdmitted) }),
		holder.spread("%.0f"), dealer.spread("%.0f"), targets.spread("%.1f"))
}

const (
	// hotFaultAt and hotObservation replace faultTime and observationTime in runs of a
	// large pool.
	hotFaultAt     = time.Minute
	hotObservation = time.Minute
)

// gapSampleInterval is the least time between two observations of the gaps in a large pool.
const gapSampleInterval = 50 * time.Millisecond

// sampleGapsRarely makes runs of a large pool faster by observing its gaps less often.
func sampleGapsRarely(c *cluster, _ *workload) {
	if c.deployment.slots() > hotSlots/2 {
		c.meter.gapInterval = gapSampleInterval
	}
}
