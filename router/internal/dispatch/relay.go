package dispatch

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"time"

	"github.com/chiveseam/chiveseam/result"
)

const (
	// wholeAnswerLimit is the size up to which an answer is read whole before
	// its head goes to the caller.
	wholeAnswerLimit = 1 << 20
	relayBufferLen   = 32 << 10
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
)

// Errors of an answer.
var (
	errSilent     = errors.New("the target fell silent")
	errTruncated  = errors.New("the answer ended short")
	errNoEnd      = errors.New("the answer does not mark its end")
	errCallerGone = errors.New("the caller went away")
)

// streamEnd is the last event of an OpenAI stream.
var streamEnd = []byte("[DONE]")

// watchdog cancels a context when nothing arrives for a while.
type watchdog struct {
	timer *time.Timer
	limit time.Duration
}

func newWatchdog(cancel context.CancelCauseFunc, limit time.Duration) *watchdog {
	return &watchdog{timer: time.AfterFunc(limit, func() { cancel(errSilent) }), limit: limit}
}

func (w *watchdog) setLimit(limit time.Duration) {
	w.limit = limit
	w.timer.Reset(limit)
}

func (w *watchdog) reset() { w.timer.Reset(w.limit) }

func (w *watchdog) stop() { w.timer.Stop() }

// relayWhole passes a plain answer to the sink. Up to wholeAnswerLimit the
// sink sees nothing before the answer is known to be whole. It returns the
// answer's first bytes for the usage.
func (a *attempt) relayWhole(resp *http.Response, sink Sink, dog *watchdog) ([]byte, error) {
	if !hasVerifiableEnd(resp) {
		return nil, errNoEnd
	}
	head, err := readUpTo(resp.Body, wholeAnswerLimit, dog)
	if err != nil && err != io.EOF {
		return head, truncated(err)
	}
	var known *result.Result
	if err == io.EOF {
		known = a.served(resp).result
	}
	if sinkErr := sink.Head(resp.StatusCode, resp.Header, known); sinkErr != nil {
		return head, errCallerGone
	}
	if known != nil {
		a.req.beforeEnd(known, head)
	}
	if sinkErr := sink.Data(head); sinkErr != nil {
		return head, errCallerGone
	}
	if err == io.EOF {
		return head, nil
	}
	return head, relayRest(resp.Body, sink, dog)
}

// hasVerifiableEnd reports whether a short answer can be told from a whole one.
func hasVerifiableEnd(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

func truncated(err error) error {
	return fmt.Errorf("%w: %w", errTruncated, err)
}

// readUpTo reads until limit bytes or the end, which it returns as io.EOF.
func readUpTo(r io.Reader, limit int, dog *watchdog) ([]byte, error) {
	var buf bytes.Buffer
	p := make([]byte, relayBufferLen)
	for buf.Len() < limit {
		n, err := r.Read(p)
		dog.reset()
		buf.Write(p[:n])
		if err != nil {
			return buf.Bytes(), err
		}
	}
	return buf.Bytes(), nil
}

func relayRest(r io.Reader, sink Sink, dog *watchdog) error {
	p := make([]byte, relayBufferLen)
	for {
		n, err := r.Read(p)
		dog.stop()
		if n > 0 {
			if sinkErr := sink.Data(p[:n]); sinkErr != nil {
				return errCallerGone
			}
		}
		dog.reset()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return truncated(err)
		}
	}
}

func isEventStream(h http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream"
}

// event is one server-sent event.
type event struct {
	id   string
	data []byte
	raw  []byte
}

// eventReader splits a stream into events.
type eventReader struct {
	r *bufio.Reader
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, relayBufferLen)}
}

// next returns the next whole event. A part of an event before the end of the
// stream is dropped: it is sent again when the stream is resumed.
func (e *eventReader) next() (event, error) {
	var ev event
	for {
		line, err := e.r.ReadBytes('\n')
		if err != nil {
			return event{}, err
		}
		if len(ev.raw)+len(line) > maxEventBytes {
			return event{}, fmt.Errorf("event is larger than %d bytes", maxEventBytes)
		}
		ev.raw = append(ev.raw, line...)
		field := bytes.TrimRight(line, "\r\n")
		if len(field) == 0 {
			return ev, nil
		}
		ev.setField(field)
	}
}

func (ev *event) setField(field []byte) {
	name, value, _ := bytes.Cut(field, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		ev.id = string(value)
	case "data":
		ev.data = append(ev.data, value...)
	}
}
