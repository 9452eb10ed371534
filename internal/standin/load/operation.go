package load

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/chiveseam/chiveseam/internal/standin/fault"
	"github.com/chiveseam/chiveseam/internal/standin/service"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const (
	// idempotentPercent is the percentage of service operations that are idempotent.
	idempotentPercent = 50
	// keyedPercent is the percentage of the non-idempotent operations that carry a key.
	// Half of these keys are chosen by the caller, half are issued by a router.
	keyedPercent = 60
	// duplicatePercent is the percentage of operations with a key that are also sent to
	// a second, randomly chosen router.
	duplicatePercent = 40
	// maxAttempts bounds how often an operation is sent as long as it did not run.
	maxAttempts = 3
	// maxDuplicateDelay bounds the time between the first attempt and the duplicate.
	maxDuplicateDelay = 100 * time.Millisecond
	// callPathSuffix is the end of the path of each service call, after the path prefix
	// of a rule.
	callPathSuffix = "/standin"
	requestKeyPath = "/v1/request-keys"
)

// runDurationsMs are the durations, in milliseconds, that operations ask of services.
var runDurationsMs = []int{50, 100, 200, 400}

// operation is one logical operation of a caller. It is sent at least once, with the
// same name and key each time.
type operation struct {
	name       string
	idempotent bool
	call       call
	// runMs is the duration in milliseconds that the operation asks of the service.
	runMs int
	began time.Time

	// mu guards outcomes, one for each attempt: duplicates are sent concurrently.
	mu       sync.Mutex
	outcomes []outcome
}

// sendOperation carries out one service operation. It repeats attempts that did not run,
// and returns the outcome of the last one after the duplicate, if any, has ended too.
func (g *generator) sendOperation(ctx context.Context, f *flow, rng *rand.Rand) outcome {
	op, err := g.newOperation(ctx, f, rng)
	if err != nil {
		return g.recordOutcome(connectionFailure(ctx, nameNoKey))
	}
	g.recorder.addOperation(op)
	duplicates := g.sendDuplicate(ctx, f, op, rng)
	result := g.attempt(ctx, f, op, g.randomRouter(rng))
	for n := 1; n < maxAttempts && result.notRun() && result.retryAfter > 0; n++ {
		sleep(ctx, result.retryDelay())
		result = g.attempt(ctx, f, op, g.randomRouter(rng))
	}
	duplicates.Wait()
	return result
}

// sendDuplicate sends some operations that carry a key a second time, concurrently,
// after a short random delay and to a randomly chosen router. The caller waits for the
// duplicate with the returned WaitGroup.
func (g *generator) sendDuplicate(ctx context.Context, f *flow, op *operation, rng *rand.Rand) *sync.WaitGroup {
	var duplicates sync.WaitGroup
	if !op.hasKey() || rng.IntN(100) >= duplicatePercent {
		return &duplicates
	}
	router := g.randomRouter(rng)
	delay := time.Duration(rng.Int64N(int64(maxDuplicateDelay)))
	duplicates.Go(func() {
		sleep(ctx, delay)
		g.attempt(ctx, f, op, router)
	})
	return &duplicates
}

// newOperation returns a random operation for the pool of f. It fails if no key could be
// obtained.
func (g *generator) newOperation(ctx context.Context, f *flow, rng *rand.Rand) (*operation, error) {
	op := &operation{
		idempotent: rng.IntN(100) < idempotentPercent,
		runMs:      runDurationsMs[rng.IntN(len(runDurationsMs))],
		began:      time.Now(),
	}
	op.name = fmt.Sprintf("op-%s-%d", g.runID, g.lastNumber.Add(1))
	method, path := findCall(f.pool, op.idempotent)
	op.call = call{
		method: method,
		path:   "/services/" + f.pool.Name + path,
		body:   operationBody(method, op.name),
		headers: map[string]string{
			service.RequestHeader:  op.name,
			service.DurationHeader: strconv.Itoa(op.runMs),
		},
	}
	if rng.IntN(100) < g.options.FaultPercent {
		op.call.headers[fault.Header] = string(fault.CloseBeforeAnswer)
	}
	if !op.idempotent && rng.IntN(100) < keyedPercent {
		return op, g.addKey(ctx, f, op, rng)
	}
	return op, nil
}

// operationBody returns the body of a call that carries out the named operation, nil for
// GET.
func operationBody(method, operation string) []byte {
	if method == http.MethodGet {
		return nil
	}
	return []byte(`{"operation":"` + operation + `"}`)
}

// addKey gives the operation a key that is either chosen here or issued by a router.
func (g *generator) addKey(ctx context.Context, f *flow, op *operation, rng *rand.Rand) error {
	if rng.IntN(2) == 0 {
		key, err := uuid.NewV7()
		if err != nil {
			return err
		}
		op.call.headers[idempotencyKeyHeader] = key.String()
		return nil
	}
	key, err := g.issueKey(ctx, f, rng)
	if err != nil {
		return err
	}
	op.call.headers[requestKeyHeader] = key
	return nil
}

// issueKey obtains a request key from a random router.
func (g *generator) issueKey(ctx context.Context, f *flow, rng *rand.Rand) (string, error) {
	resp, err := g.doCall(ctx, f, call{router: g.randomRouter(rng), method: http.MethodPost, path: requestKeyPath})
	if err != nil {
		return "", err
	}
	defer drainBody(resp)
	var issued struct {
		Key string `json:"key"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&issued); err != nil {
		return "", fmt.Errorf("decode request key: %w", err)
	}
	if issued.Key == "" {
		return "", fmt.Errorf("no request key: %s", resp.Status)
	}
	return issued.Key, nil
}

// hasKey reports whether the operation carries a key of either kind.
func (op *operation) hasKey() bool {
	_, chosen := op.call.headers[idempotencyKeyHeader]
	_, issued := op.call.headers[requestKeyHeader]
	return chosen || issued
}

// attempt sends the operation once, verifies the answer and records the outcome.
func (g *generator) attempt(ctx context.Context, f *flow, op *operation, router string) outcome {
	c := op.call
	c.router = router
	result := g.sendCall(ctx, f, op, c)
	op.mu.Lock()
	op.outcomes = append(op.outcomes, result)
	op.mu.Unlock()
	return g.recordOutcome(result)
}

// sendCall sends c and verifies that the answer belongs to op. It returns the outcome.
func (g *generator) sendCall(ctx context.Context, f *flow, op *operation, c call) outcome {
	resp, err := g.doCall(ctx, f, c)
	if err != nil {
		return connectionFailure(ctx, nameUnreachable)
	}
	defer drainBody(resp)
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return connectionFailure(ctx, nameAborted)
	}
	result := readOutcome(resp)
	if !result.served() || resp.StatusCode != http.StatusOK {
		return result
	}
	if err := service.CheckAnswer(op.name, c.body, body); err != nil {
		g.recorder.violate(violationWrongAnswer, err.Error())
		return result
	}
	g.recordServed(f, op, result)
	return result
}

// recordServed adds the run of op to the delivered cost and to the latencies, unless the
// answer is a replay of an earlier one.
func (g *generator) recordServed(f *flow, op *operation, result outcome) {
	if v1.Code(result.code) == v1.Code_REPLAYED {
		return
	}
	f.deliveredCost.Add(uint64(op.runMs))
	f.firstLatency.record(time.Since(op.began))
	g.recorder.serviceAnswerTime.record(time.Since(op.began))
}

// findCall returns a method and a path that the pool's rules class as idempotent or not,
// as wanted. If no rule yields such a call it returns POST /standin, whose class may
// differ.
func findCall(pool *v1.Pool, idempotent bool) (method, path string) {
	for _, rule := range pool.Rules {
		method := cmp.Or(rule.Method, http.MethodPost)
		path := strings.TrimSuffix(rule.PathPrefix, "/") + callPathSuffix
		if isIdempotent(pool, method, path) == idempotent {
			return method, path
		}
	}
	return http.MethodPost, callPathSuffix
}

// isIdempotent reports whether the first of the pool's rules that matches the call makes
// it idempotent. A call that matches no rule is not.
func isIdempotent(pool *v1.Pool, method, path string) bool {
	for _, rule := range pool.Rules {
		methodMatches := rule.Method == "" || rule.Method == method
		if methodMatches && strings.HasPrefix(path, rule.PathPrefix) {
			return rule.Idempotent
		}
	}
	return false
}
