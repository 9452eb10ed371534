package pool

import (
	"time"

	"pgregory.net/rapid"

	"github.com/chiveseam/chiveseam/config"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// handleAction processes an action of the scheduler of g at the router of from. A router
// follows only the refusals of its own region's scheduler.
func (m *regionsModel) handleAction(from, g *modelRegion, action Action) {
	switch a := action.(type) {
	case Tie:
		d, other := from.demands[a.ID.Seq], m.regions[a.Region[0]-'a']
		if d != nil && d.waitsAt(g, a.ID.Seq) && d.waitingAt[other] == 0 && m.reachable(from, other) {
			m.place(d, other)
		}
	case Refuse:
		d := from.demands[a.ID.Seq]
		if d != nil && d.waitsAt(g, a.ID.Seq) && g == from {
			m.withdraw(d, nil)
			d.refused = true
			d.end(m.t)
		}
	case Grant:
		m.grant(from, g, a)
	}
}

func (d *regionDemand) waitsAt(g *modelRegion, seq uint64) bool { return d.waitingAt[g] == seq }

func (d *regionDemand) end(t *rapid.T) {
	d.endCount++
	if d.endCount > 1 {
		t.Fatalf("a demand ended %d times", d.endCount)
	}
}

// grant starts a demand that waits at the scheduler of g, and withdraws it elsewhere. A
// grant that comes too late is returned as unused.
func (m *regionsModel) grant(from, g *modelRegion, a Grant) {
	d := from.demands[a.ID.Seq]
	if d == nil || !d.waitsAt(g, a.ID.Seq) {
		if d == nil || d.servedBy != g || d.grantedSeq != a.ID.Seq {
			m.sendEvent(from, g, Done{ID: a.ID, Outcome: v1.Outcome_UNUSED})
		}
		return
	}
	if d.servedBy != nil {
		m.t.Fatalf("a demand runs twice")
	}
	m.withdraw(d, g)
	d.servedBy, d.grantedSeq, d.start, d.reported = g, a.ID.Seq, m.now, m.now
	d.prediction = Prediction{Estimate: a.Estimate, Rate: a.Rate}
	m.running = append(m.running, d)
	m.terms[d.workspace].countGrant(d.prediction.Charged(0))
	m.noteGrant(d.workspace)
}

func (m *regionsModel) noteGrant(id config.ID) {
	m.longestWithoutGrant = max(m.longestWithoutGrant, m.now.Sub(m.lastGrant[id]))
	m.lastGrant[id] = m.now
}

// withdraw withdraws a demand from all schedulers where it waits, except one.
func (m *regionsModel) withdraw(d *regionDemand, except *modelRegion) {
	for _, g := range m.regions {
		seq, waits := d.waitingAt[g]
		if !waits || g == except {
			continue
		}
		delete(d.home.demands, seq)
		id := DemandID{d.home.router, seq}
		m.sendEvent(d.home, g, Cancel{id})
		m.sendEvent(d.home, g, Done{ID: id, Outcome: v1.Outcome_UNUSED})
	}
	d.waitingAt = nil
}

func (m *regionsModel) submit(home *modelRegion, workspace config.ID, cost int64, wait time.Duration) {
	d := &regionDemand{
		workspace: workspace, cost: cost, home: home, deadline: m.now.Add(wait), waitingAt: map[*modelRegion]uint64{},
	}
	m.all = append(m.all, d)
	m.place(d, home)
}

// place sends a demand to the scheduler of g, where it waits under a sequence number of
// its own.
func (m *regionsModel) place(d *regionDemand, g *modelRegion) {
	d.home.seq++
	d.waitingAt[g] = d.home.seq
	d.home.demands[d.home.seq] = d
	m.sendEvent(d.home, g, m.event(d, d.home.seq, g != d.home))
}

func (m *regionsModel) event(d *regionDemand, seq uint64, moved bool) Demand {
	return Demand{ID: DemandID{d.home.router, seq}, Workspace: d.workspace, Deadline: d.deadline, Moved: moved}
}
