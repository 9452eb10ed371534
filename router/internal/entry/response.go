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

// errorBody is the body of a response that the router makes itself. It has the
// form of an error of the OpenAI API, with fields for the result added.
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

// setResultHeaders sets the headers for the result code, whether the request ran,
// and Retry-After, in seconds rounded up.
func setResultHeaders(h http.Header, r *result.Result) {
	h.Set(result.HeaderCode, r.HeaderValue())
	h.Set(result.HeaderRan, r.Ran.String())
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
}

// writeResult writes the result as the whole response, for a request without a
// response of a target.
func writeResult(w http.ResponseWriter, r *result.Result) {
	setResultHeaders(w.Header(), r)
	writeJSON(w, r.Status(), newErrorBody(r))
}

const (
	// lingerTimeout bounds the time for which the rest of a body is read and
	// discarded after the response.
	lingerTimeout = 500 * time.Millisecond
	// maxLingerBytes bounds the bytes that are read and discarded of a request
	// that was not admitted, such as one with an unknown token.
	maxLingerBytes = 1 << 20
	// maxKeepAliveBodyBytes is the greatest Content-Length of an unread body with
	// which the connection is kept open for further requests.
	maxKeepAliveBodyBytes = 256 << 10
)

// writeResultAndDiscardBody writes the result as the response to a request whose
// body was not read to its end. After that it reads and discards up to limit bytes
// of the body, for lingerTimeout at most: closing a connection on which the caller
// still sends resets it, and the caller may lose the response. It panics with
// http.ErrAbortHandler if the response keeps the connection open and the body does
// not end in time.
func writeResultAndDiscardBody(w http.ResponseWriter, r *http.Request, res *result.Result, limit int64) {
	controller := http.NewResponseController(w)
	// An error means that the connection does not support full duplex. The rest of
	// the body then can't be read once the response has begun.
	_ = controller.EnableFullDuplex()
	keepAlive := r.ContentLength > 0 && r.ContentLength <= maxKeepAliveBodyBytes
	if !keepAlive {
		w.Header().Set("Connection", "close")
	}
	writeResult(w, res)
	_ = controller.Flush()
	_ = controller.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, err := io.CopyN(io.Discard, r.Body, limit)
	if keepAlive && !errors.Is(err, io.EOF) {
		// The server would read the rest of the body as the next request.
		panic(http.ErrAbortHandler)
	}
	_ = controller.SetReadDeadline(time.Time{})
}

// writeJSON writes the message as the response. The Content-Length header lets
// the caller recognize a complete response also if the connection is closed
// after it.
func writeJSON(w http.ResponseWriter, status int, message any) {
	body, err := json.Marshal(message)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	// A failed write means that the caller has disconnected; nobody needs the error.
	_, _ = w.Write(body)
}

// trackedWriter records what was written of a response.
type trackedWriter struct {
	http.ResponseWriter
	// wroteHeader is set once the status and the headers were written.
	wroteHeader bool
	// eventStream is set if the response is a stream of server-sent events.
	eventStream bool
}

func (t *trackedWriter) WriteHeader(status int) {
	t.wroteHeader = true
	t.ResponseWriter.WriteHeader(status)
}

func (t *trackedWriter) Write(p []byte) (int, error) {
	t.wroteHeader = true
	return t.ResponseWriter.Write(p)
}

// Unwrap lets http.ResponseController reach the connection.
func (t *trackedWriter) Unwrap() http.ResponseWriter { return t.ResponseWriter }

// finishResponse ends the response. If nothing was written, it writes the result
// as the whole response. If the response is complete and its headers do not contain
// the result, it sets the result as trailers. A response that broke off ends with an
// error event if it is an event stream, and its connection is closed by a panic
// with http.ErrAbortHandler, so that the caller never takes it for complete.
func (s *Server) finishResponse(w *trackedWriter, r *http.Request, in *inboundRequest, res *result.Result) {
	switch {
	case !w.wroteHeader && in.bodyUnread:
		writeResultAndDiscardBody(w, r, res, math.MaxInt64)
	case !w.wroteHeader:
		writeResult(w, res)
	case res.Complete():
		if w.Header().Get(result.HeaderCode) == "" {
			setTrailers(w.Header(), res)
		}
	case w.eventStream:
		writeErrorEvent(w, res)
		panic(http.ErrAbortHandler)
	default:
		panic(http.ErrAbortHandler)
	}
}

func setTrailers(h http.Header, res *result.Result) {
	h.Set(http.TrailerPrefix+result.HeaderCode, res.HeaderValue())
	h.Set(http.TrailerPrefix+result.HeaderRan, res.Ran.String())
}

// writeErrorEvent writes the result as a server-sent event of type error.
func writeErrorEvent(w http.ResponseWriter, res *result.Result) {
	data, err := json.Marshal(newErrorBody(res))
	if err != nil {
		return
	}
	fmt.Fprintf(w, "event: error\ndata: %s\n\n", data)
	_ = http.NewResponseController(w).Flush()
}

// callerSink writes a target's response to the caller. It implements
// dispatch.Sink. Its methods are called by one goroutine.
type callerSink struct {
	w            *trackedWriter
	controller   *http.ResponseController
	writeTimeout time.Duration
}

func newCallerSink(w *trackedWriter, writeTimeout time.Duration) *callerSink {
	return &callerSink{w: w, controller: http.NewResponseController(w), writeTimeout: writeTimeout}
}

// unforwardedHeaders are the headers that are not passed on between caller and
// target, in either direction: the hop-by-hop headers of HTTP, and the result
// headers, which only the router sets.
var unforwardedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
	result.HeaderCode, result.HeaderRan,
}

// removeUnforwardedHeaders removes the unforwardedHeaders and the headers that the
// Connection header names, which concern one connection only.
func removeUnforwardedHeaders(h http.Header) {
	for _, field := range h.Values("Connection") {
		for name := range strings.SplitSeq(field, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range unforwardedHeaders {
		h.Del(name)
	}
}

// Head implements dispatch.Sink. An event stream loses the target's Content-Length,
// because an error event may be added to it.
func (c *callerSink) Head(status int, header http.Header, final *result.Result) error {
	forwarded := header.Clone()
	removeUnforwardedHeaders(forwarded)
	response := c.w.Header()
	for name, values := range forwarded {
		response[name] = values
	}
	c.w.eventStream = isEventStream(forwarded)
	if c.w.eventStream {
		response.Del("Content-Length")
	}
	if final != nil {
		setResultHeaders(response, final)
	}
	c.w.WriteHeader(status)
	return nil
}

// Data implements dispatch.Sink. It sends p to the caller at once, within the write
// timeout.
func (c *callerSink) Data(p []byte) error {
	if err := c.controller.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return err
	}
	if _, err := c.w.Write(p); err != nil {
		return err
	}
	return c.controller.Flush()
}
