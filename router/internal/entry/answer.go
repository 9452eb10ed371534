package entry

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/chiveseam/chiveseam/result"
)

// errorBody is the body of an answer made by the router, in the form of the
// OpenAI API with the result added.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message      string `json:"message"`
	Type         string `json:"type"`
	Code         int32  `json:"code"`
	Name         string `json:"name"`
	Ran          string `json:"ran"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
}

func newErrorBody(r *result.Result) errorBody {
	return errorBody{Error: errorDetail{
		Message:      result.Describe(r.Code).Sentence + " " + r.Detail,
		Type:         "chiveseam_error",
		Code:         int32(r.Code),
		Name:         r.Code.String(),
		Ran:          r.Ran.String(),
		RetryAfterMs: r.RetryAfter.Milliseconds(),
	}}
}

func setResultHeaders(h http.Header, r *result.Result) {
	h.Set(result.HeaderCode, r.HeaderValue())
	h.Set(result.HeaderRan, r.Ran.String())
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
}

// writeResult answers a request that no target answered.
func writeResult(w http.ResponseWriter, r *result.Result) {
	setResultHeaders(w.Header(), r)
	writeJSON(w, r.Status(), newErrorBody(r))
}

const (
	// lingerTime bounds the reading of a body that was refused, and lingerBytes its
	// size for a caller whose token was not accepted.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 1 << 20
	// keptBodyBytes is the largest body that is read after a refusal so that the
	// connection can be kept.
	keptBodyBytes = 256 << 10
)

// writeResultBeforeBody answers a request whose body was not read to its end,
// and goes on reading up to limit bytes of it for a while: a connection that is
// closed while the caller still sends is reset, and the answer may be lost with
// it. The caller gets the answer before any of this is read.
func writeResultBeforeBody(w http.ResponseWriter, r *http.Request, end *result.Result, limit int64) {
	controller := http.NewResponseController(w)
	// The reading is lost on a connection that cannot do both at once.
	_ = controller.EnableFullDuplex()
	kept := r.ContentLength > 0 && r.ContentLength <= keptBodyBytes
	if !kept {
		w.Header().Set("Connection", "close")
	}
	writeResult(w, end)
	_ = controller.Flush()
	_ = controller.SetReadDeadline(time.Now().Add(lingerTime))
	_, err := io.CopyN(io.Discard, r.Body, limit)
	if kept && !errors.Is(err, io.EOF) {
		// What is left of the body would be taken for the next request.
		panic(http.ErrAbortHandler)
	}
	_ = controller.SetReadDeadline(time.Time{})
}

// writeJSON writes an answer that is whole once its bytes are there, also when the
// connection is closed after them.
func writeJSON(w http.ResponseWriter, status int, message any) {
	body, err := json.Marshal(message)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	// The caller may be gone; there is nobody left to tell.
	_, _ = w.Write(body)
}

// trackedWriter remembers whether a head was written.
type trackedWriter struct {
	http.ResponseWriter
	wrote       bool
	eventStream bool
}

func (t *trackedWriter) WriteHeader(status int) {
	t.wrote = true
	t.ResponseWriter.WriteHeader(status)
}

func (t *trackedWriter) Write(p []byte) (int, error) {
	t.wrote = true
	return t.ResponseWriter.Write(p)
}

// Unwrap lets http.ResponseController reach the connection.
func (t *trackedWriter) Unwrap() http.ResponseWriter { return t.ResponseWriter }

// finish ends the answer: as a final answer of the router if nothing was
// written, as an error event in a stream that broke, and otherwise by closing
// the connection, so that a short answer never looks whole.
func (s *Server) finish(w *trackedWriter, r *http.Request, c *caller, end *result.Result) {
	switch {
	case !w.wrote && c.unread:
		writeResultBeforeBody(w, r, end, math.MaxInt64)
	case !w.wrote:
		writeResult(w, end)
	case end.Complete():
		if w.Header().Get(result.HeaderCode) == "" {
			setTrailers(w.Header(), end)
		}
	case w.eventStream:
		writeErrorEvent(w, end)
		panic(http.ErrAbortHandler)
	default:
		panic(http.ErrAbortHandler)
	}
}

func setTrailers(h http.Header, end *result.Result) {
	h.Set(http.TrailerPrefix+result.HeaderCode, end.HeaderValue())
	h.Set(http.TrailerPrefix+result.HeaderRan, end.Ran.String())
}

func writeErrorEvent(w http.ResponseWriter, end *result.Result) {
	data, err := json.Marshal(newErrorBody(end))
	if err != nil {
		return
	}
	fmt.Fprintf(w, "event: error\ndata: %s\n\n", data)
	_ = http.NewResponseController(w).Flush()
}

// callerSink writes a target's answer to the caller. It implements
// dispatch.Sink.
type callerSink struct {
	w            *trackedWriter
	controller   *http.ResponseController
	writeTimeout time.Duration
}

func newCallerSink(w *trackedWriter, writeTimeout time.Duration) *callerSink {
	return &callerSink{w: w, controller: http.NewResponseController(w), writeTimeout: writeTimeout}
}

// hopHeaders are not passed on from a target's answer.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
	result.HeaderCode, result.HeaderRan,
}

// removeHopHeaders removes what concerns one connection only, also the headers
// that the Connection header names.
func removeHopHeaders(h http.Header) {
	for _, field := range h.Values("Connection") {
		for name := range strings.SplitSeq(field, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// Head implements dispatch.Sink.
func (c *callerSink) Head(status int, header http.Header, known *result.Result) error {
	target := header.Clone()
	removeHopHeaders(target)
	dst := c.w.Header()
	for name, values := range target {
		dst[name] = values
	}
	c.w.eventStream = isEventStream(target)
	if c.w.eventStream {
		dst.Del("Content-Length")
	}
	if known != nil {
		setResultHeaders(dst, known)
	}
	c.w.WriteHeader(status)
	return nil
}

// Data implements dispatch.Sink.
func (c *callerSink) Data(p []byte) error {
	if err := c.controller.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return err
	}
	if _, err := c.w.Write(p); err != nil {
		return err
	}
	return c.controller.Flush()
}
