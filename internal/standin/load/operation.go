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
	// idempotentPercent is the part of service calls that are idempotent.
	idempotentPercent = 50
	// keyedPercent is the part of the other calls that carry a key, half of
	// them chosen by the caller and half issued by a router.
	keyedPercent = 60
	// duplicatePercent is the part of calls with a key that are sent to a second
	// router as well.
	duplicatePercent = 40
	// maxAttempts bounds how often an operation that did not run is sent.
	maxAttempts = 3
	// maxDuplicateDelay bounds the time between a call and its copy.
	maxDuplicateDelay = 100 * time.Millisecond
	// callPathSuffix is the end of the path of each service call.
	callPathSuffix = "/standin"
	requestKeyPath = "/v1/request-keys"
)

// runDurationsMs are the durations in milliseconds asked of services.
var runDurationsMs = []int{50, 100, 200, 400}

// operation is one logical operation of a caller, sent once or more.
type operation struct {
	name       string
	idempotent bool
	call       call
	runMs      int
	began      time.Time

	mu       sync.Mutex
	outcomes []outcome
}

// sendOperation carries out one service operation and returns its last outcome.
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

// sendDuplicate sends some operations with a key a second time, to another router
// and after a short delay.
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

// operationBody returns the body of a call that carries out the named operation.
func operationBody(method, operation string) []byte {
	if method == http.MethodGet {
		return nil
	}
	return []byte(`{"operation":"` + operation + `"}`)
}

// addKey gives the operation a key, chosen here or issued by a router.
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

// issueKey asks a router for a request key.
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

func (op *operation) hasKey() bool {
	_, chosen := op.call.headers[idempotencyKeyHeader]
	_, issued := op.call.headers[requestKeyHeader]
	return chosen || issued
}

// attempt sends the operation once and verifies the answer.
func (g *generator) attempt(ctx context.Context, f *flow, op *operation, router string) outcome {
	c := op.call
	c.router = router
	result := g.sendCall(ctx, f, op, c)
	op.mu.Lock()
	op.outcomes = append(op.outcomes, result)
	op.mu.Unlock()
	return g.recordOutcome(result)
}

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

// recordServed counts the service delivered by an answer that is not a replay.
func (g *generator) recordServed(f *flow, op *operation, result outcome) {
	if v1.Code(result.code) == v1.Code_REPLAYED {
		return
	}
	f.deliveredCost.Add(uint64(op.runMs))
	f.firstLatency.record(time.Since(op.began))
	g.recorder.serviceAnswerTime.record(time.Since(op.began))
}

// findCall returns a method and a path that the pool's rules classify as wanted.
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

// isIdempotent reports whether the pool's rules call a request idempotent.
func isIdempotent(pool *v1.Pool, method, path string) bool {
	for _, rule := range pool.Rules {
		methodMatches := rule.Method == "" || rule.Method == method
		if methodMatches && strings.HasPrefix(path, rule.PathPrefix) {
			return rule.Idempotent
		}
	}
	return false
}
