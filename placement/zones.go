package placement

import "time"

const (
	// silentReports is the number of reports that all routers of a zone must miss
	// until it counts as silent: several in a row are not lost by chance.
	silentReports = 6
	// zonePenalty is the cost in ms of a target in a silent zone: the time of a
	// connection that fails.
	zonePenalty = 400.0
	// forgetZone is the time after which a zone without routers is no longer
	// avoided.
	forgetZone = 30 * time.Second
)

// zones tells which availability zones were heard of lately. A zone that is cut
// off from this router's shows first by the silence of all its routers.
type zones struct {
	own      string
	interval time.Duration
	heard    map[string]time.Time
}

func newZones(own string) *zones { return &zones{own: own, heard: make(map[string]time.Time)} }

// hear records a report of a router in a zone.
func (z *zones) hear(now time.Time, zone string) {
	if zone != "" {
		z.heard[zone] = now
	}
}

// silent reports whether a zone whose routers reported before reports no more.
func (z *zones) silent(now time.Time, zone string) bool {
	last, known := z.heard[zone]
	if !known || zone == z.own || z.interval == 0 {
		return false
	}
	quiet := now.Sub(last)
	return quiet > silentReports*z.interval && quiet < forgetZone
}
