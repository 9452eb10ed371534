package measure

import (
	"math/rand/v2"
	"time"

	"github.com/chiveseam/chiveseam/pool"
)

const (
	// shareInterval is the time between two exchanges of a region.
	shareInterval = time.Second
	// shareMinChange is the least change of a counter that is told.
	shareMinChange = 1
	// regionLatency is the time that a message between regions takes.
	regionLatency = 5 * time.Millisecond
)

// region is a part of the zones with a scheduler of its own.
type region struct {
	cluster     *cluster
	name        string
	zones       []string
	targets     []pool.Target
	dataCentres []string
	host        *host
	free        map[string]int
}

// splitRegions gives the first half of the zones and the rest to a region each.
func (c *cluster) splitRegions(exchange bool) {
	zones := c.deployment.Zones
	half := len(zones) / 2
	for i, part := range [][]string{zones[:half], zones[half:]} {
		c.regions = append(c.regions, newRegion(c, []string{"first", "second"}[i], part))
	}
	c.hosts = nil
	for _, g := range c.regions {
		g.host = c.newHost(g.targets, g.zones[0], c.latency)
		g.host.region = g
	}
	for _, r := range c.routers {
		r.host = nil
		for _, g := range c.regions {
			if g.has(r.zone) {
				r.host = g.host
			}
			r.replace(nil, g.host, nil)
		}
	}
	if exchange {
		for i, g := range c.regions {
			c.after(shareInterval*time.Duration(i+1)/time.Duration(len(c.regions)), g.share)
		}
	}
}

func newRegion(c *cluster, name string, zones []string) *region {
	g := &region{cluster: c, name: name, zones: zones, free: map[string]int{}}
	for _, t := range c.deployment.Targets {
		if g.has(t.Zone) {
			g.targets = append(g.targets, t)
			g.dataCentres = append(g.dataCentres, t.DataCentre)
		}
	}
	return g
}

func (g *region) has(zone string) bool {
	for _, z := range g.zones {
		if z == zone {
			return true
		}
	}
	return false
}

func (g *region) others() []*region {
	var list []*region
	for _, o := range g.cluster.regions {
		if o != g {
			list = append(list, o)
		}
	}
	return list
}

func (g *region) scheduler() *pool.Scheduler { return g.host.core.(*pool.Scheduler) }

// share swaps counters and free slots with the other regions.
func (g *region) share() {
	for _, o := range g.others() {
		message := g.scheduler().PeerCounters(g.name, shareMinChange)
		g.deliver(o, message, func() {
			reply := o.scheduler().PeerCounters(o.name, shareMinChange)
			o.deliver(g, reply, func() {})
		})
	}
	g.cluster.after(shareInterval, g.share)
}

func (g *region) deliver(to *region, message pool.PeerCounters, then func()) {
	g.cluster.after(regionLatency, func() {
		if !g.host.alive || !to.host.alive || !g.cluster.reachable(g.zones[0], to.zones[0]) {
			return
		}
		to.free[message.Region] = message.SpareSlots
		to.host.step(message)
		to.moveWaiting()
		then()
	})
}

func (g *region) moveWaiting() {
	sched := g.scheduler()
	if sched.Queued() == 0 {
		return
	}
	g.host.step(pool.Tick{})
	for _, o := range g.others() {
		free := g.free[o.name]
		if free <= 0 {
			continue
		}
		before := sched.Queued()
		g.host.step(pool.Overflow{Region: o.name, DataCentres: o.dataCentres, Slots: free})
		g.free[o.name] -= before - sched.Queued()
	}
}

func (r *router) moved(h *host, a pool.Move) {
	q := r.requests[a.ID.Seq]
	if q == nil || q.granted || q.host != h {
		return
	}
	for _, g := range r.cluster.regions {
		if g.name == a.Region {
			delete(r.requests, q.seq)
			r.seq++
			q.seq, q.host, q.moved = r.seq, g.host, true
			r.requests[q.seq] = q
			r.demand(q)
		}
	}
}

func (h *host) freed(r *router, away *host) {
	h.cluster.after(h.latency, func() {
		if h.alive && h.cluster.reachable(r.zone, h.zone) {
			h.region.free[away.region.name]++
			h.region.moveWaiting()
		}
	})
}

// regionalLoad draws the region of a request.
type regionalLoad struct {
	name string
	// first is the part of the requests in the first region: of each large
	// workspace, and of the light ones.
	large [largeCount]float64
	light float64
}

var regionalLoads = []regionalLoad{
	{"uneven", [largeCount]float64{1, 0, 0.8, 0.5}, 0.7},
	{"apart", [largeCount]float64{1, 0, 1, 0}, 0.7},
	{"all in one region", [largeCount]float64{1, 1, 1, 1}, 1},
}

func (d regionalLoad) pick(c *cluster, rng *rand.Rand) func(int) *router {
	return func(workspace int) *router {
		part := d.light
		if workspace < largeCount {
			part = d.large[workspace]
		}
		g := c.regions[0]
		if rng.Float64() >= part {
			g = c.regions[1]
		}
		var routers []*router
		for _, r := range c.routers {
			if g.has(r.zone) {
				routers = append(routers, r)
			}
		}
		return routers[rng.IntN(len(routers))]
	}
}
