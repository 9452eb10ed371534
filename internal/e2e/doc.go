// Package e2e tests the programs as separate processes on loopback: it starts
// routers, lets processes, connections and the platform fail, and checks what
// callers were told against what the targets executed.
//
// The platform and most targets run inside the test, where their faults can be
// controlled. The package has no code outside its tests.
package e2e
