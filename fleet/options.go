package fleet

import "time"

// Options are the intervals and sizes of a View.
type Options struct {
	// HeartbeatInterval is the time between contacts with a watched router.
	HeartbeatInterval time.Duration
	// ProbeInterval is the time between contacts with a silent router. It
	// grows when many are silent.
	ProbeInterval time.Duration
	// SuspectAfter is the silence after which a router is not reachable.
	SuspectAfter time.Duration
	// PushInterval is the least time between two messages with changes to one
	// router.
	PushInterval time.Duration
	// BeatInterval is the time between announcements of a router that is not in
	// the list.
	BeatInterval time.Duration
	// ForgetAfter is the time without an announcement after which a router
	// outside the list is forgotten.
	ForgetAfter time.Duration
	// MarkRetention is how long leaving marks of instances that are in no list
	// are kept.
	MarkRetention time.Duration
	// HistoryRetention is how long superseded lists are kept for History.
	HistoryRetention time.Duration
	// Rings is the number of rings, and of routers that watch a router.
	Rings int
	// FullMeshUpTo is the number of members up to which each router contacts
	// all others.
	FullMeshUpTo int
}

// QuorumOfWatchers is the number of watchers that have to report a router
// before others without contact take it as silent.
const QuorumOfWatchers = 2

// maxProbeInterval bounds the time between contacts with a silent router when
// many are silent.
const maxProbeInterval = 15 * time.Second

// maxHistory bounds the number of lists kept for History.
const maxHistory = 1024

// DefaultOptions returns the defaults; the daemon takes some from its settings.
func DefaultOptions() Options {
	return Options{
		HeartbeatInterval: time.Second,
		ProbeInterval:     2 * time.Second,
		SuspectAfter:      3 * time.Second,
		PushInterval:      250 * time.Millisecond,
		BeatInterval:      time.Minute,
		ForgetAfter:       5 * time.Minute,
		MarkRetention:     24 * time.Hour,
		HistoryRetention:  time.Hour,
		Rings:             3,
		FullMeshUpTo:      8,
	}
}
