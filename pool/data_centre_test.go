package pool

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// moveWorkspace moves a workspace to another data centre. Only scheduler i is told;
// the others learn it later.
func (m *model) moveWorkspace(i int) {
	w := &m.workspaces[m.rng.IntN(len(m.workspaces))]
	w.DataCentre = []string{"", "dc0", "dc1"}[m.rng.IntN(3)]
	m.step(i, WorkspacesChanged{Workspaces: slices.Clone(m.workspaces)})
}

// TestWorkspacesChangeDataCentres changes the data centres of workspaces at any time, at
// one scheduler after the other. Both data centres have targets, so that no demand may
// be refused. Each is granted once, and running demands go on.
func TestWorkspacesChangeDataCentres(t *testing.T) {
	demands := 0
	rapid.Check(t, func(t *rapid.T) {
		targets := append(drawTargets(t, true), Target{ID: 200, DataCentre: "dc0", Slots: 3, Speed: 1},
			Target{ID: 201, DataCentre: "dc1", Slots: 3, Speed: 1})
		schedulers := rapid.IntRange(1, 2).Draw(t, "schedulers")
		o := Options{InitialCost: 100, MaxSpares: rapid.IntRange(0, 2).Draw(t, "spares"), SpareTTL: 500 * time.Millisecond}
		faults := modelFaults{changeDataCentre: 0.05, maxDelay: 100 * time.Millisecond}
		workspaces := drawWorkspaces(t, 1, true)
		for i := range workspaces {
			workspaces[i].MaxQueued = 1000
		}
		m := newModel(rapid.Uint64().Draw(t, "seed"), schedulers, 4, o, faults, targets, workspaces)
		for range 400 {
			for _, r := range m.routers {
				if m.chance(0.1) {
					m.submit(r, m.workspaces[m.rng.IntN(len(m.workspaces))], time.Hour)
				}
			}
			m.advance()
		}
		m.drain(t)
		for id, how := range m.ended {
			if how != "granted" {
				t.Fatalf("demand %v: %s", id, how)
			}
		}
		demands += len(m.ended)
	})
	t.Logf("%d demands", demands)
}

// TestConfigurationChangesAtomically moves a workspace to a data centre whose target is
// added by the same event that removes its old target. If targets and workspaces
// changed one after the other, its waiting demands would be refused in between.
func TestConfigurationChangesAtomically(t *testing.T) {
	is := is.New(t)
	f := newFixture(Options{}, Target{ID: 10, DataCentre: "north", Slots: 1, Speed: 1})
	for seq := range uint64(3) {
		f.step(Demand{ID: id(seq + 1), Workspace: 2, Deadline: f.now.Add(time.Minute)})
	}
	got := f.step(ConfigurationChanged{
		Targets:    []Target{{ID: 11, DataCentre: "south", Slots: 1, Speed: 1}},
		Workspaces: []Workspace{{ID: 2, Share: 1, DataCentre: "south"}},
	})
	is.Equal(got, []Action{Grant{id(2), 11, defaultInitialCost, 0}})
	is.Equal(f.Queued(), 1)
	got = f.step(ConfigurationChanged{
		Targets:    []Target{{ID: 10, DataCentre: "north", Slots: 2, Speed: 1}},
		Workspaces: []Workspace{{ID: 2, Share: 1, DataCentre: "north"}},
	})
	is.Equal(got, []Action{Grant{id(3), 10, defaultInitialCost, 0}}) // demand 1 still runs there
}
