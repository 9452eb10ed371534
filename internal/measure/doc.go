// Package measure simulates routers, schedulers and targets in virtual time around the
// real pool.Scheduler, deal.Holder and deal.Dealer. It reports the fairness between
// workspaces, the use of capacity and the control traffic. Command
// internal/cmd/measure prints the tables.
//
// An engine is a target with slots and a speed. A request occupies a slot for its cost
// divided by the rate of the slot. Messages between routers and schedulers take a fixed
// time. All events are in one heap, ordered by time and then by the order of their
// creation, and all random numbers derive from one seed, so that runs with the same
// arguments give the same results.
package measure
