package pool_test

import (
	"fmt"
	"time"

	"github.com/chiveseam/chiveseam/pool"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// The pool has one slot. The second demand waits until the first one is done.
func ExampleScheduler() {
	const target, workspace = 7, 1
	router := pool.Router{Name: "router-1", Incarnation: 1}
	now := time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)
	scheduler := pool.New(pool.Options{})
	scheduler.Step(now, pool.TargetsChanged{Targets: []pool.Target{{ID: target, Slots: 1, Speed: 1}}})
	scheduler.Step(now, pool.WorkspacesChanged{Workspaces: []pool.Workspace{{ID: workspace, Share: 1}}})
	scheduler.Step(now, pool.RouterJoined{Router: router})

	first := pool.DemandID{Router: router, Seq: 1}
	second := pool.DemandID{Router: router, Seq: 2}
	deadline := now.Add(time.Minute)
	show(scheduler.Step(now, pool.Demand{ID: first, Workspace: workspace, Deadline: deadline}))
	show(scheduler.Step(now, pool.Demand{ID: second, Workspace: workspace, Deadline: deadline}))
	now = now.Add(time.Second)
	show(scheduler.Step(now, pool.Done{ID: first, Cost: 120, Outcome: v1.Outcome_SERVED, ServiceTime: time.Second}))
	// Output:
	// demand 1 gets a slot of target 7
	// nothing
	// demand 2 gets a slot of target 7
}

func show(actions []pool.Action) {
	for _, action := range actions {
		if grant, ok := action.(pool.Grant); ok {
			fmt.Printf("demand %d gets a slot of target %d\n", grant.ID.Seq, grant.Target)
		}
	}
	if len(actions) == 0 {
		fmt.Println("nothing")
	}
}
