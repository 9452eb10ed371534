package retry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chiveseam/chiveseam/retry"
)

// TestRouterWindowsKeepFleetRetryBudget checks that the retries of all routers together
// stay within the budget of the fleet. In each period of length span, the retries do not
// exceed floor plus ratio times the requests of this period and the one before it. The
// period before counts too, because a router's last retry in a period may have been checked
// against requests that came up to one span earlier.
func TestRouterWindowsKeepFleetRetryBudget(t *testing.T) {
	const (
		span  = 10 * time.Second
		ratio = 0.2
		floor = 12
	)
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		routers := rapid.IntRange(1, 4).Draw(t, "routers")
		windows := make([]*retry.Window, routers)
		for i := range windows {
			windows[i] = retry.NewWindow(span, ratio, floor/float64(routers))
		}
		var requests, retries []time.Time
		now := time.Unix(0, 0)
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "gap")) * time.Millisecond)
			w := windows[rapid.IntRange(0, routers-1).Draw(t, "router")]
			if rapid.Bool().Draw(t, "request") {
				w.RecordRequest(now)
				requests = append(requests, now)
				continue
			}
			if w.Take(now) {
				retries = append(retries, now)
			}
		}
		for _, end := range retries {
			used := countBetween(retries, end.Add(-span), end)
			is.True(float64(used) <= ratio*float64(countBetween(requests, end.Add(-2*span), end))+floor)
		}
	})
}

// countBetween returns the number of times later than from and not later than to.
func countBetween(list []time.Time, from, to time.Time) int {
	n := 0
	for _, at := range list {
		if at.After(from) && !at.After(to) {
			n++
		}
	}
	return n
}

func TestWindowAllowsFloorWithoutRequests(t *testing.T) {
	is := is.New(t)
	w := retry.NewWindow(time.Second, 0.5, 2)
	now := time.Unix(0, 0)
	is.True(w.Take(now))
	is.True(w.Take(now))
	is.True(!w.Take(now))
	is.True(w.Take(now.Add(time.Second)))
	used, allowed := w.Used(now.Add(time.Second))
	is.Equal(used, 1)
	is.Equal(allowed, 2.0)
}
