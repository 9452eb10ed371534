// Package fairshare keeps a virtual service counter for each workspace and
// tells which backlogged workspace is served next.
//
// The algorithm is the Virtual Token Counter (Sheng et al., "Fairness in
// Serving Large Language Models", OSDI 2024), a form of start-time fair
// queueing for requests whose cost is known only when they end. A counter is
// the service charged to a workspace divided by its share. A free slot goes to
// the backlogged workspace with the least counter. A workspace that becomes
// backlogged is lifted to the least counter among the backlogged, so that idle
// time earns no credit.
//
// The package departs from the paper in these points:
//
//   - An estimate is charged at the grant: the moving mean of the workspace's
//     costs, at most the request's hint. Cost beyond the estimate is charged as
//     it is reported, the difference is settled at the end, and what did not
//     run is refunded. A refund of a request granted before the workspace's
//     last lift is dropped, since the lift has absorbed it.
//   - While no workspace is backlogged, the lift goes to the counter that the
//     last grant started from, instead of that of the last workspace served.
//   - Workspaces form groups. Those of a named group compete for the capacity
//     of that group, those of the empty group for all capacity. A lift looks at
//     the competitors only; for the empty group it is the greatest of the lifts
//     of the named groups.
//   - Counters of several holders merge by maximum. A merge, and service in
//     other regions, move a workspace at most MaxLead from its competitors, so
//     that clocks which ran apart starve nobody.
//
// # Bound on the service gap
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
// a later grant adds at least what its settlement takes back. If f had no grant
// within the interval, its counter is that of its lift, the least of the
// backlogged, or that of its last grant before, to which the same holds with
// the lift in place of C(g). This gives the first line. The counter differs
// from delivered service by the lifts, of which there are none while
// backlogged, and by charged minus delivered cost of the requests in flight,
// which lies between -M*X and M*Y. Taking the difference of the first line at
// both ends of the interval, in both directions, gives the second.
//
// A rebuild from counters that routers saw at their last grants misses what was
// charged since: the requests in flight. Each rebuild within the interval
// therefore adds at most
//
//	2*D(f,g) + M(f)*(Y(f)+X(f))/w(f) + M(g)*(Y(g)+X(g))/w(g) + MaxLead
//
// Nobody starves: a backlogged workspace is chosen at the latest when the
// counters of all others are above its own, hence after at most n*D of virtual
// service among n workspaces.
//
// A Counters is not safe for concurrent use. It starts no goroutine and reads
// no clock.
package fairshare
