package measure

import (
	"time"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/fairshare"
	"github.com/chiveseam/chiveseam/pool"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// chargeLedger holds the charges of the requests that a scheduler has granted and that have
// not ended.
type chargeLedger struct {
	counters *fairshare.Counters
	charges  map[pool.DemandID]*requestCharge
}

// requestCharge is the charge of a request in flight.
type requestCharge struct {
	charge     fairshare.Charge
	workspace  int
	prediction pool.Prediction
	grantedAt  time.Duration
	request    *request
	// seq is the number of the granted demand. It is that of the request or of a copy in
	// another region.
	seq uint64
}

// delivered returns the cost that was served by this grant. It is zero if the request runs
// on the grant of another of its demands.
func (o *requestCharge) delivered(now time.Duration) int64 {
	if o.request.seq != o.seq {
		return 0
	}
	return o.request.delivered(now)
}

// newChargeMeter returns a meter without charges.
func newChargeMeter(c *cluster) *chargeMeter {
	return &chargeMeter{
		cluster: c,
		ledger: chargeLedger{
			counters: fairshare.New(fairshare.Options{InitialCost: c.deployment.InitialCost}),
			charges:  map[pool.DemandID]*requestCharge{},
		},
		terms: make([]boundTerms, len(c.deployment.Workspaces)),
	}
}

func (m *chargeMeter) workspaceID(i int) config.ID { return m.cluster.deployment.Workspaces[i].ID }

// recordGrant charges the estimate of a granted request and updates the terms of its
// workspace.
func (m *chargeMeter) recordGrant(r *router, g pool.Grant) {
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
	m.ledger.charges[g.ID] = &requestCharge{
		charge:     m.ledger.counters.Start(id, estimate),
		workspace:  q.workspace,
		prediction: prediction,
		grantedAt:  m.cluster.now,
		request:    q,
		seq:        g.ID.Seq,
	}
	t := &m.terms[q.workspace]
	t.heldSlots++
	t.maxSlots = max(t.maxSlots, t.heldSlots)
	t.estimate = max(t.estimate, estimate)
	t.overcharged = max(t.overcharged, estimate)
}

// recordEvent repeats the corrections of charges that the scheduler makes at an event. It is
// called before the scheduler is stepped.
func (m *chargeMeter) recordEvent(event pool.Event) {
	switch e := event.(type) {
	case pool.Tick:
		for _, open := range m.ledger.charges {
			m.updateCharge(open)
		}
	case pool.Progress:
		if open := m.ledger.charges[e.ID]; open != nil {
			m.updateTerms(open)
			open.prediction.Observe(m.cluster.now-open.grantedAt, e.Cost)
			m.updateCharge(open)
		}
	case pool.Done:
		if open := m.ledger.charges[e.ID]; open != nil {
			m.recordEnd(open, e)
			delete(m.ledger.charges, e.ID)
		}
	}
}

// updateCharge raises the charge to the predicted cost.
func (m *chargeMeter) updateCharge(open *requestCharge) {
	m.ledger.counters.Progress(&open.charge, open.prediction.Charged(m.cluster.now-open.grantedAt))
	m.updateTerms(open)
}

// updateTerms raises the terms of the workspace to the present difference between the charge
// and the delivered cost. Either of them may be the larger one.
func (m *chargeMeter) updateTerms(open *requestCharge) {
	t := &m.terms[open.workspace]
	delivered := open.delivered(m.cluster.now)
	initial := open.initialCharge()
	t.undercharged = max(t.undercharged, delivered-open.charge.Cost())
	t.overcharged = max(t.overcharged, open.charge.Cost()-delivered)
	t.upward = max(t.upward, delivered-initial, open.charge.Cost()-initial)
}

// initialCharge returns the cost that was charged at the grant.
func (o *requestCharge) initialCharge() int64 {
	granted := pool.Prediction{Estimate: o.prediction.Estimate, Rate: o.prediction.Rate}
	return granted.Charged(0)
}

// recordEnd corrects the charge to the final cost of a request.
func (m *chargeMeter) recordEnd(open *requestCharge, e pool.Done) {
	m.updateTerms(open)
	t := &m.terms[open.workspace]
	t.heldSlots--
	t.upward = max(t.upward, e.Cost-open.initialCharge())
	t.downward = max(t.downward, open.charge.Cost()-e.Cost)
	if e.Outcome == v1.Outcome_SERVED {
		m.ledger.counters.Settle(&open.charge, e.Cost)
		return
	}
	m.ledger.counters.Close(&open.charge, e.Cost)
}
