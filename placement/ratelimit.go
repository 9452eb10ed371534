package placement

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/ratelimit"
	"github.com/chiveseam/chiveseam/routing"
)

const (
	// rateLimitInterval is the time after which a rate limit that has not changed is reported to the
	// other routers again.
	rateLimitInterval = time.Second
	// rateLimitReports is the number of reports that state a changed rate limit, in case some of them
	// are dropped.
	rateLimitReports = 2
	// confirmRateLimit is the age of the latest answer above which a rate limit may have ended.
	confirmRateLimit = 1500 * time.Millisecond
	// maxObservationAge bounds the age in a report of a rate limit, so that it fits into its field.
	maxObservationAge = time.Hour
)

// rateLimit is the number of requests per second that a target takes from all routers together, by
// the newest of its answers that this router knows of.
type rateLimit struct {
	// perSecond is infinite if the target sets no limit.
	perSecond float64
	// observedAt is when a router got the answer that says so.
	observedAt time.Time
	// permits is this router's part of the limit; nil without one.
	permits *ratelimit.Limiter
	// reportsDue is the number of coming load reports that must state the limit, and reportedAt when
	// the last one did. Each router reports what its own answers say.
	reportsDue int
	reportedAt time.Time
}

func (l *rateLimit) limited() bool { return !math.IsInf(l.perSecond, 1) }

// unconfirmed reports whether the target may have ended its limit: no router has had an answer of it
// lately. It then gets the next request for which there is a permit.
func (l *rateLimit) unconfirmed(now time.Time) bool {
	return l.limited() && now.Sub(l.observedAt) >= confirmRateLimit
}

// set applies what an answer of the target with an idHash says, unless a newer answer is known. It returns
// whether the limit has changed.
func (l *rateLimit) set(observedAt time.Time, idHash uint64, perSecond float64) bool {
	if observedAt.Before(l.observedAt) {
		return false
	}
	l.observedAt = observedAt
	if l.perSecond == perSecond {
		return false
	}
	l.perSecond = perSecond
	switch {
	case !l.limited():
		l.permits = nil
	case l.permits == nil:
		l.permits = ratelimit.New(observedAt, idHash, perSecond)
	default:
		l.permits.SetRate(observedAt, perSecond)
	}
	return true
}

// SetRateLimit records the number of requests per second that a target takes from all routers
// together, infinite if it sets no limit, as its latest answer to this router says. The other routers
// are told. It returns whether that has changed.
func (b *Balancer) SetRateLimit(now time.Time, answered routing.Target, perSecond float64) (changed bool) {
	idHash := xxhash.Sum64String(answered.ID)
	if t := b.inUse(answered); t != nil {
		return t.rateLimit.answered(now, idHash, perSecond)
	}
	b.removed.change(answered, func(r *restriction) { changed = r.rateLimit.answered(now, idHash, perSecond) })
	return changed
}

// answered applies what an answer to this router says, and has it reported. It returns whether the limit has changed.
func (l *rateLimit) answered(now time.Time, idHash uint64, perSecond float64) bool {
	changed := l.set(now, idHash, perSecond)
	switch {
	case changed:
		l.reportsDue = rateLimitReports
	case l.limited() && now.Sub(l.reportedAt) >= rateLimitInterval:
		l.reportsDue = max(l.reportsDue, 1)
	}
	return changed
}

// permitWait returns the time until this router may send a request to the target by its rate limit; 0
// if it may now.
func (b *Balancer) permitWait(now time.Time, t *target) time.Duration {
	if t.rateLimit.permits == nil {
		return 0
	}
	return t.rateLimit.permits.Wait(now, b.fleet.part)
}

// takePermit counts a request that is sent to the target.
func (t *target) takePermit() {
	if t.rateLimit.permits != nil {
		t.rateLimit.permits.Take()
	}
}

// reportRateLimits adds the rate limits that this router's answers have named lately to a report.
func (b *Balancer) reportRateLimits(now time.Time, r *v1.LoadReport) {
	for _, t := range b.targets {
		if l := &t.rateLimit; l.reportsDue > 0 {
			l.reportsDue--
			l.reportedAt = now
			r.RateLimits = append(r.RateLimits, t.rateLimitMessage(now))
		}
	}
}

// RateLimits returns the rate limits of targets that this router knows, for a router that starts.
func (b *Balancer) RateLimits(now time.Time) []*v1.TargetRateLimit {
	var list []*v1.TargetRateLimit
	for _, t := range b.targets {
		if t.rateLimit.limited() {
			list = append(list, t.rateLimitMessage(now))
		}
	}
	return list
}

func (t *target) rateLimitMessage(now time.Time) *v1.TargetRateLimit {
	age := min(max(now.Sub(t.rateLimit.observedAt), 0), maxObservationAge)
	return &v1.TargetRateLimit{
		Target: t.hash, Incarnation: uint64(t.StartedUnixMs), PerSecond: t.rateLimit.perSecond, AgeMs: uint32(age.Milliseconds()),
	}
}

// mergeRateLimits applies rate limits that another router reports. They count for the named start of
// the target only.
func (b *Balancer) mergeRateLimits(now time.Time, list []*v1.TargetRateLimit) {
	for _, l := range list {
		t, ok := b.byHash[l.Target]
		if !ok || t.incarnation() != (incarnation{l.Target, int64(l.Incarnation)}) || math.IsNaN(l.PerSecond) || l.PerSecond < 0 {
			continue
		}
		t.rateLimit.set(now.Add(-time.Duration(l.AgeMs)*time.Millisecond), t.idHash, l.PerSecond)
	}
}
