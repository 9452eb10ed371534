package e2e

import (
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/chiveseam/chiveseam/config/configtest"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// schedulerLoad is a load of streams and service requests through the given
// routers, usually all but the scheduler. Each request must get a final answer.
type schedulerLoad struct {
	routers []*router
	// workspace is the workspace of all callers.
	workspace string
	// done ends the callers when it is closed.
	done chan struct{}
	wg   sync.WaitGroup
	// mu guards the fields below.
	mu     sync.Mutex
	served int
	// refused counts the final answers that are not OK.
	refused map[outcome]int
}

// startSchedulerLoad starts the callers, which send until stop is called.
func startSchedulerLoad(t *testing.T, routers []*router, workspace string, callers int) *schedulerLoad {
	l := &schedulerLoad{routers: routers, workspace: workspace, done: make(chan struct{}), refused: map[outcome]int{}}
	for i := range callers {
		r := routers[i%len(routers)]
		l.wg.Go(func() { l.run(t, r) })
	}
	return l
}

func (l *schedulerLoad) run(t *testing.T, r *router) {
	for !l.stopped() {
		l.stream(t, r)
		l.job(t, r)
	}
}

func (l *schedulerLoad) stopped() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

func (l *schedulerLoad) stream(t *testing.T, r *router) {
	p := newPrompt(t, streamTokens)
	l.count(t, l.send(r, p.call(true)), func(a answer) { p.expectComplete(t, a) })
}

func (l *schedulerLoad) job(t *testing.T, r *router) {
	l.count(t, l.send(r, job(newOperationName(t))), func(answer) {})
}

func (l *schedulerLoad) send(r *router, c call) answer {
	return send(r.entry, c.withHeader("Authorization", "Bearer token-"+l.workspace))
}

// count counts a final answer and calls check if it is OK. It fails the test if
// the answer is not final, that is incomplete or without a code.
func (l *schedulerLoad) count(t *testing.T, a answer, check func(answer)) {
	if a.err != nil || a.code == v1.Code_CODE_UNSPECIFIED {
		t.Errorf("no final answer: %v", a)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.code != v1.Code_OK {
		l.refused[outcome{a.code, a.ran}]++
		return
	}
	l.served++
	check(a)
}

// counts returns copies of the counts so far.
func (l *schedulerLoad) counts() (served int, refused map[outcome]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	refused = map[outcome]int{}
	for o, n := range l.refused {
		refused[o] = n
	}
	return l.served, refused
}

// awaitMore waits until the given number of further calls were served.
func (l *schedulerLoad) awaitMore(t *testing.T, calls int) {
	t.Helper()
	served, _ := l.counts()
	want := served + calls
	await(t, "more calls are served", func() bool {
		served, _ = l.counts()
		return served >= want
	}, func() any { return served })
}

// stop ends the callers and waits for them. It fails the test if a request was
// answered with another ran value than NO although it was not served, since no
// target fails in these tests.
func (l *schedulerLoad) stop(t *testing.T) {
	t.Helper()
	close(l.done)
	l.wg.Wait()
	served, refused := l.counts()
	t.Logf("%d served, other final answers: %v", served, refused)
	for o, n := range refused {
		if o.ran != v1.Ran_NO {
			t.Errorf("%d answers with %v, although no target failed", n, o)
		}
	}
}

// expectAllServed ends the load and fails the test if a request was refused, such
// as one that got no slot within its deadline.
func (l *schedulerLoad) expectAllServed(t *testing.T) {
	t.Helper()
	l.stop(t)
	if _, refused := l.counts(); len(refused) > 0 {
		t.Errorf("refused: %v", refused)
	}
}

// newSingleSlotCluster returns a deployment whose targets have one slot each, and
// the router that schedules the engines.
func newSingleSlotCluster(t *testing.T) (*cluster, *router) {
	t.Helper()
	c := newCluster(t, clusterSize{routers: 4, zones: 2, engines: 2, services: 2}, func(c *v1.Configuration) {
		for _, target := range c.Targets {
			target.Slots = 1 // so that requests wait for the scheduler
		}
	})
	for _, r := range c.routers {
		p := newPrompt(t, 2)
		p.expectComplete(t, send(r.entry, p.call(true)))
	}
	return c, c.schedulerOf(configtest.EnginePool)
}

// routersExcept returns all routers except one.
func (c *cluster) routersExcept(excluded *router) []*router {
	return slices.DeleteFunc(slices.Clone(c.routers), func(r *router) bool { return r == excluded })
}

// testSchedulerLoss lets the router that schedules the engines fail while the
// others send requests. All requests must be served, each once.
func testSchedulerLoss(t *testing.T, fail func(*router)) {
	t.Helper()
	c, scheduler := newSingleSlotCluster(t)
	l := startSchedulerLoad(t, c.routersExcept(scheduler), "small", loadCallers)
	l.awaitMore(t, 4*loadCallers)
	fail(scheduler)
	l.awaitMore(t, 4*loadCallers)
	l.expectAllServed(t)
	if doubles := c.ledger.Report().Doubles; len(doubles) > 0 {
		t.Errorf("ran more than once: %v", doubles)
	}
}

// Guards against requests that are refused, lost or run twice because the scheduler
// is killed.
func TestSchedulerIsKilledUnderLoad(t *testing.T) {
	t.Parallel()
	testSchedulerLoss(t, func(scheduler *router) { scheduler.kill() })
}

// queuedCalls is the number of concurrent requests. The engines have two slots in
// total, so that most of the requests wait at the scheduler.
const queuedCalls = 24

// Guards against the loss of the requests that wait at a scheduler when it ends.
// They must all be served through its successor, within deadlines that leave
// enough time for the change.
func TestQueuedRequestsSurviveSchedulerLoss(t *testing.T) {
	t.Parallel()
	for _, end := range []struct {
		name string
		run  func(*testing.T, *router)
	}{
		{"killed", func(_ *testing.T, r *router) { r.kill() }},
		{"stopped", func(t *testing.T, r *router) { r.signal(t, syscall.SIGTERM) }},
	} {
		t.Run(end.name, func(t *testing.T) {
			t.Parallel()
			c, scheduler := newSingleSlotCluster(t)
			var wg sync.WaitGroup
			for i := range queuedCalls {
				r := c.routersExcept(scheduler)[i%(len(c.routers)-1)]
				p := newPrompt(t, streamTokens)
				request := p.call(true).withHeader(deadlineHeader, strconv.FormatInt(waitTimeout.Milliseconds(), 10))
				wg.Go(func() { p.expectComplete(t, send(r.entry, request)) })
			}
			awaitQueued(t, scheduler, queuedCalls/2)
			end.run(t, scheduler)
			wg.Wait()
		})
	}
}

// awaitQueued waits until more than this number of requests wait at the scheduler.
func awaitQueued(t *testing.T, scheduler *router, requests uint32) {
	t.Helper()
	var queued uint32
	await(t, "requests wait at the scheduler", func() bool {
		queued = 0
		for _, p := range scheduler.status().GetPools() {
			queued += p.Queued
		}
		return queued > requests
	}, func() any { return queued })
}

// Guards against requests that are refused, lost or run twice because the scheduler
// is paused by SIGSTOP until others replace it, and then goes on with its old
// state.
func TestSchedulerIsPausedUnderLoad(t *testing.T) {
	t.Parallel()
	testSchedulerLoss(t, func(scheduler *router) {
		scheduler.signal(t, syscall.SIGSTOP)
		time.Sleep(pauseDuration)
		scheduler.signal(t, syscall.SIGCONT)
	})
}
