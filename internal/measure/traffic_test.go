package measure

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestTrafficIsDeterministic checks that the traffic depends on the fleet and the seed only,
// and that a longer window merges messages into fewer segments.
func TestTrafficIsDeterministic(t *testing.T) {
	is := is.New(t)
	fleet := Fleet{Routers: 6, Pools: 2, Targets: 24, Workspaces: 16}
	first := MeasureTraffic(fleet, 1)
	is.Equal(first, MeasureTraffic(fleet, 1))
	fleet.Window = 50 * time.Millisecond
	is.True(MeasureTraffic(fleet, 1).PerRequest.Segments < first.PerRequest.Segments)
}
