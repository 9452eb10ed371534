// Package fleet holds one router's view of the fleet: which instances exist, which of them are
// leaving, and which routers are reachable.
//
// # Sources
//
// A View gets its input from three sources and relies on none of them alone: the platform's
// instance list, which lags and may come from a stale replica; the PeerState messages of other
// routers; and the results of the router's own contacts. A View stores nothing between runs. A
// restarted View starts empty and gets the whole state from the first router that answers.
//
// # Rules
//
//   - A higher incarnation of an instance replaces lower ones.
//   - A leaving mark is permanent for the marked incarnation and all lower ones, whatever a
//     later list says.
//   - The revision of the instance list never decreases. Routers pass lists on, so a router
//     that gets no answer from the platform uses the newest list of any router that it
//     reaches. Without a newer list, the last one stays in force.
//   - A router that has been silent for SuspectAfter is unreachable and is given no role. It
//     stays known and becomes reachable again on contact.
//   - A router that is not in the list, because it started later or was dropped from the
//     list, announces itself every AnnounceInterval with an increasing counter, its beat. It
//     is a member until neither a higher beat nor a message from it has arrived for
//     ForgetUnlistedAfter. Afterwards it is still probed at a low rate for MarkRetention, so
//     that the two sides of a long partition find each other again.
//
// # Who contacts whom
//
// The cost of a full mesh of heartbeats grows with the fleet. At 330 routers and one heartbeat
// a second for each pair, a router sends and receives about 330 messages a second in each
// direction. With 52 B of TCP/IP headers, 9 B of framing and 50 B of content for each message,
// this is 36 KB/s, while a node may use 3 KB/s for all control traffic.
//
// So the members are arranged in several rings (see Options.Rings), each ordered by a
// different hash, and a router watches its successor on each ring. It sends three heartbeats a
// second and answers three, whatever the size of the fleet. The union of random rings is an
// expander graph: a change that each router passes on to its ring neighbours reaches all
// routers in a number of rounds that grows with the logarithm of the fleet size.
// TestLeavingMarkReachesAllRouters measures the time. Up to FullMeshMaxMembers members, a full
// mesh replaces the rings.
//
// If the successor is unreachable, a router also watches the members after it, up to the first
// one that answers; after n unreachable members it contacts up to n more at once. So unreachable
// members are still probed by the routers that watch them. After a network partition, both
// sides close their rings over the members that they reach, within a number of rounds of
// SuspectAfter that grows with the logarithm of the fleet size. This includes the smaller
// side, to which most members are unreachable.
//
// # Who is reachable
//
// A router's own contacts decide first. A member that answered within SuspectAfter is
// reachable; one that has not answered any attempt for SuspectAfter is not. Without recent
// contacts, the reports of other routers decide. Each router publishes which of the members
// that it watches are unreachable for it (SilenceReport). A member counts as unreachable once
// WatcherQuorum reachable routers report it, or a single one if the member has only one
// watcher. So one broken link does not make a member unreachable for the whole fleet. After a
// router becomes reachable again, its reports are ignored for SuspectAfter, since they still
// describe the other side of the healed partition.
//
// A message from a router counts as contact in both directions. Links that work in one
// direction only are not detected here.
//
// # Changes
//
// Each change gets a sequence number in the view of each router that learns it. A message
// carries the changes that the receiver has not acknowledged and did not send itself. So a
// change crosses each link about once, the changes of a lost message are sent again, and a
// receiver that restarted empty gets all changes. A change is sent at once, but at most one
// message every PushInterval goes to each neighbour.
//
// A View is a state machine without goroutines, clocks, sockets or a source of random numbers:
// the caller passes in the time. It is not safe for concurrent use.
package fleet
