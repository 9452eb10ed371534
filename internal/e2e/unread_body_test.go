package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const (
	// refusedBodyBytes is more than net/http reads of a body after it has sent the
	// response, and less than a router discards of a request without a valid token.
	refusedBodyBytes = 1<<20 - 1
	// floodBodyBytes is the length of each body that callers without a valid token
	// send. maxFloodBytesTaken is how much of it the router and the socket buffers
	// may take.
	floodBodyBytes     = hugeBodyBytes
	maxFloodBytesTaken = 32 << 20
)

// rawPost returns the request line and headers of a POST with a body of this
// length in bytes.
func rawPost(path, bearer string, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", path, bearer, length)
}

// readRaw reads one HTTP response from the connection.
func readRaw(conn net.Conn) answer {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return newAnswer(resp, body, err)
}

// expectStatusAndCode fails the test unless the answer has the HTTP status, the
// code in both its headers and its body, and the ran value.
func (a answer) expectStatusAndCode(t *testing.T, what string, status int, code v1.Code, ran v1.Ran) {
	t.Helper()
	a.expect(t, what, code, ran)
	if a.status != status || !strings.Contains(string(a.body), fmt.Sprintf(`"code":%d`, code)) {
		t.Errorf("%s: status %d, want %d: %s", what, a.status, status, a.body)
	}
}

// Guards against refusals that do not reach the caller because the router closes
// the connection while the body is unread. Refusals that are sent before the body
// is read must reach a caller that sends all of the body first, and one that sends
// none of it.
func TestRefusalReachesCallerWithBody(t *testing.T) {
	t.Parallel()
	c := newSmallCluster(t)
	tests := []struct {
		name, path, token string
		code              v1.Code
	}{
		{"unknown token", "/v1/completions", "none", v1.Code_UNKNOWN_TOKEN},
		{"unknown path", "/none", bearerToken, v1.Code_UNKNOWN_POOL},
		{"unknown service", "/services/none/x", bearerToken, v1.Code_UNKNOWN_POOL},
	}
	for _, test := range tests {
		for _, length := range []int{1000, refusedBodyBytes} {
			for _, sent := range []int{0, length} {
				conn := dialRaw(t, c.routers[0].entry)
				head := rawPost(test.path, test.token, length)
				_, err := io.WriteString(conn, head+strings.Repeat("x", sent))
				what := fmt.Sprintf("%s, %d of %d bytes sent (%v)", test.name, sent, length, err)
				readRaw(conn).expect(t, what, test.code, v1.Ran_NO)
			}
		}
	}
	expectServing(t, c)
}

// Guards against a connection that is closed after each refusal: if the request has
// a small body that arrived completely, the connection stays open.
func TestConnectionIsKeptAfterRefusal(t *testing.T) {
	t.Parallel()
	c := newSmallCluster(t)
	conn := dialRaw(t, c.routers[0].entry)
	for range 3 {
		if _, err := io.WriteString(conn, rawPost("/none", "none", 4)+"body"); err != nil {
			t.Fatal(err)
		}
		readRaw(conn).expect(t, "on a reused connection", v1.Code_UNKNOWN_POOL, v1.Ran_NO)
	}
}

// Guards against a router that reads, or holds in memory, the large bodies of
// requests without a valid token.
func TestFloodOfBodiesWithoutToken(t *testing.T) {
	t.Parallel()
	c := newSmallCluster(t)
	r := c.routers[0]
	const callers = 16
	done := make(chan int64, callers)
	for range callers {
		conn := dialRaw(t, r.entry)
		go func() {
			_, _ = io.WriteString(conn, rawPost("/v1/completions", "none", floodBodyBytes))
			taken, _ := io.Copy(conn, io.LimitReader(zeros{}, floodBodyBytes))
			done <- taken
		}()
	}
	for range callers {
		if taken := <-done; taken > maxFloodBytesTaken {
			t.Errorf("%d bytes of a body without a valid token were taken; limit %d", taken, maxFloodBytesTaken)
		}
	}
	if status := r.status(); status.GetBodyBytes() != 0 || status.GetOpenRequests() != 0 {
		t.Errorf("the router holds bodies without a valid token: %v", status)
	}
	expectServing(t, c)
}

// Guards against a request that stays open without a response because its body does
// not arrive within --request-body-timeout. The caller gets an error response, and
// the connection is closed.
func TestSlowBodyTimesOut(t *testing.T) {
	t.Parallel()
	c := newSmallCluster(t, "--request-body-timeout="+bodyTimeout.String())
	conn := dialRaw(t, c.routers[0].entry)
	if _, err := io.WriteString(conn, rawPost("/services/desk/jobs", bearerToken, 100)+"half"); err != nil {
		t.Fatal(err)
	}
	a := readRaw(conn)
	a.expectStatusAndCode(t, "slow body", http.StatusBadRequest, v1.Code_BAD_REQUEST, v1.Ran_NO)
	if _, err := io.Copy(io.Discard, conn); err != nil {
		t.Errorf("the connection was not closed: %v", err)
	}
	expectServing(t, c)
}
