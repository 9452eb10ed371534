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
	// longTokens is an answer that takes a few seconds.
	longTokens = 400
)

// newStreamCluster has one engine, which resumes streams or not.
func newStreamCluster(t *testing.T, resumes bool) *cluster {
	return newCluster(t, clusterSize{routers: 2, zones: 2, engines: 1, services: 2}, func(c *v1.Configuration) {
		for _, target := range c.Targets {
			target.Resumes = resumes && target.Pool == configtest.EnginePool
		}
	})
}

// streamFaults end a stream half-way.
var streamFaults = []fault.Kind{fault.Truncate, fault.SilentMidStream}

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

// expectIncomplete fails the test unless the stream is a visible part of the
// prompt's own answer.
func (p prompt) expectIncomplete(t *testing.T, a answer) {
	t.Helper()
	end := readStream(a)
	want := strings.Join(engine.AnswerTokens(p.text, p.tokens), "")
	if !strings.HasPrefix(want, end.text) || end.text == want {
		t.Errorf("the stream is no part of its answer: %q", end.text)
	}
	if end.done {
		t.Errorf("a broken stream ends with %s", doneData)
	}
	if end.errorData == "" && a.err == nil {
		t.Errorf("a broken stream ends cleanly: %v", a)
	}
	if end.errorData != "" && !strings.Contains(end.errorData, `"ran":"UNKNOWN"`) {
		t.Errorf("the error event does not say UNKNOWN: %s", end.errorData)
	}
}

// An engine process that is killed in the middle of a stream has lost it, so
// that the stream cannot be resumed.
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

// openStream begins a stream and returns its first bytes.
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

// A plain answer that is cut short, or whose target falls silent, is never
// passed on as a whole one.
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

// A slow reader gets its whole answer and holds up nobody else.
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

// Many callers at once get each their own answer.
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
