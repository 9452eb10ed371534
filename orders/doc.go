// Package orders decides which orders a router sends to engines: to load a
// model version or an adapter, or to change role. It compares the desired state
// of the configuration with the state that each engine reports and sends the
// orders that lead from one to the other, again and again, so that lost,
// doubled and late orders do no lasting harm.
//
// # Fencing numbers
//
// The high bits of a fencing number are the configuration's revision and the
// low SequenceBits are a sequence number: one more than the number that the
// engine reported, as long as that has the same revision. An engine that checks
// numbers thus refuses every order of an older configuration, and also an order
// of the same configuration that arrives after a later one, for instance a
// doubled load of a version, which would drop the adapters loaded since. The
// number needs no state of the sender: a router that takes the role over goes
// on from what the engine reports. Two senders of one revision that read the
// same report send the same order with the same number, which is idempotent. A
// sequence that reaches its end stays there; orders of that revision then lose
// the protection against each other, but not against older revisions.
//
// An engine that ignores numbers may carry out an old order. The sender sees
// the difference at its next query and orders the desired state again. A router
// whose configuration is older than the revision that an engine reports sends
// that engine nothing and counts it in Status.Ahead.
//
// # One sender
//
// One router sends all orders of a shard. It is chosen by rendezvous hashing
// over the reachable routers of the shard's regions. Its role is evaluated in
// the same step that sends. After it gained the role, or a pause of its
// process, a router waits for Options.Settle before it sends.
//
// # Weight store
//
// The limits of the weight store hold across the fleet although routers share
// no state, since the sender of a shard counts the loads of the shard itself.
// The ways that were weighed:
//
//   - One sender for each engine and a share of the limits for each live
//     sender: with fewer permitted loads than senders most shares are zero, and
//     a share of a sender that has nothing to load is lost.
//   - One sender for each engine and one router that grants permits: two more
//     messages for each load and a lease for each permit, whose holder may die.
//   - One sender for the loads of the whole fleet: exact and work-conserving,
//     but one router then queries all engines of all regions.
//   - One sender for each shard, as here: the regions are dealt out to as many
//     shards as the limits can be divided into, at most one for each region.
//     The division is a function of the configuration. With one region it is
//     the way before; with many, a shard without work leaves its part unused.
//
// The sender also sees all engines of a pool in its regions, which bounds how
// many are reloaded at the same time.
//
// With one holder of each shard the loads in progress and the bytes admitted
// stay within the limits. They may be exceeded in these cases:
//
//   - Routers that do not see each other hold the role at the same time: k
//     holders admit at most k times the limits, for as long as their views
//     differ.
//   - The role moves while loads are in progress: these go on beside those of
//     the new holder, until they end. A new holder waits for Options.Settle and
//     its byte budget starts empty.
//   - An order is carried out after its timeout, or twice: one load more for
//     each such order.
//
// All state is passed in and out of Sender.Step. The package starts no
// goroutine and reads no clock.
package orders
