package measure

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRegionsAreWithinBound guards against delivered service outside the bound over regions
// in docs/DESIGN.md, under each load and through each fault. Without the exchange of
// counters, the gap must be larger or the utilisation low.
func TestRegionsAreWithinBound(t *testing.T) {
	is := is.New(t)
	d := loadDeployment(t)
	o := Options{Seeds: 1, Duration: faultTime + 40*time.Second, Warmup: 20 * time.Second, Latency: time.Millisecond}
	for _, load := range regionalLoads {
		exchanging := o.regionRuns(d, load, regionFaults[0], true)[0]
		is.True(exchanging.gaps.maxBoundRatio(exchanging.bound) < 1)
		is.True(exchanging.utilisation > 99)
		isolated := o.regionRuns(d, load, regionFaults[0], false)[0]
		is.True(exchanging.largeGap < isolated.largeGap || isolated.utilisation < 70)
		for _, f := range regionFaults[1:] {
			r := o.regionRuns(d, load, f, true)[0]
			is.True(r.gaps.maxBoundRatio(exchanging.bound) < 1) // within the bound through a fault
		}
	}
}
