package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/config"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const west = "west"

// twoDataCentres returns a scheduler with one busy target in each of two data centres.
// Workspace 1 may use both, workspace 2 north only and workspace 3 south only. The
// region west has targets in north.
func twoDataCentres(ties int) *fixture {
	f := &fixture{New(Options{InitialCost: 100, Ties: ties}), start}
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
	f.submitWaiting(2, 901)
	f.submitWaiting(3, 902)
	f.setReachableRegions(west)
	return f
}

func (f *fixture) setReachableRegions(names ...string) []Action {
	var regions []Region
	for _, name := range names {
		regions = append(regions, Region{name, []string{"north"}})
	}
	return f.step(RegionsChanged{regions})
}

// submitWaiting submits demands of a workspace with equal deadlines. It returns those
// that are tied.
func (f *fixture) submitWaiting(workspace config.ID, seqs ...uint64) []uint64 {
	var list []uint64
	for _, seq := range seqs {
		list = append(list, tiedSeqs(f.step(Demand{ID: id(seq), Workspace: workspace, Deadline: f.now.Add(time.Minute)}))...)
	}
	return list
}

func tiedSeqs(actions []Action) []uint64 {
	var seqs []uint64
	for _, a := range actions {
		if c, ok := a.(Tie); ok {
			seqs = append(seqs, c.ID.Seq)
		}
	}
	return seqs
}

func TestFirstDemandsOfEachWorkspaceAreTied(t *testing.T) {
	is := is.New(t)
	f := twoDataCentres(2)
	is.Equal(f.submitWaiting(1, 1, 2, 3, 4), []uint64{1, 2})
	is.Equal(f.submitWaiting(2, 21), []uint64{21})
	is.Equal(f.submitWaiting(3, 31), nil) // west has no target in south
	is.Equal(f.Queued(), 6)
	is.Equal(tiedSeqs(f.step(Cancel{id(1)})), []uint64{3}) // west granted it
	is.Equal(tiedSeqs(f.step(Cancel{id(4)})), nil)
}

func TestGrantAllowsNextTie(t *testing.T) {
	is := is.New(t)
	f := twoDataCentres(1)
	is.Equal(f.submitWaiting(1, 1, 2), []uint64{1})
	got := f.finish(901, v1.Outcome_SERVED)
	is.Equal(grantedTarget(got), config.ID(10))
	is.Equal(tiedSeqs(got), []uint64{2})
}

func TestEarlierDeadlineIsTiedNext(t *testing.T) {
	is := is.New(t)
	f := twoDataCentres(1)
	f.submitWaiting(1, 1, 2)
	f.step(Demand{ID: id(3), Workspace: 1, Deadline: f.now.Add(time.Second)})
	is.Equal(tiedSeqs(f.step(Cancel{id(1)})), []uint64{3})
}

func TestDemandOfAnotherRegionIsNotTied(t *testing.T) {
	is := is.New(t)
	f := twoDataCentres(2)
	is.Equal(tiedSeqs(f.step(Demand{ID: id(1), Workspace: 1, Deadline: f.now.Add(time.Minute), Moved: true})), nil)
}

// TestFreeSlotsAttractMoreTies checks that one more demand is tied for each free slot
// that a region reports.
func TestFreeSlotsAttractMoreTies(t *testing.T) {
	is := is.New(t)
	f := twoDataCentres(1)
	is.Equal(f.submitWaiting(1, 1, 2, 3, 4), []uint64{1})
	is.Equal(tiedSeqs(f.step(PeerCounters{Region: west, Version: 1, FreeSlots: 2})), []uint64{2, 3})
	is.Equal(tiedSeqs(f.step(PeerCounters{Region: west, Version: 1, FreeSlots: 9})), nil) // a duplicate
}

// TestManyGrantsElsewhereAttractMoreTies checks that a tenth of the tied demands that
// were withdrawn since the last RegionsChanged is added to Options.Ties, also after the
// next RegionsChanged.
func TestManyGrantsElsewhereAttractMoreTies(t *testing.T) {
	is := is.New(t)
	f := twoDataCentres(1)
	for seq := range uint64(100) {
		f.submitWaiting(1, seq+1)
	}
	for seq := range uint64(3 * withdrawnTiesDivisor) {
		f.step(Cancel{id(seq + 1)})
	}
	is.Equal(f.workspaces[1].tied[west], 1+3)
	f.setReachableRegions(west)
	is.Equal(f.workspaces[1].tied[west], 1+3)
}

// TestTiesAreLostWithTheirRegion checks that demands are tied anew in a region that was
// not reachable for a while, since its scheduler has dropped them.
func TestTiesAreLostWithTheirRegion(t *testing.T) {
	is := is.New(t)
	f := twoDataCentres(2)
	f.submitWaiting(1, 1, 2, 3)
	f.setReachableRegions()
	is.Equal(f.submitWaiting(1, 4), nil)
	is.Equal(tiedSeqs(f.setReachableRegions(west)), []uint64{1, 2})
	is.Equal(tiedSeqs(f.setReachableRegions(west, "east")), []uint64{1, 2}) // ties in east only
}

// TestTiedDemandEndsAtItsDeadline checks that demands that expire no longer count as tied.
func TestTiedDemandEndsAtItsDeadline(t *testing.T) {
	is := is.New(t)
	f := twoDataCentres(1)
	f.submitWaiting(1, 1, 2)
	f.now = f.now.Add(time.Hour)
	f.step(Tick{})
	is.Equal(f.Queued(), 0)
	is.Equal(f.workspaces[1].tied[west], 0)
}
