// Package e2e tests the programs as separate processes on loopback: it starts
// routers, lets processes, connections and the platform fail, and compares the
// results that callers got with the operations that the targets executed.
//
// The platform and most targets run inside the test, where their faults can be
// controlled. The package has no code outside its tests.
package e2e
