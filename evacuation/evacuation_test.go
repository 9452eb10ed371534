package evacuation_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chiveseam/chiveseam/evacuation"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

var zones = []string{"a", "b", "c"}

// history holds the changes of the keys in an epoch. The n-th change has the number n.
type history []evacuation.Change

func at(epoch, number int) evacuation.Revision {
	return evacuation.Revision{Epoch: uint64(epoch), Number: uint64(number)}
}

// keys returns the keys after a number of changes, as those of an epoch.
func (h history) keys(epoch, number int) (list []evacuation.Change) {
	for _, c := range h[:number] {
		c.Revision.Epoch = uint64(epoch)
		if list = slices.DeleteFunc(list, func(k evacuation.Change) bool { return k.Zone == c.Zone }); !c.Ended {
			list = append(list, c)
		}
	}
	return list
}

func (h history) has(zone string, number int) bool {
	return slices.ContainsFunc(h.keys(0, number), func(c evacuation.Change) bool { return c.Zone == zone })
}

// tell tells one of the changes, by a watch or a report.
func (h history) tell(t *rapid.T, z *evacuation.Zones, now time.Time) evacuation.Change {
	c := rapid.SampledFrom(h).Draw(t, "change")
	if rapid.Bool().Draw(t, "watch") {
		z.Watched(now, []evacuation.Change{c})
	} else {
		z.MergeReport(now, []*v1.ZoneEvacuation{
			{Zone: c.Zone, Epoch: c.Revision.Epoch, Revision: c.Revision.Number, Ended: c.Ended},
			{Zone: c.Zone, Epoch: 1 << 63, Ended: true}, {Epoch: 7, Revision: 7}, // no store writes these
		})
	}
	if slices.Contains(z.Evacuated(), "") {
		t.Fatal("an evacuation without a zone")
	}
	return c
}

// Guards against an evacuation that is undone by a complete read that began before it was requested, or
// brought back by a late report or a repeated event after its end. Changes come in any order, several times
// or not at all, and complete reads end after later changes: what a router believes of a zone is what held
// at the latest of the revisions that it was told of, or after that.
//
// Then the store is restored from a copy. Guards against an evacuation that ends because the copy lacks its
// key, and against one that lasts for ever: it stays in force for 2 s, in which the operator writes the key
// again, whatever reads and late reports come, and ends with the first complete read that begins later.
func TestLatestStatementWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h, z, now := history{}, evacuation.New(), time.Unix(1000, 0)
		// The router was told of a zone as of least, and possibly as of a later number up to most.
		least, most := map[string]int{}, map[string]int{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch step := rapid.IntRange(0, 3).Draw(t, "step"); {
			case step == 0 || len(h) == 0:
				zone := rapid.SampledFrom(zones).Draw(t, "zone")
				h = append(h, evacuation.Change{Zone: zone, Ended: h.has(zone, len(h)), Revision: at(0, len(h)+1)})
			case step == 1:
				c := h.tell(t, z, now)
				least[c.Zone] = max(least[c.Zone], int(c.Revision.Number))
			default:
				began := rapid.IntRange(0, len(h)).Draw(t, "began")
				ended := rapid.IntRange(began, len(h)).Draw(t, "ended")
				z.Read(now, now, h.keys(0, ended), at(0, began))
				for _, zone := range zones {
					least[zone], most[zone] = max(least[zone], began), max(most[zone], ended)
				}
			}
			for _, zone := range zones {
				got, possible := slices.Contains(z.Evacuated(), zone), false
				for number := least[zone]; number <= max(least[zone], most[zone]); number++ {
					possible = possible || h.has(zone, number) == got
				}
				if !possible {
					t.Fatalf("zone %s: evacuated %v, told of %d to %d of %v", zone, got, least[zone], most[zone], h)
				}
			}
		}
		z.Read(now, now, h.keys(0, len(h)), at(0, len(h)))
		before, restored := z.Evacuated(), rapid.IntRange(0, len(h)).Draw(t, "copy")
		for ms, last := 0, false; !last; ms += rapid.IntRange(1, 700).Draw(t, "pause") {
			now := now.Add(time.Duration(ms) * time.Millisecond)
			z.Read(now, now, h.keys(1, restored), at(1, restored))
			last = ms >= 2000
			for _, zone := range zones {
				key, got := h.has(zone, restored), slices.Contains(z.Evacuated(), zone)
				if key && !got || !last && !got && slices.Contains(before, zone) || last && got != key {
					t.Fatalf("zone %s: evacuated %v %d ms after the first read, key %v", zone, got, ms, key)
				}
			}
			h.tell(t, z, now)
		}
	})
}
