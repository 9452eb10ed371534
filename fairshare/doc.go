// Package fairshare decides which of the workspaces with waiting requests is
// served next, so that each receives service in proportion to its share.
//
// The algorithm is the Virtual Token Counter (Sheng et al., "Fairness in
// Serving Large Language Models", OSDI 2024), a form of start-time fair
// queueing for requests whose cost is known only when they end. Each workspace
// has a counter: the cost charged to it divided by its share. A free slot goes
// to the workspace with the least counter among the backlogged ones, which are
// those with waiting requests. A workspace that becomes backlogged is lifted:
// its counter is raised to the least counter of the backlogged workspaces, so
// that idle time earns no credit.
//
// The package departs from the paper in these points:
//
//   - An estimate of the cost is charged when a slot is granted: the moving mean
//     of the workspace's costs, at most the hint of the request. Cost above the
//     estimate is charged as it is reported, the difference is charged or
//     refunded at the end, and the charge of a request that did not run is
//     refunded. A refund is dropped if the workspace was lifted after the grant
//     of the request, since the lift has replaced the counter to which the
//     charge was added.
//   - If no workspace is backlogged, a lift raises the counter to the one that
//     the last grant started from, instead of that of the last workspace served.
//   - Workspaces form groups. Those of a named group compete for the capacity
//     of that group, those of the empty group for all capacity. A lift compares
//     a workspace with its competitors only. In the empty group the lift is the
//     greatest of the lifts of the named groups that have capacity
//     (SetGroupsWithCapacity).
//   - Several schedulers can hold counters of the same workspaces, such as the
//     scheduler of each region or one that replaces another. Within a region,
//     the counters of two holders are merged by taking the maximum. A merge, and
//     service in other regions, leave a workspace at most MaxLead away from its
//     competitors, so that no workspace starves after the counters of two
//     holders have diverged.
//
// # Bound on the difference in service
//
// For a workspace f let w(f) be its share, M(f) the largest number of slots it
// holds at the same time, E(f) the largest charge at a grant, P(f) the largest
// upward and R(f) the largest downward correction of one request's charge after
// its grant, X(f) the largest cost of one request that was delivered and is not
// charged yet, and Y(f) the largest cost of one request that is charged and was
// not delivered yet. If L is the largest cost of a request and G the largest
// charge, then P <= max(L, G), X <= L, and R and Y <= G. Let f and g be any two
// workspaces that may use the same slots, both backlogged without a break over
// an interval without merge, and let S be the service delivered within the
// interval. Then with
//
//	D(f,g) = (E(f) + M(f)*P(f))/w(f) + M(g)*R(g)/w(g)
//
// the counters satisfy C(f) - C(g) <= D(f,g) at every moment, and
//
//	|S(f)/w(f) - S(g)/w(g)| <= D(f,g) + D(g,f)
//	                         + M(f)*(Y(f)+X(f))/w(f) + M(g)*(Y(g)+X(g))/w(g)
//
// Proof sketch. Let t0 be the last grant to f. Just before it C(f) <= C(g),
// because f was chosen. From then on C(f) rises by the estimate of that grant
// and by the upward corrections of at most M(f) requests in flight. C(g) falls
// only by downward corrections of the at most M(g) requests in flight at t0:
// a later grant adds at least what its settlement refunds. If f had no grant
// within the interval, its counter is that of its lift, the least of the
// backlogged, or that of its last grant before the interval, to which the same
// holds with the lift in place of C(g). This gives the first inequality. The
// counter differs from delivered service by the lifts, of which there are none
// while the workspace is backlogged, and by charged minus delivered cost of the
// requests in flight, which lies between -M*X and M*Y. The difference of the
// first inequality at both ends of the interval, in both directions, gives the
// second.
//
// Counters that are rebuilt from those that routers saw at their last grants
// lack what was charged since: the requests in flight. Each rebuild within the
// interval therefore adds at most
//
//	2*D(f,g) + M(f)*(Y(f)+X(f))/w(f) + M(g)*(Y(g)+X(g))/w(g) + MaxLead
//
// No workspace starves: a backlogged workspace is chosen at the latest when the
// counters of all others are above its own, hence after at most n*D of virtual
// service among n workspaces.
//
// Counters is not safe for concurrent use. The package starts no goroutine and
// reads no clock.
package fairshare
