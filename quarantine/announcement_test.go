package quarantine

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// testRouter is a router that either runs a suspect or announces a run to its peers, one
// after the other.
type testRouter struct {
	tracker *Tracker
	running bool
	// announcement is the number of the current announcement; 0 if there is none.
	announcement uint64
	// unasked lists the peers to which the announcement was not sent yet.
	unasked []string
	// staleSnapshot is a snapshot from before the announcement, which may still be
	// delivered.
	staleSnapshot Snapshot
}

// begin calls Begin and starts the announcement if that returns one.
func (r *testRouter) begin(now time.Time, peers []string) {
	r.staleSnapshot = r.tracker.Snapshot(now)
	d := r.tracker.Begin(now, 7)
	r.running = d.Action == Run
	r.announcement = d.Announcement
	r.unasked = slices.Clone(peers)
}

// A suspect runs on one router at a time if routers start it as soon as all peers have
// answered, whatever the order of the messages between them.
func TestAcknowledgedSuspectRunsOnOneTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		routers := map[string]*testRouter{}
		for _, name := range names {
			routers[name] = &testRouter{tracker: New(name, Options{})}
			routers[name].tracker.Merge(start, "x", Snapshot{Seq: 1, Suspects: []Suspect{{Digest: 7, LostTargets: []Target{1}, Remaining: DefaultLifetime}}})
		}
		const tick = 10 * time.Millisecond
		for i := range 200 {
			now := start.Add(time.Duration(i) * tick)
			name := rapid.SampledFrom(names).Draw(t, "name")
			r := routers[name]
			peers := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
			switch {
			case r.running:
				r.running = false
				r.tracker.Ended(now, 7)
			case r.announcement == 0:
				r.begin(now, peers)
			case len(r.unasked) > 0:
				peer := routers[r.unasked[0]].tracker
				peer.Merge(now, name, r.tracker.Snapshot(now))
				r.tracker.Merge(now, r.unasked[0], peer.Snapshot(now))
				if rapid.Bool().Draw(t, "overtaken") {
					r.tracker.Merge(now, r.unasked[0], routers[r.unasked[0]].staleSnapshot)
					peer.Merge(now, name, r.staleSnapshot)
				}
				r.unasked = r.unasked[1:]
			default:
				r.tracker.Acknowledge(now, 7, r.announcement)
				r.begin(now, peers)
			}
			running := 0
			for _, r := range routers {
				if r.running {
					running++
				}
			}
			if running > 1 {
				t.Fatal("two routers run the suspect")
			}
		}
	})
}

// A snapshot that arrives after a later one of the same router does not undo the
// announcement in the later one.
func TestStaleSnapshotIsIgnored(t *testing.T) {
	is := is.New(t)
	a, b := New("a", Options{}), New("b", Options{})
	a.Begin(start, 7)
	a.Lost(start, 7, 1)
	old := a.Snapshot(start)
	is.True(a.Begin(start, 7).Announcement > 0)
	b.Merge(start, "a", a.Snapshot(start))
	b.Merge(start, "a", old)
	is.Equal(b.Begin(start, 7), Decision{Action: Wait, RetryAfter: DefaultAnnouncePeriod}) // router a announced the run first
}

func TestSuspectRunsOnceAllPeersHaveAnswered(t *testing.T) {
	is := is.New(t)
	b := New("b", Options{})
	b.Acknowledge(start, 7, 0) // b announces no run
	b.Begin(start, 7)
	b.Lost(start, 7, 1)
	d := b.Begin(start, 7)
	is.True(d.Announcement > 0)
	b.Acknowledge(start, 7, d.Announcement+1) // another announcement
	is.Equal(b.Begin(start, 7).Action, Wait)
	b.Acknowledge(start, 7, d.Announcement)
	is.True(b.Begin(start, 7).Suspect)
	b.Ended(start, 7)
	d = b.Begin(start, 7)
	is.True(d.Announcement > 0) // the next run needs a new announcement
	b.Merge(start, "a", Snapshot{Seq: 1, Suspects: []Suspect{{Digest: 7, LostTargets: []Target{1}, Remaining: DefaultLifetime, Announced: true}}})
	b.Acknowledge(start, 7, d.Announcement)
	is.Equal(b.Begin(start, 7).Action, Wait) // router a has the lesser name
}
