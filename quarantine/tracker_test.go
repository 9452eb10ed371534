package quarantine

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/chiveseam/chiveseam/internal/fixedseed"
)

var start = time.Unix(1_800_000_000, 0)

func TestSuspectIsRefusedOnAllRoutersAfterTwoTargetLosses(t *testing.T) {
	is := is.New(t)
	a, b := New("a", Options{}), New("b", Options{})
	is.Equal(a.Begin(start, 7).Action, Run)
	a.Lost(start, 7, 1)
	b.Merge(start, "a", a.Snapshot(start))
	is.Equal(b.Begin(start, 7).Action, Wait)
	afterAnnouncement := start.Add(DefaultAnnouncePeriod)
	d := b.Begin(afterAnnouncement, 7)
	is.Equal(d.Action, Run)
	is.True(d.Suspect)
	b.Lost(afterAnnouncement, 7, 2)
	a.Merge(afterAnnouncement, "b", b.Snapshot(afterAnnouncement))
	is.Equal(a.Begin(afterAnnouncement, 7).Action, Refuse)
	is.Equal(b.Begin(afterAnnouncement, 7).Action, Refuse)
	expired := afterAnnouncement.Add(DefaultLifetime)
	is.Equal(b.Begin(expired, 7).Action, Run) // no request is refused forever
}

// A target that restarts after a crash may be lost again by the same request, and that
// counts as a second loss.
func TestSuspectIsRefusedAfterTwoLossesOfOneTarget(t *testing.T) {
	is := is.New(t)
	a, b := New("a", Options{}), New("b", Options{})
	a.Begin(start, 7)
	a.Lost(start, 7, 1)
	a.Begin(start, 7)
	afterAnnouncement := start.Add(DefaultAnnouncePeriod)
	is.True(a.Begin(afterAnnouncement, 7).Suspect)
	a.Lost(afterAnnouncement, 7, 1)
	is.Equal(a.Begin(afterAnnouncement, 7).Action, Refuse)
	b.Merge(afterAnnouncement, "a", a.Snapshot(afterAnnouncement))
	is.Equal(b.Begin(afterAnnouncement, 7).Action, Refuse)
}

// Equal requests may be in flight on one target, from one router or several. Its crash
// ends all of them and is one loss, not several.
func TestOneCrashCountsAsOneLoss(t *testing.T) {
	is := is.New(t)
	a, b := New("a", Options{}), New("b", Options{})
	for _, tracker := range []*Tracker{a, a, b} {
		tracker.Begin(start, 7)
	}
	a.Lost(start, 7, 1)
	a.Lost(start, 7, 1)
	b.Lost(start, 7, 1)
	a.Merge(start, "b", b.Snapshot(start))
	is.Equal(a.Begin(start, 7).Action, Wait)
}

func TestAnsweredSuspectIsClearedOnAllRouters(t *testing.T) {
	is := is.New(t)
	a, b := New("a", Options{}), New("b", Options{})
	a.Begin(start, 7)
	a.Lost(start, 7, 1)
	old := a.Snapshot(start)
	b.Merge(start, "a", old)
	a.Begin(start, 7)
	afterAnnouncement := start.Add(DefaultAnnouncePeriod)
	is.Equal(a.Begin(afterAnnouncement, 7).Action, Run)
	a.Answered(afterAnnouncement, 7)
	b.Merge(afterAnnouncement, "a", a.Snapshot(afterAnnouncement))
	b.Merge(afterAnnouncement, "a", old) // a late snapshot does not restore the loss
	is.Equal(b.Begin(afterAnnouncement, 7).Action, Run)
	is.True(!b.Begin(afterAnnouncement, 7).Suspect)
}

// A run that began on another router before the request became a suspect must end before
// the suspect may run.
func TestSuspectWaitsForRunThatBeganBeforeTheLoss(t *testing.T) {
	is := is.New(t)
	a, b := New("a", Options{}), New("b", Options{})
	a.Begin(start, 7)
	b.Begin(start, 7)
	a.Lost(start, 7, 1)
	b.Merge(start, "a", a.Snapshot(start))
	is.Equal(a.Begin(start, 7).Action, Wait)
	afterAnnouncement := start.Add(DefaultAnnouncePeriod)
	a.Merge(afterAnnouncement, "b", b.Snapshot(afterAnnouncement))
	is.Equal(a.Begin(afterAnnouncement, 7).Action, Wait) // router b still runs the request
}

// Routers that exchange an entry in turn must not keep it beyond its lifetime.
func TestExchangeDoesNotExtendEntries(t *testing.T) {
	is := is.New(t)
	a, b := New("a", Options{}), New("b", Options{})
	a.Lost(start, 7, 1)
	now := start
	for now.Before(start.Add(2 * DefaultLifetime)) {
		fromA, fromB := a.Snapshot(now), b.Snapshot(now)
		now = now.Add(time.Second)
		a.Merge(now, "b", fromB)
		b.Merge(now, "a", fromA)
	}
	is.Equal(len(a.Snapshot(now).Suspects)+len(b.Snapshot(now).Suspects), 0)
}

func TestEntriesAreBounded(t *testing.T) {
	is := is.New(t)
	b := New("b", Options{MaxEntries: 3})
	for i := range 10 {
		b.Lost(start.Add(time.Duration(i)), Digest(i), 1)
	}
	is.Equal(b.Len(), 3)
	is.Equal(b.Begin(start, 9).Action, Wait)
	is.Equal(b.Begin(start, 0).Action, Run) // the oldest entry was evicted
}

// A suspect runs on one router at a time if callers send it to three routers that
// exchange snapshots within half of AnnouncePeriod.
func TestSuspectRunsOnOneTargetAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		trackers := map[string]*Tracker{}
		for _, name := range names {
			trackers[name] = New(name, Options{})
			trackers[name].Merge(start, "x", Snapshot{Seq: 1, Suspects: []Suspect{{Digest: 7, LostTargets: []Target{1}, Remaining: DefaultLifetime}}})
		}
		running := map[string]bool{}
		const tick = 250 * time.Millisecond
		for i := range 120 {
			now := start.Add(time.Duration(i) * tick)
			name := rapid.SampledFrom(names).Draw(t, "name")
			if running[name] {
				trackers[name].Ended(now, 7)
				delete(running, name)
			} else if trackers[name].Begin(now, 7).Action == Run {
				running[name] = true
			}
			if len(running) > 1 {
				t.Fatalf("running at once: %v", running)
			}
			if i%4 == 0 {
				exchange(trackers, now)
			}
		}
	})
}

// exchange merges a snapshot of each router into all others.
func exchange(trackers map[string]*Tracker, now time.Time) {
	for from, sender := range trackers {
		for to, receiver := range trackers {
			if from != to {
				receiver.Merge(now, from, sender.Snapshot(now))
			}
		}
	}
}

// A suspect that did not reach its target may be tried on another one at once.
func TestSuspectStaysAnnouncedWhenItDidNotRun(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	b := New("router-1", Options{})
	is.Equal(b.Begin(now, 1).Action, Run)
	b.Lost(now, 1, 10)
	is.Equal(b.Begin(now, 1).Action, Wait)
	now = now.Add(DefaultAnnouncePeriod)
	is.Equal(b.Begin(now, 1).Action, Run)
	b.NotRun(now, 1)
	is.Equal(b.Begin(now, 1).Action, Run) // on another target
	b.Ended(now, 1)
	is.Equal(b.Begin(now, 1).Action, Wait)
}
