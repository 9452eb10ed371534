// Package streams remembers the software version of the targets at which streams began, and checks that the events of a
// stream go on one from the other (Sequence).
//
// What two versions write does not fit together, so a stream that broke off may go on only at the
// version that began it, whichever router its caller comes to next. Routers therefore tell each other
// in their load reports at which version each stream begins, and a router that does not know a stream,
// because it has just started or a report was dropped, asks the others.
//
// A stream whose origin nobody knows may go on anywhere if its service has had one version only since the
// stream may have begun. Routers therefore also tell each other the versions that they have seen, and which part of
// the history of registrations these cover (Coverage): a router that starts after a version is gone would not learn of it
// from the registrations of targets. If all routers start at once, the history of registrations tells them. That nothing
// was heard of another version proves nothing: it takes a coverage up to a revision which the store had after the
// caller asked for the stream, since a router begins streams only at targets that are registered.
//
// An origin is forgotten between one and two lifetimes after it was recorded; the router that forwards
// a stream records it again before that. The memory is bounded: if streams begin faster than expected,
// origins are forgotten sooner.
//
// The package has no goroutine, clock or socket: callers pass in the current time. Origins, Sequence and Numberings are not
// safe for concurrent use.
package streams

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const (
	// Lifetime is the time for which an origin is remembered at least.
	Lifetime = 30 * time.Second
	// maxOrigins is the largest number of origins recorded within a lifetime: 40 bytes each.
	maxOrigins = 100_000
	// maxReported limits the origins in one report, so that it fits into a datagram.
	maxReported = 500
	// maxVersions is the number of versions that are remembered for a service: with two, the origin of a
	// stream matters.
	maxVersions = 2
	// versionReports is the number of reports that state the versions of a service after another one was
	// seen, in case some of them are dropped.
	versionReports = 3
	// coverageInterval is the time between two reports that state all versions and the coverage.
	coverageInterval = time.Second
	// maxToldServices is the number of services up to which a report states all versions, so that it fits into a datagram.
	maxToldServices = 500
	// maxKnownMs limits the time for which versions are taken for known, in milliseconds.
	maxKnownMs = 24 * 60 * 60 * 1000
	// maxServices bounds the services whose versions are remembered.
	maxServices = 10_000
)

// ID identifies a stream: a hash of the ID of the caller's request that brought its first event.
type ID uint64

// IDOf returns the ID of the stream that a caller's request began; 0 if the request has no ID.
func IDOf(requestID string) ID {
	if requestID == "" {
		return 0
	}
	return ID(xxhash.Sum64String(requestID))
}

// After returns the ID of what follows of a stream once its route no longer leads to the service at which it began.
func (id ID) After(service uint32) ID {
	b := binary.LittleEndian.AppendUint64(nil, uint64(id))
	return ID(xxhash.Sum64(binary.LittleEndian.AppendUint32(b, service)))
}

// Origin is where a stream began.
type Origin struct {
	// Service and Version are hashes of the service and of the version of its targets.
	Service, Version uint32
}

// Origins is one router's memory of the origins of streams.
type Origins struct {
	// recent holds the origins since rotatedAt, older those of the lifetime before.
	recent, older map[ID]Origin
	rotatedAt     time.Time
	// unreported holds the origins that this router has recorded and not reported yet, and reported
	// those that are reported once more, since datagrams are lost now and then.
	unreported, reported []*v1.StreamOrigin
	// versions holds up to maxVersions versions that targets of each service have had, and versionsDue the
	// number of reports that must still state them.
	versions    map[uint32][]uint32
	versionsDue map[uint32]int
	// coverage says which part of the history of registrations versions is known to hold, and lastRead the latest
	// revision at which all registrations were read.
	coverage Coverage
	lastRead Revision
	// coverageReportedAt is when a report last stated the coverage.
	coverageReportedAt time.Time
}

// New returns an empty memory.
func New(now time.Time) *Origins {
	return &Origins{
		recent: make(map[ID]Origin), rotatedAt: now,
		versions: make(map[uint32][]uint32), versionsDue: make(map[uint32]int),
	}
}

// SeeVersion records that targets of a service have, or had, a version; both are hashes.
func (o *Origins) SeeVersion(service, version uint32) {
	known, ok := o.versions[service]
	if len(known) >= maxVersions || slices.Contains(known, version) || !ok && len(o.versions) >= maxServices {
		return
	}
	o.versions[service] = append(known, version)
	o.versionsDue[service] = versionReports
}

// MayHaveSeveralVersions reports whether targets of several versions may have served a service within a time
// before now, if the coverage reaches up to now. Those of a service for which no room was left are not known.
func (o *Origins) MayHaveSeveralVersions(now time.Time, service uint32, within time.Duration) bool {
	known := len(o.versions[service])
	return known > 1 || known == 0 && len(o.versions) >= maxServices || o.VersionsKnownFor(now) < within
}

// OnlyVersion returns the version of a service of which exactly one is known, and 0 otherwise.
func (o *Origins) OnlyVersion(service uint32) uint32 {
	if known := o.versions[service]; len(known) == 1 {
		return known[0]
	}
	return 0
}

// VersionCount returns the number of versions that are known of a service; 2 stands for any larger number.
func (o *Origins) VersionCount(service uint32) int { return len(o.versions[service]) }

func (o *Origins) allVersions() []*v1.ServiceVersions {
	list := make([]*v1.ServiceVersions, 0, len(o.versions))
	for service := range o.versions {
		list = append(list, o.versionsOf(service))
	}
	return list
}

func (o *Origins) versionsOf(service uint32) *v1.ServiceVersions {
	return &v1.ServiceVersions{Service: service, Version: slices.Clone(o.versions[service])}
}

// Record records where a stream that this router forwards began, for the next reports too. It has no
// effect on streams without an ID.
func (o *Origins) Record(now time.Time, id ID, origin Origin) {
	if id == 0 {
		return
	}
	o.put(now, id, origin)
	o.unreported = append(o.unreported, message(id, origin))
	if len(o.unreported) > maxOrigins {
		o.unreported = o.unreported[1:]
	}
}

// Lookup returns where a stream began, and whether that is known.
func (o *Origins) Lookup(id ID) (Origin, bool) {
	if origin, ok := o.recent[id]; ok {
		return origin, true
	}
	origin, ok := o.older[id]
	return origin, ok
}

// FillReport adds the origins to a report that were recorded since the last ones, and the versions of
// services that were seen since, or all with the coverage each coverageInterval.
func (o *Origins) FillReport(now time.Time, r *v1.LoadReport) {
	for service := range o.versionsDue {
		o.versionsDue[service]--
		if o.versionsDue[service] == 0 {
			delete(o.versionsDue, service)
		}
		r.Versions = append(r.Versions, o.versionsOf(service))
	}
	if now.Sub(o.coverageReportedAt) >= coverageInterval && o.coverage.IsKnown() {
		o.coverageReportedAt = now
		o.AddVersions(now, r)
	}
	n := min(len(o.unreported), maxReported)
	r.StreamOrigins = append(append(r.StreamOrigins, o.unreported[:n]...), o.reported...)
	o.reported, o.unreported = o.unreported[:n:n], o.unreported[n:]
}

// MergeReport records the origins and the versions that another router reports. A stream shows that its
// version exists.
func (o *Origins) MergeReport(now time.Time, r *v1.LoadReport) {
	for _, s := range r.StreamOrigins {
		if s.Stream != 0 {
			o.put(now, ID(s.Stream), Origin{Service: s.Service, Version: s.Version})
			o.SeeVersion(s.Service, s.Version)
		}
	}
	for _, s := range r.Versions {
		for _, version := range s.Version {
			o.SeeVersion(s.Service, version)
		}
	}
	o.coverage = o.coverage.merge(coverageOf(now, r))
}

// Answer returns the origins that are known of the streams that another router asks for.
func (o *Origins) Answer(wanted []uint64) []*v1.StreamOrigin {
	var known []*v1.StreamOrigin
	for _, id := range wanted[:min(len(wanted), maxReported)] {
		if origin, ok := o.Lookup(ID(id)); ok {
			known = append(known, message(ID(id), origin))
		}
	}
	return known
}

func message(id ID, origin Origin) *v1.StreamOrigin {
	return &v1.StreamOrigin{Stream: uint64(id), Service: origin.Service, Version: origin.Version}
}

// put records an origin. A stream has one: the first that was heard of stays.
func (o *Origins) put(now time.Time, id ID, origin Origin) {
	if now.Sub(o.rotatedAt) >= Lifetime || len(o.recent) >= maxOrigins {
		o.older, o.recent = o.recent, make(map[ID]Origin)
		o.rotatedAt = now
	}
	if known, ok := o.older[id]; ok {
		origin = known
	}
	if _, ok := o.recent[id]; !ok {
		o.recent[id] = origin
	}
}
