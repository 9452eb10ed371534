package streams_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/streams"
)

const (
	service   = 1
	heartbeat = 1200 * time.Millisecond
)

// heartbeats returns the registrations of targets that began at one time long before now, within a time before
// now. Each target has the version of its index; the ones with wrong clocks state that they started in 1970.
func heartbeats(now time.Time, within time.Duration, wrongClocks int, versions ...uint32) []streams.Registration {
	var history []streams.Registration
	const before = 5000
	for at := now.Add(-within); !at.After(now); at = at.Add(heartbeat) {
		for i, version := range versions {
			r := streams.Registration{Target: fmt.Sprint(i), Service: service, Version: version, Sequence: before + uint64(len(history)/len(versions))}
			r.Started = at.Add(-time.Duration(r.Sequence) * heartbeat)
			if i < wrongClocks {
				r.Started = time.Unix(1, 0)
			}
			history = append(history, r)
		}
	}
	return history
}

// Guards against ORDER: after the start of all routers a version that had left was unknown, or a version was
// taken for the only one for longer than the store's history goes back.
func TestHistoryTellsWhichVersionsThereWere(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	gone := streams.Registration{Target: "gone", Removed: true}
	single := heartbeats(now, 18*time.Second, 0, 11, 11, 11)
	left := append(heartbeats(now.Add(-10*time.Second), 8*time.Second, 0, 12), gone)
	for _, c := range []struct {
		name    string
		history []streams.Registration
		whole   bool
		several bool
		// known is for how long before now all versions are known, to a heartbeat.
		known time.Duration
	}{
		{"one version", single, false, false, 18 * time.Second},
		{"a version that left", append(left, single...), false, true, 18 * time.Second},
		{"whole history", []streams.Registration{{Target: "a", Service: service, Version: 11}}, true, false, time.Hour},
		{"whole history with a version that left", []streams.Registration{{Target: "a", Service: service, Version: 12}, {Target: "a", Removed: true}, {Target: "b", Service: service, Version: 11}}, true, true, time.Hour},
		{"the end of an older registration", append(append(single[:15:15], gone), single[15:]...), false, false, 12 * time.Second},
		{"an older registration ends last", append(single[:len(single):len(single)], gone), false, false, 0},
		{"one wrong clock", heartbeats(now, 6*time.Second, 1, 11, 11, 11), false, false, 6 * time.Second},
		{"no sequence", []streams.Registration{single[0], single[0], single[1], single[1]}, false, false, 0},
		{"nothing", nil, false, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			o, told := streams.New(now), streams.New(now)
			is.True(o.MayHaveSeveralVersions(now, service, time.Second)) // nothing is known before the first read
			o.ReadAll(now, streams.Revision{Number: 1})
			o.MergeHistory(now, streams.History{Registrations: c.history, Whole: c.whole, Until: streams.Revision{Number: 1}}, heartbeat)
			r := &v1.LoadReport{}
			o.FillReport(now, r)
			told.MergeReport(now, r)
			for _, o := range []*streams.Origins{o, told} {
				is.Equal(o.MayHaveSeveralVersions(now, service, 0), c.several)
				is.True(o.VersionsKnownFor(now) <= c.known || c.whole)
				is.True(o.VersionsKnownFor(now) >= c.known-2*heartbeat)
				is.Equal(o.MayHaveSeveralVersions(now, service, c.known+time.Minute), c.several || !c.whole)
			}
		})
	}
}

// Guards against ORDER: versions are taken for known for longer than the history goes back, if targets registered
// less often before it began, if the router's clock is ahead, or if a target started again under its ID.
func TestHistoryIsNotTakenForLongerThanItIs(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	const within = 10 * time.Second
	registrations := func(age time.Duration, before uint64) []streams.Registration {
		var history []streams.Registration
		for i := range uint64(within / heartbeat) {
			for target := range 3 {
				history = append(history, streams.Registration{Target: fmt.Sprint(target), Service: service, Version: 11, Started: now.Add(-age), Sequence: before + i + 1})
			}
		}
		return history
	}
	for _, c := range []struct {
		name    string
		history []streams.Registration
		clock   time.Duration
	}{
		{"steady rate", registrations(40*time.Second, 25), 0},
		{"no registrations for 20 s before the history", registrations(40*time.Second, 8), 0},
		{"the router's clock is 30 s ahead", registrations(40*time.Second, 25), 30 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			o := streams.New(now)
			o.MergeHistory(now.Add(c.clock), streams.History{Registrations: c.history}, heartbeat)
			is.True(o.VersionsKnownFor(now.Add(c.clock)) <= within)
		})
	}
}

// Guards against ORDER: a target whose first registration in the history is that of a new process may have had
// another version at the beginning of the history.
func TestEarlierVersionOfATargetThatStartedAgainIsNotKnown(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	history := heartbeats(now, 18*time.Second, 0, 11, 11, 11)
	again := streams.Registration{Target: "again", Service: service, Version: 11, Started: now.Add(-16 * time.Second), Sequence: 1}
	history = append(append(history[:6:6], again), history[6:]...) // 2.4 s after the beginning
	o := streams.New(now)
	o.MergeHistory(now, streams.History{Registrations: history}, heartbeat)
	is.True(o.VersionsKnownFor(now) <= 16*time.Second)
}

// Guards against ORDER: a version was registered and left within the time that a restore of the store from a copy has
// lost, and the history was taken for whole after it.
func TestHistoryIsNotKnownBeforeALoss(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	whole := heartbeats(now, 18*time.Second, 0, 11, 11, 11)
	start := func(sequence uint64) []streams.Registration {
		added := streams.Registration{Target: "n", New: true, Service: service, Version: 11, Started: now.Add(-14 * time.Second), Sequence: sequence}
		return append(append(whole[:24:24], added), whole[24:]...)
	}
	restarted := slices.Clone(whole)
	for i := range restarted[24:] { // the first one is 8.4 s before now, the third since the start
		if r := &restarted[24+i]; r.Target == "0" {
			r.Started, r.Sequence = now.Add(-12*time.Second), uint64(3+i/3)
		}
	}
	for _, c := range []struct {
		name    string
		history streams.History
		known   time.Duration
	}{
		{"nothing lost", streams.History{Registrations: whole, Whole: true, Restored: true}, time.Hour},
		{"nothing lost, cut off", streams.History{Registrations: whole, Restored: true}, 18 * time.Second},
		{"three heartbeats lost", streams.History{Registrations: append(whole[:15:15], whole[24:]...), Whole: true, Restored: true}, 8400 * time.Millisecond},
		{"three heartbeats lost, cut off", streams.History{Registrations: append(whole[:15:15], whole[24:]...), Restored: true}, 8400 * time.Millisecond},
		{"one registration lost", streams.History{Registrations: append(whole[:23:23], whole[24:]...), Whole: true, Restored: true}, 8400 * time.Millisecond},
		{"first registration lost", streams.History{Registrations: start(2), Whole: true, Restored: true}, 8400 * time.Millisecond},
		{"new target", streams.History{Registrations: start(1), Whole: true, Restored: true}, time.Hour},
		{"registrations since a start lost", streams.History{Registrations: restarted, Whole: true, Restored: true}, 8400 * time.Millisecond},
		{"registrations missing in a store that was not restored", streams.History{Registrations: append(whole[:15:15], whole[24:]...), Whole: true}, time.Hour},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			o := streams.New(now)
			o.MergeHistory(now, c.history, heartbeat)
			known := o.VersionsKnownFor(now)
			is.True(known <= c.known || c.known == time.Hour)
			is.True(known >= c.known-2*heartbeat)
		})
	}
}
