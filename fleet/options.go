package fleet

import "time"

// Options are the intervals and sizes of a View.
type Options struct {
	// HeartbeatInterval is the time between two contacts with a watched router that answers.
	HeartbeatInterval time.Duration
	// ProbeInterval is the time between two contacts with a watched router that is silent. It
	// grows with the number of silent routers.
	ProbeInterval time.Duration
	// SuspectAfter is the time without an answer after which a router is unreachable.
	SuspectAfter time.Duration
	// PushInterval is the minimum time between two messages with changes to one router.
	PushInterval time.Duration
	// AnnounceInterval is the time between two announcements of a router that is not in the
	// list.
	AnnounceInterval time.Duration
	// ForgetUnlistedAfter is the time after which a router that is not in the list is
	// forgotten, if it has neither announced itself nor sent a message.
	ForgetUnlistedAfter time.Duration
	// MarkRetention is how long a leaving mark is kept after its instance was last known, and
	// how long a forgotten router is still probed.
	MarkRetention time.Duration
	// HistoryRetention is how long History includes a list after a newer one replaced it.
	HistoryRetention time.Duration
	// Rings is the number of rings, and therefore the number of routers that watch each router.
	Rings int
	// FullMeshMaxMembers is the largest number of members at which each router contacts all
	// others.
	FullMeshMaxMembers int
}

// WatcherQuorum is the number of watchers that have to report a member as silent before a
// router without recent contact takes it as unreachable.
const WatcherQuorum = 2

// maxProbeInterval limits the time between two contacts with a silent router when many are
// silent. It is also the minimum time between two probes of one forgotten router.
const maxProbeInterval = 15 * time.Second

// maxHistory limits the number of lists that History returns.
const maxHistory = 1024

// DefaultOptions returns the default options. The router replaces some of them by its settings.
func DefaultOptions() Options {
	return Options{
		HeartbeatInterval:   time.Second,
		ProbeInterval:       2 * time.Second,
		SuspectAfter:        3 * time.Second,
		PushInterval:        250 * time.Millisecond,
		AnnounceInterval:    time.Minute,
		ForgetUnlistedAfter: 5 * time.Minute,
		MarkRetention:       24 * time.Hour,
		HistoryRetention:    time.Hour,
		Rings:               3,
		FullMeshMaxMembers:  8,
	}
}
