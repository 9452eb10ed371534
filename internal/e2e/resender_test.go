package e2e

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const (
	resenderCallers = 6
	// concurrentCopies is how many copies of a new operation are sent at the same
	// time.
	concurrentCopies = 3
	// resendsPerNewOperation is how many earlier operations are sent again after
	// each new one.
	resendsPerNewOperation = 2
	resendPause            = 20 * time.Millisecond
)

// operation is one non-idempotent request that callers send repeatedly.
type operation struct {
	name string
	call call

	// mu guards answers.
	mu      sync.Mutex
	answers []timedAnswer
}

// timedAnswer is an answer with the time at which its call was sent.
type timedAnswer struct {
	answer
	sent time.Time
}

// send sends the operation to the router, and records and returns the answer. It
// is safe for concurrent use.
func (o *operation) send(r *router) answer {
	sent := time.Now()
	a := send(r.entry, o.call)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.answers = append(o.answers, timedAnswer{a, sent})
	return a
}

// sendToAll sends the given number of copies of the operation to each router, all
// at the same time, and waits for the answers.
func (o *operation) sendToAll(routers []*router, copies int) {
	var wg sync.WaitGroup
	for _, r := range routers {
		for range copies {
			wg.Go(func() { o.send(r) })
		}
	}
	wg.Wait()
}

// checkRunsAtMostOnce fails the test in these cases: the operation ran more than
// once; a call that was sent after the run began got ran NO; the operation ran
// although all callers got ran NO; a caller that waited got CANCELLED.
func (o *operation) checkRunsAtMostOnce(t *testing.T, c *cluster) {
	t.Helper()
	if runs := c.ledger.Report().Runs[o.name]; runs > 1 {
		t.Errorf("%s ran %d times: %v", o.name, runs, o.answers)
	}
	began, ran := c.runLog.firstArrival(o.name)
	toldNotRun := 0
	for _, a := range o.answers {
		if a.code == v1.Code_CANCELLED {
			t.Errorf("%s: a caller that waited for its answer got CANCELLED: %v", o.name, a)
		}
		if a.err != nil || a.ran != v1.Ran_NO {
			continue
		}
		toldNotRun++
		if ran && began.Before(a.sent) {
			t.Errorf("%s ran at %v, but a later call got ran NO: %v", o.name, began, a)
		}
	}
	if ran && toldNotRun == len(o.answers) {
		t.Errorf("%s ran, but all calls got ran NO: %v", o.name, o.answers)
	}
}

// expectRun fails the test unless the operation ran.
func (o *operation) expectRun(t *testing.T, c *cluster) {
	t.Helper()
	if c.ledger.Report().Runs[o.name] == 0 {
		t.Errorf("%s did not run: %v", o.name, o.answers)
	}
}

// resender is a load of operations with keys: concurrent callers send new
// operations and resend earlier ones, to routers chosen at random.
type resender struct {
	cluster *cluster
	// newCall adds a key to the call of a new operation.
	newCall func(call, *router) (call, bool)
	// done ends the callers when it is closed.
	done chan struct{}
	wg   sync.WaitGroup

	// mu guards operations.
	mu         sync.Mutex
	operations []*operation
}

// startResender starts the callers, which send until stop is called.
func startResender(c *cluster, newCall func(call, *router) (call, bool)) *resender {
	s := &resender{cluster: c, newCall: newCall, done: make(chan struct{})}
	for i := range resenderCallers {
		rng := rand.New(rand.NewPCG(uint64(i), 1))
		s.wg.Go(func() { s.run(rng) })
	}
	return s
}

func (s *resender) run(rng *rand.Rand) {
	for {
		select {
		case <-s.done:
			return
		case <-time.After(resendPause):
		}
		if o := s.newOperation(rng); o != nil {
			s.sendCopies(o, rng)
		}
		for range resendsPerNewOperation {
			if o := s.randomSentOperation(rng); o != nil {
				o.send(s.randomRouter(rng))
			}
		}
	}
}

func (s *resender) randomRouter(rng *rand.Rand) *router {
	return s.cluster.routers[rng.IntN(len(s.cluster.routers))]
}

// newOperation returns a new operation, or nil if no router issued a key for it.
func (s *resender) newOperation(rng *rand.Rand) *operation {
	name := newOperationName(s.cluster.t)
	keyed, ok := s.newCall(job(name), s.randomRouter(rng))
	if !ok {
		return nil
	}
	o := &operation{name: name, call: keyed}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.operations = append(s.operations, o)
	return o
}

// sendCopies sends concurrentCopies of the operation to random routers at the same
// time and waits for the answers.
func (s *resender) sendCopies(o *operation, rng *rand.Rand) {
	var wg sync.WaitGroup
	for range concurrentCopies {
		r := s.randomRouter(rng)
		wg.Go(func() { o.send(r) })
	}
	wg.Wait()
}

// randomSentOperation returns a random earlier operation, or nil if there is none.
func (s *resender) randomSentOperation(rng *rand.Rand) *operation {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.operations) == 0 {
		return nil
	}
	return s.operations[rng.IntN(len(s.operations))]
}

func (s *resender) sentCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.operations)
}

// awaitMore waits until the given number of further operations were created and at
// least one further operation has reached a service.
func (s *resender) awaitMore(t *testing.T, operations int) {
	t.Helper()
	sent, ran := s.sentCount()+operations, s.cluster.runLog.count()+1
	await(t, "more operations run", func() bool {
		return s.sentCount() >= sent && s.cluster.runLog.count() >= ran
	}, func() any { return s.summary() })
}

// stop ends the callers, waits for them and checks all operations.
func (s *resender) stop(t *testing.T) {
	t.Helper()
	close(s.done)
	s.wg.Wait()
	for _, o := range s.operations {
		o.checkRunsAtMostOnce(t, s.cluster)
	}
	t.Logf("%d operations, answers: %v", len(s.operations), s.summary())
}

// outcome is the result that a caller got.
type outcome struct {
	code v1.Code
	ran  v1.Ran
}

// summary counts the answers by outcome.
func (s *resender) summary() map[outcome]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := map[outcome]int{}
	for _, o := range s.operations {
		o.mu.Lock()
		for _, a := range o.answers {
			counts[outcome{a.code, a.ran}]++
		}
		o.mu.Unlock()
	}
	return counts
}
