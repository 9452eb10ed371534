// Package evacuation decides which availability zones are evacuated: the operator wants nothing more to
// be sent to the targets of such a zone.
//
// The operator writes a key to the platform's store for each zone and deletes it later. A router learns of
// that from a watch of the keys, from complete reads of them and from the reports of other routers, in any
// order, late, several times or not at all. For each zone the latest statement wins, by its Revision.
//
// A complete read states for all zones at once what holds at the revision at which it began: it ends the
// evacuations that it does not list, except those that were written after that revision. Later statements
// from before that revision are ignored, also of zones that are not known.
//
// A store that is restored from an older copy may lack the key of an evacuation that is in force. The
// evacuation then stays in force for RestoreGrace, within which the operator writes the key again, and
// until a complete read that begins after that does not list it either.
//
// The package has no goroutine or clock: callers pass in the current time. Zones is not safe for
// concurrent use.
package evacuation

import (
	"cmp"
	"math"
	"slices"
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const (
	// RestoreGrace is the time for which an evacuation stays in force that a restored store lacks.
	RestoreGrace = 2 * time.Second
	// changeReports is the number of reports that state a change, since datagrams are lost.
	changeReports = 3
	// maxReportedZones bounds the zones of which reports of other routers are believed, and the zones in
	// one report. Deployments have a few.
	maxReportedZones = 64
	// maxZoneBytes bounds the length of the name of a zone in a report.
	maxZoneBytes = 255
	// maxRevision bounds the numbers in a report. Those of the store fit into an int64.
	maxRevision = math.MaxInt64
	// endedLifetime is the time for which the end of an evacuation is remembered, for routers that were
	// cut off.
	endedLifetime = 10 * time.Minute
)

// Revision is a position in the history of the store. The zero value is before all others.
type Revision struct {
	// Epoch grows each time the store is restored from an older copy. It loses its newest changes
	// then and gives out their numbers again.
	Epoch uint64
	// Number grows with each change of an epoch.
	Number uint64
}

// Compare returns -1 if r is before other, 0 if they are equal and 1 if r is after other.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Epoch, other.Epoch), cmp.Compare(r.Number, other.Number))
}

// Change says that the evacuation of a zone was requested or ended.
type Change struct {
	Zone     string
	Ended    bool
	Revision Revision
}

// Transition is the beginning or the end of an evacuation, as this router sees it.
type Transition struct {
	Change
	// Age is the time for which the state that ends was in force here; 0 if nothing was known of the
	// zone.
	Age time.Duration
}

// entry is the latest statement on a zone.
type entry struct {
	Change
	// since is when the zone came into its present state here.
	since time.Time
	// reportsDue is the number of reports that must still state the entry.
	reportsDue int
}

// Zones holds what is known of the evacuation of each zone.
type Zones struct {
	entries map[string]*entry
	// read is the revision of the latest complete read, and epochSince when the first complete read of
	// its epoch was applied.
	read       Revision
	epochSince time.Time
}

// New returns Zones of which none is evacuated.
func New() *Zones { return &Zones{entries: make(map[string]*entry)} }

// Watched applies changes that a watch has delivered.
func (z *Zones) Watched(now time.Time, changes []Change) []Transition {
	var out []Transition
	for _, c := range changes {
		if z.mayBeNew(now, c) {
			out = z.apply(now, c, out)
		}
	}
	return out
}

// Read applies a complete list of the keys. The read began at a time, and at a revision of the store.
func (z *Zones) Read(began, now time.Time, list []Change, at Revision) []Transition {
	if at.Epoch < z.read.Epoch {
		return nil
	}
	if at.Epoch > z.read.Epoch || z.epochSince.IsZero() {
		z.epochSince = now
	}
	latest := at.Compare(z.read) >= 0
	if latest {
		z.read = at
	}
	var out []Transition
	listed := make(map[string]bool, len(list))
	for _, c := range list {
		listed[c.Zone] = true
		known := z.entries[c.Zone]
		switch {
		case latest && known != nil && known.Ended && known.Revision.Compare(at) < 0:
			// The read shows the key at a later revision than that at which it was missing.
			c.Revision = laterOf(c.Revision, Revision{known.Revision.Epoch, known.Revision.Number + 1})
		case !latest && !z.mayBeNew(now, c):
			continue
		}
		out = z.apply(now, c, out)
	}
	for zone, known := range z.entries {
		awaited := known.Revision.Epoch < at.Epoch && began.Before(z.epochSince.Add(RestoreGrace))
		if !listed[zone] && !known.Ended && !awaited {
			out = z.apply(now, Change{Zone: zone, Ended: true, Revision: at}, out)
		}
	}
	z.forget(now)
	return out
}

// forget removes the entries of evacuations that ended long ago. The latest read covers them.
func (z *Zones) forget(now time.Time) {
	for zone, known := range z.entries {
		if known.Ended && known.reportsDue == 0 && now.Sub(known.since) > endedLifetime && known.Revision.Compare(z.read) <= 0 {
			delete(z.entries, zone)
		}
	}
}

func laterOf(a, b Revision) Revision {
	if a.Compare(b) < 0 {
		return b
	}
	return a
}

// mayBeNew reports whether a change may say more than the latest complete read, which shows what has become
// of all changes before it. An evacuation of an earlier epoch counts if it is in force here, and otherwise
// within RestoreGrace only: after that, it may be a late statement on one that has ended since.
func (z *Zones) mayBeNew(now time.Time, c Change) bool {
	known := z.entries[c.Zone]
	switch {
	case c.Ended || known != nil && !known.Ended:
		return true
	case c.Revision.Epoch < z.read.Epoch:
		return now.Sub(z.epochSince) < RestoreGrace
	}
	return c.Revision.Compare(z.read) > 0
}

// apply applies a change if it is later than what is known of the zone, and appends the transition to out
// if the zone's state changes.
func (z *Zones) apply(now time.Time, c Change, out []Transition) []Transition {
	known := z.entries[c.Zone]
	if known != nil && c.Revision.Compare(known.Revision) <= 0 {
		return out
	}
	added := &entry{Change: c, since: now, reportsDue: changeReports}
	z.entries[c.Zone] = added
	if known == nil && c.Ended {
		return out
	}
	if known != nil && known.Ended == c.Ended {
		added.since = known.since
		return out
	}
	t := Transition{Change: c}
	if known != nil {
		t.Age = now.Sub(known.since)
	}
	return append(out, t)
}

// MergeReport applies what another router reports.
func (z *Zones) MergeReport(now time.Time, list []*v1.ZoneEvacuation) []Transition {
	var out []Transition
	for _, r := range list[:min(len(list), maxReportedZones)] {
		c := Change{Zone: r.Zone, Ended: r.Ended, Revision: Revision{r.Epoch, r.Revision}}
		if z.believed(now, c) {
			out = z.apply(now, c, out)
		}
	}
	return out
}

// believed reports whether a change in another router's report is plausible and may be new.
func (z *Zones) believed(now time.Time, c Change) bool {
	if c.Zone == "" || len(c.Zone) > maxZoneBytes || c.Revision.Epoch > maxRevision || c.Revision.Number > maxRevision {
		return false
	}
	if _, known := z.entries[c.Zone]; !known && len(z.entries) >= maxReportedZones {
		return false
	}
	return z.mayBeNew(now, c)
}

// FillReport adds the latest changes to a report for other routers.
func (z *Zones) FillReport(r *v1.LoadReport) {
	for _, known := range z.entries {
		if known.reportsDue > 0 && len(r.Evacuations) < maxReportedZones {
			known.reportsDue--
			r.Evacuations = append(r.Evacuations, known.report())
		}
	}
}

// Entries returns all that is known, for a router that starts: first the evacuations in force.
func (z *Zones) Entries() []*v1.ZoneEvacuation {
	var list []*v1.ZoneEvacuation
	for _, ended := range []bool{false, true} {
		for _, known := range z.entries {
			if known.Ended == ended && len(list) < maxReportedZones {
				list = append(list, known.report())
			}
		}
	}
	return list
}

func (n *entry) report() *v1.ZoneEvacuation {
	return &v1.ZoneEvacuation{Zone: n.Zone, Epoch: n.Revision.Epoch, Revision: n.Revision.Number, Ended: n.Ended}
}

// Evacuated returns the zones that are evacuated, sorted.
func (z *Zones) Evacuated() []string {
	var zones []string
	for zone, known := range z.entries {
		if !known.Ended {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}
