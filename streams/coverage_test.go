package streams_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/streams"
)

// storeState is the registrations of one service from a time on.
type storeState struct {
	at       time.Time
	revision streams.Revision
	// versions holds the version of each target; 0 stands for none.
	versions [3]uint32
}

// coverageWorld is a store and routers that read it and tell each other what they know.
type coverageWorld struct {
	now     time.Time
	states  []storeState
	routers []*coveredRouter
	// sent are reports that may still arrive.
	sent []*v1.LoadReport
	// compacted is the revision up to which the store has discarded its history.
	compacted streams.Revision
}

// coveredRouter is a router whose watch continues at a revision; zero if it reads everything next.
type coveredRouter struct {
	origins *streams.Origins
	watched streams.Revision
}

func (w *coverageWorld) newest() storeState { return w.states[len(w.states)-1] }

// change appends a state of the store.
func (w *coverageWorld) change(s storeState) {
	s.at = w.now
	w.states = append(w.states, s)
}

// readAll makes a router read all registrations.
func (w *coverageWorld) readAll(r *coveredRouter) {
	s := w.newest()
	see(r, s)
	r.origins.ReadAll(w.now, s.revision)
	r.watched = s.revision
}

func see(r *coveredRouter, s storeState) {
	for _, version := range s.versions {
		if version != 0 {
			r.origins.SeeVersion(service, version)
		}
	}
}

// readChanges makes a router read the changes after a revision. It returns false if the store no longer has them.
func (w *coverageWorld) readChanges(r *coveredRouter, after streams.Revision) bool {
	newest := w.newest().revision
	if after.Epoch != newest.Epoch || after.Compare(w.compacted) < 0 {
		return false
	}
	for _, s := range w.states {
		if s.revision.Epoch == after.Epoch && s.revision.Compare(after) > 0 {
			see(r, s)
		}
	}
	r.origins.ReadChanges(after, newest)
	return true
}

// check fails if a router takes more for known than it has seen.
func (w *coverageWorld) check(t *rapid.T, r *coveredRouter) {
	c := r.origins.Coverage()
	if !c.IsKnown() || r.origins.MayHaveSeveralVersions(w.now, service, w.now.Sub(c.Since)) {
		return
	}
	known := r.origins.OnlyVersion(service)
	for i, s := range w.states {
		ended := i+1 < len(w.states) && !w.states[i+1].at.After(c.Since)
		if ended || s.revision.Compare(c.Until) > 0 {
			continue
		}
		for _, version := range s.versions {
			if version != 0 && version != known {
				t.Fatalf("%v: only version %d, and %d was registered at %v, revision %v", c, known, version, s.at, s.revision)
			}
		}
	}
}

// Guards against ORDER: a router that hears nothing, late or stale news, or whose store has lost changes, takes the versions that
// it knows for all up to a revision at which there was another one.
func TestCoverageHoldsNoMoreThanWasSeen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &coverageWorld{now: time.Unix(1_800_000_000, 0)}
		w.change(storeState{revision: streams.Revision{Number: 5}, versions: [3]uint32{11}})
		for range 3 {
			w.routers = append(w.routers, &coveredRouter{origins: streams.New(w.now)})
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			w.now = w.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			r := w.routers[rapid.IntRange(0, len(w.routers)-1).Draw(t, "router")]
			switch rapid.SampledFrom([]string{"register", "remove", "read", "watch", "watch", "cut", "confirm", "report", "hear", "hear", "start", "compact", "restore"}).Draw(t, "action") {
			case "register":
				s := w.newest()
				s.revision.Number++
				s.versions[rapid.IntRange(0, 2).Draw(t, "target")] = uint32(11 + rapid.IntRange(0, 9).Draw(t, "version")/8)
				w.change(s)
			case "remove":
				s := w.newest()
				s.revision.Number++
				s.versions[rapid.IntRange(0, 2).Draw(t, "target")] = 0
				w.change(s)
			case "read":
				w.readAll(r)
			case "watch":
				if !w.readChanges(r, r.watched) {
					w.readAll(r)
				}
				r.watched = w.newest().revision
			case "cut":
				r.watched = streams.Revision{}
			case "confirm":
				if c := r.origins.Coverage(); c.IsKnown() && c.Until.Epoch == w.newest().revision.Epoch && !w.readChanges(r, c.Until) {
					r.origins.LoseHistory(c.Until)
				}
			case "report":
				report := &v1.LoadReport{}
				r.origins.FillReport(w.now, report)
				w.sent = append(w.sent, report)
			case "hear":
				if n := len(w.sent); n > 0 {
					r.origins.MergeReport(w.now, w.sent[rapid.IntRange(max(0, n-4), n-1).Draw(t, "report")])
				}
			case "start":
				*r = coveredRouter{origins: streams.New(w.now)}
			case "compact":
				w.compacted = w.newest().revision
			case "restore":
				s := w.states[rapid.IntRange(0, len(w.states)-1).Draw(t, "copy")]
				s.revision = streams.Revision{Epoch: w.newest().revision.Epoch + 1, Number: s.revision.Number}
				w.compacted = s.revision
				w.change(s)
			}
			for _, r := range w.routers {
				w.check(t, r)
			}
		}
	})
}

// Guards against LOST: coverage that was known is given up, or not taken over, where nothing can have come in between.
func TestCoverageOfRoutersThatOverlapIsJoined(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	cover := func(since int, from, until uint64) *streams.Origins {
		o := streams.New(now)
		o.SeeVersion(service, 11)
		o.ReadAll(now.Add(time.Duration(since)*time.Second), streams.Revision{Number: from})
		o.ReadChanges(streams.Revision{Number: from}, streams.Revision{Number: until})
		return o
	}
	for _, c := range []struct {
		name         string
		own, told    *streams.Origins
		known, until int
	}{
		{"older, overlaps", cover(-2, 50, 60), cover(-20, 10, 50), 20, 60},
		{"newer, overlaps", cover(-20, 10, 50), cover(-2, 50, 60), 20, 60},
		{"older, ends before", cover(-2, 50, 60), cover(-20, 10, 49), 2, 60},
		{"newer, begins after", cover(-20, 10, 50), cover(-2, 51, 60), 20, 50},
		{"within", cover(-20, 10, 60), cover(-2, 30, 40), 20, 60},
		{"nothing known", streams.New(now), cover(-20, 10, 50), 20, 50},
	} {
		t.Run(c.name, func(t *testing.T) {
			report := &v1.LoadReport{}
			c.told.FillReport(now, report)
			c.own.MergeReport(now, report)
			got := c.own.Coverage()
			if now.Sub(got.Since) != time.Duration(c.known)*time.Second || got.Until.Number != uint64(c.until) {
				t.Errorf("since %v, until %v", now.Sub(got.Since), got.Until)
			}
		})
	}
}

// Guards against LOST: the answer that the store has no history, of a call that began before a restore of the store or before another
// router told more, takes away what is known since.
func TestLateLossOfHistoryKeepsWhatIsKnownSince(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	at := func(epoch, number uint64) streams.Revision { return streams.Revision{Epoch: epoch, Number: number} }
	o := streams.New(now)
	o.ReadAll(now, at(0, 5))
	o.ReadChanges(at(0, 5), at(0, 7))
	o.LoseHistory(at(0, 5))
	is.True(o.Covers(at(0, 7)))
	o.ReadAll(now, at(1, 3))
	o.LoseHistory(at(0, 7))
	is.True(o.Covers(at(1, 3)))
	o.LoseHistory(at(1, 3))
	is.True(!o.Coverage().IsKnown())
}
