package e2e

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/result"
)

const (
	bearerToken = "token-small"
	// callTimeout limits a call, so that the test fails if no answer arrives.
	callTimeout = waitTimeout
)

// call is one HTTP request of a caller.
type call struct {
	method, path string
	header       map[string]string
	body         string
}

// answer is what a caller received.
type answer struct {
	status int
	code   v1.Code
	ran    v1.Ran
	header http.Header
	body   []byte
	// err is set if no answer or only a part of one arrived.
	err error
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("status %d, %d bytes, error %v", a.status, len(a.body), a.err)
	}
	return fmt.Sprintf("status %d, code %v, ran %v: %.200s", a.status, a.code, a.ran, a.body)
}

// callerTransport opens a new connection for each call, so that calls cannot
// affect each other through a shared connection.
var callerTransport = &http.Transport{DisableKeepAlives: true, DisableCompression: true}

// newHTTPRequest returns the call as a request to the address. Its body cannot be
// rewound, so that net/http does not retry the request.
func newHTTPRequest(ctx context.Context, address string, c call) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+address+c.path, io.NopCloser(strings.NewReader(c.body)))
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(c.body))
	req.Header.Set("Authorization", "Bearer "+bearerToken)
	for name, value := range c.header {
		req.Header.Set(name, value)
	}
	return req, nil
}

// send sends the call to the address and reads the whole answer.
func send(address string, c call) answer {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req, err := newHTTPRequest(ctx, address, c)
	if err != nil {
		return answer{err: err}
	}
	resp, err := callerTransport.RoundTrip(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return newAnswer(resp, body, err)
}

// newAnswer returns the answer of a response whose body has been read. Streams
// carry the result in the trailer, all other responses in the header.
func newAnswer(resp *http.Response, body []byte, err error) answer {
	a := answer{status: resp.StatusCode, header: resp.Header, body: body, err: err}
	a.code, a.ran = parseResult(resp.Header)
	if a.code == v1.Code_CODE_UNSPECIFIED {
		a.code, a.ran = parseResult(resp.Trailer)
	}
	return a
}

// parseResult returns the result that the headers carry, or unspecified values if
// they carry none or the number and the name of the code disagree.
func parseResult(h http.Header) (v1.Code, v1.Ran) {
	number, name, _ := strings.Cut(h.Get(result.HeaderCode), " ")
	code, err := strconv.ParseInt(number, 10, 32)
	if err != nil || v1.Code(code).String() != name {
		return v1.Code_CODE_UNSPECIFIED, v1.Ran_RAN_UNSPECIFIED
	}
	return v1.Code(code), v1.Ran(v1.Ran_value[h.Get(result.HeaderRan)])
}

// expect fails the test unless the answer arrived completely, with this code and
// ran value.
func (a answer) expect(t *testing.T, what string, code v1.Code, ran v1.Ran) {
	t.Helper()
	if a.err != nil || a.code != code || a.ran != ran {
		t.Errorf("%s: got %v; want code %v, ran %v", what, a, code, ran)
	}
}

// refusedBeforeRun reports whether the answer says that the request did not run
// and has a Retry-After header.
func (a answer) refusedBeforeRun() bool {
	return a.err == nil && a.ran == v1.Ran_NO && a.header.Get("Retry-After") != ""
}

// retryAfter returns the time of the Retry-After header, zero if there is none.
func (a answer) retryAfter() time.Duration {
	seconds, err := strconv.Atoi(a.header.Get("Retry-After"))
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// event is one server-sent event.
type event struct {
	name, data string
}

// parseEvents returns the events of a stream that have data.
func parseEvents(body []byte) []event {
	var events []event
	for _, block := range bytes.Split(body, []byte("\n\n")) {
		var e event
		for line := range strings.Lines(string(block)) {
			field, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
			switch field {
			case "event":
				e.name = value
			case "data":
				e.data += value
			}
		}
		if e.data != "" {
			events = append(events, e)
		}
	}
	return events
}
