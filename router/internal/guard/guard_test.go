package guard

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/router/internal/dispatch"
	"github.com/chiveseam/chiveseam/router/internal/state"
)

// End returns, and the caller learns of the lost request, only after the loss was
// announced to the other routers. Otherwise the caller could repeat the request at a
// router that does not know of the loss.
func TestLossIsAnnouncedBeforeEndReturns(t *testing.T) {
	is := is.New(t)
	store := state.NewStore(state.Member{Name: "a"})
	announced := &v1.PeerState{}
	var g *Guard
	g = New("a", store, func(context.Context) bool { g.Fill(announced); return true })
	begin := func() {
		suspect, refusal := g.Begin(t.Context(), 7, time.Now().Add(time.Minute))
		is.True(!suspect)
		is.Equal(refusal, nil)
	}

	begin()
	g.End(7, 1, dispatch.EndedAnswered)
	is.Equal(len(announced.Suspects), 0)

	begin()
	g.End(7, 1, dispatch.EndedCrashed)
	is.Equal(len(announced.Suspects), 1)
	is.Equal(announced.Suspects[0].LostTargets, []uint32{1})
}

// A suspect that cannot start before its deadline is refused at the deadline.
func TestSuspectWaitsNoLongerThanItsDeadline(t *testing.T) {
	is := is.New(t)
	g := New("a", state.NewStore(state.Member{Name: "a"}), func(context.Context) bool { return false })
	g.End(7, 1, dispatch.EndedCrashed)
	_, refusal := g.Begin(t.Context(), 7, time.Now())
	is.Equal(refusal.Code, v1.Code_DEADLINE_EXCEEDED)
	is.Equal(refusal.Ran, v1.Ran_NO)
}

// A suspect runs as soon as all other routers have answered its announcement.
func TestSuspectRunsOnceItIsAnnounced(t *testing.T) {
	is := is.New(t)
	announcements := 0
	g := New("a", state.NewStore(state.Member{Name: "a"}), func(context.Context) bool {
		announcements++
		return true
	})
	g.End(7, 1, dispatch.EndedCrashed)
	suspect, refusal := g.Begin(t.Context(), 7, time.Now().Add(time.Minute))
	is.Equal(refusal, nil)
	is.True(suspect)
	is.Equal(announcements, 2) // one of the loss and one of the run
	is.True(g.Confirm(7))
}
