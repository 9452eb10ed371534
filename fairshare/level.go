package fairshare

import "slices"

// Level returns the max-min level of a capacity that is divided among demands:
// each demand below the level is met in full, all others get the level. It
// returns false if the capacity meets every demand. Demands are not changed.
func Level(capacity float64, demands []float64) (float64, bool) {
	sorted := slices.Sorted(slices.Values(demands))
	left := capacity
	for i, demand := range sorted {
		level := left / float64(len(sorted)-i)
		if demand > level {
			return level, true
		}
		left -= demand
	}
	return 0, false
}
