package measure

import "github.com/chiveseam/chiveseam/pool"

// regionFaults are the failures in the table of Regions. The first is no failure.
var regionFaults = []fault{
	{name: "none", inject: func(*cluster) {}},
	{name: "regions cut for 30 s", inject: partitionRegions},
	{name: "scheduler of the first killed", inject: killRegionScheduler},
}

// partitionRegions cuts the regions off from each other for partitionTime.
func partitionRegions(c *cluster) {
	c.partitionedZones = map[string]bool{}
	for _, zone := range c.regions[1].zones {
		c.partitionedZones[zone] = true
	}
	c.after(requestLostAfter, c.loseUnreachableRequests)
	c.after(peerLostAfter, func() {
		c.setPartitioned(true)
		c.eachRemoteRouter((*region).removeRouter)
	})
	c.after(partitionTime, func() {
		c.partitionedZones = nil
		c.after(rejoinDelay, func() {
			c.eachRemoteRouter(func(g *region, r *router) { r.moveRequests(g.host, g.host, nil) })
			c.setPartitioned(false)
		})
	})
}

// eachRemoteRouter calls fn for each region and each router of another region.
func (c *cluster) eachRemoteRouter(fn func(*region, *router)) {
	for _, g := range c.regions {
		for _, r := range c.routers {
			if !g.has(r.zone) {
				fn(g, r)
			}
		}
	}
}

// removeRouter ends the stream between the region's scheduler and a router of another region.
func (g *region) removeRouter(r *router) {
	g.host.step(pool.RouterLost{Router: r.id})
	r.dropTies(g.host)
}

// killRegionScheduler ends the scheduler of the first region without a message. The routers
// notice its silence and join an empty scheduler.
func killRegionScheduler(c *cluster) {
	g := c.regions[0]
	old := g.host
	old.alive = false
	c.after(peerLostAfter, func() {
		g.host = c.newHost(g.targets, g.routers()[1].zone, c.latency)
		g.host.region = g
		for _, r := range c.routers {
			if g.has(r.zone) {
				r.joinScheduler(g.host)
				continue
			}
			r.dropTies(old)
			r.moveRequests(old, g.host, nil)
		}
		c.setPartitioned(c.partitioned)
	})
}
