// Package fleet holds one router's view of the fleet: which instances exist,
// which of them leave, and which routers can be reached.
//
// # Sources
//
// A View is fed from three sources, none of which is trusted alone: the
// platform's instance list, which lags and may be served by an old replica;
// the messages of other routers (PeerState); and the results of the router's
// own contacts. Nothing is stored: a restarted View starts empty and gets all
// from the first router that answers.
//
// # Rules
//
//   - A higher incarnation of an instance supersedes lower ones.
//   - A leaving mark holds for an incarnation for good, whatever a list says
//     later. It covers all lower incarnations too.
//   - The revision of the instance list never decreases. Lists travel between
//     routers, so a router that the platform does not answer follows the newest
//     list that any router it reaches has. Without any, the last list holds.
//   - A router that is silent for SuspectAfter is not reachable and gets no
//     role. It stays known and is reachable again on contact.
//   - A router that is not in the list (it started after it, or was dropped
//     from it) announces itself every BeatInterval with a growing beat. It is
//     a member until no new beat has come for ForgetAfter; then it is probed
//     now and then for MarkRetention, so that the sides of a long partition
//     meet again.
//
// # Who contacts whom
//
// A full mesh of heartbeats grows with the fleet. At 330 routers and one
// heartbeat a second for each pair, a router sends and receives about 330
// messages a second in each direction. With 52 B of TCP/IP headers, 9 B of
// framing and 50 B of content each that is 36 KB/s, against the 3 KB/s that a
// node may spend on all control.
//
// So the members are ordered on Rings rings, each by a hash of its own, and a
// router watches its successor on each ring: three heartbeats a second sent
// and three answered, whatever the size of the fleet. The union of random
// rings is an expander graph, so a change that each router passes to its ring
// neighbours reaches all in a number of rounds that grows with the logarithm
// of the fleet: measured in TestSpreadOfLeaving. At up to FullMeshUpTo
// members the rings are replaced by the full mesh.
//
// A router watches past members that it believes silent, up to the first one
// that answers, and past n silent ones tries n more at once. So a silent member
// is still probed by the routers that watch it, and both sides of a network
// partition close their rings over what they reach within a logarithmic number
// of rounds of SuspectAfter, also the small side, to which most are silent.
//
// # Who is reachable
//
// Own contact decides first: an answer within SuspectAfter means reachable, no
// answer for SuspectAfter in spite of attempts means not. Without recent
// contact the reports of others decide: each router publishes the members that
// it watches and that are silent to it (SilenceReport), and a member is taken
// as silent once QuorumOfWatchers reachable routers report it, or one if it has
// a single watcher. So one broken link does not take a member out for all. The
// reports of a router that has just become reachable again are ignored for
// SuspectAfter, since they describe the other side of a healed partition.
//
// A message from a router counts as contact with it, in both directions: links
// that carry one direction only are not detected here.
//
// # Changes
//
// Each change gets a sequence number in the view of the router that learns it.
// A message carries the changes that the receiver has not acknowledged and
// did not send itself; so a change crosses each link about once, a lost
// message is repeated, and a receiver that restarted empty gets all. Changes
// are pushed at once, at most every PushInterval to one neighbour.
//
// A View is a pure state machine: time is passed in, and it has no goroutine,
// clock, socket or source of random numbers. It is not safe for concurrent
// use.
package fleet
