package dispatch

import "sync"

// meanWeight is the weight of the newest cost in the exponentially weighted moving
// average.
const meanWeight = 0.2

// costMeans holds the moving average of the cost of requests, in cost units, for each
// workspace and pool. It is safe for concurrent use.
type costMeans struct {
	// mu guards means.
	mu    sync.Mutex
	means map[costKey]float64
}

type costKey struct{ workspace, pool string }

func newCostMeans() *costMeans {
	return &costMeans{means: map[costKey]float64{}}
}

func costKeyOf(req *Request) costKey {
	return costKey{req.Workspace.Name, req.Pool.Name}
}

func (c *costMeans) observe(req *Request, cost uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := costKeyOf(req)
	mean, ok := c.means[key]
	if !ok {
		mean = float64(cost)
	}
	c.means[key] = mean + meanWeight*(float64(cost)-mean)
}

// get returns the average and whether there is one.
func (c *costMeans) get(req *Request) (uint32, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	mean, ok := c.means[costKeyOf(req)]
	return uint32(mean), ok
}

// expectedCost returns the cost that is expected of the request, in cost units. It is
// about what the scheduler charged with the grant. Below it, an attempt reports no
// progress.
func (d *Dispatcher) expectedCost(req *Request) uint32 {
	expected, ok := d.costs.get(req)
	if !ok {
		expected = req.Pool.InitialCost
	}
	if req.Estimate > 0 {
		expected = min(expected, req.Estimate)
	}
	return expected
}
