package e2e

import (
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/chiveseam/chiveseam/internal/standin/fault"
	"github.com/chiveseam/chiveseam/internal/standin/service"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const (
	copiesPerRouter = 5
	// pauseDuration is longer than the right to begin a key and than the silence
	// after which a router counts as unreachable.
	pauseDuration = 6 * time.Second
	// operationsPerPhase are sent in each phase of a failure.
	operationsPerPhase = 40
	// keysCoveringAllOwners is a number of keys among which each router owns some.
	keysCoveringAllOwners = 32
)

// keyKind is a way to give a call a key.
type keyKind struct {
	name   string
	addKey func(call, *router) (call, bool)
}

var keyKinds = []keyKind{
	{"issued", func(c call, r *router) (call, bool) { return c.withIssuedKey(r) }},
	{"chosen", func(c call, _ *router) (call, bool) {
		key, err := uuid.NewV7()
		return c.withHeader(idempotencyKeyHeader, key.String()), err == nil
	}},
}

// forEachKeyKind runs the test with a new deployment of three routers for each
// kind of key.
func forEachKeyKind(t *testing.T, test func(t *testing.T, c *cluster, k keyKind)) {
	t.Parallel()
	for _, k := range keyKinds {
		t.Run(k.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, clusterSize{routers: 3, zones: 3, engines: 1, services: 2}, nil)
			awaitNewKeysServed(t, c, k)
			test(t, c, k)
		})
	}
}

// newKeyedOperation returns an operation with a key of the kind.
func newKeyedOperation(t *testing.T, c *cluster, k keyKind) *operation {
	t.Helper()
	name := newOperationName(t)
	keyed, ok := k.addKey(job(name), c.routers[0])
	if !ok {
		t.Fatal("no key was issued")
	}
	return &operation{name: name, call: keyed}
}

func TestKeyedRequestRunsOnce(t *testing.T) {
	forEachKeyKind(t, func(t *testing.T, c *cluster, k keyKind) {
		for range 10 {
			o := newKeyedOperation(t, c, k)
			o.sendToAll(c.routers, copiesPerRouter)
			o.checkRunsAtMostOnce(t, c)
			o.expectRun(t, c)
			for _, r := range c.routers {
				a := awaitRecordedAnswer(t, o, r)
				a.expect(t, "resend after the end", v1.Code_REPLAYED, v1.Ran_YES)
				if err := service.CheckAnswer(o.name, []byte(o.call.body), a.body); err != nil {
					t.Error(err)
				}
			}
			other := o.call
			other.body += " "
			send(c.routers[1].entry, other).expect(t, "another body", v1.Code_KEY_MISMATCH, v1.Ran_YES)
		}
	})
}

// awaitRecordedAnswer sends the operation until it is not in progress any more: its
// answer reaches the caller before it is recorded.
func awaitRecordedAnswer(t *testing.T, o *operation, r *router) answer {
	t.Helper()
	var a answer
	await(t, "the operation ends", func() bool {
		a = o.send(r)
		return a.code != v1.Code_KEY_IN_PROGRESS
	}, func() any { return a })
	return a
}

func TestKeyedRequestRunsOnceWhenAnswerIsLost(t *testing.T) {
	forEachKeyKind(t, func(t *testing.T, c *cluster, k keyKind) {
		for _, kind := range []fault.Kind{fault.CloseBeforeAnswer, fault.Truncate} {
			o := newKeyedOperation(t, c, k)
			o.call = o.call.withFault(kind)
			o.sendToAll(c.routers, copiesPerRouter)
			o.sendToAll(c.routers, 1)
			o.checkRunsAtMostOnce(t, c)
			o.expectRun(t, c)
			for _, a := range o.answers {
				if a.err != nil || a.ran != v1.Ran_UNKNOWN {
					t.Errorf("%s: %v; want ran UNKNOWN", kind, a)
				}
			}
		}
	})
}

func TestKeyedRequestRunsOnceWhenOwnerIsKilled(t *testing.T) {
	forEachKeyKind(t, func(t *testing.T, c *cluster, k keyKind) {
		s := startResender(c, k.addKey)
		s.awaitMore(t, operationsPerPhase)
		lost := c.routers[0]
		lost.kill()
		s.awaitMore(t, operationsPerPhase)
		lost.listed = false
		c.publishInstanceList(time.Now())
		s.awaitMore(t, operationsPerPhase)
		time.Sleep(pauseDuration) // The lost router's right to its keys lapses.
		s.awaitMore(t, operationsPerPhase)
		lost.restart()
		lost.awaitReady()
		s.awaitMore(t, operationsPerPhase)
		awaitNewKeysServed(t, c, k)
		s.stop(t)
	})
}

func TestKeyedRequestRunsOnceWhenOwnerRestartsImmediately(t *testing.T) {
	forEachKeyKind(t, func(t *testing.T, c *cluster, k keyKind) {
		s := startResender(c, k.addKey)
		for _, r := range c.routers[:2] {
			s.awaitMore(t, operationsPerPhase)
			r.kill()
			r.restart()
			r.awaitReady()
		}
		s.awaitMore(t, operationsPerPhase)
		awaitNewKeysServed(t, c, k)
		s.stop(t)
	})
}

func TestKeyedRequestRunsOnceWhenOwnerIsPaused(t *testing.T) {
	forEachKeyKind(t, func(t *testing.T, c *cluster, k keyKind) {
		s := startResender(c, k.addKey)
		s.awaitMore(t, operationsPerPhase)
		paused := c.routers[0]
		paused.signal(t, syscall.SIGSTOP)
		time.Sleep(pauseDuration / 2)
		paused.listed = false
		c.publishInstanceList(time.Now())
		time.Sleep(pauseDuration / 2)
		paused.signal(t, syscall.SIGCONT)
		paused.listed = true
		c.publishInstanceList(time.Now())
		s.awaitMore(t, operationsPerPhase)
		awaitNewKeysServed(t, c, k)
		s.stop(t)
	})
}

// awaitNewKeysServed waits until new keys are served through each router. A
// router knows how old the instance list is only once it has read it itself.
func awaitNewKeysServed(t *testing.T, c *cluster, k keyKind) {
	t.Helper()
	for _, r := range c.routers {
		var failed answer
		await(t, "new keys are served through "+r.name, func() bool {
			var ok bool
			failed, ok = sendNewKeys(t, r, k)
			return ok
		}, func() any { return failed })
	}
}

// sendNewKeys sends enough operations with new keys that each router owns some.
// It returns false and an answer that is not OK if there is one.
func sendNewKeys(t *testing.T, r *router, k keyKind) (failed answer, ok bool) {
	answers := make([]answer, keysCoveringAllOwners)
	var wg sync.WaitGroup
	for i := range answers {
		wg.Go(func() {
			if keyed, ok := k.addKey(job(newOperationName(t)), r); ok {
				answers[i] = send(r.entry, keyed)
			}
		})
	}
	wg.Wait()
	for _, a := range answers {
		if a.code != v1.Code_OK {
			return a, false
		}
	}
	return answer{}, true
}
