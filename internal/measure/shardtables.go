package measure

import (
	"fmt"
	"io"
	"time"
)

// shardFault is a failure while a pool is in shards.
type shardFault struct {
	name   string
	inject func(*sharded)
}

var shardFaults = []shardFault{
	{name: "none", inject: func(*sharded) {}},
	{name: "holder of a shard lost", inject: func(s *sharded) { s.killShard(0) }},
	{name: "dealer lost", inject: (*sharded).killDealer},
	{name: "both lost", inject: func(s *sharded) {
		s.killDealer()
		s.killShard(0)
	}},
}

// Shards prints the gap, the use of capacity and the messages of the dealer for
// the deployments' pools in shards, beside those of one scheduler.
func (o Options) Shards(w io.Writer) {
	for _, d := range o.Deployments {
		o.shardTable(w, d)
	}
}

// HotShards prints the same for the pool of a hot model at the planned size,
// and the traffic of its requests.
func (o Options) HotShards(w io.Writer) {
	shardTraffic(w, uint64(o.Seeds))
	o.shardTable(w, hotDeployment())
}

// shardTraffic prints the traffic of the requests of a hot model in shards.
func shardTraffic(w io.Writer, seeds uint64) {
	t := newTable(w, "Control traffic of requests, 165 routers, 27 pools, a third of the load on one in shards",
		"shards", "entry, B/s", "of it heartbeats, 1/s", "mean holder of a shard, B/s", "largest, B/s")
	for _, k := range []int{1, 4, 12, 70} {
		f := planned
		f.Hot, f.Shards = hotPart, k
		var entry, beats, mean, largest samples
		for seed := uint64(1); seed <= seeds; seed++ {
			m := MeasureTraffic(f, seed)
			entry = append(entry, m.Entry.Total())
			beats = append(beats, m.Entry.Heartbeats)
			mean = append(mean, m.Shard.Total())
			largest = append(largest, m.MaxShard.Total())
		}
		t.row(fmt.Sprint(k), entry.spread("%.0f"), beats.spread("%.0f"), mean.spread("%.0f"), largest.spread("%.0f"))
	}
	t.flush()
}

// faultsOf returns how many of the faults are run; those of both roles at once
// take too long with a large pool.
func faultsOf(d *Deployment) int {
	if d.slots() > hotSlots/2 {
		return len(shardFaults) - 1
	}
	return len(shardFaults)
}

func shardCounts(d *Deployment) []int {
	if d.slots() > hotSlots/2 {
		return []int{1, 4, 12, 70}
	}
	return []int{1, 2, 3, 4}
}

func (o Options) shardTable(w io.Writer, d *Deployment) {
	at, after := faultAt, observation
	if d.slots() > hotSlots/2 {
		at, after = hotFaultAt, hotObservation
	}
	o.Warmup, o.Duration = at-beforeFault, at+after
	t := newTable(w, fmt.Sprintf("%s in shards: %d slots, %.0f cost units/s, from %v before a fault to %v after it, %d seeds",
		d.Name, d.slots(), d.capacity(), beforeFault, after, o.Seeds),
		"shards", "fault", "gap of large, s", "gap, % of bound", "busy slots while work waits, %", "longest starvation, s", "light p50, s", "light p99, s", "light refused, %", "sent to a full target", "holder, B/s", "dealer, B/s", "targets/report")
	single := o.runs(d, scenario{policy: Fair, prepare: prepareLarge})
	bounds := boundsOf(single)
	o.shardRow(t, "no dealer", "none", single, bounds)
	for _, k := range shardCounts(d) {
		for _, f := range shardFaults[:faultsOf(d)] {
			o.shardFaultRow(t, d, k, f, bounds)
		}
	}
	t.flush()
}

func (o Options) shardFaultRow(t *table, d *Deployment, k int, f shardFault, bounds []func(i, j int) float64) {
	runs := o.runs(d, scenario{policy: Fair, shards: k, prepare: func(c *cluster, l *workload) {
		prepareLarge(c, l)
		core := c.hosts[0].core.(*sharded)
		c.after(o.Warmup, func() { core.traffic = dealTraffic{} })
		c.after(o.Warmup+beforeFault, func() { f.inject(core) })
	}})
	o.shardRow(t, fmt.Sprint(k), f.name, runs, bounds)
}

func (o Options) shardRow(t *table, shards, fault string, runs []figures, bounds []func(i, j int) float64) {
	var ofBound, median, tail, holder, dealer, targets samples
	for i, r := range runs {
		ofBound = append(ofBound, r.gaps.ofBound(bounds[i])*percent)
		var light samples
		for _, waits := range r.waits[r.large:] {
			light = append(light, waits...)
		}
		median = append(median, light.median())
		tail = append(tail, light.quantile(0.99))
		rate := float64(r.deal.bytes) / (o.Duration - o.Warmup).Seconds()
		dealer = append(dealer, rate)
		holder = append(holder, rate/float64(max(r.shards, 1)))
		targets = append(targets, float64(r.deal.targets)/float64(max(r.deal.reports, 1)))
	}
	t.row(shards, fault,
		column(runs, "%.2f", func(r figures) float64 { return r.gapLarge }),
		ofBound.spread("%.1f"),
		column(runs, "%.2f", func(r figures) float64 { return r.utilisation }),
		column(runs, "%.1f", func(r figures) float64 { return r.starvation }),
		median.spread("%.3f"), tail.spread("%.2f"),
		column(runs, "%.1f", func(r figures) float64 { return r.lightRefused }),
		column(runs, "%.0f", func(r figures) float64 { return float64(r.over) }),
		holder.spread("%.0f"), dealer.spread("%.0f"), targets.spread("%.1f"))
}

const (
	// hotFaultAt and hotObservation are the times of runs of a large pool.
	hotFaultAt     = time.Minute
	hotObservation = time.Minute
)

// gapLook is the least time between two looks at the gaps of a large pool.
const gapLook = 50 * time.Millisecond

// prepareLarge makes runs of a large pool faster.
func prepareLarge(c *cluster, _ *workload) {
	if c.deployment.slots() > hotSlots/2 {
		c.meter.gapInterval = gapLook
	}
}
