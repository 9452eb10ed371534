package fairshare

import "slices"

// MaxMinLevel returns the level of the max-min fair division of a capacity among demands:
// each demand below the level is met in full and all others get the level. It returns
// false if the capacity meets every demand. Demands are not changed. The function is safe
// for concurrent use.
func MaxMinLevel(capacity float64, demands []float64) (float64, bool) {
	sorted := slices.Sorted(slices.Values(demands))
	remaining := capacity
	for i, demand := range sorted {
		level := remaining / float64(len(sorted)-i)
		if demand > level {
			return level, true
		}
		remaining -= demand
	}
	return 0, false
}
