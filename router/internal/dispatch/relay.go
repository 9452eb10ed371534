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
	// maxBufferedAnswer is the size in bytes up to which a plain answer is read in full
	// before its head goes to the caller.
	maxBufferedAnswer = 1 << 20
	relayBufferLen    = 32 << 10
	// maxEventBytes bounds the size of one event of a stream.
	maxEventBytes = 1 << 20
)

// Errors that end the relay of an answer. attempt.failedEnd turns them into results;
// their texts do not leave the router.
var (
	errIdleTimeout    = errors.New("the target sent nothing within the time limit")
	errTruncated      = errors.New("the answer is truncated")
	errCloseDelimited = errors.New("the answer has neither a length nor a transfer coding")
	errCallerGone     = errors.New("the caller disconnected")
)

// streamEnd is the data of the last event of an OpenAI stream.
var streamEnd = []byte("[DONE]")

// watchdog cancels a context with errIdleTimeout when it is not reset within the limit.
type watchdog struct {
	timer *time.Timer
	limit time.Duration
}

func newWatchdog(cancel context.CancelCauseFunc, limit time.Duration) *watchdog {
	return &watchdog{timer: time.AfterFunc(limit, func() { cancel(errIdleTimeout) }), limit: limit}
}

func (w *watchdog) setLimit(limit time.Duration) {
	w.limit = limit
	w.timer.Reset(limit)
}

func (w *watchdog) reset() { w.timer.Reset(w.limit) }

func (w *watchdog) stop() { w.timer.Stop() }

// relayPlain relays a plain answer, which is one that is no event stream, to the sink.
// An answer shorter than maxBufferedAnswer goes to the sink only when it is complete.
// relayPlain returns the first bytes of the answer, from which the usage is read.
func (a *attempt) relayPlain(resp *http.Response, sink Sink, wd *watchdog) ([]byte, error) {
	if !isSelfDelimited(resp) {
		return nil, errCloseDelimited
	}
	head, err := readUpTo(resp.Body, maxBufferedAnswer, wd)
	if err != nil && err != io.EOF {
		return head, truncationError(err)
	}
	var final *result.Result
	if err == io.EOF {
		final = a.answeredEnd(resp).result
	}
	if sinkErr := sink.Head(resp.StatusCode, resp.Header, final); sinkErr != nil {
		return head, errCallerGone
	}
	if final != nil {
		a.req.beforeEnd(final, head)
	}
	if sinkErr := sink.Data(head); sinkErr != nil {
		return head, errCallerGone
	}
	if err == io.EOF {
		return head, nil
	}
	return head, relayRest(resp.Body, sink, wd)
}

// isSelfDelimited reports whether a truncated answer can be distinguished from a
// complete one: the head gives a length or a transfer coding. Other answers end when
// the connection is closed.
func isSelfDelimited(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

func truncationError(err error) error {
	return fmt.Errorf("%w: %w", errTruncated, err)
}

// readUpTo reads until it has at least limit bytes or the answer ends. At the end it
// returns io.EOF.
func readUpTo(r io.Reader, limit int, wd *watchdog) ([]byte, error) {
	var buf bytes.Buffer
	p := make([]byte, relayBufferLen)
	for buf.Len() < limit {
		n, err := r.Read(p)
		wd.reset()
		buf.Write(p[:n])
		if err != nil {
			return buf.Bytes(), err
		}
	}
	return buf.Bytes(), nil
}

// relayRest passes the rest of an answer to the sink. The watchdog is stopped while the
// sink is written to, since a slow caller is no fault of the target.
func relayRest(r io.Reader, sink Sink, wd *watchdog) error {
	p := make([]byte, relayBufferLen)
	for {
		n, err := r.Read(p)
		wd.stop()
		if n > 0 {
			if sinkErr := sink.Data(p[:n]); sinkErr != nil {
				return errCallerGone
			}
		}
		wd.reset()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return truncationError(err)
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
	// raw holds the event as it was received, including the empty line at its end.
	raw []byte
}

// eventReader splits an event stream into events.
type eventReader struct {
	r *bufio.Reader
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, relayBufferLen)}
}

// next returns the next complete event. An incomplete event at the end of the stream is
// dropped: the target sends it again when the stream is resumed.
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
