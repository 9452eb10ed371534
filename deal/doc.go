// Package deal divides the slots of a pool's targets between the shards of the
// pool.
//
// # Roles
//
// Each workspace belongs to one shard (ShardOf). A shard has a pool.Scheduler
// and a Holder on the router that has the shard's role. One router has the role
// of the pool's Dealer. A Holder sends a Report of what its scheduler wants,
// holds and uses; the Dealer answers with an Allotment of slots by target, which
// the Holder gives to the scheduler. All state is soft, and all parts are state
// machines: time is passed in, and there are no goroutines.
//
// # Division
//
// The workspaces of a shard make up to two claims for each data centre that
// workspaces are restricted to, and two for the unrestricted ones: the
// backlogged ones with the sum of their shares as the weight and their slots in
// use and waiting demands as the need, and those that use slots while nothing
// waits. The slots are divided max-min by weight up to the needs. A backlogged
// claim that is not ahead of the mean gets one slot before that, the furthest
// behind first, so that a shard whose weight makes up less than a slot takes
// turns. Slots that nobody claims are spread: half of them equally, the rest to
// those that hold them. A change of at most 1/32 of what a holder has is left
// out if others need not give way to it.
//
// # Correction by service
//
// Shares of slots are not shares of service: targets differ in speed, and so do
// the estimates of costs. The level of a shard is the mean counter of its
// backlogged workspaces. Its lag x is the mean level of all shards less its own,
// divided by the horizon H, which is Options.Horizon at the mean pace of the
// counters. Its weight is multiplied by 4^x, x limited to -1 and 1. A shard
// whose backlog begins is lifted to the mean, as a workspace is in package
// fairshare. Workspaces of different data centres are compared by the mean
// levels of those.
//
// Let f and g be workspaces of the shards A and B with the same data centre that
// are backlogged over an interval, G(A) and G(B) the bounds of package fairshare
// within the shards, V the fastest rise of a shard's counters, and
//
//	T = Renewal + 2*Interval + two messages + the time in which slots come free
//	L = H + V*T
//
// While the service of a shard's slots is not below a quarter or above four
// times what their share of the slots stands for, at the mean weight of the
// others, the gap is at most
//
//	|S(f)/w(f) - S(g)/w(g)| <= G(A) + G(B) + 4*L
//
// Sketch: a shard that is H behind has four times its weight, hence at least the
// mean service, so that its lag stops to grow once the slots have moved, after
// T, in which it grows by V*T at most. The same holds for a shard that is ahead.
// So each level stays within L of the mean, and the difference of two levels
// changes by at most 4*L. Within a shard, a workspace moves by at most G from
// the level. Each rebuild of a shard or of the dealer within the interval
// forgets the lag and adds at most 2*L.
//
// # Who holds a slot
//
// A Holder lowers what it holds at once and raises it on the dealer's word only.
// For each holder the Dealer knows the most that it may hold or use: the maximum
// of its last report and of all allotments that it may still apply. A slot goes
// to a holder only if these bounds add up to less than the target's slots. So
// one dealer never deals a slot twice, whatever messages are lost, doubled,
// delayed or reordered. Slots in use go over as they come free.
//
//   - An allotment is a lease from the time at which the report that it answers
//     was sent. A holder must be stepped before its scheduler once time has
//     passed: a process that paused lowers its slots before it grants.
//   - A lost holder's slots come back once its lease is over and the next holder
//     of the shard has told which requests are still in flight, or after
//     Options.Reclaim without one.
//   - A dealer without memory answers reports with what holders have, until it
//     knows all shards or any earlier lease is over.
//   - A holder whose lease ends keeps what it has in common with the static
//     division (Static), and takes its whole part of that two renewals later,
//     when the leases of all others are over if the dealer is lost to all.
//   - Two dealers each deal what the shards that report to them do not hold; a
//     slot is then held at most once for each. Shards that are cut off from the
//     dealer use the static division, each slot at most once more. Requests that
//     run when a slot changes hands in these ways end in their own time.
//
// Clocks may run apart by 1/32 of a lease within it.
package deal
