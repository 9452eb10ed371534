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
	// pauseDuration is longer than --key-right, for which a router may begin keys
	// after the platform's last acknowledgement, and than --peer-suspect-after.
	pauseDuration = 6 * time.Second
	// operationsPerPhase is how many new operations are sent before the next step
	// of a failure.
	operationsPerPhase = 40
	// keysCoveringAllOwners is the number of new keys that sendNewKeys uses: so many
	// that each router owns some of them.
	keysCoveringAllOwners = 32
)

// keyKind is a way in which a call gets its request key: issued by a router or
// chosen by the caller. addKey returns false if there is no key.
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

// forEachKeyKind runs the test once for each kind of key, each time with a new
// deployment of three routers.
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

// newKeyedOperation returns a new operation whose call has a key of the kind.
func newKeyedOperation(t *testing.T, c *cluster, k keyKind) *operation {
	t.Helper()
	name := newOperationName(t)
	keyed, ok := k.addKey(job(name), c.routers[0])
	if !ok {
		t.Fatal("no key was issued")
	}
	return &operation{name: name, call: keyed}
}

// Guards against copies of a request with one key that run twice: all routers
// get several copies at the same time. Copies that follow the answer must get the
// recorded answer, and a different body under the same key is refused.
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

// awaitRecordedAnswer sends the operation until its answer is recorded. The
// answer reaches the first caller before that, so copies may still get
// KEY_IN_PROGRESS for a short time.
func awaitRecordedAnswer(t *testing.T, o *operation, r *router) answer {
	t.Helper()
	var a answer
	await(t, "the answer is recorded", func() bool {
		a = o.send(r)
		return a.code != v1.Code_KEY_IN_PROGRESS
	}, func() any { return a })
	return a
}

// Guards against a second run when the target runs the request, but its answer
// does not arrive or is cut short. All callers must be told ran UNKNOWN.
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

// Guards against a second run when the router that owns a key is killed, removed
// from the instance list and later restarted, while callers resend old requests.
func TestKeyedRequestRunsOnceWhenOwnerIsKilled(t *testing.T) {
	forEachKeyKind(t, func(t *testing.T, c *cluster, k keyKind) {
		s := startResender(c, k.addKey)
		s.awaitMore(t, operationsPerPhase)
		killed := c.routers[0]
		killed.kill()
		s.awaitMore(t, operationsPerPhase)
		killed.listed = false
		c.publishInstanceList(time.Now())
		s.awaitMore(t, operationsPerPhase)
		time.Sleep(pauseDuration) // The killed router's right to begin keys lapses.
		s.awaitMore(t, operationsPerPhase)
		killed.restart()
		killed.awaitReady()
		s.awaitMore(t, operationsPerPhase)
		awaitNewKeysServed(t, c, k)
		s.stop(t)
	})
}

// Guards against a second run when the owner of a key is killed and returns at
// once as a new incarnation, which has no record of the key.
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

// Guards against a second run when the owner of a key is paused by SIGSTOP until
// its right to begin keys has lapsed, and then goes on with its old state. During
// the pause an instance list without it is published.
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

// awaitNewKeysServed waits until requests with new keys are served through each
// router. A router knows the age of the instance list only after it has read the
// list from the platform itself.
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

// sendNewKeys sends keysCoveringAllOwners operations with new keys to the router at
// the same time. If an answer is not OK, it returns one such answer and false.
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
