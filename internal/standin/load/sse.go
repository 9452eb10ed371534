package load

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// maxLineBytes bounds the length of a line in a stream.
	maxLineBytes = 1 << 20
	errorEvent   = "error"
	doneData     = "[DONE]"
)

// event is one server-sent event.
type event struct {
	name, data string
}

// eventReader reads server-sent events from a body.
type eventReader struct {
	scanner *bufio.Scanner
}

func newEventReader(r io.Reader) *eventReader {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	return &eventReader{scanner: scanner}
}

// next returns the next event that has data, or io.EOF at the end of the stream.
func (r *eventReader) next() (event, error) {
	var e event
	for r.scanner.Scan() {
		line := r.scanner.Text()
		if line == "" && e.data != "" {
			return e, nil
		}
		field, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch field {
		case "event":
			e.name = value
		case "data":
			e.data += value
		}
	}
	if err := r.scanner.Err(); err != nil {
		return event{}, err
	}
	return event{}, io.EOF
}

// errorData is the data of an event named errorEvent.
type errorData struct {
	Error struct {
		Code uint32 `json:"code"`
		Name string `json:"name"`
		Ran  string `json:"ran"`
	} `json:"error"`
}

// readStream reads a streamed answer, verifies it and returns its outcome. result is the
// outcome stated in the headers.
func (g *generator) readStream(ctx context.Context, c *completion, resp *http.Response, result outcome) outcome {
	reader := newEventReader(resp.Body)
	var text strings.Builder
	previous := time.Time{}
	for {
		e, err := reader.next()
		switch {
		case err == io.EOF:
			g.recorder.violate(violationTruncated, "stream ended without [DONE] and without an error")
			return connectionFailure(ctx, nameAborted)
		case err != nil:
			return connectionFailure(ctx, nameAborted)
		case e.name == errorEvent:
			return readErrorEvent(ctx, e)
		case e.data == doneData:
			g.verifyText(c, text.String())
			g.recorder.modelAnswerTime.record(time.Since(c.began))
			return g.readStreamEnd(reader, resp, result)
		}
		token, err := chunkText(e)
		if err != nil {
			g.recorder.violate(violationWrongAnswer, err.Error())
			return result
		}
		if token == "" {
			continue
		}
		text.WriteString(token)
		previous = g.recordToken(c, previous)
	}
}

// readStreamEnd reads what follows the event with doneData: the end of the body and the
// trailer with the result. A further event is a violation.
func (g *generator) readStreamEnd(reader *eventReader, resp *http.Response, result outcome) outcome {
	if e, err := reader.next(); err == nil {
		g.recorder.violate(violationWrongAnswer, "event after [DONE]: "+e.data)
	}
	return readTrailerOutcome(resp, result)
}

// recordToken records the cost and latency of a token that arrived now, and returns its
// time. previous is the time of the token before, zero for the first one.
func (g *generator) recordToken(c *completion, previous time.Time) time.Time {
	now := time.Now()
	c.flow.addTokenCost(1)
	if previous.IsZero() {
		c.flow.addPromptCost(c.prompt)
		c.flow.firstLatency.record(now.Sub(c.began))
		g.recorder.recordFirstToken(c.flow.backlogged, now.Sub(c.began))
		return now
	}
	g.recorder.betweenTokens.record(now.Sub(previous))
	return now
}

// chunkText returns the text in a chunk of a streamed answer.
func chunkText(e event) (string, error) {
	var chunk modelAnswer
	if err := json.Unmarshal([]byte(e.data), &chunk); err != nil {
		return "", fmt.Errorf("chunk of %d bytes: %w", len(e.data), err)
	}
	return chunk.text(), nil
}

// readErrorEvent returns the outcome stated in an error event. An event that cannot be
// decoded counts as an aborted answer.
func readErrorEvent(ctx context.Context, e event) outcome {
	var data errorData
	if err := json.Unmarshal([]byte(e.data), &data); err != nil || data.Error.Name == "" {
		return connectionFailure(ctx, nameAborted)
	}
	return outcome{code: data.Error.Code, name: data.Error.Name, ran: data.Error.Ran}
}
