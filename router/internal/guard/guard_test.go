package guard

import (
	"context"
	"testing"

	"github.com/matryer/is"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/router/internal/state"
)

// The caller is told of a lost request only once the other routers know of
// the loss.
func TestLossIsAnnouncedBeforeEndReturns(t *testing.T) {
	is := is.New(t)
	store := state.NewStore(state.Member{Name: "a"})
	announced := &v1.PeerState{}
	var g *Guard
	g = New("a", store, func(context.Context) { g.Fill(announced) })

	is.Equal(g.Begin(t.Context(), 7), nil)
	g.End(7, 1, false, true)
	is.Equal(len(announced.Suspects), 0)

	is.Equal(g.Begin(t.Context(), 7), nil)
	g.End(7, 1, true, false)
	is.Equal(len(announced.Suspects), 1)
	is.Equal(announced.Suspects[0].LostTargets, []uint32{1})
}
