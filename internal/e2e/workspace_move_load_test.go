package e2e

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chiveseam/chiveseam/internal/standin/service"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const (
	// callersPerWorkspace is the number of concurrent callers of each workspace.
	// Each sends one call at a time.
	callersPerWorkspace = 4
	shortTokens         = 20
	// movingTokens is the length of an answer that takes one second.
	movingTokens = tokensPerSecond
)

// sentCall is one call of the load with its answer.
type sentCall struct {
	workspace string
	operation string
	// prompt is set for a stream, body for a request to a service.
	prompt *prompt
	body   string
	sent   time.Time
	ended  time.Time
	answer answer
}

// moveLoad is a load of several workspaces, whose callers send streams and service
// requests to routers chosen at random.
type moveLoad struct {
	cluster *cluster
	// served counts the OK answers of each workspace, by its name.
	served map[string]*atomic.Int64
	// done ends the callers when it is closed.
	done chan struct{}
	wg   sync.WaitGroup

	// mu guards calls.
	mu    sync.Mutex
	calls []sentCall
}

// startMoveLoad starts the callers, which send until stop is called.
func startMoveLoad(c *cluster, workspaces []string) *moveLoad {
	l := &moveLoad{cluster: c, served: map[string]*atomic.Int64{}, done: make(chan struct{})}
	for _, w := range workspaces {
		l.served[w] = &atomic.Int64{}
	}
	for i, w := range workspaces {
		for k := range callersPerWorkspace {
			rng := rand.New(rand.NewPCG(uint64(i), uint64(k)))
			l.wg.Go(func() { l.run(w, rng) })
		}
	}
	return l
}

func (l *moveLoad) run(workspace string, rng *rand.Rand) {
	for {
		select {
		case <-l.done:
			return
		default:
		}
		if rng.IntN(2) == 0 {
			l.stream(workspace, newPrompt(l.cluster.t, shortTokens), rng)
		} else {
			l.job(workspace, rng)
		}
	}
}

func (l *moveLoad) randomRouter(rng *rand.Rand) *router {
	return l.cluster.routers[rng.IntN(len(l.cluster.routers))]
}

func (l *moveLoad) stream(workspace string, p prompt, rng *rand.Rand) {
	l.send(sentCall{workspace: workspace, operation: firstWord(p.text), prompt: &p}, p.call(true), rng)
}

func firstWord(text string) string {
	var word string
	_, _ = fmt.Sscan(text, &word)
	return word
}

func (l *moveLoad) job(workspace string, rng *rand.Rand) {
	name := newOperationName(l.cluster.t)
	c := job(name)
	l.send(sentCall{workspace: workspace, operation: name, body: c.body}, c, rng)
}

// send sends the call to a random router and records it with its answer.
func (l *moveLoad) send(s sentCall, c call, rng *rand.Rand) {
	s.sent = time.Now()
	s.answer = send(l.randomRouter(rng).entry, c.withHeader("Authorization", "Bearer token-"+s.workspace))
	s.ended = time.Now()
	if s.answer.code == v1.Code_OK {
		l.served[s.workspace].Add(1)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, s)
}

// awaitMore waits until the given number of further calls of each workspace were served.
func (l *moveLoad) awaitMore(t *testing.T, calls int64) {
	t.Helper()
	for w, served := range l.served {
		want := served.Load() + calls
		await(t, "more calls of "+w+" are served", func() bool { return served.Load() >= want }, func() any { return l.summary() })
	}
}

// startLongStreams starts a stream of movingTokens for each workspace and waits
// until all of them have reached a target.
func (l *moveLoad) startLongStreams(t *testing.T, log *arrivalLog) {
	t.Helper()
	var names []string
	for w := range l.served {
		p := newPrompt(t, movingTokens)
		names = append(names, firstWord(p.text))
		rng := rand.New(rand.NewPCG(1, 1))
		l.wg.Go(func() { l.stream(w, p, rng) })
	}
	await(t, "long streams have begun", func() bool {
		return !slices.ContainsFunc(names, func(name string) bool { return len(log.arrivalsOf(name)) == 0 })
	}, func() any { return l.summary() })
}

func (l *moveLoad) stop() {
	close(l.done)
	l.wg.Wait()
}

// summary counts the answers by outcome.
func (l *moveLoad) summary() map[outcome]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := map[outcome]int{}
	for _, s := range l.calls {
		counts[outcome{s.answer.code, s.answer.ran}]++
	}
	return counts
}

// checkOutcome fails the test unless the call got its own complete answer and
// reached one target, or was refused and reached none.
func (s *sentCall) checkOutcome(t *testing.T, c *cluster, arrivals []arrival) {
	t.Helper()
	if s.answer.code == v1.Code_OK {
		s.checkAnswer(t)
		if len(arrivals) != 1 {
			t.Errorf("%s reached targets %d times", s.operation, len(arrivals))
		}
		return
	}
	if !s.answer.refusedBeforeRun() {
		t.Errorf("%s of %s: %v; want a complete answer or a refusal", s.operation, s.workspace, s.answer)
	}
	if len(arrivals) > 0 {
		t.Errorf("%s was refused, but reached a target", s.operation)
	}
}

// checkAnswer fails the test unless the answer belongs to the call and is complete.
func (s *sentCall) checkAnswer(t *testing.T) {
	t.Helper()
	if s.prompt != nil {
		s.prompt.expectComplete(t, s.answer)
		return
	}
	if err := service.CheckAnswer(s.operation, []byte(s.body), s.answer.body); err != nil {
		t.Errorf("%s: %v", s.operation, err)
	}
}
