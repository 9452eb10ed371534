package edge

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/chiveseam/chiveseam/h1"
	"github.com/chiveseam/chiveseam/placement"
	"github.com/chiveseam/chiveseam/routing"
	"github.com/chiveseam/chiveseam/targetload"
)

// heed applies what an answer says of its target beside the request: that it leaves, wants no requests
// for a time, or only a number of them per second. It is called for each answer on the connection, also
// one to another request.
func (a *attempt) heed(resp *h1.Response) {
	if resp.Status == http.StatusMisdirectedRequest {
		// Another target has this address now.
		return
	}
	e := a.call.edge
	for _, h := range []h1.Header{resp.Interim, resp.Header} {
		if strings.TrimSpace(h.Get(e.headers.Leaving)) == "1" {
			e.setLeaving(a.target)
		}
	}
	a.heedRateLimit(resp)
	a.heedLoad(resp)
	if resp.Status != http.StatusServiceUnavailable {
		return
	}
	if pause := retryAfter(resp.Header); pause > 0 {
		e.mu.Lock()
		e.balancer.Pause(time.Now(), a.target, pause)
		e.mu.Unlock()
		level.Info(a.call.log).Log("event", "target_paused", "target", a.target.ID, "pause_ms", pause.Milliseconds())
	}
}

// heedRateLimit records the rate limit of the target, or that it names none. Only the target's own
// answers to this request count: one to another request may be old, and one that nobody has signed
// may come from a proxy.
func (a *attempt) heedRateLimit(resp *h1.Response) {
	e := a.call.edge
	id, _ := resp.Header.Lookup(e.headers.RequestID)
	if id != a.call.id || !e.headers.isSigned(resp) && !a.saysNotRun(resp) {
		return
	}
	limit, err := ParseRateLimit(resp.Header.Values(e.headers.RateLimit))
	if err != nil {
		level.Warn(a.call.log).Log("event", "target_limit_unreadable", "target", a.target.ID, "error", err)
		return
	}
	e.setRateLimit(a.call.log, a.target, limit)
}

// heedLoad records the load that the target states. Only its own signed answers to this request count.
func (a *attempt) heedLoad(resp *h1.Response) {
	e := a.call.edge
	id, _ := resp.Header.Lookup(e.headers.RequestID)
	if id != a.call.id || !e.headers.isSigned(resp) {
		return
	}
	figures, ok, err := targetload.Parse(resp.Header.Values(e.headers.Load))
	if err != nil {
		e.metrics.unreadableLoads.Inc()
		if e.loadLog.allow(time.Now()) {
			level.Warn(a.call.log).Log("event", "target_load_unreadable", "target", a.target.ID, "error", err)
		}
		return
	}
	if !ok || figures.Pace == 0 {
		return
	}
	e.metrics.pace.Observe(figures.Pace)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.balancer.SetLoad(time.Now(), a.target.ID, a.target.StartedUnixMs, figures)
}

// setRateLimit records the rate limit of a target, and logs it if it has changed.
func (e *Edge) setRateLimit(logger log.Logger, answered routing.Target, perSecond float64) {
	e.mu.Lock()
	changed := e.balancer.SetRateLimit(time.Now(), answered, perSecond)
	e.mu.Unlock()
	if changed {
		level.Info(logger).Log("event", "target_limited", "target", answered.ID, "per_second", finite(perSecond))
	}
}

// ParseRateLimit returns the least of the numbers of requests per second in the fields of an answer;
// infinite if there are none. The platform package uses it for the engines that it asks.
func ParseRateLimit(fields []string) (float64, error) {
	least := math.Inf(1)
	for _, text := range fields {
		limit, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
		if err != nil || math.IsNaN(limit) || math.IsInf(limit, 1) || limit < 0 {
			return 0, fmt.Errorf("rate limit %q", text)
		}
		least = min(least, limit)
	}
	return least, nil
}

// setLeaving takes a target out of use that said that it leaves.
func (e *Edge) setLeaving(answered routing.Target) {
	e.mu.Lock()
	added := e.balancer.SetLeaving(time.Now(), answered)
	e.mu.Unlock()
	if added {
		level.Info(e.logger).Log("event", "target_leaving", "target", answered.ID)
	}
}

// retryAfter returns the longest time in the Retry-After fields, at most placement.MaxPause; 0 if
// there is no positive number of seconds. Dates are not read: the time of day may differ between
// machines.
func retryAfter(h h1.Header) time.Duration {
	var longest float64
	for _, value := range h.Values("Retry-After") {
		for text := range strings.SplitSeq(value, ",") {
			seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
			if err == nil && !math.IsNaN(seconds) {
				longest = max(longest, seconds)
			}
		}
	}
	return time.Duration(min(longest, placement.MaxPause.Seconds()) * float64(time.Second))
}
