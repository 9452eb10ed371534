package pool

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/fairshare"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// overflowModel is a scheduler whose waiting demands another region attracts.
type overflowModel struct {
	*Scheduler
	t          *rapid.T
	now        time.Time
	seq        uint64
	workspaces []Workspace
	demands    map[DemandID]Demand
	running    map[DemandID]bool
	ends       map[DemandID]int
	moved      int
}

func newOverflowModel(t *rapid.T) *overflowModel {
	m := &overflowModel{
		Scheduler:  New(Options{InitialCost: 100}),
		t:          t,
		now:        start,
		workspaces: drawWorkspaces(t, 1, true),
		demands:    map[DemandID]Demand{},
		running:    map[DemandID]bool{},
		ends:       map[DemandID]int{},
	}
	targets := append(drawTargets(t, true), Target{ID: 200, DataCentre: "dc1", Slots: 1, Speed: 1})
	m.step(ConfigurationChanged{Targets: targets, Workspaces: m.workspaces})
	m.step(RouterJoined{Router: router1, Zone: "z0"})
	return m
}

// step counts how demands end here.
func (m *overflowModel) step(e Event) []Action {
	actions := m.Step(m.now, e)
	for _, a := range actions {
		switch a := a.(type) {
		case Grant:
			m.running[a.ID] = true
			m.end(a.ID)
		case Refuse:
			m.end(a.ID)
		case Move:
			m.end(a.ID)
		}
	}
	return actions
}

func (m *overflowModel) end(id DemandID) {
	m.ends[id]++
	if m.ends[id] > 1 {
		m.t.Fatalf("demand %v ended %d times", id, m.ends[id])
	}
}

func (m *overflowModel) submit() {
	m.seq++
	d := Demand{
		ID:        DemandID{router1, m.seq},
		Workspace: rapid.SampledFrom(m.workspaces).Draw(m.t, "workspace").ID,
		Estimate:  rapid.Int64Range(0, 200).Draw(m.t, "estimate"),
		Deadline:  m.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(m.t, "wait")) * time.Millisecond),
		Moved:     rapid.IntRange(0, 4).Draw(m.t, "moved") == 0,
	}
	m.demands[d.ID] = d
	m.step(d)
}

func (m *overflowModel) finish() {
	ids := slices.SortedFunc(maps.Keys(m.running), func(a, b DemandID) int { return int(a.Seq) - int(b.Seq) })
	if len(ids) == 0 {
		return
	}
	id := rapid.SampledFrom(ids).Draw(m.t, "finished")
	delete(m.running, id)
	m.step(Done{ID: id, Cost: rapid.Int64Range(1, 500).Draw(m.t, "cost"), Outcome: v1.Outcome_SERVED, ServiceTime: time.Second})
}

// attract lets free slots of the other region take waiting demands.
func (m *overflowModel) attract() {
	m.step(Tick{})
	sides := [][]string{nil, {""}, {"dc0"}, {"dc1"}, {"dc1", "dc0"}}
	e := Overflow{
		Region:      west,
		DataCentres: rapid.SampledFrom(sides).Draw(m.t, "data centres"),
		Slots:       rapid.IntRange(0, 6).Draw(m.t, "slots"),
	}
	left := m.movable(e)
	want := min(e.Slots, count(left))
	before := m.Counters()
	keys := m.keys()
	actions := m.step(e)
	if len(actions) != want {
		m.t.Fatalf("%d demands moved, want %d", len(actions), want)
	}
	for _, a := range actions {
		m.checkTurn(a.(Move), left, keys)
	}
	m.moved += len(actions)
	for i, c := range m.Counters() {
		if c.Value != before[i].Value {
			m.t.Fatalf("counter of %d was %d and is %d", c.Workspace, before[i].Value, c.Value)
		}
	}
}

// movable returns the waiting demands that may be moved, by workspace, in the
// order within it.
func (m *overflowModel) movable(e Overflow) map[config.ID][]Demand {
	list := map[config.ID][]Demand{}
	for _, w := range m.workspaces {
		for _, d := range m.demands {
			usable := w.DataCentre == "" && len(e.DataCentres) > 0 || slices.Contains(e.DataCentres, w.DataCentre)
			if d.Workspace == w.ID && usable && !d.Moved && m.ends[d.ID] == 0 {
				list[w.ID] = append(list[w.ID], d)
			}
		}
		slices.SortFunc(list[w.ID], func(a, b Demand) int {
			if !a.Deadline.Equal(b.Deadline) {
				return a.Deadline.Compare(b.Deadline)
			}
			return int(a.ID.Seq) - int(b.ID.Seq)
		})
	}
	return list
}

func count(list map[config.ID][]Demand) int {
	n := 0
	for _, demands := range list {
		n += len(demands)
	}
	return n
}

func (m *overflowModel) keys() map[config.ID]float64 {
	keys := map[config.ID]float64{}
	for _, w := range m.workspaces {
		keys[w.ID] = float64(m.Counter(w.ID).Value)
	}
	return keys
}

// checkTurn fails unless the demand is the first of a workspace with the least
// counter, and charges its estimate for the next turn.
func (m *overflowModel) checkTurn(move Move, left map[config.ID][]Demand, keys map[config.ID]float64) {
	const rounding = 2
	d := m.demands[move.ID]
	if len(left[d.Workspace]) == 0 || left[d.Workspace][0].ID != move.ID {
		m.t.Fatalf("%v is moved before %v", move.ID, left[d.Workspace])
	}
	for id, demands := range left {
		if len(demands) > 0 && keys[d.Workspace] > keys[id]+rounding {
			m.t.Fatalf("workspace %d at %.0f is moved before %d at %.0f", d.Workspace, keys[d.Workspace], id, keys[id])
		}
	}
	left[d.Workspace] = left[d.Workspace][1:]
	share := m.Scheduler.workspaces[d.Workspace].Share
	keys[d.Workspace] += float64(m.counters.Estimate(d.Workspace, d.Estimate)) * fairshare.Scale / float64(share)
}

// TestOverflow checks the order of moves, that only usable demands are moved
// and none twice, that counters stay as they were, and that each demand ends
// exactly once: granted, moved or refused.
func TestOverflow(t *testing.T) {
	moved, demands := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newOverflowModel(t)
		for range rapid.IntRange(10, 150).Draw(t, "steps") {
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "pass")) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				m.attract()
			case 1, 2:
				m.finish()
			default:
				m.submit()
			}
		}
		m.now = m.now.Add(time.Minute)
		m.step(Tick{})
		for id := range m.demands {
			if m.ends[id] != 1 {
				t.Fatalf("demand %v ended %d times", id, m.ends[id])
			}
		}
		moved += m.moved
		demands += len(m.demands)
	})
	t.Logf("%d of %d demands moved", moved, demands)
}
