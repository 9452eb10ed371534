package e2e

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/config/configtest"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const (
	hugeBodyBytes = 100 << 20
	// maxHeaderBytes is the --max-header-bytes of the routers of newSmallCluster.
	maxHeaderBytes = 8 << 10
	// headerTimeout is the --request-header-timeout of these routers, bodyTimeout
	// the --request-body-timeout of those that set one.
	headerTimeout = 500 * time.Millisecond
	bodyTimeout   = 500 * time.Millisecond
)

// newSmallCluster returns a small deployment with two routers, one engine and one
// service. The first workspace may use both pools, the second only the service.
func newSmallCluster(t *testing.T, flags ...string) *cluster {
	return newCluster(t, clusterSize{routers: 2, zones: 2, engines: 1, services: 1}, func(c *v1.Configuration) {
		c.Workspaces[0].Pools = []string{configtest.ServicePool, configtest.EnginePool}
		c.Workspaces[1].Pools = []string{configtest.ServicePool}
	}, append(flags, fmt.Sprintf("--max-header-bytes=%d", maxHeaderBytes), "--request-header-timeout="+headerTimeout.String())...)
}

// expectServing fails the test unless each router still runs and serves a request
// to an engine and one to a service.
func expectServing(t *testing.T, c *cluster) {
	t.Helper()
	for _, r := range c.routers {
		if !r.running() {
			t.Fatalf("%s ended with code %d: %s", r.name, r.exitCode, r.logTail())
		}
		p := newPrompt(t, 3)
		p.expectComplete(t, send(r.entry, p.call(true)))
		send(r.entry, job(newOperationName(t))).expect(t, "call after bad input", v1.Code_OK, v1.Ran_YES)
	}
}

// Guards against invalid requests that get no error code, the wrong one, or run.
func TestBadRequestGetsErrorCode(t *testing.T) {
	t.Parallel()
	c := newSmallCluster(t)
	address := c.routers[0].entry
	completion := func(body string) call {
		return call{method: http.MethodPost, path: "/v1/chat/completions", body: body}
	}
	model := fmt.Sprintf(`{"model":%q}`, configtest.EnginePool)
	tests := []struct {
		name string
		call call
		code v1.Code
		ran  v1.Ran
	}{
		{"empty body", completion(""), v1.Code_BAD_REQUEST, v1.Ran_NO},
		{"malformed JSON", completion(`{"model":`), v1.Code_BAD_REQUEST, v1.Ran_NO},
		{"JSON of another type", completion(`[1]`), v1.Code_BAD_REQUEST, v1.Ran_NO},
		{"negative max_tokens", completion(`{"model":"model","max_tokens":-1}`), v1.Code_BAD_REQUEST, v1.Ran_NO},
		{"deeply nested JSON", completion(strings.Repeat("[", 1<<20)), v1.Code_BAD_REQUEST, v1.Ran_NO},
		{"unknown model", completion(`{"model":"none"}`), v1.Code_UNKNOWN_POOL, v1.Ran_NO},
		{"service as model", completion(`{"model":"desk"}`), v1.Code_UNKNOWN_POOL, v1.Ran_NO},
		{"unknown service", call{method: http.MethodGet, path: "/services/none/x"}, v1.Code_UNKNOWN_POOL, v1.Ran_NO},
		{"model as service", call{method: http.MethodGet, path: "/services/model/x"}, v1.Code_UNKNOWN_POOL, v1.Ran_NO},
		{"unknown path", call{method: http.MethodGet, path: "/v2/none"}, v1.Code_UNKNOWN_POOL, v1.Ran_NO},
		{"unknown method", call{method: "BREW", path: "/services/desk/x"}, v1.Code_UNKNOWN_POOL, v1.Ran_NO},
		{"unknown token", completion(model).withHeader("Authorization", "Bearer none"), v1.Code_UNKNOWN_TOKEN, v1.Ran_NO},
		{"no bearer token", completion(model).withHeader("Authorization", "Basic none"), v1.Code_UNKNOWN_TOKEN, v1.Ran_NO},
		{"pool of others", completion(model).withHeader("Authorization", "Bearer token-large"), v1.Code_NOT_ALLOWED, v1.Ran_NO},
		{"deadline that is no number", completion(model).withHeader("Chiveseam-Deadline-Ms", "soon"), v1.Code_BAD_REQUEST, v1.Ran_NO},
		{"deadline out of range", completion(model).withHeader("Chiveseam-Deadline-Ms", "0"), v1.Code_BAD_REQUEST, v1.Ran_NO},
		{"malformed request key", job("x").withHeader(requestKeyHeader, "cs1.none"), v1.Code_BAD_REQUEST, v1.Ran_NO},
		{"issued key as a chosen one", job("x").withHeader(idempotencyKeyHeader, "cs1.none"), v1.Code_BAD_REQUEST, v1.Ran_UNKNOWN},
		{"long key", job("x").withHeader(idempotencyKeyHeader, strings.Repeat("k", 300)), v1.Code_BAD_REQUEST, v1.Ran_UNKNOWN},
	}
	for _, test := range tests {
		a := send(address, test.call)
		a.expect(t, test.name, test.code, test.ran)
		if !strings.Contains(string(a.body), fmt.Sprintf(`"code":%d`, test.code)) {
			t.Errorf("%s: the body has no code: %s", test.name, a.body)
		}
	}
	if runs := c.ledger.Report().Total; runs != 0 {
		t.Errorf("%d refused calls ran", runs)
	}
	expectServing(t, c)
}

// zeros is an endless request body of zero bytes.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// Guards against a router that holds a huge body, or does not answer its sender:
// with a Content-Length and in chunks, on new and on reused connections.
func TestHugeBodyIsRefused(t *testing.T) {
	t.Parallel()
	c := newSmallCluster(t)
	reusingTransport := &http.Transport{}
	defer reusingTransport.CloseIdleConnections()
	for _, transport := range []*http.Transport{callerTransport, reusingTransport} {
		for _, length := range []int64{hugeBodyBytes, -1} {
			for _, path := range []string{"/v1/completions", "/services/desk/jobs"} {
				a := sendHuge(transport, c.routers[0].entry, path, length)
				a.expect(t, fmt.Sprintf("%s with Content-Length %d", path, length), v1.Code_BODY_TOO_LARGE, v1.Ran_NO)
			}
		}
	}
	await(t, "the router holds no bodies", func() bool {
		status := c.routers[0].status()
		return status != nil && status.BodyBytes == 0 && status.OpenRequests == 0
	}, func() any { return c.routers[0].status() })
	expectServing(t, c)
}

// sendHuge sends a body of hugeBodyBytes with this Content-Length; with -1 it uses
// chunked encoding.
func sendHuge(transport *http.Transport, address, path string, length int64) answer {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req, err := newHTTPRequest(ctx, address, call{method: http.MethodPost, path: path})
	if err != nil {
		return answer{err: err}
	}
	req.Body = io.NopCloser(io.LimitReader(zeros{}, hugeBodyBytes))
	req.ContentLength = length
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return newAnswer(resp, body, err)
}

// dialRaw connects to the address. All reads and writes on the connection together
// must end within waitTimeout.
func dialRaw(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(waitTimeout)); err != nil {
		t.Fatal(err)
	}
	return conn
}

// Guards against a router that reads headers without a limit, or ends on input that
// is not HTTP. Both get an error response.
func TestOversizedHeadersAreRefused(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newSmallCluster(t)
	conn := dialRaw(t, c.routers[0].entry)
	_, err := fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: x\r\nX-Flood: %s\r\n\r\n", strings.Repeat("f", 4*maxHeaderBytes))
	is.NoErr(err)
	readRaw(conn).expectStatusAndCode(t, "header flood", http.StatusRequestHeaderFieldsTooLarge, v1.Code_BAD_REQUEST, v1.Ran_UNKNOWN)

	conn = dialRaw(t, c.routers[0].entry)
	_, err = io.WriteString(conn, "\x00\x01\x02 no HTTP\r\n\r\n")
	is.NoErr(err)
	readRaw(conn).expectStatusAndCode(t, "no HTTP", http.StatusBadRequest, v1.Code_BAD_REQUEST, v1.Ran_UNKNOWN)
	expectServing(t, c)
}

// Guards against connections that are held open by callers whose headers never end.
func TestSlowHeadersCloseTheConnection(t *testing.T) {
	t.Parallel()
	c := newSmallCluster(t)
	conn := dialRaw(t, c.routers[0].entry)
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n"); err != nil {
		t.Fatal(err)
	}
	// The test never sends the rest of the headers.
	if _, err := io.Copy(io.Discard, conn); err != nil {
		t.Errorf("the connection was not closed: %v", err)
	}
	expectServing(t, c)
}

// Guards against a request whose body never ends and that blocks other requests, or
// stays open after its caller has closed the connection.
func TestSlowBodyDoesNotBlockOtherRequests(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newSmallCluster(t)
	r := c.routers[0]
	conn := dialRaw(t, r.entry)
	_, err := fmt.Fprintf(conn, "POST /services/desk/jobs HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\nhalf", bearerToken)
	is.NoErr(err)
	await(t, "the slow request is open", func() bool { return r.status().GetOpenRequests() == 1 }, func() any { return r.status() })
	expectServing(t, c)
	is.Equal(r.status().GetOpenRequests(), uint64(1))
	conn.Close()
	await(t, "the slow request ends", func() bool {
		status := r.status()
		return status != nil && status.OpenRequests == 0 && status.BodyBytes == 0
	}, func() any { return r.status() })
	is.Equal(c.ledger.Report().Doubles, map[string]int{})
}
