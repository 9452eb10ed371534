package pool

import (
	"cmp"
	"slices"
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// serve delivers the service of a tick.
func (m *regionsModel) serve() {
	for _, d := range m.running {
		before := d.delivered(m.now.Add(-regionTick))
		m.served[d.workspace] += d.delivered(m.now) - before
		id := DemandID{d.home.router, d.seq}
		switch {
		case d.delivered(m.now) >= float64(d.cost):
			d.done = true
			d.end(m.t)
			delete(d.home.demands, d.seq)
			m.terms[d.workspace].held--
			m.post(d.home, d.at, Done{ID: id, Cost: d.cost, Outcome: v1.Outcome_SERVED, ServiceTime: m.now.Sub(d.start)})
		case m.now.Sub(d.reported) >= regionReport:
			d.reported = m.now
			d.charged = max(d.charged, int64(d.delivered(m.now)))
			m.post(d.home, d.at, Progress{id, d.charged})
		}
	}
	m.running = slices.DeleteFunc(m.running, func(d *regionDemand) bool { return d.done })
}

func (d *regionDemand) delivered(now time.Time) float64 {
	return min(max(now.Sub(d.start).Seconds(), 0)*regionRate, float64(d.cost))
}

// bound is the bound over regions of docs/DESIGN.md in cost units at share 1.
func (m *regionsModel) bound(f, g Workspace) float64 {
	return m.drift(f, g) + m.drift(g, f) + m.outstanding(f)/float64(f.Share) + m.outstanding(g)/float64(g.Share)
}

func (m *regionsModel) outstanding(w Workspace) float64 {
	const uncharged = regionRate * float64(regionReport+4*regionTick) / float64(time.Second)
	return float64(m.terms[w.ID].slots) * (float64(m.terms[w.ID].estimate) + uncharged)
}

func (m *regionsModel) drift(f, g Workspace) float64 {
	tf, tg := m.terms[f.ID], m.terms[g.ID]
	others := float64(len(m.regions) - 1)
	untold := m.capacity(false)*(m.untold+regionTick).Seconds() + m.outstanding(f) + others
	up := float64(tf.estimate) + float64(tf.slots)*float64(tf.up) + untold + others*float64(tf.slots)*float64(tf.down)
	down := (1 + others) * float64(tg.slots) * float64(tg.down)
	return up/float64(f.Share) + down/float64(g.Share)
}

// capacity returns the cost units a second of all regions, or of all but the
// smallest.
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
