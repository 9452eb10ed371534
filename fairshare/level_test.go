package fairshare_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chiveseam/chiveseam/fairshare"
)

func TestMaxMinLevelMeetsSmallDemandsFirst(t *testing.T) {
	is := is.New(t)
	level, scarce := fairshare.MaxMinLevel(10, []float64{1, 2, 20, 30})
	is.True(scarce)
	is.Equal(level, 3.5)
	_, scarce = fairshare.MaxMinLevel(100, []float64{1, 2, 20, 30})
	is.True(!scarce)
}

// The demands, each cut at the level, add up to the capacity if that is scarce.
func TestMaxMinLevelUsesTheWholeCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		demands := rapid.SliceOfN(rapid.Float64Range(0, 1e6), 1, 40).Draw(t, "demands")
		capacity := rapid.Float64Range(1, 1e7).Draw(t, "capacity")
		level, scarce := fairshare.MaxMinLevel(capacity, demands)
		total, given := 0.0, 0.0
		for _, d := range demands {
			total += d
			given += min(d, level)
		}
		if !scarce {
			is.True(total <= capacity*(1+1e-6))
			return
		}
		is.True(given > capacity*(1-1e-6) && given < capacity*(1+1e-6))
	})
}
