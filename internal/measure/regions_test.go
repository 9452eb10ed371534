package measure

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRegionsAreWithinBound checks the bound over regions of docs/DESIGN.md
// under each load and through each fault, and that regions without exchange
// are further from it.
func TestRegionsAreWithinBound(t *testing.T) {
	is := is.New(t)
	d := deployment(t)
	o := Options{Seeds: 1, Duration: faultAt + 40*time.Second, Warmup: 20 * time.Second, Latency: time.Millisecond}
	for _, load := range regionalLoads {
		joined := o.regionRuns(d, load, regionFaults[0], true)[0]
		is.True(joined.gaps.ofBound(joined.bound) < 1)
		is.True(joined.utilisation > 99)
		alone := o.regionRuns(d, load, regionFaults[0], false)[0]
		is.True(joined.gapLarge < alone.gapLarge || alone.utilisation < 70)
		for _, f := range regionFaults[1:] {
			r := o.regionRuns(d, load, f, true)[0]
			is.True(r.gaps.ofBound(joined.bound) < 1) // bound through a fault
		}
	}
}
