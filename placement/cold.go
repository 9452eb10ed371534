package placement

import (
	"time"

	"github.com/chiveseam/chiveseam/coldstart"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/routing"
)

const (
	// newRouterTime is the time after a router's start in which it sends to cold targets only if no other
	// target of the service can get the request: it may not know all routers yet.
	newRouterTime = 2 * time.Second
	// discoveryPause is the time without a new router after which a router that has just started takes
	// its view of the fleet for complete, and for known to the others. It is several report intervals, as
	// reports are lost. The router uses no permits that were issued before.
	discoveryPause = 700 * time.Millisecond
	// coldReports is the number of reports that state a target that has turned cold, in case some of
	// them are dropped.
	coldReports = 3
	// coldRepeatInterval is the time after which a target that refuses connections is reported again.
	coldRepeatInterval = time.Second
	// coldReporters is the mean number of routers that report what a registration or the end of an
	// evacuation says: all routers that can reach the store learn it themselves.
	coldReporters = 4
)

// coldTarget is what a router knows of whether a target is cold, and what it still has to report.
type coldTarget struct {
	coldstart.Target
	// registered is set after the first registration of this start.
	registered bool
	reportsDue int
	reportedAt time.Time
}

// coldService holds what the cold targets of a service have in common.
type coldService struct {
	limits coldstart.Limits
	// observed and predicted are sums of times to the first token in ms, in which each sample of a cold
	// target lowers the weight of the earlier ones.
	observed, predicted float64
}

const (
	// coldSampleWeight is the weight of the sums after another sample.
	coldSampleWeight = 0.95
	// maxColdSlowness bounds the learned ratio of times at cold targets to usual ones.
	maxColdSlowness = 20
)

// slowness returns the ratio of the times to the first token at cold targets to the predictions for
// warm ones, as learned so far.
func (s *coldService) slowness() float64 {
	return min(max((s.observed+latencyRatioPriorMs)/(s.predicted+latencyRatioPriorMs), 1), maxColdSlowness)
}

// observe adds the time to the first token of a request at a cold target.
func (s *coldService) observe(observed, predicted float64) {
	s.observed = s.observed*coldSampleWeight + observed
	s.predicted = s.predicted*coldSampleWeight + predicted
}

// setColdLimits applies what a configuration says of the cold targets of services.
func (b *Balancer) setColdLimits(list map[string]routing.Service) {
	for name, s := range list {
		known, ok := b.services[name]
		if s.ColdPerSecond > 0 && !ok {
			known = b.service(name)
		}
		if known != nil {
			known.cold.limits = coldstart.Limits{
				PerSecond: s.ColdPerSecond, Most: s.ColdPerSecond*b.options.ColdOverage + b.options.ColdSlack, Start: s.ColdStart,
			}
		}
	}
}

// isCold reports whether a target takes a limited rate of requests until it is warm.
func (b *Balancer) isCold(now time.Time, t *target) bool {
	return t.service.cold.limits.Enabled() && t.cold.Cold(now)
}

// isNew reports whether this router has just started.
func (b *Balancer) isNew(now time.Time) bool { return now.Sub(b.options.Started) < newRouterTime }

// coldWait returns the time until this router may send a request to the target, as far as it is cold; 0 if
// it may now.
func (b *Balancer) coldWait(now time.Time, t *target) time.Duration {
	if !b.isCold(now, t) {
		return 0
	}
	if b.options.Seeded && b.fleet.grownAt.IsZero() {
		// The others may use all permits.
		return discoveryPause
	}
	if b.isNew(now) {
		if known := max(now.Sub(b.options.Started), 0); known < discoveryPause {
			return discoveryPause - known
		}
		if settled := now.Sub(b.fleet.grownAt); settled < discoveryPause {
			return discoveryPause - settled
		}
	}
	return t.cold.Wait(now, b.fleet.candidates(), b.options.Started.Add(discoveryPause), t.service.cold.limits)
}

// coldSlowness returns the factor by which times at the target are longer since it is cold.
func (b *Balancer) coldSlowness(now time.Time, t *target) float64 {
	if !b.isCold(now, t) {
		return 1
	}
	return t.service.cold.slowness()
}

// RecordRegistration applies the time for which a target is cold according to a registration that was
// received now. Registrations that were received before must not be passed again. It returns whether the
// target has turned cold.
func (b *Balancer) RecordRegistration(now time.Time, id string, remaining time.Duration) bool {
	t, ok := b.targets[id]
	if !ok {
		return false
	}
	if at, marked := b.evacuated.ended[t.Zone]; marked && !t.cold.registered {
		t.cold.Mark(now, at, t.service.cold.limits.MarkTime())
	}
	t.cold.registered = true
	if !t.cold.Registered(now, remaining) || !b.isCold(now, t) {
		return false
	}
	b.reportColdShared(t)
	return true
}

// MarkZoneCold records that the evacuation of a zone has ended, after which all its targets are cold. It
// returns the number of these targets.
func (b *Balancer) MarkZoneCold(now time.Time, zone string) int {
	b.evacuated.ended[zone] = now
	n := 0
	for _, t := range b.targets {
		if t.Zone == zone && t.service.cold.limits.Enabled() {
			t.cold.Mark(now, now, t.service.cold.limits.MarkTime())
			b.reportColdShared(t)
			n++
		}
	}
	return n
}

// RecordRefused records that a target has refused a connection: its process has ended, and it will be cold
// when it is back. The other routers are told. It returns whether that is news.
func (b *Balancer) RecordRefused(now time.Time, id string) bool {
	t, ok := b.targets[id]
	if !ok || !t.service.cold.limits.Enabled() || !t.cold.Refused(now) {
		return false
	}
	t.cold.reportsDue = coldReports
	return true
}

// recordReached records that a request has reached its target.
func (k *Ticket) recordReached(now time.Time) {
	if t := k.target; t.cold.Reached(now, k.sentAt, t.service.cold.limits) {
		t.cold.reportsDue = coldReports
	}
}

// ColdTargets returns the number of cold targets.
func (b *Balancer) ColdTargets(now time.Time) int {
	n := 0
	for _, t := range b.targets {
		if b.isCold(now, t) {
			n++
		}
	}
	return n
}

// IsCold reports whether a target is cold.
func (b *Balancer) IsCold(now time.Time, id string) bool {
	t, ok := b.targets[id]
	return ok && b.isCold(now, t)
}

// reportColdShared reports a target if this router is one of the few that tell the others. The
// preference is evenly spread over the routers.
func (b *Balancer) reportColdShared(t *target) {
	if t.preference*float64(len(b.fleet.routers)+1) < coldReporters {
		t.cold.reportsDue = coldReports
	}
}

// reportCold adds cold targets that are due to a report.
func (b *Balancer) reportCold(now time.Time, r *v1.LoadReport) {
	for _, t := range b.targets {
		if !b.isCold(now, t) {
			t.cold.reportsDue = 0
			continue
		}
		if t.cold.Down() && now.Sub(t.cold.reportedAt) >= coldRepeatInterval {
			t.cold.reportsDue = max(t.cold.reportsDue, 1)
		}
		if t.cold.reportsDue > 0 {
			t.cold.reportsDue--
			t.cold.reportedAt = now
			r.ColdTargets = append(r.ColdTargets, t.coldMessage(now))
		}
	}
}

// ColdTargetMessages returns the cold targets that this router knows, for a router that starts.
func (b *Balancer) ColdTargetMessages(now time.Time) []*v1.ColdTarget {
	var list []*v1.ColdTarget
	for _, t := range b.targets {
		if b.isCold(now, t) {
			list = append(list, t.coldMessage(now))
		}
	}
	return list
}

func (t *target) coldMessage(now time.Time) *v1.ColdTarget {
	remaining, observedAt := t.cold.Statement(now, t.service.cold.limits)
	return &v1.ColdTarget{
		Target: t.hash, Incarnation: uint64(t.StartedUnixMs),
		RemainingMs: uint32(remaining.Milliseconds()), AgeMs: uint32(max(now.Sub(observedAt).Milliseconds(), 0)),
	}
}

// mergeCold applies cold targets that another router reports. They count for the named start of the
// target only. A time that is over or longer than a target can state is ignored.
func (b *Balancer) mergeCold(now time.Time, list []*v1.ColdTarget) {
	for _, c := range list {
		t, ok := b.byHash[c.Target]
		remaining, age := time.Duration(c.RemainingMs)*time.Millisecond, time.Duration(c.AgeMs)*time.Millisecond
		if !ok || t.incarnation() != (incarnation{c.Target, int64(c.Incarnation)}) || remaining > coldstart.MaxRemaining || age >= remaining {
			continue
		}
		t.cold.Reported(now, now.Add(-age), remaining)
	}
}
