package pool

import (
	"cmp"
	"slices"
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// regionTerms are the terms of the bound for one workspace: the number of slots that it
// holds now and held at most, and in cost units the largest charge at a grant
// (estimate), upward and downward correction of a charge (up, down), delivered cost that
// is not charged, and charged cost that is not delivered.
type regionTerms struct {
	slotsHeld, maxSlotsHeld                    int
	estimate, up, down, uncharged, undelivered int64
}

// countGrant counts a grant and the charge at the grant.
func (t *regionTerms) countGrant(first int64) {
	t.slotsHeld++
	t.maxSlotsHeld = max(t.maxSlotsHeld, t.slotsHeld)
	t.estimate = max(t.estimate, first)
	t.undelivered = max(t.undelivered, first)
}

// inFlight returns what the router of a running demand reports when it joins a
// scheduler.
func (d *regionDemand) inFlight(now time.Time) InFlight {
	return InFlight{
		ID:        DemandID{d.home.router, d.grantedSeq},
		Workspace: d.workspace,
		Target:    d.servedBy.target.ID,
		Charged:   d.prediction.Charged(now.Sub(d.start)),
		Rate:      d.prediction.Rate,
	}
}

// recordTerms raises the terms of a workspace to those of one of its running demands.
func (m *regionsModel) recordTerms(d *regionDemand) {
	held := d.servedBy.sched.findDemand(DemandID{d.home.router, d.grantedSeq})
	if held == nil || !held.granted() {
		return
	}
	t := m.terms[d.workspace]
	delivered := int64(d.delivered(m.now))
	first := Prediction{Estimate: d.prediction.Estimate, Rate: d.prediction.Rate}
	// The scheduler may charge the predicted cost before Done arrives or before the
	// next call.
	later := m.now.Add(streamDelay(d.home, d.servedBy) + regionTick)
	charged := max(held.charge.Cost(), held.prediction.Charged(later.Sub(held.grantedAt)))
	t.up = max(t.up, max(d.cost, charged)-first.Charged(0))
	t.down = max(t.down, charged-d.cost)
	t.uncharged = max(t.uncharged, delivered+1-held.charge.Cost())
	t.undelivered = max(t.undelivered, charged-delivered)
}

// serve delivers the service of a tick to all running demands, and ends those that are
// complete.
func (m *regionsModel) serve() {
	for _, d := range m.running {
		before := d.delivered(m.now.Add(-regionTick))
		m.served[d.workspace] += d.delivered(m.now) - before
		m.recordTerms(d)
		switch {
		case d.delivered(m.now) >= float64(d.cost):
			d.done = true
			d.end(m.t)
			delete(d.home.demands, d.grantedSeq)
			m.terms[d.workspace].slotsHeld--
			id := DemandID{d.home.router, d.grantedSeq}
			m.sendEvent(d.home, d.servedBy, Done{ID: id, Cost: d.cost, Outcome: v1.Outcome_SERVED, ServiceTime: m.now.Sub(d.start)})
		case m.now.Sub(d.reported) >= regionReportInterval:
			m.report(d)
		}
	}
	m.running = slices.DeleteFunc(m.running, func(d *regionDemand) bool { return d.done })
}

// report sends Progress if the cost exceeds the charge by enough.
func (m *regionsModel) report(d *regionDemand) {
	d.reported = m.now
	elapsed, cost := m.now.Sub(d.start), int64(d.delivered(m.now))
	if !d.prediction.ReportDue(elapsed, cost) {
		return
	}
	d.prediction.Observe(elapsed, cost)
	m.sendEvent(d.home, d.servedBy, Progress{DemandID{d.home.router, d.grantedSeq}, cost})
}

// delivered returns the cost that was delivered by now.
func (d *regionDemand) delivered(now time.Time) float64 {
	return min(max(now.Sub(d.start).Seconds(), 0)*regionRate, float64(d.cost))
}

// bound returns the bound over regions of docs/DESIGN.md in cost units at share 1.
func (m *regionsModel) bound(f, g Workspace) float64 {
	return m.counterGap(f, g) + m.counterGap(g, f) + m.outstanding(f)/float64(f.Share) + m.outstanding(g)/float64(g.Share)
}

// outstanding returns the largest difference between charged and delivered cost of the
// requests in flight of a workspace.
func (m *regionsModel) outstanding(w Workspace) float64 {
	t := m.terms[w.ID]
	return float64(t.maxSlotsHeld) * float64(t.undelivered+t.uncharged)
}

// counterGap returns the most by which the counter of f may exceed that of g in a
// region, including service in other regions that is not yet reported.
func (m *regionsModel) counterGap(f, g Workspace) float64 {
	tf, tg := m.terms[f.ID], m.terms[g.ID]
	others := float64(len(m.regions) - 1)
	unreported := m.capacity(false)*(m.longestReportGap+regionTick).Seconds() + m.outstanding(f) + others
	up := float64(tf.estimate) + float64(tf.maxSlotsHeld)*float64(tf.up) + unreported + others*float64(tf.maxSlotsHeld)*float64(tf.down)
	down := (1 + others) * float64(tg.maxSlotsHeld) * float64(tg.down)
	return up/float64(f.Share) + down/float64(g.Share)
}

// capacity returns the cost units that all regions, or all but the smallest, serve a
// second.
func (m *regionsModel) capacity(all bool) float64 {
	slots := 0
	for _, g := range m.regions {
		slots += g.target.Slots
	}
	if !all {
		smallest := slices.MinFunc(m.regions, func(a, b *modelRegion) int { return cmp.Compare(a.target.Slots, b.target.Slots) })
		slots -= smallest.target.Slots
	}
	return float64(slots) * regionRate
}
