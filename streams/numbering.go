package streams

import (
	"cmp"
	"math/bits"
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const (
	// maxNumberings bounds the services and versions of which the numbering is learned.
	maxNumberings = 1_000
	// wellKnown is the number of steps from which on a router needs no other one to tell it of a numbering.
	wellKnown = 64
	// numberingReports is the number of reports that state what was learned, in case some of them are dropped.
	numberingReports = 2
	// maxReportedNumberings limits the numberings in one report, so that it fits into a datagram.
	maxReportedNumberings = 300
	// maxReportedSightings limits the sightings of larger numbers in one report likewise.
	maxReportedSightings = 500
)

// Numbering is what is known of how the IDs of the events of one service rise at one software version. Targets only
// promise that IDs increase, so it is learned from all their streams. It is not safe for concurrent use.
type Numbering struct {
	// first is the ID of the first event of streams, and step how far an ID is above the one before it.
	first, step usualNumber
	// targets are those of the last streams.
	targets recentTargets
	// reported is news at the last report, and due the number of reports that must still state what is known.
	reported, due int
}

// known returns the number of observations, as far as it matters to other routers.
func (n *Numbering) known() int { return min(max(n.first.observed(), n.step.observed()), wellKnown) }

// news grows by one each time that a part of what is known has doubled, or larger numbers have become usual.
func (n *Numbering) news() int {
	return bits.Len(uint(n.known())) + n.first.larger.news() + n.step.larger.news()
}

func (n *Numbering) message(now time.Time, origin Origin) *v1.EventNumbering {
	return &v1.EventNumbering{Service: origin.Service, Version: origin.Version, First: n.first.message(now), Step: n.step.message(now)}
}

// Numberings holds the numbering of each service and version. It is not safe for concurrent use.
type Numberings map[Origin]*Numbering

// Of returns the numbering of a service and version. Beyond maxNumberings, it forgets another one.
func (n Numberings) Of(origin Origin) *Numbering {
	if known, ok := n[origin]; ok {
		return known
	}
	other := n.otherVersion(origin)
	learned := learnedOf(n, origin)
	if other != nil {
		learned.first.expect(&other.first.mode)
		learned.step.expect(&other.step.mode)
	}
	return learned
}

// learnedOf returns what is learned of a service and version. Beyond maxNumberings, it forgets another one.
func learnedOf[T any](all map[Origin]*T, origin Origin) *T {
	if known, ok := all[origin]; ok {
		return known
	}
	for other := range all {
		if len(all) < maxNumberings {
			break
		}
		delete(all, other)
	}
	learned := new(T)
	all[origin] = learned
	return learned
}

// otherVersion returns the best known numbering of a service at another version; nil if there is none.
func (n Numberings) otherVersion(origin Origin) *Numbering {
	var best *Numbering
	var version uint32
	for other, numbering := range n {
		if other.Service != origin.Service {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(numbering.step.hits, best.step.hits), cmp.Compare(other.Version, version)) > 0 {
			best, version = numbering, other.Version
		}
	}
	return best
}

// FillReport adds the numberings to a report of which twice as much has been learned as at an earlier one, until other routers
// know enough.
func (n Numberings) FillReport(now time.Time, r *v1.LoadReport) {
	for origin, numbering := range n {
		if len(r.Numberings) >= maxReportedNumberings {
			return
		}
		if news := numbering.news(); numbering.known() >= minHitsRetry && news > numbering.reported {
			numbering.reported, numbering.due = news, numberingReports
		}
		if numbering.due > 0 {
			numbering.due--
			r.Numberings = append(r.Numberings, numbering.message(now, origin))
		}
	}
	limitSightings(r.Numberings)
}

// limitSightings leaves sightings out beyond maxReportedSightings.
func limitSightings(list []*v1.EventNumbering) {
	reported := 0
	for _, n := range list {
		for _, u := range []*v1.UsualNumber{n.First, n.Step} {
			if u.Larger == nil {
				continue
			}
			if reported += len(u.Larger.Recent); reported > maxReportedSightings {
				u.Larger.Recent = nil
			}
		}
	}
}

// Messages returns all numberings, for a router that does not know them, in lists that fit into a report each.
func (n Numberings) Messages(now time.Time) [][]*v1.EventNumbering {
	var lists [][]*v1.EventNumbering
	for origin, numbering := range n {
		if numbering.known() < minHitsRetry {
			continue
		}
		if last := len(lists) - 1; last < 0 || len(lists[last]) == maxReportedNumberings {
			lists = append(lists, nil)
		}
		lists[len(lists)-1] = append(lists[len(lists)-1], numbering.message(now, origin))
	}
	for _, list := range lists {
		limitSightings(list)
	}
	return lists
}

// MergeReport learns what another router reports.
func (n Numberings) MergeReport(now time.Time, r *v1.LoadReport) {
	for _, told := range r.Numberings[:min(len(r.Numberings), maxReportedNumberings)] {
		numbering := n.Of(Origin{Service: told.Service, Version: told.Version})
		numbering.first.adopt(now, told.First, &numbering.targets)
		numbering.step.adopt(now, told.Step, &numbering.targets)
		numbering.reported = max(numbering.reported, numbering.news())
	}
}

// observed returns the number of observations.
func (m *mode) observed() int { return m.hits + m.outliers }

func (m *mode) message() *v1.UsualNumber {
	return &v1.UsualNumber{
		Value: m.value, Hits: uint32(m.hits), Outliers: uint32(m.outliers), Confirmed: uint32(m.confirmed),
		Refuted: uint32(m.refuted),
	}
}

// adopt replaces the mode by one that another router has learned from more numbers, unless the own one is well known or
// contradicts it. Nothing is added up, so that a report may come several times, or by way of several routers. It counts for
// wellKnown numbers at most, and own ones soon outweigh it.
func (m *mode) adopt(told *v1.UsualNumber) {
	hits, outliers := int(min(told.GetHits(), maxObserved)), int(min(told.GetOutliers(), maxObserved))
	if hits == 0 || hits+outliers <= m.seen || m.seen >= wellKnown || m.hits >= minHitsRetry && m.value != told.GetValue() {
		return
	}
	if total := hits + outliers; total > wellKnown {
		outliers = (outliers*wellKnown + total - 1) / total
		hits = wellKnown - outliers
	}
	*m = mode{
		value: told.GetValue(), hits: max(hits, m.hits), outliers: max(outliers, m.outliers),
		seen:      max(m.seen, min(hits+outliers, wellKnown)),
		confirmed: max(m.confirmed, int(min(told.GetConfirmed(), maxConfirmed))),
		refuted:   max(m.refuted, int(min(told.GetRefuted(), maxRefuted))),
	}
}
