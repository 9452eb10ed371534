// Package compose joins the decision packages (fleet, rollout, requestkey,
// quarantine, retry, pool) as the daemon does, in virtual time, so that a
// property test can check their promises together under drawn failures.
//
// A World holds routers in availability zones, targets that record what they
// run, and the platform. Messages between routers may be lost, delayed,
// doubled and reordered; a stream that the daemon takes from TCP, such as a
// forwarded request or the request to a target, is at most delivered once.
// Callers keep their connection to a router until it crashes.
//
// There are no sockets, goroutines or clocks. All randomness beyond the
// schedule of failures comes from one seed.
//
// Spare slots, several regions, streamed answers and cost accounting are left
// out.
package compose
