package e2e

import (
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/chiveseam/chiveseam/config/configtest"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// schedulerLoad sends through the routers that do not schedule. Each request
// must get a final answer, and those after the failure must be served.
type schedulerLoad struct {
	routers []*router
	done    chan struct{}
	wg      sync.WaitGroup
	mu      sync.Mutex
	served  int
	// refused counts final answers that are not OK.
	refused map[outcome]int
}

func startSchedulerLoad(t *testing.T, routers []*router) *schedulerLoad {
	l := &schedulerLoad{routers: routers, done: make(chan struct{}), refused: map[outcome]int{}}
	for i := range loadCallers {
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
	l.count(t, send(r.entry, p.call(true)), func(a answer) { p.expectWhole(t, a) })
}

func (l *schedulerLoad) job(t *testing.T, r *router) {
	l.count(t, send(r.entry, job(newOperation(t))), func(answer) {})
}

// count counts a final answer. A lost one fails the test.
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

func (l *schedulerLoad) counts() (served int, refused map[outcome]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	refused = map[outcome]int{}
	for o, n := range l.refused {
		refused[o] = n
	}
	return l.served, refused
}

func (l *schedulerLoad) awaitMore(t *testing.T, calls int) {
	t.Helper()
	served, _ := l.counts()
	want := served + calls
	await(t, "more calls are served", func() bool {
		served, _ = l.counts()
		return served >= want
	}, func() any { return served })
}

func (l *schedulerLoad) stop(t *testing.T) {
	t.Helper()
	close(l.done)
	l.wg.Wait()
	served, refused := l.counts()
	t.Logf("%d served, other final answers: %v", served, refused)
	for o, n := range refused {
		if o.ran != v1.Ran_NO {
			t.Errorf("%d answers with %v though no target failed", n, o)
		}
	}
}

// testSchedulerLoss lets the router that schedules the engines fail under load.
func testSchedulerLoss(t *testing.T, fail func(*router)) {
	t.Helper()
	c := newCluster(t, size{routers: 4, zones: 2, engines: 2, services: 2}, func(c *v1.Configuration) {
		for _, target := range c.Targets {
			target.Slots = 1 // so that requests wait for the scheduler
		}
	})
	for _, r := range c.routers {
		p := newPrompt(t, 2)
		p.expectWhole(t, send(r.entry, p.call(true)))
	}
	holder := c.schedulerOf(configtest.EnginePool)
	var others []*router
	for _, r := range c.routers {
		if r != holder {
			others = append(others, r)
		}
	}
	l := startSchedulerLoad(t, others)
	l.awaitMore(t, 4*loadCallers)
	fail(holder)
	l.awaitMore(t, 4*loadCallers)
	l.stop(t)
	if doubles := c.ledger.Report().Doubles; len(doubles) > 0 {
		t.Errorf("ran more than once: %v", doubles)
	}
}

func TestSchedulerIsKilledUnderLoad(t *testing.T) {
	t.Parallel()
	testSchedulerLoss(t, func(holder *router) { holder.kill() })
}

func TestSchedulerIsPausedUnderLoad(t *testing.T) {
	t.Parallel()
	testSchedulerLoss(t, func(holder *router) {
		holder.signal(t, syscall.SIGSTOP)
		time.Sleep(pauseTime)
		holder.signal(t, syscall.SIGCONT)
	})
}
