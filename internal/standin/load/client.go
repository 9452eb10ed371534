package load

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// Headers between callers and routers.
const (
	codeHeader           = "Chiveseam-Code"
	ranHeader            = "Chiveseam-Ran"
	deadlineHeader       = "Chiveseam-Deadline-Ms"
	requestKeyHeader     = "Chiveseam-Request-Key"
	idempotencyKeyHeader = "Idempotency-Key"
	retryAfterHeader     = "Retry-After"
)

const (
	// bearerTokenPrefix, followed by the name of a workspace, is its bearer token.
	bearerTokenPrefix = "token-"
	// lightDeadline is the deadline in requests of workspaces that are not backlogged.
	lightDeadline = 10 * time.Second
	// maxIdleConnections bounds the idle connections to each router.
	maxIdleConnections = 1024
)

// Names of outcomes for which the router sent no result code.
const (
	nameUnreachable = "UNREACHABLE"
	nameAborted     = "ABORTED"
	nameNoKey       = "KEY_NOT_ISSUED"
	// nameLeftOpen is the outcome of a request that was still open when the run ended.
	nameLeftOpen = "LEFT_OPEN"
	// nameHTTP, followed by the status, is the outcome of an answer without
	// Chiveseam-Code.
	nameHTTP = "HTTP "
)

// The class of a result code is the code divided by codesPerClass.
const (
	codesPerClass = 100
	classRequest  = 2
	classTarget   = 4
	classKey      = 5
)

// outcome is how a request ended for its caller.
type outcome struct {
	code       uint32
	name       string
	ran        string
	retryAfter time.Duration
}

// served reports whether the caller got the answer of a target.
func (o outcome) served() bool {
	switch v1.Code(o.code) {
	case v1.Code_OK, v1.Code_REPLAYED, v1.Code_TARGET_ERROR:
		return true
	}
	return o.name == nameHTTP+strconv.Itoa(http.StatusOK)
}

// nextRequestDelay returns how long the caller waits before its next request. Refusals
// that concern a single request or its key do not delay the next one.
func (o outcome) nextRequestDelay() time.Duration {
	if o.served() || o.concernsRequest() {
		return 0
	}
	return o.retryDelay()
}

// retryDelay returns how long the caller waits before it repeats the same request.
func (o outcome) retryDelay() time.Duration {
	return min(max(o.retryAfter, minRetryDelay), maxRetryDelay)
}

// concernsRequest reports whether the code is about this request, its key or its target,
// and not about the capacity of the pool or the state of the router.
func (o outcome) concernsRequest() bool {
	switch o.code / codesPerClass {
	case classRequest, classTarget, classKey:
		return true
	}
	return false
}

// notRun reports whether the router stated that the request did not run.
func (o outcome) notRun() bool {
	return o.ran == v1.Ran_NO.String()
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxIdleConnections,
		DisableCompression:  true,
	}}
}

// call is one HTTP request to a router.
type call struct {
	router, method, path string
	headers              map[string]string
	body                 []byte
}

// randomRouter returns the entry address of a random router.
func (g *generator) randomRouter(rng *rand.Rand) string {
	return g.options.Routers[rng.IntN(len(g.options.Routers))]
}

// doCall sends c as the workspace of f. It clears GetBody, so that the transport cannot
// resend the body by itself and the generator knows of each attempt.
func (g *generator) doCall(ctx context.Context, f *flow, c call) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+c.router+c.path, bytes.NewReader(c.body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+bearerTokenPrefix+f.workspace.Name)
	req.Header.Set("Content-Type", "application/json")
	if !f.backlogged {
		req.Header.Set(deadlineHeader, strconv.FormatInt(lightDeadline.Milliseconds(), 10))
	}
	for name, value := range c.headers {
		req.Header.Set(name, value)
	}
	return g.client.Do(req)
}

// readOutcome returns the outcome stated in the headers of an answer, or one named after
// the HTTP status if they state none.
func readOutcome(resp *http.Response) outcome {
	o, ok := parseOutcome(resp.Header)
	if !ok {
		o.name = nameHTTP + strconv.Itoa(resp.StatusCode)
	}
	o.retryAfter = readRetryAfter(resp)
	return o
}

// readTrailerOutcome returns the outcome stated in the trailer of an answer whose body
// was read to its end, or fromHeaders if the trailer states none.
func readTrailerOutcome(resp *http.Response, fromHeaders outcome) outcome {
	if o, ok := parseOutcome(resp.Trailer); ok {
		return o
	}
	return fromHeaders
}

// parseOutcome decodes Chiveseam-Code, for instance "100 OK", and Chiveseam-Ran. ok is
// false if the code is missing or malformed.
func parseOutcome(headers http.Header) (o outcome, ok bool) {
	number, name, found := strings.Cut(headers.Get(codeHeader), " ")
	code, err := strconv.ParseUint(number, 10, 32)
	if !found || err != nil {
		return outcome{}, false
	}
	return outcome{code: uint32(code), name: name, ran: headers.Get(ranHeader)}, true
}

// readRetryAfter returns the delay in the Retry-After header, or 0 if it has none in
// seconds.
func readRetryAfter(resp *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(resp.Header.Get(retryAfterHeader), 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// connectionFailure returns the outcome of a request whose connection failed: name, or
// nameLeftOpen if ctx has ended.
func connectionFailure(ctx context.Context, name string) outcome {
	if ctx.Err() != nil {
		name = nameLeftOpen
	}
	return outcome{name: name, ran: v1.Ran_UNKNOWN.String()}
}

// drainBody reads the body to its end and closes it, so that the connection can be
// reused.
func drainBody(resp *http.Response) {
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}
