package evacuation_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chiveseam/chiveseam/evacuation"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

var zones = []string{"a", "b", "c"}

// store is the history of the keys in one epoch of the store. The index of a change is its number less 1.
type store struct {
	epoch   uint64
	history []evacuation.Change
}

// write requests the evacuation of a zone, or ends it.
func (s *store) write(zone string, ended bool) {
	c := evacuation.Change{Zone: zone, Ended: ended, Revision: evacuation.Revision{Epoch: s.epoch, Number: uint64(len(s.history) + 1)}}
	s.history = append(s.history, c)
}

// keys returns the keys after a number of changes.
func (s *store) keys(number int) []evacuation.Change {
	latest := map[string]evacuation.Change{}
	for _, c := range s.history[:number] {
		latest[c.Zone] = c
	}
	var list []evacuation.Change
	for _, c := range latest {
		if c.Revision.Epoch = s.epoch; !c.Ended {
			list = append(list, c)
		}
	}
	return list
}

func (s *store) evacuated(zone string, number int) bool {
	return slices.ContainsFunc(s.keys(number), func(c evacuation.Change) bool { return c.Zone == zone })
}

func (s *store) revision(number int) evacuation.Revision {
	return evacuation.Revision{Epoch: s.epoch, Number: uint64(number)}
}

// tell tells one of the changes of the history, by a watch or a report.
func tell(t *rapid.T, z *evacuation.Zones, now time.Time, c evacuation.Change) {
	if rapid.Bool().Draw(t, "watch") {
		z.Watched(now, []evacuation.Change{c})
		return
	}
	z.MergeReport(now, []*v1.ZoneEvacuation{{Zone: c.Zone, Epoch: c.Revision.Epoch, Revision: c.Revision.Number, Ended: c.Ended}})
}

// Guards against an evacuation that is undone by a complete read that began before it was requested, or
// brought back by a late report or a repeated event after its end. Changes come in any order, several times
// or not at all, and complete reads end after later changes: what a router believes of a zone is what held
// at the latest of the revisions that it was told of, or after that.
func TestLatestStatementWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, z, now := &store{}, evacuation.New(), time.Unix(1000, 0)
		// A router was told of a zone as of least, and possibly as of a later number up to most.
		least, most := map[string]int{}, map[string]int{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			switch end := len(s.history); rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				zone := rapid.SampledFrom(zones).Draw(t, "zone")
				s.write(zone, s.evacuated(zone, end))
			case 1:
				if end > 0 {
					c := rapid.SampledFrom(s.history).Draw(t, "change")
					tell(t, z, now, c)
					least[c.Zone] = max(least[c.Zone], int(c.Revision.Number))
				}
			default:
				began := rapid.IntRange(0, end).Draw(t, "began")
				ended := rapid.IntRange(began, end).Draw(t, "ended")
				z.Read(now, now, s.keys(ended), s.revision(began))
				for _, zone := range zones {
					least[zone], most[zone] = max(least[zone], began), max(most[zone], ended)
				}
			}
			for _, zone := range zones {
				got, possible := slices.Contains(z.Evacuated(), zone), false
				for number := least[zone]; number <= max(least[zone], most[zone]); number++ {
					possible = possible || s.evacuated(zone, number) == got
				}
				if !possible {
					t.Fatalf("zone %s: evacuated %v, told of %d to %d of %v", zone, got, least[zone], most[zone], s.history)
				}
			}
		}
		z.Read(now, now, s.keys(len(s.history)), s.revision(len(s.history)))
		for _, zone := range zones {
			if s.evacuated(zone, len(s.history)) != slices.Contains(z.Evacuated(), zone) {
				t.Fatalf("zone %s differs after a complete read", zone)
			}
		}
	})
}

// Guards against an evacuation that ends because the store was restored from a copy without its key, and
// against one that lasts for ever then. It stays in force for 2 s, in which the operator writes the key
// again, whatever reads and late reports come, and ends with the first complete read that begins later.
func TestMissingEvacuationOutlastsARestore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, z, now := &store{}, evacuation.New(), time.Unix(1000, 0)
		for i := range rapid.IntRange(1, 12).Draw(t, "changes") {
			zone := rapid.SampledFrom(zones).Draw(t, "zone")
			s.write(zone, s.evacuated(zone, i))
		}
		z.Read(now, now, s.keys(len(s.history)), s.revision(len(s.history)))
		before := z.Evacuated()
		restored := &store{epoch: 1, history: slices.Clone(s.history[:rapid.IntRange(0, len(s.history)).Draw(t, "copy")])}
		first := now.Add(time.Second)
		for ms := 0; ms <= 4000; ms += rapid.IntRange(1, 700).Draw(t, "pause") {
			now = first.Add(time.Duration(ms) * time.Millisecond)
			end := len(restored.history)
			z.Read(now.Add(-5*time.Millisecond), now, restored.keys(end), restored.revision(end))
			if rapid.Bool().Draw(t, "late") {
				tell(t, z, now, rapid.SampledFrom(s.history).Draw(t, "change"))
			}
			for _, zone := range zones {
				key, was, got := restored.evacuated(zone, end), slices.Contains(before, zone), slices.Contains(z.Evacuated(), zone)
				if !got && (key || was && ms < 2000) {
					t.Fatalf("zone %s: not evacuated %d ms after the first read, key %v", zone, ms, key)
				}
			}
		}
		now = now.Add(time.Second)
		z.Read(now, now, restored.keys(len(restored.history)), restored.revision(len(restored.history)))
		for _, zone := range zones {
			if restored.evacuated(zone, len(restored.history)) != slices.Contains(z.Evacuated(), zone) {
				t.Fatalf("zone %s differs after the grace time", zone)
			}
		}
	})
}

// Guards against a change that no other router hears of because one report was lost, against reports that
// grow without bound, and against entries that no store can have written.
func TestReportsRepeatChanges(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	z, other := evacuation.New(), evacuation.New()
	is.Equal(len(z.Watched(now, []evacuation.Change{{Zone: "a", Revision: evacuation.Revision{Number: 7}}})), 1)
	reports := 0
	for range 10 {
		r := &v1.LoadReport{}
		z.FillReport(r)
		reports += len(r.Evacuations)
	}
	is.Equal(reports, 3)
	is.Equal(len(other.MergeReport(now, z.Entries())), 1)
	is.Equal(len(other.MergeReport(now, z.Entries())), 0) // known
	z.Watched(now, []evacuation.Change{{Zone: "a", Ended: true, Revision: evacuation.Revision{Number: 9}}})
	ended := other.MergeReport(now.Add(time.Second), z.Entries())
	is.Equal(ended[0].Age, time.Second)
	is.Equal(len(other.Evacuated()), 0)

	var absurd []*v1.ZoneEvacuation
	for i := range 1000 {
		absurd = append(absurd, &v1.ZoneEvacuation{Zone: fmt.Sprint("z", i), Revision: 8})
	}
	absurd = append(absurd, &v1.ZoneEvacuation{Revision: 8}, &v1.ZoneEvacuation{Zone: "a", Epoch: 1 << 63, Revision: 8})
	other.MergeReport(now, absurd)
	other.MergeReport(now, absurd[64:])
	is.True(len(other.Evacuated()) < 64)
	is.True(!slices.Contains(other.Evacuated(), "a"))
}
