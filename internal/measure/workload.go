package measure

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// largeWorkspaceCount is the number of always backlogged workspaces in a deployment
	// that LoadDeployment returns.
	largeWorkspaceCount = 4
	// callersPerWorkspace is the number of callers of a large workspace. Each of them
	// sends its next request when the previous one ends.
	callersPerWorkspace = 60
	// lightLoadFraction is the load of a light workspace as a fraction of its fair share
	// of the capacity.
	lightLoadFraction = 0.4
	// costSpread is the standard deviation of the logarithm of a request's cost.
	costSpread = 0.8
	// hintedFraction is the fraction of the requests that have a hint of their cost. The
	// hint is the cost times a random number between 1 and maxHintRatio.
	hintedFraction = 0.5
	maxHintRatio   = 4
	// maxCostMeans bounds the cost of a request, as a multiple of the mean cost of its
	// workspace.
	maxCostMeans = 8
	// baseCostFraction is the base cost as a fraction of the pool's initial cost. The
	// base cost is the mean of the cheapest large workspace. The mean costs of the other
	// workspaces are multiples of it.
	baseCostFraction = 0.25
	// largeMaxWait and lightMaxWait are how long a request of a large and of a light
	// workspace waits for a grant at most.
	largeMaxWait = 5 * time.Minute
	lightMaxWait = 10 * time.Second
	// routerSkew is the exponent of the power law by which the load of a router falls
	// with its rank.
	routerSkew = 1.5
	// minRetry is the least time after which a caller sends a new request after a
	// refusal.
	minRetry = 100 * time.Millisecond
)

// largeCostFactors are the mean costs of the large workspaces as multiples of the base
// cost.
var largeCostFactors = [largeWorkspaceCount]float64{1, 13, 3, 6}

// lightCostFactor is the mean cost of a light workspace as a multiple of the base cost.
const lightCostFactor = 2

// workload creates the requests of all workspaces.
type workload struct {
	cluster *cluster
	rng     *rand.Rand
	// baseCost is the cost, in cost units, that the workspaces' mean costs are multiples
	// of.
	baseCost float64
	// callerFactor multiplies the number of callers of the first workspace from floodAt
	// on, if idleUntilFlood is set.
	callerFactor int
	floodAt      time.Duration
	// idleUntilFlood leaves the first workspace without requests until floodAt.
	idleUntilFlood bool
	// chooseRouter returns the router that a request of the workspace is sent to.
	chooseRouter func(workspace int) *router
}

func newWorkload(c *cluster, seed uint64) *workload {
	l := &workload{
		cluster:      c,
		rng:          rand.New(rand.NewPCG(seed, 2)),
		baseCost:     float64(c.deployment.InitialCost) * baseCostFraction,
		callerFactor: 1,
	}
	l.chooseRouter = l.drawRouter
	return l
}

// start creates the callers of the large workspaces and schedules the first requests of
// the light ones.
func (l *workload) start() {
	for i := range l.cluster.deployment.Workspaces {
		if i >= l.cluster.deployment.largeWorkspaces {
			l.scheduleArrival(i)
			continue
		}
		if i == 0 && l.idleUntilFlood {
			l.cluster.after(l.floodAt, func() { l.addCallers(0, l.callerFactor*callersPerWorkspace) })
			continue
		}
		l.addCallers(i, callersPerWorkspace)
	}
}

// addCallers starts callers of a workspace. Each of them stays at one router and always
// has a request open, except for the pause after a refusal.
func (l *workload) addCallers(workspace, count int) {
	for range count {
		l.sendNext(workspace, l.chooseRouter(workspace))
	}
}

// sendNext sends a request of a caller. When it ends, the caller sends its next request.
func (l *workload) sendNext(workspace int, r *router) {
	q := l.newRequest(workspace, largeMaxWait)
	q.onEnd = func(retryAfter time.Duration) {
		wait := time.Duration(0)
		if retryAfter > 0 {
			wait = max(retryAfter, minRetry)
		}
		l.cluster.after(wait, func() { l.sendNext(workspace, r) })
	}
	r.submit(q)
}

// scheduleArrival schedules the next request of a light workspace. The times between its
// requests are exponentially distributed.
func (l *workload) scheduleArrival(workspace int) {
	d := l.cluster.deployment
	share := float64(d.Workspaces[workspace].Share) / d.shares() * d.capacity()
	mean := l.meanCost(workspace) / (lightLoadFraction * share)
	l.cluster.after(seconds(l.rng.ExpFloat64()*mean), func() {
		q := l.newRequest(workspace, lightMaxWait)
		q.onEnd = func(time.Duration) {}
		l.chooseRouter(workspace).submit(q)
		l.scheduleArrival(workspace)
	})
}

// meanCost returns the mean cost of the workspace's requests in cost units.
func (l *workload) meanCost(workspace int) float64 {
	if workspace < l.cluster.deployment.largeWorkspaces {
		return l.baseCost * largeCostFactors[workspace%len(largeCostFactors)]
	}
	return l.baseCost * lightCostFactor
}

// newRequest returns a request with a random cost and possibly a hint. It waits for a
// grant at most for the given time.
func (l *workload) newRequest(workspace int, wait time.Duration) *request {
	mean := l.meanCost(workspace)
	cost := mean * math.Exp(l.rng.NormFloat64()*costSpread-costSpread*costSpread/2)
	cost = min(max(cost, 1), mean*maxCostMeans)
	q := &request{workspace: workspace, cost: int64(cost), deadline: wait}
	ratio := 1 + l.rng.Float64()*(maxHintRatio-1)
	if l.rng.Float64() < hintedFraction {
		q.hint = int64(cost * ratio)
	}
	return q
}

// drawRouter returns a random router for a request of the workspace. The load falls with the
// rank of the router. Each workspace starts the ranking at another router.
func (l *workload) drawRouter(workspace int) *router {
	routers := l.cluster.routers
	total := 0.0
	for rank := range routers {
		total += routerWeight(rank)
	}
	x := l.rng.Float64() * total
	rank := 0
	for ; rank < len(routers)-1; rank++ {
		x -= routerWeight(rank)
		if x < 0 {
			break
		}
	}
	return routers[(workspace+rank)%len(routers)]
}

// routerWeight returns the relative load of the router with a rank, counted from zero.
func routerWeight(rank int) float64 { return math.Pow(float64(rank+1), -routerSkew) }
