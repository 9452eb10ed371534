package storereaders_test

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/rendezvous"
	"github.com/chiveseam/chiveseam/routing"
	"github.com/chiveseam/chiveseam/storereaders"
)

// truth is a store: all its changes, and the registrations at each revision.
type truth struct {
	changes []storereaders.Change
	states  []map[string]storereaders.Change
}

func newTruth(random *rand.Rand, n int, zone string) truth {
	s := truth{states: []map[string]storereaders.Change{{}}}
	for number := uint64(1); number <= uint64(n); number++ {
		c := storereaders.Change{ID: fmt.Sprint("t", random.IntN(5)), Revision: storereaders.Revision{Epoch: 1, Number: number}}
		state := maps.Clone(s.states[number-1])
		if _, registered := state[c.ID]; registered && random.IntN(2) == 0 {
			c.Removed = true
			delete(state, c.ID)
		} else {
			c.Target = routing.Target{ID: c.ID, Service: "s", Zone: zone, Sequence: number}
			state[c.ID] = c
		}
		s.changes, s.states = append(s.changes, c), append(s.states, state)
	}
	return s
}

func (s truth) list(number uint64) []storereaders.Change {
	return slices.Collect(maps.Values(s.states[number]))
}

// follower applies what History returns.
type follower struct {
	history storereaders.History
	state   map[string]storereaders.Change
}

func (f *follower) apply(changes []storereaders.Change) {
	for _, c := range changes {
		if c.Removed {
			delete(f.state, c.ID)
		} else {
			f.state[c.ID] = c
		}
	}
}

func (f *follower) read(s truth, number uint64) storereaders.Batch {
	batch, current := f.history.Complete(s.list(number), storereaders.Revision{Epoch: 1, Number: number})
	if current {
		f.state = map[string]storereaders.Change{}
		f.apply(s.list(number))
	}
	return batch
}

// agrees reports whether the follower has the registrations at the revision up to which it knows all changes.
func (f *follower) agrees(s truth) bool {
	return maps.EqualFunc(s.states[f.history.Covered().Number], f.state, func(a, b storereaders.Change) bool { return a.Target == b.Target })
}

// Guards against a follower that believes that it knows all changes up to a revision and does not: two
// readers watch and read again at any time, and their batches reach the follower in any order, late, twice
// or not at all, in between complete reads of its own that may be old, and statements of another router that a
// target is gone.
func TestFollowerNeverMissesAChange(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		// Long registrations split batches into several messages.
		statements := rapid.Bool().Draw(rt, "statements")
		zone := strings.Repeat("z", rapid.SampledFrom([]int{1, 500}).Draw(rt, "zone"))
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		const last = 60
		s := newTruth(random, last, zone)
		readers := []*follower{{}, {}}
		f, other := &follower{}, &follower{}
		f.read(s, uint64(random.IntN(5)))
		var sent []*v1.TargetChanges
		for now := uint64(5); now < last; now += uint64(random.IntN(4)) {
			r := readers[random.IntN(2)]
			covered := r.history.Covered().Number
			var batch storereaders.Batch
			if covered == 0 || random.IntN(5) == 0 {
				batch = r.read(s, now)
			} else if covered <= now {
				batch = r.history.Watched(s.changes[covered:now], storereaders.Revision{Epoch: 1, Number: now})
			}
			sent = append(sent, batch.Messages()...)
			if random.IntN(12) == 0 {
				f.read(s, now-uint64(random.IntN(5)))
			}
			for range 2 {
				if len(sent) > 0 {
					f.apply(f.history.Received(storereaders.BatchOf(sent[max(0, len(sent)-1-random.IntN(4))])))
				}
			}
			if statements {
				other.read(s, now)
				for _, r := range other.history.ReportRemoved() {
					for _, to := range append(readers, f) {
						if to.history.RemovedLater(r.Id, storereaders.Revision{Epoch: r.Epoch, Number: r.Revision}) && random.IntN(2) == 0 {
							delete(to.state, r.Id)
						}
					}
				}
			} else if !f.agrees(s) {
				rt.Fatalf("at revision %d the follower has %v", f.history.Covered().Number, f.state)
			}
		}
		covered := f.history.Covered().Number
		f.apply(f.history.Received(storereaders.Batch{Epoch: 1, From: covered, Until: last, To: last, Changes: s.changes[covered:]}))
		if !f.agrees(s) {
			rt.Fatalf("at the end the follower has %v", f.state)
		}
	})
}

// Guards against a registration that changes its meaning on its way, and against batches that need several
// packets, of which each must continue the one before.
func TestBatchSurvivesItsMessages(t *testing.T) {
	is := is.New(t)
	var h, receiver storereaders.History
	start := storereaders.Revision{Epoch: 2, Number: 9}
	h.Complete(nil, start)
	receiver.Complete(nil, start)
	var changes []storereaders.Change
	for i := range 50 {
		changes = append(changes, storereaders.Change{
			ID: fmt.Sprint("t", i), Revision: storereaders.Revision{Epoch: 2, Number: uint64(10 + i)},
			Target: routing.Target{
				ID: fmt.Sprint("t", i), Service: "s", Address: "10.0.0.1:80", Zone: "b", Version: "v", Slots: 6, Draining: i%2 == 0,
				StartedUnixMs: 5, ColdRemaining: 3 * time.Second, Sequence: 7,
			},
		})
	}
	changes[3] = storereaders.Change{ID: "t3", Removed: true, Revision: changes[3].Revision}
	changes[4] = storereaders.Change{ID: "t4", Err: errors.New("no address"), Revision: changes[4].Revision}
	messages := h.Watched(changes, storereaders.Revision{Epoch: 2, Number: 70}).Messages()
	is.True(len(messages) > 1)
	t.Logf("%d bytes a registration", proto.Size(messages[0])/len(messages[0].Changes))
	var got []storereaders.Change
	for _, m := range messages {
		is.True(proto.Size(m) <= 1400) // one packet with the rest of the report
		got = append(got, receiver.Received(storereaders.BatchOf(m))...)
	}
	is.Equal(len(got), len(changes))
	for i, c := range got {
		is.Equal(c.Err != nil, changes[i].Err != nil)
		c.Err, changes[i].Err = nil, nil
		is.Equal(c, changes[i])
	}
}

// view is the view of router r0 of a fleet of 84.
var view = storereaders.View{Self: "r0", Able: true, Interval: 140 * time.Millisecond, Covered: storereaders.Revision{Epoch: 1, Number: 9}}

// hear makes a zone hear routers r1 to rn, but for those that are silent.
func hear(z *storereaders.Zone, now time.Time, n int, silent []int, passOn ...int) {
	for i := 1; i <= n; i++ {
		if slices.Contains(silent, i) {
			continue
		}
		z.HandleReport(now, &v1.LoadReport{Router: fmt.Sprint("r", i), StoreEpoch: 1, TargetsRevision: 12, StoreReading: &v1.StoreReading{
			Able: true, PassesOn: slices.Contains(passOn, i), Epoch: 1, Since: 5,
		}})
	}
}

// settled returns a zone of 28 routers of which r0 follows two readers, and the time.
func settled(t *testing.T) (*storereaders.Zone, time.Time, []int) {
	now := time.Unix(1000, 0)
	var names []string
	for i := range 28 {
		names = append(names, fmt.Sprint("r", i))
	}
	var z storereaders.Zone
	var readers []int
	for _, name := range rendezvous.Rank("registrations", names, 2) {
		readers = append(readers, slices.Index(names, name))
	}
	var d storereaders.Decision
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		hear(&z, now, 27, nil, readers...)
		d = z.Decide(now, view)
	}
	if d.Watch || d.PassOn || !d.Shared || d.Reason != storereaders.ReasonFollows {
		t.Fatalf("r0 decides %+v", d)
	}
	return &z, now, readers
}

// Guards against a zone of few routers that depends on readers, as it did not before.
func TestFewRoutersWatchByThemselves(t *testing.T) {
	is := is.New(t)
	var z storereaders.Zone
	now := time.Unix(1000, 0)
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		hear(&z, now, storereaders.MinRouters-2, nil, 1, 2)
		d := z.Decide(now, view)
		is.True(d.Watch && !d.PassOn && !d.Shared)
	}
}

// Guards against a follower that waits for readers that no longer serve it: it watches by itself within
// 1.5 s when they are silent, and within 0.7 s when they say that they cannot read or lack its history;
// within 2.2 s when they lag behind the fleet.
func TestFollowerFallsBack(t *testing.T) {
	all := func(change func(r *v1.StoreReading)) func(z *storereaders.Zone, now time.Time, readers []int) {
		return func(z *storereaders.Zone, now time.Time, readers []int) {
			hear(z, now, 27, readers)
			for _, i := range readers {
				r := &v1.StoreReading{Able: true, PassesOn: true, Epoch: 1, Since: 5}
				change(r)
				z.HandleReport(now, &v1.LoadReport{Router: fmt.Sprint("r", i), StoreReading: r})
			}
		}
	}
	for _, c := range []struct {
		reason string
		within time.Duration
		newest uint64
		report func(z *storereaders.Zone, now time.Time, readers []int)
	}{
		{storereaders.ReasonSilent, 1500 * time.Millisecond, 0, func(z *storereaders.Zone, now time.Time, readers []int) {
			hear(z, now, 27, readers)
		}},
		{storereaders.ReasonUnable, 700 * time.Millisecond, 0, all(func(r *v1.StoreReading) { r.Able = false })},
		{storereaders.ReasonGap, 700 * time.Millisecond, 0, all(func(r *v1.StoreReading) { r.Since = 10 })},
		{storereaders.ReasonStalled, 2200 * time.Millisecond, 12, all(func(*v1.StoreReading) {})},
	} {
		t.Run(c.reason, func(t *testing.T) {
			z, began, readers := settled(t)
			v := view
			v.Newest = storereaders.Revision{Epoch: 1, Number: c.newest}
			for now := began; ; now = now.Add(100 * time.Millisecond) {
				c.report(z, now, readers)
				d := z.Decide(now, v)
				if now.Sub(began) > c.within {
					t.Fatalf("still follows: %+v", d)
				}
				if d.Watch {
					if d.Reason != c.reason {
						t.Fatalf("reason %s", d.Reason)
					}
					return
				}
			}
		})
	}
}

// Guards against roles that flap: a follower that watches by itself does so until readers have served it
// for two seconds without a break.
func TestFollowerReturnsOnceReadersAreSteady(t *testing.T) {
	is := is.New(t)
	z, now, readers := settled(t)
	changes, watched := 0, false
	for i := range 100 {
		now = now.Add(100 * time.Millisecond)
		if i%15 < 12 { // the readers pause for 300 ms, and longer than a follower waits at first
			hear(z, now, 27, nil, readers...)
		} else if i < 15 {
			now = now.Add(time.Second)
			hear(z, now, 27, nil)
		} else {
			hear(z, now, 27, nil)
		}
		if d := z.Decide(now, view); d.Watch != watched {
			changes++
			watched = d.Watch
		}
	}
	is.True(changes <= 2)
}

// Guards against a grace time of registrations after an outage that only one reader had: those that are
// removed then have not lapsed. If all readers had it, followers grant it too.
func TestOnlyCommonOutagesCount(t *testing.T) {
	is := is.New(t)
	z, now, readers := settled(t)
	returned := func(i int) {
		z.HandleReport(now, &v1.LoadReport{Router: fmt.Sprint("r", i), StoreReading: &v1.StoreReading{Able: true, PassesOn: true, Epoch: 1, Since: 5, ReturnedMs: 300}})
	}
	returned(readers[0])
	_, ok := z.StoreReturned(now, view)
	is.True(!ok)
	returned(readers[1])
	at, ok := z.StoreReturned(now, view)
	is.True(ok)
	is.Equal(at, now.Add(-300*time.Millisecond))
}
