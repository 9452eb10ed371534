package measure

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chiveseam/chiveseam/pool"
)

const (
	// exchangeInterval is the time between two exchanges of counters by a region.
	exchangeInterval = time.Second
	// regionLatency is the time that a message between regions takes.
	regionLatency = 5 * time.Millisecond
)

// region is a part of the zones with a scheduler of its own.
type region struct {
	cluster *cluster
	name    string
	zones   []string
	targets []pool.Target
	// dataCentres holds the data centre of each target.
	dataCentres []string
	// host is the region's scheduler.
	host *host
}

// splitRegions replaces the cluster's scheduler by two regions: one of the first half of the
// zones and one of the others. With exchange set, they exchange counters and tie demands.
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
			r.moveRequests(nil, g.host, nil)
		}
	}
	c.exchange = exchange
	c.setPartitioned(false)
	if exchange {
		for i, g := range c.regions {
			c.after(exchangeInterval*time.Duration(i+1)/time.Duration(len(c.regions)), g.exchangeCounters)
		}
	}
}

// newRegion returns a region without a scheduler.
func newRegion(c *cluster, name string, zones []string) *region {
	g := &region{cluster: c, name: name, zones: zones}
	for _, t := range c.deployment.Targets {
		if g.has(t.Zone) {
			g.targets = append(g.targets, t)
			g.dataCentres = append(g.dataCentres, t.DataCentre)
		}
	}
	return g
}

// has tells whether a zone belongs to the region.
func (g *region) has(zone string) bool {
	return slices.Contains(g.zones, zone)
}

func (g *region) routers() []*router {
	var list []*router
	for _, r := range g.cluster.routers {
		if g.has(r.zone) {
			list = append(list, r)
		}
	}
	return list
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

func (g *region) scheduler() *pool.Scheduler { return g.host.scheduler.(*pool.Scheduler) }

// exchangeCounters sends the counters to the other regions, which answer with theirs. It
// runs once in each exchange interval.
func (g *region) exchangeCounters() {
	g.setReachable(!g.cluster.partitioned)
	for _, o := range g.others() {
		g.sendCounters(o, func() { o.sendCounters(g, func() {}) })
	}
	g.cluster.after(exchangeInterval, g.exchangeCounters)
}

// sendCounters sends the counters to another region and runs delivered on their arrival.
func (g *region) sendCounters(to *region, delivered func()) {
	if !g.host.alive {
		return
	}
	message := g.scheduler().PeerCounters(g.name)
	g.cluster.after(regionLatency, func() {
		if to.host.alive && g.cluster.reachable(g.zones[0], to.zones[0]) {
			to.host.step(message)
			delivered()
		}
	})
}

// setPartitioned tells the schedulers whether the regions are partitioned.
func (c *cluster) setPartitioned(split bool) {
	c.partitioned = split
	if !c.exchange {
		return
	}
	for _, g := range c.regions {
		g.setReachable(!split)
	}
}

// setReachable tells the region's scheduler whether tied demands reach the other regions.
func (g *region) setReachable(reachable bool) {
	var regions []pool.Region
	for _, o := range g.others() {
		if reachable {
			regions = append(regions, pool.Region{Name: o.name, DataCentres: o.dataCentres})
		}
	}
	g.host.step(pool.RegionsChanged{Regions: regions})
}

// regionNamed returns the region with the name.
func (c *cluster) regionNamed(name string) *region {
	i := slices.IndexFunc(c.regions, func(g *region) bool { return g.name == name })
	return c.regions[i]
}

// regionalLoad is a distribution of the requests over two regions.
type regionalLoad struct {
	name string
	// large holds the fraction of each large workspace's requests that arrive in the
	// first region, and light that of the light workspaces' requests.
	large [largeWorkspaceCount]float64
	light float64
}

// regionalLoads are the loads in the tables of Regions. The runs with a fault use the first
// one.
var regionalLoads = []regionalLoad{
	{"uneven", [largeWorkspaceCount]float64{1, 0, 0.8, 0.5}, 0.7},
	{"large ones apart", [largeWorkspaceCount]float64{1, 0, 1, 0}, 0.7},
	{"all in one region", [largeWorkspaceCount]float64{1, 1, 1, 1}, 1},
}

// routerPicker returns a function that draws the router for a request of a workspace: first
// the region, then one of its routers at random.
func (load regionalLoad) routerPicker(c *cluster, rng *rand.Rand) func(int) *router {
	return func(workspace int) *router {
		fraction := load.light
		if workspace < largeWorkspaceCount {
			fraction = load.large[workspace]
		}
		g := c.regions[0]
		if rng.Float64() >= fraction {
			g = c.regions[1]
		}
		routers := g.routers()
		return routers[rng.IntN(len(routers))]
	}
}
