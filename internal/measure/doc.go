// Package measure runs the decision core in virtual time and reports its
// fairness, its use of capacity and its control traffic.
//
// Engines are slots with a speed; a request takes its cost divided by the
// speed. Messages between routers and schedulers take a fixed time. All events
// are in one heap, and all random numbers come from one seed, so that a run
// with the same arguments gives the same figures.
package measure
