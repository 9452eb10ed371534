// Package requestkey is a ledger that keeps a non-idempotent request from
// running more than once when its caller sends it again, through any router.
//
// A request is identified by its workspace and its key. There are two kinds
// of keys.
//
// An issued key names the router, the incarnation and the time that issued
// it. Only that incarnation dispatches it, and it remembers the key until the
// key expires. Every other router forwards to it; if it is gone the outcome
// is UNKNOWN. Nothing has to be agreed between routers.
//
// A caller-chosen key belongs to one router of each revision of the
// platform's instance list, found by rendezvous hashing over the list's live
// routers. Ownership is a function of the revision alone.
//
// # The rule for caller-chosen keys
//
// L is Options.Lifetime, R is Options.Right, e is Options.ClockError. A list
// of revision v carries as_of, a time at which it was the platform's list.
// An incarnation begins a key at its clock's time t only if, for the list of
// the highest revision v that it knows,
//
//  1. the list makes this incarnation the owner, and t < as_of(v) + R;
//  2. it has not promised the key to a revision above v;
//  3. it has no record of the key from the last L; and
//  4. for every revision u < v each other incarnation that u makes the owner
//     is cleared: it has answered that it has no record and will not begin
//     the key under a revision below v (ClaimReply), or it has stopped and
//     handed over its ledger and its records of the key have come here
//     (HandOver), or u is over.
//
// Revision u is over for a key if no incarnation can have begun the key under
// it within the last L. With end(u) = as_of(w) + R, where w is the lowest
// known revision above u, that is so if t > end(u) + L + 2e, or if the key is
// a UUIDv7 whose time lies after end(u) + 2e. A known restart of the owner
// makes end(u) the time of that knowledge, if it is earlier.
//
// Revisions that this router does not know, between those that it knows or
// before them, have owners that it cannot ask; they must be over. Lists learned
// from peers close such gaps. A router without memory knows no revision
// before its first list, so that it refuses all but keys proved younger,
// until it has learned the lists of the last L + R from its peers.
//
// # Proof that a key is begun at most once within L
//
// Let A begin the key under u and B under v within L of A, A and B being
// different incarnations. One revision has one owner, so u differs from v;
// let u < v.
//
// B cleared the owner of u, which is A, or u was over for B. If A answered
// B's claim before it began, it had promised the key to v and step 2 stopped
// it. If it answered afterwards it returned its record, and B began nothing.
// The same holds for a hand-over, before which A ceases to begin keys. The
// successor of a key is found by the one list that A names, so that exactly one
// router has A's records of the key. If that router stops in turn, it passes
// them on with its own, and if it answers a claim without a record, neither it
// nor A had one. A stopped router takes no hand-over, so that such a chain has
// an end.
//
// If u was over for B: A began at a time of its clock below as_of(u) + R,
// which is at most as_of(w) + R = end(u), as u had been replaced when w was
// true. Clocks being within e of true time, A began before end(u) + e in true
// time. In the first case B began after end(u) + L + e in true time, more
// than L after A. In the second case the key was made after end(u) + e in true
// time, so that A cannot have begun it. A restarted incarnation begins nothing
// after its restart is known, and the same comparison holds with that time.
//
// If B began first, A had to begin after B while u < v: then B had cleared A
// as above, and A's promise, its lost right or its hand-over stopped it.
//
// Nothing here needs two routers to know the same list at the same time: a
// lagging router is stopped by its promise, by its right or by its record.
//
// # Assumptions
//
//   - The clocks of routers, of the platform and of callers that make UUIDv7
//     keys are within Options.ClockError of true time. A UUIDv7 from the future
//     proves nothing.
//   - Revisions grow strictly; one revision has one content; as_of is never
//     later than the time at which the list was replaced.
//   - An instance name runs one incarnation at a time, and incarnations grow.
//   - The time passed to Begin is read after the request arrived. MayStart is
//     called directly before the first byte of the request leaves. Between
//     the two calls and the write a process is not paused for longer than
//     Options.StartReserve.
//
// The lifetime is counted from the time passed to Begin. A request that is still executed after
// it no longer protects its key, so deadlines must be shorter.
//
// What is given up: a router that is cut off from the platform for longer
// than R refuses caller-chosen keys (KEY_RIGHT_LAPSED), and after a crash the
// keys of the lost router are refused for R, those without proof of their age
// for R + L (KEY_HISTORY_UNKNOWN). Issued keys have neither cost.
//
// The package holds no goroutine, clock or random source. A Ledger is not safe
// for concurrent use.
package requestkey
