package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/chiveseam/chiveseam/config/configtest"
	"github.com/chiveseam/chiveseam/internal/standin/engine"
	"github.com/chiveseam/chiveseam/internal/standin/fault"
	"github.com/chiveseam/chiveseam/internal/standin/service"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

var nextOperation atomic.Uint64

// newOperationName returns a unique name, under which services count the runs of
// an operation.
func newOperationName(t *testing.T) string {
	return fmt.Sprintf("%s-%d", t.Name(), nextOperation.Add(1))
}

// job returns a POST to the service pool, without a request key, that runs the
// operation.
func job(operation string) call {
	return call{
		method: http.MethodPost,
		path:   "/services/" + configtest.ServicePool + "/jobs",
		header: map[string]string{service.RequestHeader: operation},
		body:   `{"job":"` + operation + `"}`,
	}
}

// withHeader returns a copy of the call with a header set.
func (c call) withHeader(name, value string) call {
	header := map[string]string{name: value}
	for n, v := range c.header {
		if n != name {
			header[n] = v
		}
	}
	c.header = header
	return c
}

// withFault returns a copy of the call that makes the target fail in this way.
func (c call) withFault(kind fault.Kind) call { return c.withHeader(fault.Header, string(kind)) }

// withIssuedKey returns a copy of the call with a request key that the router
// issues, or false if the router issues none.
func (c call) withIssuedKey(r *router) (call, bool) {
	a := send(r.entry, call{method: http.MethodPost, path: "/v1/request-keys"})
	var issued struct{ Key string }
	if a.err != nil || a.status != http.StatusCreated || json.Unmarshal(a.body, &issued) != nil {
		return c, false
	}
	return c.withHeader(requestKeyHeader, issued.Key), true
}

// Request headers that routers read.
const (
	deadlineHeader       = "Chiveseam-Deadline-Ms"
	requestKeyHeader     = "Chiveseam-Request-Key"
	idempotencyKeyHeader = "Idempotency-Key"
)

// prompt is the input of a completion and the number of tokens of its answer.
type prompt struct {
	text   string
	tokens int
}

func newPrompt(t *testing.T, tokens int) prompt {
	return prompt{text: fmt.Sprintf("%s tokens=%d", newOperationName(t), tokens), tokens: tokens}
}

// call returns the completion request for the prompt.
func (p prompt) call(stream bool) call {
	body, _ := json.Marshal(map[string]any{
		"model":      configtest.EnginePool,
		"prompt":     p.text,
		"max_tokens": p.tokens,
		"stream":     stream,
	})
	return call{method: http.MethodPost, path: "/v1/completions", body: string(body)}
}

// doneData is the data of the event that ends a complete stream.
const doneData = "[DONE]"

// streamResult is what a caller received of a stream.
type streamResult struct {
	// text is the concatenated text of all chunks.
	text string
	// done is set if the event with doneData arrived.
	done bool
	// errorData is the data of the error event, empty if there was none.
	errorData string
}

func readStream(a answer) streamResult {
	var end streamResult
	var text strings.Builder
	for _, e := range parseEvents(a.body) {
		switch {
		case e.name == "error":
			end.errorData = e.data
		case e.data == doneData:
			end.done = true
		default:
			text.WriteString(chunkText(e.data))
		}
	}
	end.text = text.String()
	return end
}

// chunkText returns the text of one chunk of a streamed completion.
func chunkText(data string) string {
	var chunk struct{ Choices []struct{ Text string } }
	if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) == 0 {
		return ""
	}
	return chunk.Choices[0].Text
}

// expectComplete fails the test unless the answer is the complete stream for
// this prompt, with code OK and ran YES.
func (p prompt) expectComplete(t *testing.T, a answer) {
	t.Helper()
	end := readStream(a)
	if err := engine.CheckAnswer(p.text, p.tokens, end.text); err != nil || !end.done || a.err != nil || end.errorData != "" {
		t.Errorf("stream is not complete: %v; done %v, error event %q, check %v", a, end.done, end.errorData, err)
	}
	if a.code != v1.Code_OK || a.ran != v1.Ran_YES {
		t.Errorf("a complete stream has the result %v", a)
	}
}
