package e2e

import (
	"io"
	"sync"
	"testing"
	"time"

	"github.com/chiveseam/chiveseam/internal/standin/fault"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const (
	// maxTargetsLost is how many targets one crashing request may crash.
	maxTargetsLost    = 2
	crashRounds       = 4
	unrelatedRequests = 4
	// identicalPromptRounds is how often identical prompts are sent concurrently.
	identicalPromptRounds = 1
)

// crashingCall returns a request that crashes each target that executes it. The
// crash is asked for in the prompt, not in a header, so that all copies of the
// request have the same body.
func crashingCall(t *testing.T) call {
	p := newPrompt(t, streamTokens)
	p.text += " fault=" + string(fault.Crash)
	return p.call(true)
}

// crashCount returns the number of crashes of all engines.
func (c *cluster) crashCount() int {
	n := 0
	for _, g := range c.engines {
		n += g.crashCount()
	}
	return n
}

// expectFewTargetsLost fails the test if the crashing request crashed more than
// maxTargetsLost targets, or if an answer to it is OK or has no code.
func expectFewTargetsLost(t *testing.T, c *cluster, answers []answer) {
	t.Helper()
	if lost := c.crashCount(); lost > maxTargetsLost {
		t.Errorf("%d targets were crashed by one request", lost)
	}
	for _, a := range answers {
		if a.err == nil && (a.code == v1.Code_OK || a.code == v1.Code_CODE_UNSPECIFIED) {
			t.Errorf("the crashing request got %v", a)
		}
	}
}

// Guards against a crashing request that takes down one target after the other
// because its caller sends it again and again, through all routers in turn.
func TestCrashingRequestSentSequentially(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSize{routers: 3, zones: 3, engines: 5, services: 1}, nil)
	crashing := crashingCall(t)
	var answers []answer
	for range crashRounds {
		for _, r := range c.routers {
			answers = append(answers, send(r.entry, crashing))
		}
	}
	expectFewTargetsLost(t, c, answers)
	if c.crashCount() == 0 {
		t.Errorf("the request crashed no target: %v", answers)
	}
	awaitNewPromptsServed(t, c)
}

// sendConcurrently sends the call twice to each router, all at the same time.
func sendConcurrently(c *cluster, request call) []answer {
	var mu sync.Mutex
	var answers []answer
	var wg sync.WaitGroup
	for _, r := range c.routers {
		for range 2 {
			wg.Go(func() {
				a := send(r.entry, request)
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, a)
			})
		}
	}
	wg.Wait()
	return answers
}

// Guards against a crashing request that reaches several targets at the same time
// when, after it was sent once, many copies of it are sent concurrently.
func TestCrashingRequestResentConcurrently(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSize{routers: 3, zones: 3, engines: 5, services: 1}, nil)
	crashing := crashingCall(t)
	answers := []answer{send(c.routers[0].entry, crashing)}
	for range crashRounds {
		answers = append(answers, sendConcurrently(c, crashing)...)
	}
	expectFewTargetsLost(t, c, answers)
	awaitNewPromptsServed(t, c)
}

// Like TestCrashingRequestResentConcurrently, but the first copies are sent at the
// same time too, before the request has crashed any target.
func TestCrashingRequestFirstSentConcurrently(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSize{routers: 3, zones: 3, engines: 5, services: 1}, nil)
	crashing := crashingCall(t)
	var answers []answer
	for range crashRounds {
		answers = append(answers, sendConcurrently(c, crashing)...)
	}
	expectFewTargetsLost(t, c, answers)
	awaitNewPromptsServed(t, c)
}

// Guards against the protection from crashing requests refusing harmless ones:
// identical prompts that are sent concurrently are all served. The test logs how
// long a round of identical and one of different prompts take.
func TestIdenticalPromptsAreServed(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSize{routers: 3, zones: 3, engines: 5, services: 1}, nil)
	for range identicalPromptRounds {
		identical := newPrompt(t, longTokens)
		began := time.Now()
		for _, a := range sendConcurrently(c, identical.call(true)) {
			identical.expectComplete(t, a)
		}
		took := time.Since(began)
		began = time.Now()
		sendDifferentPrompts(t, c)
		t.Logf("equal %v, different %v", took, time.Since(began))
	}
}

// sendDifferentPrompts sends as many requests as sendConcurrently, each with a
// different prompt.
func sendDifferentPrompts(t *testing.T, c *cluster) {
	var wg sync.WaitGroup
	for _, r := range c.routers {
		for range 2 {
			p := newPrompt(t, longTokens)
			wg.Go(func() { p.expectComplete(t, send(r.entry, p.call(true))) })
		}
	}
	wg.Wait()
}

// Guards against blaming the wrong request for a crash: requests that were in
// progress at a target when another one crashed it are served when they are sent
// again.
func TestOtherRequestsOfCrashedTargetAreServed(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSize{routers: 2, zones: 2, engines: 4, services: 1}, nil)
	prompts := make([]prompt, unrelatedRequests)
	var wg sync.WaitGroup
	for i := range prompts {
		prompts[i] = newPrompt(t, longTokens)
		resp, _ := openStream(t, c.routers[i%len(c.routers)], prompts[i])
		wg.Go(func() { _, _ = io.Copy(io.Discard, resp.Body) })
	}
	crashing := crashingCall(t)
	for _, r := range c.routers {
		send(r.entry, crashing)
	}
	wg.Wait()
	began := time.Now()
	for _, p := range prompts {
		awaitServed(t, c, p)
	}
	t.Logf("%d requests served after a crash in %v", len(prompts)*len(c.routers), time.Since(began))
}

// awaitNewPromptsServed waits until each router serves prompts that were not sent
// before.
func awaitNewPromptsServed(t *testing.T, c *cluster) {
	t.Helper()
	for range len(c.routers) {
		awaitServed(t, c, newPrompt(t, streamTokens))
	}
}

// awaitServed waits until each router serves the prompt.
func awaitServed(t *testing.T, c *cluster, p prompt) {
	t.Helper()
	for _, r := range c.routers {
		var a answer
		await(t, "a request is served through "+r.name, func() bool {
			a = send(r.entry, p.call(true))
			return a.code == v1.Code_OK && a.err == nil
		}, func() any { return a })
		p.expectComplete(t, a)
	}
}
