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
	// bearerTokenPrefix and the workspace's name make its bearer token.
	bearerTokenPrefix = "token-"
	// lightDeadline is the deadline that light workspaces ask for.
	lightDeadline = 10 * time.Second
	// maxIdleConnections bounds the idle connections to each router.
	maxIdleConnections = 1024
)

// Names of outcomes that have no code of a router.
const (
	nameUnreachable = "UNREACHABLE"
	nameAborted     = "ABORTED"
	nameNoKey       = "KEY_NOT_ISSUED"
	// nameLeftOpen is a request that was still open when the run ended.
	nameLeftOpen = "LEFT_OPEN"
	nameHTTP     = "HTTP "
)

// The classes of result codes are their hundreds.
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

// served reports whether the caller got an answer of a target.
func (o outcome) served() bool {
	switch v1.Code(o.code) {
	case v1.Code_OK, v1.Code_REPLAYED, v1.Code_TARGET_ERROR:
		return true
	}
	return o.name == nameHTTP+strconv.Itoa(http.StatusOK)
}

// nextRequestDelay returns how long the caller waits before its next request. Refusals
// that concern one request or its key don't hold the next one up.
func (o outcome) nextRequestDelay() time.Duration {
	if o.served() || o.concernsRequest() {
		return 0
	}
	return o.retryDelay()
}

// retryDelay returns how long the caller waits before it repeats the request.
func (o outcome) retryDelay() time.Duration {
	return min(max(o.retryAfter, minRetryDelay), maxRetryDelay)
}

// concernsRequest reports whether the code is about the request or its key,
// and not about the capacity or the router.
func (o outcome) concernsRequest() bool {
	switch o.code / codesPerClass {
	case classRequest, classTarget, classKey:
		return true
	}
	return false
}

// notRun reports whether the router promised that the request did not run.
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

// doCall sends c for the flow's workspace. The transport cannot send the body a
// second time, so that each attempt is one that the generator knows of.
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

// readOutcome returns the outcome that the headers of an answer tell.
func readOutcome(resp *http.Response) outcome {
	o, ok := parseOutcome(resp.Header)
	if !ok {
		o.name = nameHTTP + strconv.Itoa(resp.StatusCode)
	}
	o.retryAfter = readRetryAfter(resp)
	return o
}

// readTrailerOutcome returns the outcome in the trailer of an answer that was read to
// its end, or the one from its headers.
func readTrailerOutcome(resp *http.Response, fromHeaders outcome) outcome {
	if o, ok := parseOutcome(resp.Trailer); ok {
		return o
	}
	return fromHeaders
}

func parseOutcome(headers http.Header) (o outcome, ok bool) {
	number, name, found := strings.Cut(headers.Get(codeHeader), " ")
	code, err := strconv.ParseUint(number, 10, 32)
	if !found || err != nil {
		return outcome{}, false
	}
	return outcome{code: uint32(code), name: name, ran: headers.Get(ranHeader)}, true
}

func readRetryAfter(resp *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(resp.Header.Get(retryAfterHeader), 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// connectionFailure returns the outcome of a request of ctx whose connection connectionFailure.
func connectionFailure(ctx context.Context, name string) outcome {
	if ctx.Err() != nil {
		name = nameLeftOpen
	}
	return outcome{name: name, ran: v1.Ran_UNKNOWN.String()}
}

// drainBody reads and closes the body so that the connection is reused.
func drainBody(resp *http.Response) {
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}
