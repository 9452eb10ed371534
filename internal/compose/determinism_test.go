package compose

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestSameDrawsSameRun checks that a simulation depends only on what the test draws. Otherwise
// a failed case could not be reproduced from its seed, for instance because the order of a
// map's keys changes the order of messages.
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
