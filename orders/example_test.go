package orders_test

import (
	"fmt"
	"time"

	"github.com/chiveseam/chiveseam/orders"
)

// One router holds the role, asks an engine for its state and orders the
// version that the configuration names.
func ExampleSender() {
	plan := &orders.Plan{
		Revision: 5,
		Engines:  []orders.Engine{{Name: "engine-1", Pool: "chat", Region: "north", Slots: 4, Version: "v2"}},
		Shards:   []orders.Shard{{Regions: []string{"north"}}},
	}
	routers := []orders.Router{{Name: "router-1", Region: "north"}}
	sender := orders.New("router-1", orders.Options{})
	now := time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)
	for range 50 {
		for _, action := range sender.Step(now, orders.Tick{Plan: plan, Routers: routers}) {
			switch a := action.(type) {
			case orders.QueryState:
				state := orders.State{Version: "v1"}
				sender.Step(now, orders.QueryEnded{Target: a.Target, Attempt: a.Attempt, Outcome: orders.Done, State: state})
			case orders.SendOrder:
				fmt.Println(a.Target, a.Order.Kind, a.Order.Version, "revision", a.Order.Fencing.Revision())
				return
			}
		}
		now = now.Add(100 * time.Millisecond)
	}
	// Output:
	// engine-1 load_model v2 revision 5
}
