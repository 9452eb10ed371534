package measure

import (
	"time"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/fairshare"
	"github.com/chiveseam/chiveseam/pool"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// mirror holds the charges of the requests that a scheduler has granted.
type mirror struct {
	counters *fairshare.Counters
	open     map[pool.DemandID]*openCharge
}

// openCharge is the charge of a request in flight.
type openCharge struct {
	charge     fairshare.Charge
	workspace  int
	prediction pool.Prediction
	grantedAt  time.Duration
	request    *request
	// seq is the number of the demand that was granted, of the request or of its
	// copy in another region.
	seq uint64
}

// delivered returns the cost that was served by the grant. A grant to a request
// that has taken another one serves nothing.
func (o *openCharge) delivered(now time.Duration) int64 {
	if o.request.seq != o.seq {
		return 0
	}
	return o.request.delivered(now)
}

func newChargeMeter(c *cluster) *chargeMeter {
	return &chargeMeter{
		cluster: c,
		mirror: mirror{
			counters: fairshare.New(fairshare.Options{InitialCost: c.deployment.InitialCost}),
			open:     map[pool.DemandID]*openCharge{},
		},
		terms: make([]boundTerms, len(c.deployment.Workspaces)),
	}
}

func (m *chargeMeter) workspaceID(i int) config.ID { return m.cluster.deployment.Workspaces[i].ID }

// granted charges the estimate.
func (m *chargeMeter) granted(r *router, g pool.Grant) {
	q := r.requests[g.ID.Seq]
	if q == nil {
		q = r.ties[g.ID.Seq]
	}
	if q == nil {
		return
	}
	id := m.workspaceID(q.workspace)
	prediction := pool.Prediction{Estimate: g.Estimate, Rate: g.Rate}
	estimate := prediction.Charged(0)
	m.mirror.open[g.ID] = &openCharge{
		charge:     m.mirror.counters.Start(id, estimate),
		workspace:  q.workspace,
		prediction: prediction,
		grantedAt:  m.cluster.now,
		request:    q,
		seq:        g.ID.Seq,
	}
	t := &m.terms[q.workspace]
	t.held++
	t.slots = max(t.slots, t.held)
	t.estimate = max(t.estimate, estimate)
	t.over = max(t.over, estimate)
}

// before follows the corrections of an event.
func (m *chargeMeter) before(event pool.Event) {
	switch e := event.(type) {
	case pool.Tick:
		for _, open := range m.mirror.open {
			m.follow(open)
		}
	case pool.Progress:
		if open := m.mirror.open[e.ID]; open != nil {
			m.measure(open)
			open.prediction.Observe(m.cluster.now-open.grantedAt, e.Cost)
			m.follow(open)
		}
	case pool.Done:
		if open := m.mirror.open[e.ID]; open != nil {
			m.end(open, e)
			delete(m.mirror.open, e.ID)
		}
	}
}

// follow charges what is predicted.
func (m *chargeMeter) follow(open *openCharge) {
	m.mirror.counters.Progress(&open.charge, open.prediction.Charged(m.cluster.now-open.grantedAt))
	m.measure(open)
}

// measure notes the terms of a charge, of which delivered cost may be a part or
// more.
func (m *chargeMeter) measure(open *openCharge) {
	t := &m.terms[open.workspace]
	delivered := open.delivered(m.cluster.now)
	first := open.first()
	t.ahead = max(t.ahead, delivered-open.charge.Cost())
	t.over = max(t.over, open.charge.Cost()-delivered)
	t.upward = max(t.upward, delivered-first, open.charge.Cost()-first)
}

// first returns what was charged at the grant.
func (o *openCharge) first() int64 {
	granted := pool.Prediction{Estimate: o.prediction.Estimate, Rate: o.prediction.Rate}
	return granted.Charged(0)
}

func (m *chargeMeter) end(open *openCharge, e pool.Done) {
	m.measure(open)
	t := &m.terms[open.workspace]
	t.held--
	t.upward = max(t.upward, e.Cost-open.first())
	t.downward = max(t.downward, open.charge.Cost()-e.Cost)
	if e.Outcome == v1.Outcome_SERVED {
		m.mirror.counters.Settle(&open.charge, e.Cost)
		return
	}
	m.mirror.counters.Close(&open.charge, e.Cost)
}
