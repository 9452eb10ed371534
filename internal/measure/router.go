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

// reportInterval is the time between two looks at the cost of a request, of
// which the dispatcher takes one at each token.
const reportInterval = 200 * time.Millisecond

// request is one request of a caller.
type request struct {
	router    *router
	seq       uint64
	workspace int
	cost      int64
	hint      int64
	deadline  time.Duration
	arrivedAt time.Duration
	// onEnd is called once, with the time after which the caller may retry.
	onEnd   func(retryAfter time.Duration)
	exclude []config.ID

	// host schedules the request. Copies wait at others.
	host       *host
	ties       []tiedDemand
	granted    bool
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

// router is the entry side: it sends demands and serves what is granted.
type router struct {
	cluster  *cluster
	id       pool.Router
	zone     string
	host     *host
	seq      uint64
	requests map[uint64]*request
	// ties holds the requests by the numbers of their tied demands.
	ties map[uint64]*request
	// counters were replicated to this router last.
	counters []pool.Counter
}

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

// joinScheduler opens the stream to a scheduler and brings it what the router holds.
func (r *router) joinScheduler(h *host) {
	previous := r.host
	r.host = h
	r.moveRequests(previous, h, r.counters)
}

// moveRequests brings a scheduler what the router holds at the previous one.
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

func (r *router) inFlight(q *request) pool.InFlight {
	return pool.InFlight{
		ID:        r.demandID(q),
		Workspace: r.cluster.deployment.Workspaces[q.workspace].ID,
		Target:    q.target,
		Charged:   q.charged(r.cluster.now),
		Rate:      q.prediction.Rate,
	}
}

func (r *router) outstanding() []*request {
	var list []*request
	for _, seq := range slices.Sorted(maps.Keys(r.requests)) {
		list = append(list, r.requests[seq])
	}
	return list
}

// withdraw ends a request at a scheduler that no longer schedules it.
func (r *router) withdraw(h *host, q *request) {
	if q.granted {
		h.sendToScheduler(r, pool.Done{ID: r.demandID(q), Cost: q.charged(r.cluster.now), Outcome: v1.Outcome_ABANDONED})
		return
	}
	h.sendToScheduler(r, pool.Cancel{ID: r.demandID(q)})
}

func (r *router) demandID(q *request) pool.DemandID {
	return pool.DemandID{Router: r.id, Seq: q.seq}
}

// submit takes a request of a caller.
func (r *router) submit(q *request) {
	q.router = r
	q.arrivedAt = r.cluster.now
	r.cluster.meter.advance(r.cluster.now)
	r.cluster.meter.changeWaiting(q.workspace, +1)
	r.enqueue(q)
}

// enqueue sends a demand under a new number.
func (r *router) enqueue(q *request) {
	r.seq++
	q.seq = r.seq
	q.host = r.host
	r.requests[q.seq] = q
	r.sendDemand(q)
}

func (r *router) sendDemand(q *request) {
	q.host.sendToScheduler(r, r.newDemand(q, q.seq, false))
}

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

// handleGrant starts the request, or gives back a slot that nothing waits for.
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

// waitingRequest returns the request that waits at a scheduler under a number, or
// nil.
func (r *router) waitingRequest(h *host, seq uint64) *request {
	if q := r.requests[seq]; q != nil && !q.granted && q.host == h {
		return q
	}
	if q := r.ties[seq]; q != nil && q.tieIndex(h) >= 0 {
		return q
	}
	return nil
}

// handleDialFailure ends an attempt whose target could not be dialled and tries again.
func (r *router) handleDialFailure(q *request) {
	r.sendDone(q, v1.Outcome_NOT_RUN, 0)
	q.granted = false
	q.exclude = append(slices.Clone(q.exclude), q.target)
	r.enqueue(q)
}

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

// scheduleProgress reports the cost of a request in progress when it is due.
func (r *router) scheduleProgress(q *request) {
	r.cluster.after(reportInterval, func() {
		if !q.running || r.requests[q.seq] != q {
			return
		}
		r.sendProgress(q)
		r.scheduleProgress(q)
	})
}

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

// handleServed ends a request that was served in full.
func (r *router) handleServed(q *request) {
	if r.requests[q.seq] != q {
		return
	}
	r.sendDone(q, v1.Outcome_SERVED, q.cost)
	q.onEnd(0)
}

// handleLost ends a request whose target is cut off.
func (r *router) handleLost(q *request) {
	if r.requests[q.seq] != q || !q.granted || q.engine == nil {
		return
	}
	r.sendDone(q, v1.Outcome_LOST, q.charged(r.cluster.now))
	q.onEnd(0)
}

func (r *router) sendDone(q *request, outcome v1.Outcome, cost int64) {
	delete(r.requests, q.seq)
	done := pool.Done{ID: r.demandID(q), Cost: cost, Outcome: outcome}
	if q.engine != nil {
		done.ServiceTime = r.cluster.now - q.startedAt
	}
	q.host.sendToScheduler(r, done)
}
