package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/config"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const west = "west"

// sidesFixture has two full targets in two data centres and workspaces on
// both: 1 on either side, 2 in north, 3 in south.
func sidesFixture() *fixture {
	f := &fixture{New(Options{InitialCost: 100}), start}
	f.step(TargetsChanged{Targets: []Target{
		{ID: 10, Zone: "z1", DataCentre: "north", Slots: 1, Speed: 1},
		{ID: 11, Zone: "z1", DataCentre: "south", Slots: 1, Speed: 1},
	}})
	f.step(WorkspacesChanged{Workspaces: []Workspace{
		{ID: 1, Share: 1},
		{ID: 2, Share: 1, DataCentre: "north"},
		{ID: 3, Share: 1, DataCentre: "south"},
	}})
	f.step(RouterJoined{Router: router1, Zone: "z1"})
	f.fill()
	return f
}

// fill occupies both targets for workspaces 2 and 3.
func (f *fixture) fill() {
	f.step(Demand{ID: id(901), Workspace: 2, Deadline: f.now.Add(time.Minute)})
	f.step(Demand{ID: id(902), Workspace: 3, Deadline: f.now.Add(time.Minute)})
}

// wait queues demands of a workspace with growing deadlines.
func (f *fixture) wait(workspace config.ID, seqs ...uint64) {
	for _, seq := range seqs {
		f.step(Demand{ID: id(seq), Workspace: workspace, Deadline: f.now.Add(time.Minute)})
	}
}

func moves(actions []Action) []uint64 {
	var seqs []uint64
	for _, a := range actions {
		if m, ok := a.(Move); ok {
			seqs = append(seqs, m.ID.Seq)
		}
	}
	return seqs
}

func TestOverflowMovesInFairOrder(t *testing.T) {
	is := is.New(t)
	f := sidesFixture()
	f.wait(1, 1, 2, 3)
	f.wait(2, 11, 12, 13)
	got := f.step(Overflow{Region: west, DataCentres: []string{"north"}, Slots: 4})
	// Workspace 1 has used nothing yet, workspace 2 one estimate. The least ID
	// goes first at equal counters.
	is.Equal(moves(got), []uint64{1, 2, 11, 3})
	is.Equal(got[0], Action(Move{ID: id(1), Region: west}))
	is.Equal(f.Queued(), 2)
}

// TestOverflowComparesAllDataCentres checks that the least counter goes first,
// whichever side it belongs to.
func TestOverflowComparesAllDataCentres(t *testing.T) {
	is := is.New(t)
	f := sidesFixture()
	f.step(Progress{ID: id(901), Cost: 1000})
	f.wait(2, 11, 12)
	f.wait(3, 21, 22)
	got := f.step(Overflow{Region: west, DataCentres: []string{"north", "south"}, Slots: 2})
	is.Equal(moves(got), []uint64{21, 22})
}

func TestOverflowMovesOnlyToUsableDataCentres(t *testing.T) {
	is := is.New(t)
	f := sidesFixture()
	f.wait(2, 11)
	f.wait(3, 21)
	got := f.step(Overflow{Region: west, DataCentres: []string{"south"}, Slots: 5})
	is.Equal(moves(got), []uint64{21})
	is.Equal(len(f.step(Overflow{Region: west, DataCentres: nil, Slots: 5})), 0)
}

func TestOverflowMovesNothingTwice(t *testing.T) {
	is := is.New(t)
	f := sidesFixture()
	f.wait(1, 1)
	f.step(Demand{ID: id(2), Workspace: 1, Deadline: f.now.Add(time.Minute), Moved: true})
	is.Equal(moves(f.step(Overflow{Region: west, DataCentres: []string{"north"}, Slots: 5})), []uint64{1})
	is.Equal(moves(f.step(Overflow{Region: west, DataCentres: []string{"north"}, Slots: 5})), nil)
	is.Equal(f.Queued(), 1)
}

func TestOverflowEndsTheDemandHere(t *testing.T) {
	is := is.New(t)
	f := sidesFixture()
	f.wait(1, 1)
	f.step(Overflow{Region: west, DataCentres: []string{"north"}, Slots: 1})
	f.wait(1, 1) // doubled
	is.Equal(f.Queued(), 0)
	is.Equal(granted(f.finish(901, v1.Outcome_SERVED)), config.ID(0))
	f.now = f.now.Add(time.Hour)
	is.Equal(len(f.step(Tick{})), 0) // its deadline is gone as well
}

// TestOverflowLeavesCountersAsTheyWere checks the counters, and that the level
// to which other workspaces are lifted later has not risen either.
func TestOverflowLeavesCountersAsTheyWere(t *testing.T) {
	is := is.New(t)
	f := sidesFixture()
	f.wait(2, 11, 12, 13, 14)
	before := f.Counters()
	f.step(Overflow{Region: west, DataCentres: []string{"north"}, Slots: 4})
	for i, c := range f.Counters() {
		is.Equal(c.Value, before[i].Value)
	}
	f.wait(1, 1)
	is.Equal(f.Counter(1).Value, before[0].Value)
}
