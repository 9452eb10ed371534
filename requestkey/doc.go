// Package requestkey implements the ledger with which a router keeps a
// non-idempotent request from running more than once when its caller retries it,
// through the same router or another one.
//
// A request is identified by its workspace and its key. To begin a key means to
// decide to dispatch its request and to record that decision. There are two kinds
// of keys.
//
// An issued key contains the name and the incarnation of the router that issued
// it, and the time of issue. Only that incarnation begins it, and it remembers
// the key until the key expires. Every other router forwards the request to it.
// If that incarnation is gone, the request is not dispatched again: a router that
// received the hand-over of its records answers from them, otherwise the outcome
// is UNKNOWN. Issued keys need no agreement between routers.
//
// A caller-chosen key has one owner for each revision of the platform's instance
// list: the live router of that list that rendezvous hashing selects. Ownership
// is a function of the revision alone.
//
// # Rule for caller-chosen keys
//
// L is Options.Lifetime, R is Options.Right and e is Options.ClockError. A list
// has a revision v and a time as_of(v) at which it was the platform's current
// list. A router incarnation begins a key at time t of its clock only if all of
// the following hold, where v is the highest revision that it knows:
//
//  1. The list of revision v makes this incarnation the owner of the key, and
//     t < as_of(v) + R.
//  2. The incarnation has not promised the key to a revision above v.
//  3. It has no record of the key from the last L.
//  4. For each revision u < v that makes another incarnation the owner of the
//     key, that incarnation is cleared or u has expired for the key. The
//     incarnation is cleared if it has answered that it has no record of the key
//     and will not begin it under a revision below v (ClaimReply), or if it has
//     stopped and its records of the key were handed over (HandOver) to this
//     router or to one that has answered so.
//
// Revision u has expired for a key if no incarnation can have begun the key under
// u within the last L. Let w be the lowest known revision above u, and let
// end(u) = as_of(w) + R. Then u has expired if t > end(u) + L + 2e, or if the key
// is a UUIDv7 whose timestamp is later than end(u) + 2e. If the owner under u is
// known to have restarted, the time at which this router learned of the restart
// replaces end(u) if it is earlier.
//
// Revisions that this router does not know, in a gap between two known revisions
// or before the first one, have owners that it cannot ask. They must have expired.
// Lists learned from peers (Ledger.Observe) fill such gaps. A router that has just
// started knows no revision before its first list. Until it has learned the lists
// of the last L + R from its peers, it refuses all keys except those whose
// timestamp proves that they are younger.
//
// # Proof that a key is begun at most once within L
//
// Let A and B be different incarnations, and let A begin the key under revision u
// and B under revision v within L of each other. One revision has one owner of
// the key, so u differs from v; let u < v.
//
// Suppose that A begins first. By step 4, B has cleared A, the owner under u, or u
// has expired for B.
//
//   - B cleared A by a claim. If A answered before it began the key, it had
//     promised the key to v, and step 2 kept it from beginning. If A answered
//     afterwards, it returned its record, and B did not begin the key.
//   - B cleared A by a hand-over. A begins no key after its hand-over starts. It
//     finds the successor of each key by one list, whose revision it sends along,
//     so that exactly one router has A's records of the key. If that router stops
//     in turn, it passes them on with its own, and if it answers a claim without
//     a record, neither it nor A had one. A stopped router accepts no hand-over,
//     so that such a chain has an end.
//   - u has expired for B. A began at a time of its clock below as_of(u) + R. As
//     list u had been replaced when list w was current, as_of(u) <= as_of(w), so
//     that this time is below end(u). Clocks are within e of true time, so A
//     began before end(u) + e in true time. If t > end(u) + L + 2e, B began after
//     end(u) + L + e in true time, more than L after A. If the timestamp of the
//     key is later than end(u) + 2e, the key was made after end(u) + e in true
//     time, so that A cannot have begun it. A restarted incarnation begins nothing
//     after its restart is known, and the same comparison holds with that time.
//
// Suppose that B begins first and A afterwards. When B began, it had cleared A as
// above or u had expired, so that A's promise, the end of its right or its
// hand-over keeps A from beginning the key.
//
// The proof does not need two routers to know the same list at the same time: a
// router with an outdated list is stopped by its promise, by the end of its right
// or by its record.
//
// # Assumptions
//
//   - The clocks of routers, of the platform and of callers that make UUIDv7 keys
//     are within Options.ClockError of true time. A UUIDv7 with a timestamp in the
//     future proves nothing.
//   - Revisions increase strictly, one revision has one content, and as_of is
//     never later than the time at which the list was replaced.
//   - An instance name runs one incarnation at a time, and the incarnation number
//     increases with each start.
//   - The time passed to Ledger.Begin is read after the request arrived.
//     Ledger.MayStart is called directly before the first byte of the request is
//     sent to a target. Between these two calls, and between MayStart and the
//     write, a process is not paused for longer than Options.StartReserve.
//
// The lifetime of a caller-chosen key is counted from the time passed to Begin,
// that of an issued key from its time of issue. A request that still runs after
// the lifetime no longer protects its key, so deadlines of requests must be
// shorter than the lifetime.
//
// # Costs
//
// A router that is cut off from the platform for longer than R refuses
// caller-chosen keys (KEY_RIGHT_LAPSED). After a crash, the keys of the lost
// router are refused for R, and those that do not prove their age for R + L
// (KEY_HISTORY_UNKNOWN). Issued keys have neither cost.
//
// The package starts no goroutines and reads no clock or random source. A Ledger
// is not safe for concurrent use.
package requestkey
