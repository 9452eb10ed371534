package placement

import "time"

// evacuatedZones holds the availability zones that the operator has evacuated, and when the evacuations of
// others ended.
type evacuatedZones struct {
	zones map[string]bool
	ended map[string]time.Time
}

func newEvacuatedZones() evacuatedZones {
	return evacuatedZones{zones: make(map[string]bool), ended: make(map[string]time.Time)}
}

// SetEvacuated begins or ends the evacuation of a zone: while it lasts, no request is sent to the zone's
// targets, and none of them is the donor of a fetch.
func (b *Balancer) SetEvacuated(now time.Time, zone string, evacuated bool) {
	if b.evacuated.zones[zone] == evacuated {
		return
	}
	b.changes++
	if evacuated {
		b.evacuated.zones[zone] = true
		delete(b.evacuated.ended, zone)
		return
	}
	delete(b.evacuated.zones, zone)
	b.MarkZoneCold(now, zone)
}

// EvacuationEndedAt returns when the latest evacuation of a zone ended; zero if none has since the start of
// this router, or if the zone is evacuated.
func (b *Balancer) EvacuationEndedAt(zone string) time.Time { return b.evacuated.ended[zone] }

// TargetsInZone returns the number of targets in a zone.
func (b *Balancer) TargetsInZone(zone string) int {
	n := 0
	for _, t := range b.targets {
		if t.Zone == zone {
			n++
		}
	}
	return n
}

// mayDonate reports whether other engines may fetch from the KV cache of a target for a request.
func (b *Balancer) mayDonate(t *target, d *Demand) bool {
	return !b.evacuated.zones[t.Zone] && b.allows(d.Regions, t)
}
