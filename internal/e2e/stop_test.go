package e2e

import (
	"io"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// stopTokens is the length of an answer that takes twice as long as a stopping
// router waits before it refuses new requests.
const stopTokens = 800

// Guards against streams that are cut by a planned stop: after SIGTERM the router
// reports itself not ready, completes its open streams and exits with code 0.
func TestPlannedStopCompletesOpenStreams(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, clusterSize{routers: 3, zones: 3, engines: 2, services: 1}, nil)
	stopping := c.routers[0]
	const streams = 6
	var wg sync.WaitGroup
	var opened sync.WaitGroup
	opened.Add(streams)
	for range streams {
		p := newPrompt(t, stopTokens)
		resp, body := openStream(t, stopping, p)
		opened.Done()
		wg.Go(func() {
			rest, err := io.ReadAll(resp.Body)
			p.expectComplete(t, newAnswer(resp, append(body, rest...), err))
		})
	}
	opened.Wait()
	stopping.signal(t, syscall.SIGTERM)
	await(t, "the router is not ready", func() bool { return !stopping.ready() }, func() any { return stopping.status() })
	is.True(stopping.running()) // the router is not ready while it still runs
	wg.Wait()
	is.Equal(stopping.awaitExit(t), exitOK)
}

// balancer sends calls to ready routers, as the load balancer of the platform
// does, and sends refused calls to another router. It is safe for concurrent use.
type balancer struct {
	// mu guards the fields below.
	mu    sync.Mutex
	ready []*router
	next  int
}

// newBalancer returns a balancer that checks the readiness of the cluster's
// routers every balancerInterval until the end of the test.
func newBalancer(t *testing.T, c *cluster) *balancer {
	b := &balancer{}
	done := make(chan struct{})
	var wg sync.WaitGroup
	b.refresh(c)
	wg.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(balancerInterval):
				b.refresh(c)
			}
		}
	})
	t.Cleanup(func() { close(done); wg.Wait() })
	return b
}

// balancerInterval is the time between two checks of readiness.
const balancerInterval = 200 * time.Millisecond

func (b *balancer) refresh(c *cluster) {
	var ready []*router
	for _, r := range c.routers {
		if r.ready() {
			ready = append(ready, r)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

// pick returns the ready routers in turn, or nil if there is none.
func (b *balancer) pick() *router {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return nil
	}
	b.next++
	return b.ready[b.next%len(b.ready)]
}

// send sends the call until it gets an answer other than a refusal before it ran,
// and returns that answer. After waitTimeout it returns the latest refusal.
func (b *balancer) send(c call) answer {
	deadline := time.Now().Add(waitTimeout)
	var a answer
	for time.Now().Before(deadline) {
		r := b.pick()
		if r == nil {
			time.Sleep(pollInterval)
			continue
		}
		a = send(r.entry, c)
		if !a.refusedBeforeRun() {
			return a
		}
		time.Sleep(min(a.retryAfter(), balancerInterval))
	}
	return a
}

// balancedLoad is a load of streams and non-idempotent calls through a balancer.
type balancedLoad struct {
	done  chan struct{}
	wg    sync.WaitGroup
	mu    sync.Mutex
	count int // rounds of one stream and one call; guarded by mu
}

const loadCallers = 6

// startLoad starts loadCallers callers, which send until stop is called. Each of
// their calls must be served.
func startLoad(t *testing.T, b *balancer) *balancedLoad {
	l := &balancedLoad{done: make(chan struct{})}
	for range loadCallers {
		l.wg.Go(func() { l.run(t, b) })
	}
	return l
}

func (l *balancedLoad) run(t *testing.T, b *balancer) {
	for {
		select {
		case <-l.done:
			return
		default:
		}
		p := newPrompt(t, streamTokens)
		p.expectComplete(t, b.send(p.call(true)))
		b.send(job(newOperationName(t))).expect(t, "call under load", v1.Code_OK, v1.Ran_YES)
		l.mu.Lock()
		l.count++
		l.mu.Unlock()
	}
}

// sent returns the number of completed rounds, each of one stream and one service call.
func (l *balancedLoad) sent() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.count
}

// awaitMore waits until the given number of further rounds of calls got their answers.
func (l *balancedLoad) awaitMore(t *testing.T, calls int) {
	t.Helper()
	want := l.sent() + calls
	await(t, "more calls get answers", func() bool { return l.sent() >= want }, func() any { return l.sent() })
}

func (l *balancedLoad) stop() {
	close(l.done)
	l.wg.Wait()
}

// Guards against requests that are lost, refused for good or run twice while
// routers are replaced one after the other: each gets SIGTERM with a stream open,
// exits and starts again as a new incarnation.
func TestRollingReplacementLosesNoRequest(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSize{routers: 4, zones: 2, engines: 2, services: 2}, nil)
	l := startLoad(t, newBalancer(t, c))
	for _, r := range c.routers {
		l.awaitMore(t, loadCallers)
		p := newPrompt(t, stopTokens)
		resp, body := openStream(t, r, p)
		r.signal(t, syscall.SIGTERM)
		rest, err := io.ReadAll(resp.Body)
		p.expectComplete(t, newAnswer(resp, append(body, rest...), err))
		if code := r.awaitExit(t); code != exitOK {
			t.Errorf("%s ended with code %d", r.name, code)
		}
		r.restart()
		r.awaitReady()
	}
	l.awaitMore(t, loadCallers)
	l.stop()
	if doubles := c.ledger.Report().Doubles; len(doubles) > 0 {
		t.Errorf("ran more than once: %v", doubles)
	}
	t.Logf("%d rounds of calls", l.sent())
}
