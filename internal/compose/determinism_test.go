package compose

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// A case that failed can be run again.
func TestSameDrawsSameRun(t *testing.T) {
	is := is.New(t)
	example := rapid.Custom(func(t *rapid.T) Stats {
		s := newScenario(t)
		for range maxSteps {
			s.step()
			s.run(maxPause)
		}
		return s.sim.Stats
	})
	for seed := range 3 {
		is.Equal(example.Example(seed), example.Example(seed))
	}
}
