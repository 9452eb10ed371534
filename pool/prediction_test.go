package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// TestPredictionFollowsReports checks that a charge never falls, is at least the
// reported cost and at most the larger of that and maxUnreportedEstimates, and that a
// demand which is served at the predicted rate needs no report.
func TestPredictionFollowsReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Prediction{
			Estimate: rapid.Int64Range(1, 10_000).Draw(t, "estimate"),
			Rate:     rapid.Int64Range(0, 1000).Draw(t, "rate"),
		}
		var elapsed time.Duration
		var charged, reported int64
		for range 50 {
			elapsed += time.Duration(rapid.Int64Range(0, 5000).Draw(t, "ms")) * time.Millisecond
			served := min(int64(elapsed.Seconds()*float64(p.Rate)), p.Estimate)
			if p.Rate > 0 && reported == 0 && p.ReportDue(elapsed, served) {
				t.Fatalf("report of %d is due at %v: %+v", served, elapsed, p)
			}
			if cost := rapid.Int64Range(0, 50_000).Draw(t, "cost"); p.ReportDue(elapsed, cost) {
				p.Observe(elapsed, cost)
				reported = max(reported, cost)
			}
			now := p.Charged(elapsed)
			if now < charged || now < reported || now > max(maxUnreportedEstimates*p.Estimate, reported) {
				t.Fatalf("charge of %d after %d with %d reported: %+v", now, charged, reported, p)
			}
			charged = now
		}
	})
}

func TestResumedPredictionStartsAtTheCharge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		charged := rapid.Int64Range(0, 100_000).Draw(t, "charged")
		p := ResumedPrediction(charged, rapid.Int64Range(0, 1000).Draw(t, "rate"))
		if p.Charged(0) != charged {
			t.Fatalf("charge of %d, want %d", p.Charged(0), charged)
		}
	})
}

// TestShortDemandIsChargedAtOnce checks that the cost which is served before the next
// charge is charged at the grant, up to the estimate.
func TestShortDemandIsChargedAtOnce(t *testing.T) {
	is := is.New(t)
	short := Prediction{Estimate: 200, Rate: 1000}
	is.Equal(short.Charged(0), int64(200))
	long := Prediction{Estimate: 100_000, Rate: 1000}
	is.Equal(long.Charged(0), int64(100_000/advanceDivisor))
}

// TestServedCostIsChargedWithoutReports checks that the counter of a demand grows
// without reports while it runs on a slot whose rate is known, and that the timer of
// the charges stops when it ends.
func TestServedCostIsChargedWithoutReports(t *testing.T) {
	is := is.New(t)
	f := newFixture(Options{}, oneSlot())
	for seq := uint64(1); seq <= minServiceSamples; seq++ {
		f.submit(seq, time.Minute)
		f.finish(seq, v1.Outcome_SERVED)
	}
	grant := f.submit(100, time.Minute)[0].(Grant)
	is.True(grant.Rate > 0)
	before := f.Counter(1).Value
	f.now = f.now.Add(time.Second / 2)
	f.step(Tick{})
	is.True(f.Counter(1).Value > before)
	_, waits := f.NextTick()
	is.True(waits) // the timer of the next charge is armed
	f.finish(100, v1.Outcome_SERVED)
	_, waits = f.NextTick()
	is.True(!waits) // no demand runs, no timer is armed
}
