package measure

import (
	"fmt"
	"io"
	"time"

	"github.com/chiveseam/chiveseam/pool"
)

const (
	// faultAt is the time of a fault. The figures start a little before.
	faultAt      = 120 * time.Second
	beforeFault  = time.Second
	observation  = 120 * time.Second
	cutTime      = 30 * time.Second
	doubledTime  = 5 * time.Second
	rejoinTime   = 2 * time.Second
	cutZoneIndex = 0
)

// fault is a failure of a scheduler or of the network.
type fault struct {
	name   string
	inject func(*cluster)
	// silent is set if schedulers do not replicate their counters.
	silent bool
}

var faults = []fault{
	{name: "none", inject: func(*cluster) {}},
	{name: "scheduler killed, counters replicated", inject: killScheduler},
	{name: "scheduler killed, no counters", inject: killScheduler, silent: true},
	{name: "zone cut for 30 s", inject: cutOff},
	{name: "two schedulers for 5 s", inject: doubleScheduler},
}

// Failures prints the gap, the use of capacity and over-admission through
// failures of pool.Scheduler.
func (o Options) Failures(w io.Writer) {
	o.Warmup = faultAt - beforeFault
	o.Duration = faultAt + observation
	for _, d := range o.Deployments {
		t := newTable(w, fmt.Sprintf("%s: from %v before a fault to %v after it, %d seeds", d.Name, beforeFault, observation, o.Seeds),
			"fault", "gap of large, s", "gap, % of bound", "busy slots while work waits, %", "longest starvation, s", "sent to a full target", "most beyond slots", "lost")
		bounds := boundsOf(o.runs(d, scenario{policy: Fair}))
		for _, f := range faults {
			o.faultRow(t, d, f, bounds)
		}
		t.flush()
	}
}

func (o Options) faultRow(t *table, d *Deployment, f fault, bounds []func(i, j int) float64) {
	runs := o.runs(d, scenario{policy: Fair, prepare: func(c *cluster, _ *workload) {
		c.replicate = !f.silent
		c.after(faultAt, func() { f.inject(c) })
	}})
	var ofBound samples
	for i, r := range runs {
		ofBound = append(ofBound, r.gaps.ofBound(bounds[i])*percent)
	}
	t.row(f.name,
		column(runs, "%.2f", func(r figures) float64 { return r.gapLarge }),
		ofBound.spread("%.1f"),
		column(runs, "%.2f", func(r figures) float64 { return r.utilisation }),
		column(runs, "%.1f", func(r figures) float64 { return r.starvation }),
		column(runs, "%.0f", func(r figures) float64 { return float64(r.over) }),
		column(runs, "%.0f", func(r figures) float64 { return float64(r.excess) }),
		column(runs, "%.0f", func(r figures) float64 { return float64(r.lost) }))
}

// killScheduler ends the scheduler without a word. The routers notice by its
// silence and join an empty one.
func killScheduler(c *cluster) {
	c.hosts[0].alive = false
	c.after(silenceTime, func() {
		next := c.newHost(c.deployment.Targets, c.routers[1].zone, c.latency)
		c.rejoin(c.routers, next)
	})
}

// rejoin moves routers to a scheduler.
func (c *cluster) rejoin(routers []*router, h *host) {
	for _, r := range routers {
		r.join(h)
	}
}

// doubleScheduler moves half of the routers to a second scheduler of the same
// targets, and back.
func doubleScheduler(c *cluster) {
	half := c.routers[routerCount/2:]
	second := c.newHost(c.deployment.Targets, half[0].zone, c.latency)
	c.rejoin(half, second)
	c.after(doubledTime, func() {
		c.rejoin(half, c.hosts[0])
		c.after(rejoinTime, func() { second.alive = false })
	})
}

// cutOff separates a zone from the others. Each side schedules what it
// reaches.
func cutOff(c *cluster) {
	cutZone := c.deployment.Zones[cutZoneIndex]
	c.cutZones = map[string]bool{cutZone: true}
	main := c.hosts[0]
	// The scheduler is on the larger side.
	main.zone = c.deployment.Zones[cutZoneIndex+1]
	inside := c.routersIn(cutZone)
	c.after(tokenSilence, c.loseAcross)
	c.after(silenceTime, func() {
		side := c.newHost(c.deployment.Targets, cutZone, c.latency)
		for _, r := range inside {
			main.step(pool.RouterLost{Router: r.id})
		}
		c.rejoin(inside, side)
	})
	c.after(cutTime, func() {
		c.cutZones = nil
		c.after(rejoinTime, func() {
			c.rejoin(inside, main)
			c.after(rejoinTime, func() { c.hosts[len(c.hosts)-1].alive = false })
		})
	})
}

func (c *cluster) routersIn(zone string) []*router {
	var list []*router
	for _, r := range c.routers {
		if r.zone == zone {
			list = append(list, r)
		}
	}
	return list
}

// loseAcross ends the requests whose router and target are on different sides.
func (c *cluster) loseAcross() {
	for _, r := range c.routers {
		for _, q := range r.outstanding() {
			if q.engine != nil && !c.reachable(r.zone, q.engine.Zone) {
				c.meter.lost++
				r.lose(q)
			}
		}
	}
}
