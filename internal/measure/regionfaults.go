package measure

import "github.com/chiveseam/chiveseam/pool"

var regionFaults = []fault{
	{name: "none", inject: func(*cluster) {}},
	{name: "regions cut for 30 s", inject: cutRegions},
	{name: "scheduler of the first killed", inject: killRegionScheduler},
}

// cutRegions separates the second region from the first for a while.
func cutRegions(c *cluster) {
	c.cutZones = map[string]bool{}
	for _, zone := range c.regions[1].zones {
		c.cutZones[zone] = true
	}
	c.after(tokenSilence, c.loseAcross)
	c.after(silenceTime, func() {
		c.setSplit(true)
		c.eachAway((*region).loseRouter)
	})
	c.after(cutTime, func() {
		c.cutZones = nil
		c.after(rejoinTime, func() {
			c.eachAway(func(g *region, r *router) { r.replace(g.host, g.host, nil) })
			c.setSplit(false)
		})
	})
}

// eachAway calls fn for each region and each router of another one.
func (c *cluster) eachAway(fn func(*region, *router)) {
	for _, g := range c.regions {
		for _, r := range c.routers {
			if !g.has(r.zone) {
				fn(g, r)
			}
		}
	}
}

func (g *region) loseRouter(r *router) {
	g.host.step(pool.RouterLost{Router: r.id})
	r.dropTies(g.host)
}

// killRegionScheduler ends the scheduler of the first region without a word.
// The routers notice by its silence and join an empty one.
func killRegionScheduler(c *cluster) {
	g := c.regions[0]
	old := g.host
	old.alive = false
	c.after(silenceTime, func() {
		g.host = c.newHost(g.targets, g.routers()[1].zone, c.latency)
		g.host.region = g
		for _, r := range c.routers {
			if g.has(r.zone) {
				r.join(g.host)
				continue
			}
			r.dropTies(old)
			r.replace(old, g.host, nil)
		}
		c.setSplit(c.split)
	})
}
