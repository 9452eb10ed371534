package measure

import (
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
	charge    fairshare.Charge
	workspace int
	estimate  int64
	request   *request
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
		q = r.copies[g.ID.Seq]
	}
	if q == nil {
		return
	}
	id := m.workspaceID(q.workspace)
	estimate := g.Estimate
	m.mirror.open[g.ID] = &openCharge{
		charge:    m.mirror.counters.Start(id, estimate),
		workspace: q.workspace,
		estimate:  estimate,
		request:   q,
	}
	t := &m.terms[q.workspace]
	t.held++
	t.slots = max(t.slots, t.held)
	t.estimate = max(t.estimate, estimate)
}

// before follows the corrections of an event.
func (m *chargeMeter) before(event pool.Event) {
	switch e := event.(type) {
	case pool.Progress:
		if open := m.mirror.open[e.ID]; open != nil {
			m.measureAhead(open)
			m.mirror.counters.Progress(&open.charge, e.Cost)
		}
	case pool.Done:
		if open := m.mirror.open[e.ID]; open != nil {
			m.end(open, e)
			delete(m.mirror.open, e.ID)
		}
	}
}

// measureAhead notes the delivered cost that is not charged yet.
func (m *chargeMeter) measureAhead(open *openCharge) {
	t := &m.terms[open.workspace]
	delivered := open.request.delivered(m.cluster.now)
	t.ahead = max(t.ahead, delivered-open.charge.Cost())
	t.upward = max(t.upward, delivered-open.estimate)
}

func (m *chargeMeter) end(open *openCharge, e pool.Done) {
	m.measureAhead(open)
	t := &m.terms[open.workspace]
	t.held--
	t.upward = max(t.upward, e.Cost-open.estimate)
	t.downward = max(t.downward, open.charge.Cost()-e.Cost)
	if e.Outcome == v1.Outcome_SERVED {
		m.mirror.counters.Settle(&open.charge, e.Cost)
		return
	}
	m.mirror.counters.Close(&open.charge, e.Cost)
}
