package configcheck_test

import (
	"fmt"
	"time"

	"github.com/chiveseam/chiveseam/configcheck"
)

// A service that is cold for a time, but states no rate for that time.
func ExampleCheck() {
	c := &configcheck.Configuration{Services: []configcheck.Service{{
		Name:          configcheck.Field[string]{Value: "press", Set: true},
		ColdStart:     configcheck.Field[time.Duration]{Value: 3 * time.Second, Set: true},
		ColdPerSecond: configcheck.Field[float64]{Position: configcheck.Position{Path: "services[0].cold_per_s", Line: 9}},
	}}}
	for _, f := range configcheck.Check(c, configcheck.Options{}) {
		if f.Line == 9 {
			fmt.Printf("line %d: %s: %s: %s\n", f.Line, f.Severity, f.Path, f.Message)
		}
	}
	// Output: line 9: error: services[0].cold_per_s: no rate for cold targets although they are cold for 3s
}
