package retry

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/chiveseam/chiveseam/internal/fixedseed"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

var start = time.Unix(1_800_000_000, 0)

// TestRetryNeedsNotRunOrIdempotent guards against a retry that runs a request twice
// although it is not idempotent, and against a second answer after a partial one.
func TestRetryNeedsNotRunOrIdempotent(t *testing.T) {
	for _, ran := range []v1.Ran{v1.Ran_RAN_UNSPECIFIED, v1.Ran_NO, v1.Ran_YES, v1.Ran_UNKNOWN} {
		for _, idempotent := range []bool{false, true} {
			for _, delivered := range []bool{false, true} {
				is := is.New(t)
				a := Attempt{Number: 1, Ran: ran, Idempotent: idempotent, Delivered: delivered}
				v := Policy{}.Next(start, a, NewBudget(start, BudgetOptions{}), 0)
				is.Equal(v.Retry, !delivered && (ran == v1.Ran_NO || idempotent))
			}
		}
	}
}

// TestRetryIsBoundedByAttemptsDeadlineAndBudget checks the code of each refused retry,
// and that retries refused for other reasons take no token from the budget.
func TestRetryIsBoundedByAttemptsDeadlineAndBudget(t *testing.T) {
	is := is.New(t)
	budget := NewBudget(start, BudgetOptions{Burst: 1})
	a := Attempt{Number: DefaultMaxAttempts, Ran: v1.Ran_NO}
	is.Equal(Policy{}.Next(start, a, budget, 0).Code, v1.Code_RETRY_BUDGET_EXHAUSTED)
	a = Attempt{Number: 1, Ran: v1.Ran_NO, Deadline: start.Add(DefaultBaseDelay / 2)}
	is.Equal(Policy{}.Next(start, a, budget, math.MaxUint64).Code, v1.Code_DEADLINE_EXCEEDED)
	is.True(Policy{}.Next(start, a, budget, 0).Retry) // the two refused retries took no token
	is.Equal(Policy{}.Next(start, a, budget, 0).Code, v1.Code_RETRY_BUDGET_EXHAUSTED)
}

// TestDelayIsFullJitterWithinBound checks that each delay lies between zero and the
// exponential bound, also for attempt numbers that would overflow an unbounded doubling.
func TestDelayIsFullJitterWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Policy{}.withDefaults()
		number := rapid.IntRange(1, 100).Draw(t, "number")
		d := p.delay(number, rapid.Uint64().Draw(t, "random"))
		bound := min(float64(p.MaxDelay), float64(p.BaseDelay)*math.Pow(2, float64(number-1)))
		if d < 0 || float64(d) >= bound {
			t.Fatalf("delay %v of attempt %d is not below %v", d, number, time.Duration(bound))
		}
	})
}

// TestBudgetBoundsRetries checks that a Budget never allows more retries than the burst,
// the percentage of the requests and the rate of FloorPerSec allow together.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(start, BudgetOptions{})
		now, requests, retries := start, 0, 0
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b.RecordRequest(now)
				requests++
			} else if b.Take(now) {
				retries++
			}
		}
		limit := DefaultBurst + float64(requests)*DefaultPercent/hundredPercent + now.Sub(start).Seconds()*DefaultFloorPerSec
		if float64(retries) > limit+1e-6 {
			t.Fatalf("%d retries, limit %v", retries, limit)
		}
	})
}

func ExamplePolicy_Next() {
	budget := NewBudget(start, BudgetOptions{})
	lost := Attempt{Number: 1, Ran: v1.Ran_UNKNOWN}
	fmt.Println(Policy{}.Next(start, lost, budget, 0).Retry)
	lost.Idempotent = true
	fmt.Println(Policy{}.Next(start, lost, budget, 0).Retry)
	// Output:
	// false
	// true
}
