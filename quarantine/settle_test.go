package quarantine

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// round is a router that runs a suspect, or announces the wish to its peers one
// after the other.
type round struct {
	book    *Book
	running bool
	// asking is set while peers are left to ask.
	asking uint64
	left   []string
	// late is an earlier snapshot that is still on its way.
	late Snapshot
}

// begin asks the book; without an Announce the round ends.
func (r *round) begin(now time.Time, peers []string) {
	r.late = r.book.Snapshot(now)
	d := r.book.Begin(now, 7)
	r.running = d.Action == Run
	r.asking = d.Announcement
	r.left = slices.Clone(peers)
}

// A suspect runs on one target at a time when routers start it as soon as all
// peers have answered, whatever the order of the messages between them.
func TestSettledSuspectRunsAlone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		rounds := map[string]*round{}
		for _, name := range names {
			rounds[name] = &round{book: New(name, Options{})}
			rounds[name].book.Merge(start, "x", Snapshot{Seq: 1, Suspects: []Suspect{{Digest: 7, LostTargets: []Target{1}, Remaining: DefaultLifetime}}})
		}
		const tick = 10 * time.Millisecond
		for i := range 200 {
			now := start.Add(time.Duration(i) * tick)
			name := rapid.SampledFrom(names).Draw(t, "name")
			r := rounds[name]
			peers := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
			switch {
			case r.running:
				r.running = false
				r.book.Ended(now, 7)
			case r.asking == 0:
				r.begin(now, peers)
			case len(r.left) > 0:
				peer := rounds[r.left[0]].book
				peer.Merge(now, name, r.book.Snapshot(now))
				r.book.Merge(now, r.left[0], peer.Snapshot(now))
				if rapid.Bool().Draw(t, "overtaken") {
					r.book.Merge(now, r.left[0], rounds[r.left[0]].late)
					peer.Merge(now, name, r.late)
				}
				r.left = r.left[1:]
			default:
				r.book.Settled(now, 7, r.asking)
				r.begin(now, peers)
			}
			running := 0
			for _, r := range rounds {
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

// A snapshot that a later one has overtaken does not take its word back.
func TestOvertakenSnapshotIsIgnored(t *testing.T) {
	is := is.New(t)
	a, b := New("a", Options{}), New("b", Options{})
	a.Begin(start, 7)
	a.Lost(start, 7, 1)
	old := a.Snapshot(start)
	is.True(a.Begin(start, 7).Announcement > 0)
	b.Merge(start, "a", a.Snapshot(start))
	b.Merge(start, "a", old)
	is.Equal(b.Begin(start, 7), Decision{Action: Wait, RetryAfter: DefaultSettle}) // a goes first
}

func TestSuspectRunsOnceAllPeersHaveAnswered(t *testing.T) {
	is := is.New(t)
	b := New("b", Options{})
	b.Settled(start, 7, 0) // nothing is announced
	b.Begin(start, 7)
	b.Lost(start, 7, 1)
	d := b.Begin(start, 7)
	is.True(d.Announcement > 0)
	b.Settled(start, 7, d.Announcement+1) // another announcement
	is.Equal(b.Begin(start, 7).Action, Wait)
	b.Settled(start, 7, d.Announcement)
	is.True(b.Begin(start, 7).Suspect)
	b.Ended(start, 7)
	d = b.Begin(start, 7)
	is.True(d.Announcement > 0) // the next run is announced anew
	b.Merge(start, "a", Snapshot{Seq: 1, Suspects: []Suspect{{Digest: 7, LostTargets: []Target{1}, Remaining: DefaultLifetime, Announced: true}}})
	b.Settled(start, 7, d.Announcement)
	is.Equal(b.Begin(start, 7).Action, Wait) // a goes first
}
