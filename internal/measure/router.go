package measure

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/pool"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// reportInterval is the time between two comparisons of a request's cost with its charge.
// The dispatcher of a router compares them at each token.
const reportInterval = 200 * time.Millisecond

// request is one request of a caller.
type request struct {
	router *router
	// seq is the number of its demand at host. The router numbers its demands.
	seq uint64
	// workspace is the index in Deployment.Workspaces.
	workspace int
	// cost is the final cost and hint the caller's hint of it, in cost units. A hint of
	// zero means none.
	cost int64
	hint int64
	// deadline is the longest wait for a grant, counted from arrivedAt.
	deadline  time.Duration
	arrivedAt time.Duration
	// onEnd is called once when the request ends. The time until the caller may retry
	// is zero unless the request was refused.
	onEnd func(retryAfter time.Duration)
	// exclude holds the targets that could not be reached.
	exclude []config.ID

	// host is the scheduler that the request's demand waits at or was granted by. ties
	// are the copies of the demand that wait in other regions.
	host    *host
	ties    []tiedDemand
	granted bool
	// target, grantedAt and prediction belong to the grant. engine and startedAt are
	// set when the target starts the request, and rate is then its rate in cost units a
	// second.
	target     config.ID
	engine     *engine
	rate       float64
	running    bool
	startedAt  time.Duration
	grantedAt  time.Duration
	prediction pool.Prediction
}

// charged returns the cost that the scheduler has charged.
func (q *request) charged(now time.Duration) int64 {
	return q.prediction.Charged(now - q.grantedAt)
}

// router simulates the entry side of a router: it sends demands to a scheduler and requests
// to the targets that are granted.
type router struct {
	cluster *cluster
	id      pool.Router
	zone    string
	// host is the scheduler that new demands are sent to.
	host *host
	// seq is the number of the last demand.
	seq uint64
	// requests holds the requests that have not ended, by request.seq.
	requests map[uint64]*request
	// ties holds the requests with copies in other regions, by the numbers of these copies.
	ties map[uint64]*request
	// counters holds the counters that this router, as a successor, last received from a
	// scheduler.
	counters []pool.Counter
}

// newRouter returns router i. Routers are assigned to the zones in turn.
func newRouter(c *cluster, i int) *router {
	zones := c.deployment.Zones
	return &router{
		cluster:  c,
		id:       pool.Router{Name: fmt.Sprintf("router-%d", i), Incarnation: 1},
		zone:     zones[i%len(zones)],
		requests: map[uint64]*request{},
		ties:     map[uint64]*request{},
	}
}

// joinScheduler opens the stream to a scheduler. It moves the requests that the router has
// at its previous scheduler to the new one.
func (r *router) joinScheduler(h *host) {
	previous := r.host
	r.host = h
	r.moveRequests(previous, h, r.counters)
}

// moveRequests joins the router to a scheduler with the given counters and moves the
// requests of the previous scheduler to it: granted ones are reported as in flight, waiting
// ones are sent as demands. If both are the same scheduler, the join restores its state.
func (r *router) moveRequests(previous, h *host, counters []pool.Counter) {
	joined := pool.RouterJoined{Router: r.id, Zone: r.zone, Counters: counters}
	outstanding := slices.DeleteFunc(r.outstanding(), func(q *request) bool { return q.host != previous })
	for _, q := range outstanding {
		if previous != h {
			r.withdraw(previous, q)
		}
		q.host = h
		if q.granted {
			joined.InFlight = append(joined.InFlight, r.inFlight(q))
		}
	}
	h.sendToScheduler(r, joined)
	for _, q := range outstanding {
		if !q.granted {
			r.sendDemand(q)
		}
	}
}

// inFlight returns the report of a granted request to a new scheduler.
func (r *router) inFlight(q *request) pool.InFlight {
	return pool.InFlight{
		ID:        r.demandID(q),
		Workspace: r.cluster.deployment.Workspaces[q.workspace].ID,
		Target:    q.target,
		Charged:   q.charged(r.cluster.now),
		Rate:      q.prediction.Rate,
	}
}

// outstanding returns the requests that have not ended, ordered by the numbers of their
// demands.
func (r *router) outstanding() []*request {
	var list []*request
	for _, seq := range slices.Sorted(maps.Keys(r.requests)) {
		list = append(list, r.requests[seq])
	}
	return list
}

// withdraw tells a scheduler that the router no longer has the request's demand there.
func (r *router) withdraw(h *host, q *request) {
	if q.granted {
		h.sendToScheduler(r, pool.Done{ID: r.demandID(q), Cost: q.charged(r.cluster.now), Outcome: v1.Outcome_ABANDONED})
		return
	}
	h.sendToScheduler(r, pool.Cancel{ID: r.demandID(q)})
}

// demandID returns the ID of the request's demand at its host.
func (r *router) demandID(q *request) pool.DemandID {
	return pool.DemandID{Router: r.id, Seq: q.seq}
}

// submit accepts a request of a caller.
func (r *router) submit(q *request) {
	q.router = r
	q.arrivedAt = r.cluster.now
	r.cluster.meter.advance(r.cluster.now)
	r.cluster.meter.changeWaiting(q.workspace, +1)
	r.enqueue(q)
}

// enqueue sends the request's demand, with a new number, to the router's scheduler.
func (r *router) enqueue(q *request) {
	r.seq++
	q.seq = r.seq
	q.host = r.host
	r.requests[q.seq] = q
	r.sendDemand(q)
}

// sendDemand sends the request's demand to its host.
func (r *router) sendDemand(q *request) {
	q.host.sendToScheduler(r, r.newDemand(q, q.seq, false))
}

// newDemand returns the demand of a request, or with moved set its copy for another region.
func (r *router) newDemand(q *request, seq uint64, moved bool) pool.Demand {
	return pool.Demand{
		ID:        pool.DemandID{Router: r.id, Seq: seq},
		Workspace: r.cluster.deployment.Workspaces[q.workspace].ID,
		Estimate:  q.hint,
		Deadline:  epoch.Add(q.arrivedAt + q.deadline),
		Exclude:   q.exclude,
		Moved:     moved,
	}
}

// handleGrant starts the granted request. If no request waits for the grant, it returns the
// slot unused.
func (r *router) handleGrant(h *host, g pool.Grant) {
	q := r.waitingRequest(h, g.ID.Seq)
	if q == nil {
		h.sendToScheduler(r, pool.Done{ID: g.ID, Outcome: v1.Outcome_UNUSED})
		return
	}
	r.cancelOtherDemands(h, q, g.ID.Seq)
	m := r.cluster.meter
	m.advance(r.cluster.now)
	e := r.cluster.engines[g.Target]
	q.granted = true
	q.target = g.Target
	q.grantedAt = r.cluster.now
	q.prediction = pool.Prediction{Estimate: g.Estimate, Rate: g.Rate}
	if !r.cluster.reachable(r.zone, e.Zone) {
		r.cluster.after(dialTimeout, func() { r.handleDialFailure(q) })
		return
	}
	m.recordGrant(q, r.cluster.now)
	e.accept(q)
}

// waitingRequest returns the request of which a demand with the number waits at the
// scheduler, or nil.
func (r *router) waitingRequest(h *host, seq uint64) *request {
	if q := r.requests[seq]; q != nil && !q.granted && q.host == h {
		return q
	}
	if q := r.ties[seq]; q != nil && q.tieIndex(h) >= 0 {
		return q
	}
	return nil
}

// handleDialFailure ends an attempt whose target could not be reached. It sends a new demand
// that excludes the target.
func (r *router) handleDialFailure(q *request) {
	r.sendDone(q, v1.Outcome_NOT_RUN, 0)
	q.granted = false
	q.exclude = append(slices.Clone(q.exclude), q.target)
	r.enqueue(q)
}

// handleRefusal ends a refused request. The refusal of a copy in another region has no
// effect.
func (r *router) handleRefusal(h *host, refusal pool.Refuse) {
	q := r.waitingRequest(h, refusal.ID.Seq)
	if q == nil || q.host != h {
		return
	}
	r.cancelOtherDemands(h, q, q.seq)
	delete(r.requests, q.seq)
	m := r.cluster.meter
	m.advance(r.cluster.now)
	m.recordRefusal(q.workspace)
	m.changeWaiting(q.workspace, -1)
	q.onEnd(refusal.RetryAfter)
}

// scheduleProgress checks in each report interval whether a progress report of the request
// is due, while it runs.
func (r *router) scheduleProgress(q *request) {
	r.cluster.after(reportInterval, func() {
		if !q.running || r.requests[q.seq] != q {
			return
		}
		r.sendProgress(q)
		r.scheduleProgress(q)
	})
}

// sendProgress reports the cost of a request if it exceeds the charge by enough.
func (r *router) sendProgress(q *request) {
	elapsed := r.cluster.now - q.grantedAt
	cost := q.delivered(r.cluster.now)
	if q.prediction.Estimate == 0 || !q.prediction.ReportDue(elapsed, cost) {
		return
	}
	q.prediction.Observe(elapsed, cost)
	r.cluster.meter.reports++
	q.host.sendToScheduler(r, pool.Progress{ID: r.demandID(q), Cost: cost})
}

// handleServed ends a request that its target has served in full.
func (r *router) handleServed(q *request) {
	if r.requests[q.seq] != q {
		return
	}
	r.sendDone(q, v1.Outcome_SERVED, q.cost)
	q.onEnd(0)
}

// handleLost ends a running request whose target is unreachable.
func (r *router) handleLost(q *request) {
	if r.requests[q.seq] != q || !q.granted || q.engine == nil {
		return
	}
	r.sendDone(q, v1.Outcome_LOST, q.charged(r.cluster.now))
	q.onEnd(0)
}

// sendDone removes the request and reports its end to its host.
func (r *router) sendDone(q *request, outcome v1.Outcome, cost int64) {
	delete(r.requests, q.seq)
	done := pool.Done{ID: r.demandID(q), Cost: cost, Outcome: outcome}
	if q.engine != nil {
		done.ServiceTime = r.cluster.now - q.startedAt
	}
	q.host.sendToScheduler(r, done)
}
