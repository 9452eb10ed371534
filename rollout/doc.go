// Package rollout decides which configuration revision a router has in force and when the
// router reads the platform.
//
// # Order of versions
//
// The platform numbers revisions. A Version is a revision and the digest of its payload.
// Versions are ordered by revision, then by digest. A Tracker only moves from one accepted
// version to a higher one, so a stale replica of the platform, a slow router or a repeated
// message cannot bring an older configuration back. If one revision exists with two payloads,
// all routers converge on the accepted payload with the higher digest and report a Conflict.
//
// # Acceptance
//
// Whether a payload is accepted depends on its bytes alone, so all routers accept the same
// versions. A rejected version does not change the one in force. It is reported once and is
// neither evaluated nor fetched again.
//
// # Propagation between routers
//
// Routers exchange the version in force together with their other state (see package fleet).
// A router that learns of a higher version from a peer fetches the configuration from that
// peer. So it is enough that the platform answers one router: all routers that can be reached
// from there, directly or through others, get the configuration.
//
// A fetch transfers the whole payload. With 3,500 workspaces, fetches are the largest part of
// a router's control traffic (TestPayloadAtFullSize measures them). Fetching only the
// differences would reduce it.
//
// # Start
//
// A Tracker stores nothing between runs. It starts in StateStarting without a configuration
// and queries all reachable peers for their versions. It becomes StateReady once a
// configuration is in force, each peer has answered within AnswerMaxAge and no peer has a
// higher version. Peers that do not answer delay this by at most ReadyWait, counted from the
// first configuration in force. So the first configuration that the router serves with is at
// least as high as what any answering peer had in force AnswerMaxAge earlier. The state never
// goes back to StateStarting.
//
// # Reads of the platform
//
// Every call of the platform counts against its rate limit, also a call that waits for a
// change. All readers together may make about 2,000 calls a second. If each of 330 routers
// watched the configuration and the instance list, and each watch returned after 30 s, the
// routers would make 22 calls a second, but each change would cause 660 calls at once.
// Instead, a few routers of each availability zone watch. A Reader selects them by rendezvous
// hashing over the reachable routers of the zone. The other routers poll every
// FallbackInterval, with jitter, in case the watchers get no answer from the platform, a stale
// one, or disagree on who watches. With 10 zones, 2 watchers in each zone and 2 values, 40
// watches of 30 s make 1.3 calls a second, and 620 polls every 20 s make 31 a second.
// TestPlatformCallRateAtFullSize measures the sum. It grows by 0.1 calls a second with each
// router.
//
// Tracker and Reader are state machines without goroutines, clocks or sockets: the caller
// passes in the time and the source of random numbers. They are not safe for concurrent use.
package rollout
