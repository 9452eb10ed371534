package placement

import (
	"strconv"
	"strings"
	"time"

	"github.com/chiveseam/chiveseam/routing"
)

// Ineligibility says why a target may not get a request now.
type Ineligibility int

// The checks run in the order of these constants; the first that applies is the reason. Those from
// Draining to Unhealthy are the same for all requests.
const (
	// Eligible targets may get the request.
	Eligible Ineligibility = iota
	// Region: the request may not be sent to the target's region.
	Region
	// Draining: the registration says that the target takes no new requests.
	Draining
	// Leaving: the target has told a router that it leaves.
	Leaving
	// Evacuated: the operator has evacuated the target's zone.
	Evacuated
	// Paused: the target wants no requests from this router for a time.
	Paused
	// Unhealthy: the circuit breaker holds the target back.
	Unhealthy
	// OtherVersion: the request may only go to another software version.
	OtherVersion
	// Excluded: the caller of Choose has excluded the target.
	Excluded
	// RateLimited: the target has got as many requests as its rate limit allows.
	RateLimited
	// Cold: the target is cold and has got as many requests as it takes then.
	Cold

	ineligibilities
)

// String returns the name in logs.
func (i Ineligibility) String() string {
	return [ineligibilities]string{"eligible", "region", "draining", "leaving", "evacuated", "paused", "unhealthy", "other_version", "excluded", "rate_limited", "cold"}[i]
}

// eligibility is the result of the checks of one target for one request. wait is the time until the
// reason may end; 0 if that is not known.
type eligibility struct {
	reason Ineligibility
	wait   time.Duration
}

// eligibility runs all checks of a target for a request.
func (b *Balancer) eligibility(now time.Time, t *target, d *Demand) eligibility {
	if !b.allows(d.Regions, t) {
		return eligibility{reason: Region}
	}
	if e := b.availability(now, t); e.reason != Eligible {
		return e
	}
	switch {
	case !t.hasVersion(d.Version):
		return eligibility{reason: OtherVersion}
	case d.Excluded != nil && d.Excluded(t.ID):
		return eligibility{reason: Excluded}
	}
	if wait := b.permitWait(now, t); wait > 0 {
		return eligibility{RateLimited, wait}
	}
	if wait := b.coldWait(now, t); wait > 0 {
		return eligibility{Cold, wait}
	}
	return eligibility{}
}

// allows reports whether a target is in one of the regions. If any regions are given, a target in a zone
// without a known region is not.
func (b *Balancer) allows(regions routing.Regions, t *target) bool {
	return regions == nil || regions.Allow(b.options.ZoneRegions[t.Zone])
}

// availability runs the checks that are the same for all requests.
func (b *Balancer) availability(now time.Time, t *target) eligibility {
	switch {
	case t.Draining:
		return eligibility{reason: Draining}
	case t.leaving:
		return eligibility{reason: Leaving}
	case b.evacuated.zones[t.Zone]:
		return eligibility{reason: Evacuated}
	case now.Before(t.pausedUntil):
		return eligibility{Paused, t.pausedUntil.Sub(now)}
	case !t.breaker.Ready(now):
		return eligibility{reason: Unhealthy}
	}
	return eligibility{}
}

// IneligibleTargets counts the targets of a service that may not get a request, by reason.
type IneligibleTargets [ineligibilities]struct {
	Targets int
	// Wait is the shortest time until the reason may end for one of them; 0 if that is not known.
	Wait time.Duration
}

// add counts one target.
func (c *IneligibleTargets) add(e eligibility) {
	counted := &c[e.reason]
	counted.Targets++
	if e.wait > 0 && (counted.Wait == 0 || e.wait < counted.Wait) {
		counted.Wait = e.wait
	}
}

// cause returns the error for a request of which no target is only not ready for a time.
func (c IneligibleTargets) cause() error {
	total := 0
	for _, counted := range c {
		total += counted.Targets
	}
	region, evacuated := c[Region].Targets, c[Evacuated].Targets
	switch {
	case region > 0 && region == total:
		return ErrRegion
	case evacuated > 0 && region+evacuated+c[Draining].Targets+c[Leaving].Targets == total:
		return ErrEvacuated
	}
	return ErrNoTarget
}

// String returns the counts in the form REASON:TARGETS, separated by commas, for logs.
func (c IneligibleTargets) String() string {
	var parts []string
	for reason, counted := range c {
		if counted.Targets > 0 {
			parts = append(parts, Ineligibility(reason).String()+":"+strconv.Itoa(counted.Targets))
		}
	}
	return strings.Join(parts, ",")
}
