package e2e

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/chiveseam/chiveseam/config/configtest"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// The flooding workspace has more callers than its queue holds requests. The other
// workspace has a light load.
const (
	floodCallers = 48
	floodQueue   = 16
	floodTokens  = 40
	lightCallers = 2
	lightCalls   = 40
	lightTokens  = 20
)

// keepAliveTransport reuses connections. With a new connection for each call, a
// flood of calls would use up the local ports of the machine.
var keepAliveTransport = &http.Transport{MaxIdleConnsPerHost: 1000, DisableCompression: true}

// sendKeepAlive sends the call on a connection that earlier calls may have used.
func sendKeepAlive(ctx context.Context, address string, c call) answer {
	req, err := newHTTPRequest(ctx, address, c)
	if err != nil {
		return answer{err: err}
	}
	resp, err := keepAliveTransport.RoundTrip(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return newAnswer(resp, body, err)
}

// latencies holds durations. It is safe for concurrent use.
type latencies struct {
	mu   sync.Mutex
	list []time.Duration
}

func (l *latencies) add(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, d)
}

// quantile returns the q-quantile, rounded to 10 µs, or zero if there are no
// durations. It sorts the list.
func (l *latencies) quantile(q float64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.list) == 0 {
		return 0
	}
	slices.Sort(l.list)
	return l.list[int(q*float64(len(l.list)-1))].Round(10 * time.Microsecond)
}

// floodLoad is the load of the workspace "large", whose callers send the next
// request immediately after each answer, also after a refusal.
type floodLoad struct {
	t       *testing.T
	routers []*router
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	// served and refusals are the times until an OK answer and until a refusal.
	served   latencies
	refusals latencies

	// mu guards codes.
	mu    sync.Mutex
	codes map[outcome]int
}

// startFlood starts the callers, which send until stop is called.
func startFlood(t *testing.T, routers []*router, callers int) *floodLoad {
	ctx, cancel := context.WithCancel(context.Background())
	s := &floodLoad{t: t, routers: routers, cancel: cancel, codes: map[outcome]int{}}
	for i := range callers {
		s.wg.Go(func() { s.run(ctx, routers[i%len(routers)]) })
	}
	return s
}

func (s *floodLoad) run(ctx context.Context, r *router) {
	for ctx.Err() == nil {
		p := newPrompt(s.t, floodTokens)
		sent := time.Now()
		a := sendKeepAlive(ctx, r.entry, p.call(true).withHeader("Authorization", "Bearer token-large"))
		if ctx.Err() != nil {
			return
		}
		s.record(p, a, time.Since(sent))
	}
}

// record counts the answer. It fails the test unless the answer is complete, or a
// refusal with Retry-After of a request that did not run.
func (s *floodLoad) record(p prompt, a answer, took time.Duration) {
	s.mu.Lock()
	s.codes[outcome{a.code, a.ran}]++
	s.mu.Unlock()
	if a.code == v1.Code_OK {
		p.expectComplete(s.t, a)
		s.served.add(took)
		return
	}
	if !a.refusedBeforeRun() {
		s.t.Errorf("flood: %v; want a complete answer or a refusal with Retry-After", a)
	}
	s.refusals.add(took)
}

func (s *floodLoad) stop() {
	s.cancel()
	s.wg.Wait()
}

// TestFloodLeavesOtherWorkspacesServed guards against one workspace that crowds
// out another: its callers send more than its queue holds and retry immediately,
// while each call of the other workspace must be served. It logs the latencies.
func TestFloodLeavesOtherWorkspacesServed(t *testing.T) {
	c := newCluster(t, clusterSize{routers: 3, zones: 3, engines: 1, services: 1}, func(c *v1.Configuration) {
		for _, w := range c.Workspaces {
			w.Share = 1
			w.MaxQueuedRequests = floodQueue
		}
	})
	withoutFlood := sendLight(t, c)
	s := startFlood(t, c.routers, floodCallers)
	await(t, "the flood fills its queue", func() bool { return s.refusals.quantile(0) > 0 }, func() any { return s.codes })
	duringFlood := sendLight(t, c)
	s.stop()
	t.Logf("light calls: median %v, p99 %v, longest %v; without the flood median %v, longest %v",
		duringFlood.quantile(0.5), duringFlood.quantile(0.99), duringFlood.quantile(1), withoutFlood.quantile(0.5), withoutFlood.quantile(1))
	t.Logf("flood: %v; refused after median %v, p99 %v; served after median %v",
		s.codes, s.refusals.quantile(0.5), s.refusals.quantile(0.99), s.served.quantile(0.5))
}

// sendLight sends the calls of the workspace with the light load, each of which
// must be served, and returns their latencies.
func sendLight(t *testing.T, c *cluster) *latencies {
	times := &latencies{}
	var wg sync.WaitGroup
	for i := range lightCallers {
		wg.Go(func() {
			for range lightCalls {
				p := newPrompt(t, lightTokens)
				sent := time.Now()
				a := sendKeepAlive(t.Context(), c.routers[i].entry, p.call(true))
				times.add(time.Since(sent))
				p.expectComplete(t, a)
			}
		})
	}
	wg.Wait()
	return times
}

const (
	maxBodyBytes   = 4 << 20
	maxBodiesBytes = 32 << 20
	// baseMemoryBytes is the allowed resident set of a router without the bodies
	// that it holds.
	baseMemoryBytes = 96 << 20
	// heapGrowthFactor is the size of the heap, relative to the memory in use, at
	// which the garbage collector runs.
	heapGrowthFactor = 2

	largeCallers         = 24
	largeCalls           = 20
	slowBodies           = 1000
	slowBodyBytes        = 1000
	unreadStreams        = 200
	unreadStreamTokens   = 400
	memoryTestSlots      = 64
	unreadStreamDuration = 2 * time.Second
	queuedBodyBytes      = 1 << 30
)

// TestMemoryStaysBounded guards against a router whose memory grows with the load:
// with large bodies, with bodies that arrive slowly, and with callers that do not
// read their streams. The peak resident set must stay below the bound that follows
// from --max-bodies-bytes.
func TestMemoryStaysBounded(t *testing.T) {
	floods := []struct {
		name string
		send func(*testing.T, *router)
	}{
		{"large bodies", sendLargeBodies},
		{"slow bodies", sendSlowBodies},
		{"slow readers", openUnreadStreams},
	}
	for _, flood := range floods {
		t.Run(flood.name, func(t *testing.T) {
			r := newMemoryCluster(t).routers[0]
			idle := r.peakMemory(t)
			flood.send(t, r)
			peak := r.peakMemory(t)
			const bound = baseMemoryBytes + heapGrowthFactor*maxBodiesBytes
			t.Logf("peak resident set: idle %d MiB, flooded %d MiB; bound %d MiB", idle>>20, peak>>20, bound>>20)
			if peak > bound {
				t.Errorf("the router used %d bytes; the bound is %d", peak, bound)
			}
			p := newPrompt(t, lightTokens)
			p.expectComplete(t, send(r.entry, p.call(true)))
		})
	}
}

// newMemoryCluster returns a deployment of one router with limits on bodies. Its
// workspaces may queue so much that only the router's limits apply.
func newMemoryCluster(t *testing.T) *cluster {
	return newCluster(t, clusterSize{routers: 1, zones: 1, engines: 1, services: 1}, func(c *v1.Configuration) {
		for _, w := range c.Workspaces {
			w.MaxQueuedBytes = queuedBodyBytes
			w.MaxQueuedRequests = unreadStreams
		}
		for _, g := range c.Targets {
			g.Slots = memoryTestSlots
		}
	}, fmt.Sprintf("--max-body-bytes=%d", maxBodyBytes), fmt.Sprintf("--max-bodies-bytes=%d", maxBodiesBytes))
}

// sendLargeBodies sends more bytes of bodies concurrently than the router may
// hold. Each request must be served or refused.
func sendLargeBodies(t *testing.T, r *router) {
	var wg sync.WaitGroup
	body := string(bytes.Repeat([]byte("x"), maxBodyBytes-1))
	var mu sync.Mutex
	codes := map[outcome]int{}
	for range largeCallers {
		wg.Go(func() {
			for range largeCalls {
				j := job(newOperationName(t))
				j.body = body
				a := send(r.entry, j)
				mu.Lock()
				codes[outcome{a.code, a.ran}]++
				mu.Unlock()
				if a.code != v1.Code_OK && !a.refusedBeforeRun() {
					t.Errorf("large body: %v", a)
				}
			}
		})
	}
	wg.Wait()
	t.Logf("large bodies: %v", codes)
}

// sendSlowBodies opens requests of which only the first bytes of the body arrive,
// and waits until all of them are open.
func sendSlowBodies(t *testing.T, r *router) {
	for range slowBodies {
		conn, err := net.Dial("tcp", r.entry)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		fmt.Fprintf(conn, "POST /services/%s/jobs HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
			configtest.ServicePool, r.entry, bearerToken, maxBodyBytes-1, strings.Repeat("x", slowBodyBytes))
	}
	await(t, "requests with slow bodies are open", func() bool {
		return r.status().GetOpenRequests() >= slowBodies
	}, func() any { return r.status().GetOpenRequests() })
}

// openUnreadStreams requests streams and does not read them for
// unreadStreamDuration.
func openUnreadStreams(t *testing.T, r *router) {
	ctx, cancel := context.WithTimeout(t.Context(), unreadStreamDuration)
	defer cancel()
	var wg sync.WaitGroup
	for range unreadStreams {
		wg.Go(func() {
			req, err := newHTTPRequest(ctx, r.entry, newPrompt(t, unreadStreamTokens).call(true))
			if err != nil {
				return
			}
			resp, err := callerTransport.RoundTrip(req)
			if err != nil {
				return
			}
			<-ctx.Done()
			resp.Body.Close()
		})
	}
	wg.Wait()
}
