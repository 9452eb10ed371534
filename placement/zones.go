package placement

import "time"

const (
	// silentZoneReports is the number of report intervals without a report from any router
	// of a zone after which the zone is silent: that many reports in a row are not lost
	// by chance.
	silentZoneReports = 6
	// silentZonePenaltyMs is the extra cost in ms of a target in a silent zone: the time that
	// a connection takes to fail.
	silentZonePenaltyMs = 400.0
	// forgetZoneAfter is the silence after which a zone is no longer avoided: it may have
	// targets but no routers any more.
	forgetZoneAfter = 30 * time.Second
)

// zones tracks when routers of each availability zone last reported. If a zone is cut off
// from this router's zone, the silence of all its routers shows it before connections to
// its targets fail.
type zones struct {
	// own is this router's zone.
	own string
	// interval is the time between two reports of a router; 0 if it is not known yet.
	interval time.Duration
	// lastReport is the time of the last report from any router of a zone, by zone.
	lastReport map[string]time.Time
}

func newZones(own string) *zones { return &zones{own: own, lastReport: make(map[string]time.Time)} }

// recordReport records that a report came from a router of a zone; "" is no zone.
func (z *zones) recordReport(now time.Time, zone string) {
	if zone != "" {
		z.lastReport[zone] = now
	}
}

// silent reports whether all routers of another zone have stopped reporting, for less than
// forgetZoneAfter.
func (z *zones) silent(now time.Time, zone string) bool {
	last, known := z.lastReport[zone]
	if !known || zone == z.own || z.interval == 0 {
		return false
	}
	silence := now.Sub(last)
	return silence > silentZoneReports*z.interval && silence < forgetZoneAfter
}
