package fairshare_test

import (
	"fmt"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/fairshare"
)

// Two workspaces with shares 1 and 3 always have waiting requests. Requests of the first
// cost twice as much as those of the second.
func Example() {
	const school, firm = config.ID(1), config.ID(2)
	costs := map[config.ID]int64{school: 200, firm: 100}
	counters := fairshare.New(fairshare.Options{InitialCost: 100})
	counters.Configure(school, 1, "")
	counters.Configure(firm, 3, "")
	counters.MarkBacklogged(school)
	counters.MarkBacklogged(firm)

	received := map[config.ID]int64{}
	for range 700 {
		id, _ := counters.Next("", func(config.ID) bool { return true })
		charge := counters.Start(id, counters.Estimate(id, 0))
		counters.Settle(&charge, costs[id])
		received[id] += costs[id]
	}
	fmt.Println(received[school], received[firm])
	// Output:
	// 20000 60000
}
