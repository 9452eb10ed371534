// Package deal divides the slots of a pool's targets between the shards of the
// pool. A slot is the capacity of a target for one request at a time.
//
// # Roles
//
// Each workspace belongs to one shard of its pool (ShardOf). The router that has
// the role of a shard runs a pool.Scheduler and a Holder for it. One router has
// the dealer role of the pool and runs its Dealer, the central allocator of slots.
// A Holder sends a Report of the slots that its scheduler needs, holds and uses.
// The Dealer answers with an Allotment of slots by target, which the Holder passes
// to the scheduler. All state is soft: it is rebuilt from messages after a restart.
// Holder and Dealer are state machines: the time is passed in, and they start no
// goroutines.
//
// # Division
//
// For each data centre that workspaces are restricted to, and for the
// unrestricted workspaces, a shard has up to two claims to slots. One claim stands
// for the backlogged workspaces: its weight is the sum of their shares, its need
// is the number of their slots in use and of their waiting demands. The other
// stands for the workspaces that use slots while none of their demands waits.
//
// The slots are divided between the claims by weighted max-min fairness, up to the
// needs. Before that, each backlogged claim that is not ahead of the mean gets one
// slot, the claims furthest behind first. This way a shard whose weight amounts to
// less than one slot gets a slot from time to time. Slots that no claim needs are
// divided between the holders: half of them equally, the rest to the holders that
// have them already. A holder keeps what it has if the division changes its number
// of slots by at most 1/32, unless other holders would have to make up for that.
//
// # Correction by service
//
// Equal numbers of slots do not mean equal service, since targets differ in speed
// and the estimates of costs are inexact. The level of a shard is the mean counter
// of service of its backlogged workspaces (package fairshare). Its lag x is the
// mean level of all backlogged shards minus its own level, divided by the horizon
// H, which is Options.Horizon in counter units at the mean rate at which counters
// rise. Both means are weighted by share. The weight of the shard is multiplied by
// 4^x, with x limited to [-1, 1]. A shard whose backlog begins is lifted to the
// mean, as a workspace is in package fairshare. Workspaces of different data
// centres are compared by the mean levels of these data centres.
//
// Let f and g be workspaces of the shards A and B with the same data centre that
// are backlogged over an interval, S(f) the service that f receives in it and w(f)
// its share. Let G(A) and G(B) be the bounds of package fairshare within the
// shards, V the fastest rise of a shard's counters, and
//
//	T = Renewal + 2*Interval + two messages + the time in which slots come free
//	L = H + V*T
//
// While the service of a shard's slots stays between a quarter of and four times
// what its part of all slots stands for, at the mean weight of the others, the gap
// is at most
//
//	|S(f)/w(f) - S(g)/w(g)| <= G(A) + G(B) + 4*L
//
// Sketch of a proof: a shard that is H behind has four times its weight and so at
// least the mean service. Its lag stops growing once the slots have moved, which
// takes T, and grows by at most V*T until then. The same holds for a shard that is
// ahead. So each level stays within L of the mean, and the difference of two
// levels changes by at most 4*L. Within a shard, the counter of a workspace moves
// by at most G from the level. Each new holder of a shard and each new dealer
// within the interval forgets the lag and adds at most 2*L.
//
// # Who holds a slot
//
// While its lease holds, a Holder gives up slots at once and gets more slots only
// by an Allotment. For each holder and target, the Dealer knows an upper bound of
// the slots that the holder may hold or use: the maximum of its last report and of
// all allotments that it may still apply. The Dealer gives a slot to a holder only
// if the sum of these bounds is below the number of slots of the target. So a
// single dealer never deals a slot twice, whichever messages are lost, duplicated,
// delayed or reordered. A slot in use moves to another holder when its request
// ends.
//
//   - An allotment is a lease that starts when the report that it answers was sent.
//     After time has passed, the Holder must be stepped before its scheduler, so
//     that a process that was paused gives up expired slots before it grants any.
//   - The slots of a lost holder are dealt again when its lease has ended and the
//     next holder of the shard has reported which requests are still in flight. If
//     no other holder reports, they are dealt again after Options.Reclaim.
//   - A dealer that has just started answers a report with the slots that the
//     holder has, until all shards have reported or all leases of an earlier dealer
//     must have ended.
//   - A holder whose lease ends keeps the slots that are also in its part of the
//     static division (StaticDivision). It takes that whole part two renewals
//     later, when the leases of all other holders have ended too if all of them
//     have lost the dealer.
//   - If there are two dealers, each deals the slots that the shards reporting to
//     it do not hold. A slot is then held at most once for each dealer. Shards that
//     are cut off from the dealer use the static division, in which each slot is
//     held at most once more. Requests that run when a slot changes hands in these
//     ways are not cut off.
//
// Within a lease, clocks may drift apart by 1/32 of it.
package deal
