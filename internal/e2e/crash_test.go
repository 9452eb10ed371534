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
	// maxTargetsLost is how many targets one request may cost.
	maxTargetsLost    = 2
	crashRounds       = 4
	unrelatedRequests = 4
	// identicalPromptRounds is how often equal prompts are sent at once.
	identicalPromptRounds = 1
)

// crashingCall returns a request that ends each target that executes it. Its
// content, not a header, makes it crash, so that it is the same each time.
func crashingCall(t *testing.T) call {
	p := newPrompt(t, streamTokens)
	p.text += " fault=" + string(fault.Crash)
	return p.call(true)
}

func (c *cluster) crashCount() int {
	n := 0
	for _, g := range c.engines {
		n += g.crashCount()
	}
	return n
}

// expectFewTargetsLost fails the test if a request was served or cost too many targets.
func expectFewTargetsLost(t *testing.T, c *cluster, answers []answer) {
	t.Helper()
	if lost := c.crashCount(); lost > maxTargetsLost {
		t.Errorf("%d targets were lost to one request", lost)
	}
	for _, a := range answers {
		if a.err == nil && (a.code == v1.Code_OK || a.code == v1.Code_CODE_UNSPECIFIED) {
			t.Errorf("the crashing request got %v", a)
		}
	}
}

func TestCrashingRequestSentSequentially(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSize{routers: 3, zones: 3, engines: 5, services: 1}, nil)
	bad := crashingCall(t)
	var answers []answer
	for range crashRounds {
		for _, r := range c.routers {
			answers = append(answers, send(r.entry, bad))
		}
	}
	expectFewTargetsLost(t, c, answers)
	if c.crashCount() == 0 {
		t.Errorf("the request crashed nothing: %v", answers)
	}
	awaitNewPromptsServed(t, c)
}

// sendConcurrently sends the call to all routers at once, twice to each.
func sendConcurrently(c *cluster, bad call) []answer {
	var mu sync.Mutex
	var answers []answer
	var wg sync.WaitGroup
	for _, r := range c.routers {
		for range 2 {
			wg.Go(func() {
				a := send(r.entry, bad)
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, a)
			})
		}
	}
	wg.Wait()
	return answers
}

// The request is sent once, and again by many callers at once.
func TestCrashingRequestResentConcurrently(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSize{routers: 3, zones: 3, engines: 5, services: 1}, nil)
	bad := crashingCall(t)
	answers := []answer{send(c.routers[0].entry, bad)}
	for range crashRounds {
		answers = append(answers, sendConcurrently(c, bad)...)
	}
	expectFewTargetsLost(t, c, answers)
	awaitNewPromptsServed(t, c)
}

// Many callers send it at once before it has crashed anything.
func TestCrashingRequestFirstSentConcurrently(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSize{routers: 3, zones: 3, engines: 5, services: 1}, nil)
	bad := crashingCall(t)
	var answers []answer
	for range crashRounds {
		answers = append(answers, sendConcurrently(c, bad)...)
	}
	expectFewTargetsLost(t, c, answers)
	awaitNewPromptsServed(t, c)
}

// Equal prompts that are sent at once are all served. It reports the time of a
// wave of equal prompts and of one of different prompts.
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

// sendDifferentPrompts sends as many prompts as sendAtOnce, each of its own.
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

// Requests that were in progress at a target when another one crashed it are
// served when they are sent again.
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
	bad := crashingCall(t)
	for _, r := range c.routers {
		send(r.entry, bad)
	}
	wg.Wait()
	began := time.Now()
	for _, p := range prompts {
		awaitServed(t, c, p)
	}
	t.Logf("%d requests served after a crash in %v", len(prompts)*len(c.routers), time.Since(began))
}

// awaitNewPromptsServed waits until each router serves other requests.
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
