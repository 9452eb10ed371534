package e2e

import (
	"flag"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/chiveseam/chiveseam/config/configtest"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

var (
	latencyRequests = flag.Int("latency.requests", 200, "requests of each kind that TestAddedLatency sends")
	latencyRuns     = flag.Int("latency.runs", 1, "runs of TestAddedLatency")
)

const (
	latencyPath    = "/items"
	latencyWarmUp  = 100
	spareSlots     = 64 // enough that the scheduler grants free slots in advance
	contendedSlots = 2  // so few, half of them in use, that it grants none in advance
)

// TestAddedLatency logs the latency that routers add. It sends one request at a
// time: directly to the target, through the router that schedules the pool, and
// through a router whose scheduler is another process. It checks no times.
func TestAddedLatency(t *testing.T) {
	t.Run("spare slots", func(t *testing.T) { measureLatency(t, spareSlots) })
	t.Run("no spare slots", func(t *testing.T) { measureLatency(t, contendedSlots) })
}

// measureLatency logs the latencies with a target of the given number of slots.
func measureLatency(t *testing.T, slots uint32) {
	c := newCluster(t, clusterSize{routers: 2, zones: 1, engines: 1, services: 1}, func(c *v1.Configuration) {
		for _, g := range c.Targets {
			g.Slots = slots
		}
	})
	g := c.services[0]
	g.stop()
	g.handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	g.start(t)
	service := "/services/" + configtest.ServicePool + latencyPath
	for _, r := range c.routers {
		sendGets(t, "http://"+r.entry+service, latencyWarmUp)
	}
	scheduler := c.schedulerOf(configtest.ServicePool)
	other := c.routers[0]
	if other == scheduler {
		other = c.routers[1]
	}
	for run := range *latencyRuns {
		direct := sendGets(t, "http://"+g.spec.Address+latencyPath, *latencyRequests)
		report(t, run, "direct", direct, direct)
		report(t, run, "own scheduler", sendGets(t, "http://"+scheduler.entry+service, *latencyRequests), direct)
		report(t, run, "other scheduler", sendGets(t, "http://"+other.entry+service, *latencyRequests), direct)
	}
}

// sendGets sends requests one after the other on one connection and returns their
// latencies.
func sendGets(t *testing.T, url string, requests int) *latencies {
	t.Helper()
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	times := &latencies{}
	for range requests {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+bearerToken)
		begin := time.Now()
		resp, err := transport.RoundTrip(req)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		times.add(time.Since(begin))
		if err != nil || resp.StatusCode != http.StatusOK || string(body) != "ok" {
			t.Fatalf("status %d, body %q, error %v", resp.StatusCode, body, err)
		}
	}
	return times
}

// report logs the median and the 99th percentile of the times, and how much longer
// they are than those of the direct requests.
func report(t *testing.T, run int, kind string, times, direct *latencies) {
	const median, p99 = 0.5, 0.99
	t.Logf("run %d, %s: median %v, p99 %v; added: median %v, p99 %v", run+1, kind,
		times.quantile(median), times.quantile(p99),
		times.quantile(median)-direct.quantile(median), times.quantile(p99)-direct.quantile(p99))
}
