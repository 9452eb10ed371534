package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/targetload"
)

const (
	// pacedTime is the time after the last stated pace of a target of a service for which paces count
	// in the service's predictions.
	pacedTime = 30 * time.Second
	// maxReportPaces limits the paces in one report: each costs 7 bytes in every datagram.
	maxReportPaces = 8
)

// SetLoad records the load that one start of a target, identified by routing.Target.StartedUnixMs,
// states in an answer to this router. Figures without a pace change nothing.
func (b *Balancer) SetLoad(now time.Time, id string, startedUnixMs int64, f targetload.Figures) {
	t, ok := b.targets[id]
	if !ok || t.StartedUnixMs != startedUnixMs || f.Pace == 0 {
		return
	}
	t.statedLoad.Observe(now, f)
	t.runningAtAnswer = t.running
	t.service.pacedUntil = now.Add(pacedTime)
}

// paced reports whether paces count in the predictions for the service.
func (s *service) paced(now time.Time) bool { return now.Before(s.pacedUntil) }

// pace returns the factor by which the pace of the target's machine is believed to lengthen work of
// a number of milliseconds that begins or ends at now; 1 for a service without paces.
func (t *target) pace(now time.Time, workMs float64) float64 {
	if !t.service.paced(now) {
		return 1
	}
	return t.statedLoad.Pace(now, duration(workMs))
}

// occupancy returns the number of requests of all routers at the target: what it stated in an answer
// to this router, if that is newer than half of the reports of the other routers.
func (b *Balancer) occupancy(now time.Time, t *target) int {
	stated, ok := t.statedLoad.Requests(now, b.zones.interval/2)
	if !ok {
		running, _ := t.load()
		return running
	}
	return max(stated+t.running-t.runningAtAnswer, t.running)
}

// spreadExponent is the power of the cost of a target to which the number of requests that choose it
// is inversely proportional. With a larger one more requests get the best target, but also more of
// those that many routers send at the same time (figures: docs/design/target-load.md).
const spreadExponent = 2

// spreadFactor returns the factor by which this request multiplies the cost of a target of a plain
// service with paces; 1 for other services. Between two reports, all routers would otherwise send
// their requests to the same target, such as the one that was idle in the latest reports. The factor
// is the root of an exponentially distributed number, so that each target is the cheapest one with a
// probability proportional to the power -spreadExponent of its cost.
func (b *Balancer) spreadFactor(now time.Time, t *target) float64 {
	if !t.service.paced(now) {
		return 1
	}
	const mantissaBits = 53
	hash := mix(mix(b.choices^uint64(b.routerHash)<<32) ^ t.idHash)
	uniform := (float64(hash>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
	return math.Pow(-math.Log(uniform), 1.0/spreadExponent)
}

// duePace is a pace of which the other routers should be told.
type duePace struct {
	target   *target
	pace     float64
	age      time.Duration
	distance float64
}

// reportPaces adds the paces to a report that this router's answers have stated since the last one
// and that differ most from what the other routers believe.
func (b *Balancer) reportPaces(now time.Time, r *v1.LoadReport) {
	var due []duePace
	for _, t := range b.targets {
		if !t.service.paced(now) {
			continue
		}
		if pace, age, distance := t.statedLoad.Due(now, b.zones.interval); distance > 0 {
			due = append(due, duePace{t, pace, age, distance})
		}
	}
	if len(due) == 0 {
		return
	}
	slices.SortFunc(due, func(a, b duePace) int {
		return cmp.Or(cmp.Compare(b.distance, a.distance), cmp.Compare(a.target.hash, b.target.hash))
	})
	r.States = &v1.TargetStates{}
	for _, d := range due[:min(len(due), maxReportPaces)] {
		d.target.statedLoad.MarkTold()
		r.States.Target = append(r.States.Target, d.target.hash)
		r.States.PacePercent = append(r.States.PacePercent, uint32(max(math.Round(d.pace*100), 1)))
		r.States.AgeMs = append(r.States.AgeMs, uint32(d.age.Milliseconds()))
	}
}

// mergePaces records the paces that another router reports.
func (b *Balancer) mergePaces(now time.Time, states *v1.TargetStates) {
	for i, hash := range states.GetTarget() {
		t, ok := b.byHash[hash]
		if !ok {
			continue
		}
		at := now.Add(-time.Duration(column(states.AgeMs, i)) * time.Millisecond)
		if at.UnixMilli() < t.StartedUnixMs {
			// The target has started again since.
			continue
		}
		if t.statedLoad.Hear(now, at, float64(column(states.PacePercent, i))/100) {
			t.service.pacedUntil = now.Add(pacedTime)
		}
	}
}
