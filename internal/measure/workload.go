package measure

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	largeCount = 4
	// callersEach is the number of callers of a large workspace, each of which
	// sends its next request when one ends.
	callersEach = 60
	// lightLoad is the load of a light workspace as a part of its fair share.
	lightLoad = 0.4
	// costSpread is the standard deviation of the logarithm of a cost.
	costSpread = 0.8
	// hintedPart is the part of the requests with a hint, which is their cost
	// times a number between 1 and maxHintRatio.
	hintedPart   = 0.5
	maxHintRatio = 4
	// maxCostMeans bounds a cost, in means of its workspace.
	maxCostMeans = 8
	// baseCostPart is the part of the initial cost that the cheapest large
	// workspace has as its mean.
	baseCostPart = 0.25
	largeWait    = 5 * time.Minute
	lightWait    = 10 * time.Second
	// routerSkew is the exponent of the load over the routers by rank.
	routerSkew = 1.5
	// minRetry is the least time after which a refused caller tries again.
	minRetry = 100 * time.Millisecond
)

// costFactors are the mean costs of the large workspaces in base costs.
var costFactors = [largeCount]float64{1, 13, 3, 6}

// lightFactor is the mean cost of a light workspace in base costs.
const lightFactor = 2

// workload creates the requests of all workspaces.
type workload struct {
	cluster *cluster
	rng     *rand.Rand
	base    float64
	// flood multiplies the callers of the first workspace from floodAt on.
	flood   int
	floodAt time.Duration
	// silent is set to leave the first workspace without requests until floodAt.
	silent bool
	// pick draws the router of a request.
	pick func(workspace int) *router
}

func newWorkload(c *cluster, seed uint64) *workload {
	l := &workload{
		cluster: c,
		rng:     rand.New(rand.NewPCG(seed, 2)),
		base:    float64(c.deployment.InitialCost) * baseCostPart,
		flood:   1,
	}
	l.pick = l.pickRouter
	return l
}

// start creates the callers and the arrivals.
func (l *workload) start() {
	for i := range l.cluster.deployment.Workspaces {
		if i >= l.cluster.deployment.large {
			l.arrive(i)
			continue
		}
		if i == 0 && l.silent {
			l.cluster.after(l.floodAt, func() { l.addCallers(0, l.flood*callersEach) })
			continue
		}
		l.addCallers(i, callersEach)
	}
}

// addCallers creates callers that never pause.
func (l *workload) addCallers(workspace, count int) {
	for range count {
		l.call(workspace, l.pick(workspace))
	}
}

// call sends a request, and the next one when it ends.
func (l *workload) call(workspace int, r *router) {
	q := l.request(workspace, largeWait)
	q.ended = func(retryAfter time.Duration) {
		wait := time.Duration(0)
		if retryAfter > 0 {
			wait = max(retryAfter, minRetry)
		}
		l.cluster.after(wait, func() { l.call(workspace, r) })
	}
	r.submit(q)
}

// arrive sends requests of a light workspace at random times.
func (l *workload) arrive(workspace int) {
	d := l.cluster.deployment
	share := float64(d.Workspaces[workspace].Share) / d.shares() * d.capacity()
	mean := l.mean(workspace) / (lightLoad * share)
	l.cluster.after(seconds(l.rng.ExpFloat64()*mean), func() {
		q := l.request(workspace, lightWait)
		q.ended = func(time.Duration) {}
		l.pick(workspace).submit(q)
		l.arrive(workspace)
	})
}

func (l *workload) mean(workspace int) float64 {
	if workspace < l.cluster.deployment.large {
		return l.base * costFactors[workspace%len(costFactors)]
	}
	return l.base * lightFactor
}

func (l *workload) request(workspace int, wait time.Duration) *request {
	mean := l.mean(workspace)
	cost := mean * math.Exp(l.rng.NormFloat64()*costSpread-costSpread*costSpread/2)
	cost = min(max(cost, 1), mean*maxCostMeans)
	q := &request{workspace: workspace, cost: int64(cost), deadline: wait}
	ratio := 1 + l.rng.Float64()*(maxHintRatio-1)
	if l.rng.Float64() < hintedPart {
		q.hint = int64(cost * ratio)
	}
	return q
}

// pickRouter draws a router for a workspace. Its load falls with the rank of
// the router, and each workspace ranks the routers from another one on.
func (l *workload) pickRouter(workspace int) *router {
	routers := l.cluster.routers
	total := 0.0
	for rank := range routers {
		total += rankWeight(rank)
	}
	x := l.rng.Float64() * total
	rank := 0
	for ; rank < len(routers)-1; rank++ {
		x -= rankWeight(rank)
		if x < 0 {
			break
		}
	}
	return routers[(workspace+rank)%len(routers)]
}

func rankWeight(rank int) float64 { return math.Pow(float64(rank+1), -routerSkew) }
