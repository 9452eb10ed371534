package measure

import (
	"fmt"
	"io"
	"time"

	"github.com/chiveseam/chiveseam/pool"
)

const (
	// faultTime is the virtual time of a fault. The results start at beforeFault before it
	// and end at observationTime after it.
	faultTime       = 120 * time.Second
	beforeFault     = time.Second
	observationTime = 120 * time.Second
	// partitionTime is how long zones or regions are cut off from each other.
	partitionTime = 30 * time.Second
	// twoSchedulersTime is how long two schedulers assign the same slots.
	twoSchedulersTime = 5 * time.Second
	// rejoinDelay is the time from the end of a partition until routers join their
	// scheduler again, and from then until the superfluous scheduler ends.
	rejoinDelay          = 2 * time.Second
	partitionedZoneIndex = 0
)

// fault is a failure of a scheduler or of the network.
type fault struct {
	name   string
	inject func(*cluster)
	// withoutCounters is set if schedulers do not send their counters to routers.
	withoutCounters bool
}

// faults are the failures in the table of Failures. The first is no failure.
var faults = []fault{
	{name: "none", inject: func(*cluster) {}},
	{name: "scheduler killed, counters replicated", inject: killScheduler},
	{name: "scheduler killed, no counters", inject: killScheduler, withoutCounters: true},
	{name: "zone cut for 30 s", inject: partitionZone},
	{name: "two schedulers for 5 s", inject: runTwoSchedulers},
}

// Failures prints the gap, the utilisation and the number of requests sent to full targets
// of pool.Scheduler through each of several failures.
func (o Options) Failures(w io.Writer) {
	o.Warmup = faultTime - beforeFault
	o.Duration = faultTime + observationTime
	for _, d := range o.Deployments {
		t := newTable(w, fmt.Sprintf("%s: from %v before a fault to %v after it, %d seeds", d.Name, beforeFault, observationTime, o.Seeds),
			"fault", "gap of large, s", "gap, % of bound", "busy slots while work waits, %", "longest starvation, s", "sent to a full target", "most beyond slots", "lost")
		bounds := boundsOf(o.runs(d, scenario{policy: Fair}))
		for _, f := range faults {
			o.faultRow(t, d, f, bounds)
		}
		t.flush()
	}
}

// faultRow prints the runs with a fault. The bounds are those of the runs without one.
func (o Options) faultRow(t *table, d *Deployment, f fault, bounds []func(i, j int) float64) {
	runs := o.runs(d, scenario{policy: Fair, setUp: func(c *cluster, _ *workload) {
		c.replicateToRouters = !f.withoutCounters
		c.after(faultTime, func() { f.inject(c) })
	}})
	var boundPercents samples
	for i, r := range runs {
		boundPercents = append(boundPercents, r.gaps.maxBoundRatio(bounds[i])*percent)
	}
	t.row(f.name,
		column(runs, "%.2f", func(r runResult) float64 { return r.largeGap }),
		boundPercents.spread("%.1f"),
		column(runs, "%.2f", func(r runResult) float64 { return r.utilisation }),
		column(runs, "%.1f", func(r runResult) float64 { return r.starvation }),
		column(runs, "%.0f", func(r runResult) float64 { return float64(r.overAdmitted) }),
		column(runs, "%.0f", func(r runResult) float64 { return float64(r.maxEngineQueued) }),
		column(runs, "%.0f", func(r runResult) float64 { return float64(r.lost) }))
}

// killScheduler ends the scheduler without a message. The routers notice its silence and
// join an empty scheduler.
func killScheduler(c *cluster) {
	c.hosts[0].alive = false
	c.after(peerLostAfter, func() {
		next := c.newHost(c.deployment.Targets, c.routers[1].zone, c.latency)
		c.moveRouters(c.routers, next)
	})
}

// moveRouters joins the routers to a scheduler.
func (c *cluster) moveRouters(routers []*router, h *host) {
	for _, r := range routers {
		r.joinScheduler(h)
	}
}

// runTwoSchedulers moves half of the routers to a second scheduler of the same targets, and
// back after twoSchedulersTime.
func runTwoSchedulers(c *cluster) {
	half := c.routers[routerCount/2:]
	second := c.newHost(c.deployment.Targets, half[0].zone, c.latency)
	c.moveRouters(half, second)
	c.after(twoSchedulersTime, func() {
		c.moveRouters(half, c.hosts[0])
		c.after(rejoinDelay, func() { second.alive = false })
	})
}

// partitionZone cuts a zone off from the others for partitionTime. Each side schedules the
// targets that it reaches.
func partitionZone(c *cluster) {
	cutZone := c.deployment.Zones[partitionedZoneIndex]
	c.partitionedZones = map[string]bool{cutZone: true}
	main := c.hosts[0]
	// The scheduler runs on the larger side.
	main.zone = c.deployment.Zones[partitionedZoneIndex+1]
	inside := c.routersIn(cutZone)
	c.after(requestLostAfter, c.loseUnreachableRequests)
	c.after(peerLostAfter, func() {
		second := c.newHost(c.deployment.Targets, cutZone, c.latency)
		for _, r := range inside {
			main.step(pool.RouterLost{Router: r.id})
		}
		c.moveRouters(inside, second)
	})
	c.after(partitionTime, func() {
		c.partitionedZones = nil
		c.after(rejoinDelay, func() {
			c.moveRouters(inside, main)
			c.after(rejoinDelay, func() { c.hosts[len(c.hosts)-1].alive = false })
		})
	})
}

// routersIn returns the routers of a zone.
func (c *cluster) routersIn(zone string) []*router {
	var list []*router
	for _, r := range c.routers {
		if r.zone == zone {
			list = append(list, r)
		}
	}
	return list
}

// loseUnreachableRequests ends the running requests whose router and target do not reach
// each other.
func (c *cluster) loseUnreachableRequests() {
	for _, r := range c.routers {
		for _, q := range r.outstanding() {
			if q.engine != nil && !c.reachable(r.zone, q.engine.Zone) {
				c.meter.lost++
				r.handleLost(q)
			}
		}
	}
}
