package measure

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	largeWorkspaceCount = 4
	// callersPerWorkspace is the number of callers of a large workspace, each of which
	// sends its next request when one ends.
	callersPerWorkspace = 60
	// lightLoadFraction is the load of a light workspace as a part of its fair share.
	lightLoadFraction = 0.4
	// costSpread is the standard deviation of the logarithm of a cost.
	costSpread = 0.8
	// hintedFraction is the part of the requests with a hint, which is their cost
	// times a number between 1 and maxHintRatio.
	hintedFraction = 0.5
	maxHintRatio   = 4
	// maxCostMeans bounds a cost, in means of its workspace.
	maxCostMeans = 8
	// baseCostFraction is the part of the initial cost that the cheapest large
	// workspace has as its mean.
	baseCostFraction = 0.25
	largeMaxWait     = 5 * time.Minute
	lightMaxWait     = 10 * time.Second
	// routerSkew is the exponent of the load over the routers by rank.
	routerSkew = 1.5
	// minRetry is the least time after which a refused caller tries again.
	minRetry = 100 * time.Millisecond
)

// largeCostFactors are the mean costs of the large workspaces in base costs.
var largeCostFactors = [largeWorkspaceCount]float64{1, 13, 3, 6}

// lightCostFactor is the mean cost of a light workspace in base costs.
const lightCostFactor = 2

// workload creates the requests of all workspaces.
type workload struct {
	cluster  *cluster
	rng      *rand.Rand
	baseCost float64
	// callerFactor multiplies the callers of the first workspace from floodAt on.
	callerFactor int
	floodAt      time.Duration
	// idleUntilFlood is set to leave the first workspace without requests until floodAt.
	idleUntilFlood bool
	// chooseRouter draws the router of a request.
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

// start creates the callers and the arrivals.
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

// addCallers creates callers that never pause.
func (l *workload) addCallers(workspace, count int) {
	for range count {
		l.sendNext(workspace, l.chooseRouter(workspace))
	}
}

// sendNext sends a request, and the next one when it ends.
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

// scheduleArrival sends requests of a light workspace at random times.
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

func (l *workload) meanCost(workspace int) float64 {
	if workspace < l.cluster.deployment.largeWorkspaces {
		return l.baseCost * largeCostFactors[workspace%len(largeCostFactors)]
	}
	return l.baseCost * lightCostFactor
}

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

// drawRouter draws a router for a workspace. Its load falls with the rank of
// the router, and each workspace ranks the routers from another one on.
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

func routerWeight(rank int) float64 { return math.Pow(float64(rank+1), -routerSkew) }
