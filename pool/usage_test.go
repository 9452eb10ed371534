package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/config"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// allot draws how many slots of each target scheduler i may use, and how many of them it
// must give up.
func (m *model) allot(i int) {
	e := SlotsAllotted{Slots: map[config.ID]int{}, Yield: map[string]int{}}
	for _, t := range m.targets {
		e.Slots[t.ID] = m.rng.IntN(t.Slots + 1)
		e.Yield[t.DataCentre] = m.rng.IntN(3)
	}
	m.step(i, e)
}

// TestAllottedSlots checks that only allotted slots are granted, and that a demand waits
// instead of being refused while none are allotted.
func TestAllottedSlots(t *testing.T) {
	is := is.New(t)
	f := newFixture(Options{}, Target{ID: 10, Zone: "z1", Slots: 3, Speed: 1})
	f.step(SlotsAllotted{})
	is.Equal(len(f.submit(1, time.Minute)), 0)
	is.Equal(grantedTarget(f.step(SlotsAllotted{Slots: map[config.ID]int{10: 1}})), config.ID(10))
	is.Equal(len(f.submit(2, time.Minute)), 0)
	is.Equal(f.Usage().Busy, map[config.ID]int{10: 1})
	is.Equal(f.Usage().Backlogs, []Backlog{{Share: 1, Need: 2, Level: f.Counter(1).Value}})
	f.step(Cancel{ID: id(2)})
	is.Equal(f.Usage().Backlogs, []Backlog{{ActiveShare: 1, Active: 1}})
}

// TestYieldedSlots checks that slots to yield are given up as they become free, before
// waiting demands get them.
func TestYieldedSlots(t *testing.T) {
	is := is.New(t)
	f := newFixture(Options{}, Target{ID: 10, Zone: "z1", DataCentre: "north", Slots: 2, Speed: 1})
	for seq := uint64(1); seq <= 3; seq++ {
		f.submit(seq, time.Minute)
	}
	both := map[config.ID]int{10: 2}
	is.Equal(len(f.step(SlotsAllotted{Slots: both, Yield: map[string]int{"north": 1}})), 0)
	is.Equal(len(f.finish(1, v1.Outcome_SERVED)), 0)
	is.Equal(f.Usage().Yielded, map[config.ID]int{10: 1})
	is.Equal(grantedTarget(f.finish(2, v1.Outcome_SERVED)), config.ID(10))
	is.Equal(grantedTarget(f.step(SlotsAllotted{Slots: both})), config.ID(0))
	is.Equal(len(f.Usage().Yielded), 0)
	is.Equal(grantedTarget(f.submit(4, time.Minute)), config.ID(10))
}

// TestReducedAllotmentRevokesSpares checks that spare slots are revoked when they are no
// longer allotted.
func TestReducedAllotmentRevokesSpares(t *testing.T) {
	is := is.New(t)
	f := newFixture(Options{MaxSpares: 1}, Target{ID: 10, Zone: "z1", Slots: 4, Speed: 1})
	f.submit(1, time.Minute)
	is.Equal(f.Status().SpareSlots, 1)
	actions := f.step(SlotsAllotted{Slots: map[config.ID]int{10: 1}})
	is.Equal(len(actions), 1)
	_, revoked := actions[0].(RevokeSpare)
	is.True(revoked)
}
