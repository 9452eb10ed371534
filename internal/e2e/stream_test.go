package e2e

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/chiveseam/chiveseam/config/configtest"
	"github.com/chiveseam/chiveseam/internal/standin/engine"
	"github.com/chiveseam/chiveseam/internal/standin/fault"
	"github.com/chiveseam/chiveseam/internal/standin/service"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const (
	streamTokens = 40
	// longTokens is the length of an answer that takes two seconds.
	longTokens = 400
)

// newStreamCluster returns a deployment with one engine, which can resume
// interrupted streams if resumes is set.
func newStreamCluster(t *testing.T, resumes bool) *cluster {
	return newCluster(t, clusterSize{routers: 2, zones: 2, engines: 1, services: 2}, func(c *v1.Configuration) {
		for _, target := range c.Targets {
			target.Resumes = resumes && target.Pool == configtest.EnginePool
		}
	})
}

// streamFaults are the faults that interrupt an answer after its first part.
var streamFaults = []fault.Kind{fault.Truncate, fault.SilentMidStream}

// Guards against a caller that gets an incomplete stream although the engine can
// resume it: the router resumes it, and the caller gets the complete stream.
func TestBrokenStreamIsResumed(t *testing.T) {
	t.Parallel()
	c := newStreamCluster(t, true)
	for _, kind := range streamFaults {
		for _, r := range c.routers {
			p := newPrompt(t, streamTokens)
			p.expectComplete(t, send(r.entry, p.call(true).withFault(kind)))
		}
	}
}

// Guards against an interrupted stream that the caller takes for a complete one,
// when the engine cannot resume it.
func TestBrokenStreamNeverLooksComplete(t *testing.T) {
	t.Parallel()
	c := newStreamCluster(t, false)
	for _, kind := range streamFaults {
		for _, r := range c.routers {
			p := newPrompt(t, streamTokens)
			p.expectIncomplete(t, send(r.entry, p.call(true).withFault(kind)))
		}
	}
}

// expectIncomplete fails the test unless the stream is a proper prefix of the
// prompt's answer, has no final event, and ends with an error event with ran
// UNKNOWN or with an aborted connection.
func (p prompt) expectIncomplete(t *testing.T, a answer) {
	t.Helper()
	end := readStream(a)
	want := strings.Join(engine.AnswerTokens(p.text, p.tokens), "")
	if !strings.HasPrefix(want, end.text) || end.text == want {
		t.Errorf("the stream is not a proper prefix of the prompt's answer: %q", end.text)
	}
	if end.done {
		t.Errorf("an interrupted stream ends with %s", doneData)
	}
	if end.errorData == "" && a.err == nil {
		t.Errorf("an interrupted stream ends without an error: %v", a)
	}
	if end.errorData != "" && !strings.Contains(end.errorData, `"ran":"UNKNOWN"`) {
		t.Errorf("the error event does not have ran UNKNOWN: %s", end.errorData)
	}
}

// Guards against a stream that looks complete after its engine was killed. The
// engine runs as a process here. Killed in the middle of a stream, it loses the
// state of the stream, so that nothing can resume it.
func TestStreamOfKilledEngineIsAborted(t *testing.T) {
	t.Parallel()
	c := newStreamCluster(t, true)
	spec := c.engines[0].spec
	c.engines[0].stop()
	process := startProcess(t, "engine", "chiveseam-standin", "engine", "--listen="+spec.Address, "--tokens-per-second=200")
	await(t, "the engine serves", func() bool {
		p := newPrompt(t, 1)
		return send(c.routers[0].entry, p.call(true)).code == v1.Code_OK
	}, func() any { return string(process.logTail()) })
	p := newPrompt(t, longTokens)
	resp, body := openStream(t, c.routers[0], p)
	process.kill()
	rest, err := io.ReadAll(resp.Body)
	p.expectIncomplete(t, newAnswer(resp, append(body, rest...), err))
}

// openStream sends the prompt and returns the response and the first byte of its
// body. The body is closed at the end of the test.
func openStream(t *testing.T, r *router, p prompt) (*http.Response, []byte) {
	t.Helper()
	req, err := newHTTPRequest(t.Context(), r.entry, p.call(true))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := callerTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { resp.Body.Close() })
	first := make([]byte, 1)
	if _, err := io.ReadFull(resp.Body, first); err != nil {
		t.Fatal(err)
	}
	return resp, first
}

// Guards against a plain answer that is passed on as complete although the target
// cut it short or stopped sending. If the caller gets an answer, it must be an
// error with ran UNKNOWN.
func TestTruncatedPlainAnswerNeverLooksComplete(t *testing.T) {
	t.Parallel()
	c := newStreamCluster(t, false)
	for _, kind := range streamFaults {
		a := send(c.routers[0].entry, job(newOperationName(t)).withFault(kind))
		if a.err == nil && (a.status == http.StatusOK || a.ran != v1.Ran_UNKNOWN) {
			t.Errorf("service with %s: %v", kind, a)
		}
		a = send(c.routers[1].entry, newPrompt(t, streamTokens).call(false).withFault(kind))
		if a.err == nil && (a.status == http.StatusOK || a.ran != v1.Ran_UNKNOWN) {
			t.Errorf("engine with %s: %v", kind, a)
		}
	}
}

// Guards against a caller that reads its stream slowly and blocks other callers,
// or loses a part of its own answer.
func TestSlowReaderGetsCompleteAnswer(t *testing.T) {
	t.Parallel()
	c := newStreamCluster(t, true)
	p := newPrompt(t, longTokens)
	resp, body := openStream(t, c.routers[0], p)
	for range 5 {
		q := newPrompt(t, streamTokens)
		q.expectComplete(t, send(c.routers[0].entry, q.call(true)))
		part := make([]byte, 512)
		n, err := io.ReadFull(resp.Body, part)
		body = append(body, part[:n]...)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(betweenTokensLimit / 4)
	}
	rest, err := io.ReadAll(resp.Body)
	p.expectComplete(t, newAnswer(resp, append(body, rest...), err))
}

// Guards against answers that reach the wrong caller when many callers send
// requests at the same time.
func TestConcurrentCallersGetTheirOwnAnswers(t *testing.T) {
	t.Parallel()
	c := newStreamCluster(t, true)
	const callers, rounds = 8, 4
	done := make(chan struct{})
	for i := range callers {
		r := c.routers[i%len(c.routers)]
		go func() {
			defer func() { done <- struct{}{} }()
			for range rounds {
				p := newPrompt(t, streamTokens)
				p.expectComplete(t, send(r.entry, p.call(true)))
				o := job(newOperationName(t))
				a := send(r.entry, o)
				if err := service.CheckAnswer(o.header[service.RequestHeader], []byte(o.body), a.body); err != nil {
					t.Errorf("%v: %v", a, err)
				}
			}
		}()
	}
	for range callers {
		<-done
	}
}
