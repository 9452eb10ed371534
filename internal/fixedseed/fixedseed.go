// Package fixedseed makes the property tests of a package draw the same cases in every run.
// Test packages import it for its side effect. The flag -rapid.seed still overrides the seed.
package fixedseed

import (
	"flag"

	// Registers the flag that init sets.
	_ "pgregory.net/rapid"
)

const (
	seedFlag = "rapid.seed"
	seed     = "20261203"
)

func init() {
	if err := flag.Set(seedFlag, seed); err != nil {
		panic("fixedseed: " + err.Error())
	}
}
