// Package compose simulates a fleet of routers in virtual time. It connects the
// packages that make the decisions (fleet, rollout, requestkey, quarantine, retry
// and pool) in the way the daemon does. A property test injects random failures and
// checks what these packages guarantee together.
//
// A Simulation holds routers in availability zones, targets and the platform, and it
// records each run of a request at a target. Messages between routers may be lost,
// delayed, duplicated and reordered. Requests that the daemon sends on a TCP
// connection (a forwarded request, the fetch of a configuration, or a request to a
// target) are delivered at most once; their replies may be duplicated. Callers keep
// their connection to a router until the router crashes.
//
// The package uses no sockets, goroutines or wall clocks. Apart from the failures,
// which the test draws, all random numbers derive from Options.Seed.
//
// Spare slots, several regions, streamed answers and cost accounting are not
// simulated.
package compose
