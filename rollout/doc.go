// Package rollout decides which configuration revision a router has in force.
//
// # Order
//
// The platform numbers revisions. A Version is a revision and the digest of its
// payload; versions are ordered by revision, then by digest. A Tracker moves
// from one accepted version to a higher one only, so no stale replica, slow
// router or repeated message takes a configuration back. If one revision is
// seen with two payloads, all routers settle on the accepted one with the
// higher digest, and report a Conflict.
//
// # Acceptance
//
// Whether a payload is accepted is a pure function of its bytes, so all routers
// judge alike. A rejected version leaves the one in force alone, is reported
// once, and is neither judged nor fetched again.
//
// # Spread
//
// Routers tell each other the version in force with their other state (see
// package fleet). A router that sees a higher version than its own at a peer
// fetches it there. So one router that the platform answers is enough for all
// that it can reach, directly or through others.
//
// A fetch carries the whole payload. With 3,500 workspaces that is the largest
// part of a router's control traffic (TestPayloadAtFullSize measures it): a
// fetch of differences would cut it.
//
// # Start without memory
//
// A Tracker starts in StateUnknown and asks all reachable peers for their
// version. It becomes StateReady once it has a configuration in force, each
// peer has answered within AnswerMaxAge and none has a higher version; peers
// that do not answer hold it up for ReadyWait at most, from its first
// configuration on. So what it serves first is not below what a peer that
// answers had in force AnswerMaxAge earlier. It stays ready.
//
// # Reads of the platform
//
// Each call of the platform counts, a waiting one too, and about 2,000 a second
// are allowed for all readers. If each of 330 routers watched the configuration
// and the instance list and each watch returned after 30 s, 22 calls a second
// would be made, but every change would bring 660 at once. A Reader makes a few
// routers of each zone watch, chosen by rendezvous hashing over the reachable
// routers of the zone; the others poll every FallbackInterval, with jitter, in
// case that the watchers are wrong about the platform or each other. With 10
// zones, 2 watchers a zone and 2 values, 40 watches of 30 s are 1.3 calls a
// second; 620 polls each 20 s are 31 a second: TestReadsAtFullSize measures
// the sum. It grows with the number of routers by 0.1 calls a second each.
//
// Tracker and Reader are pure state machines: time and the source of random
// numbers are passed in, and they have no goroutine, clock or socket. They are
// not safe for concurrent use.
package rollout
