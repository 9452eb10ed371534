package edge

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/chiveseam/chiveseam/h1"
	"github.com/chiveseam/chiveseam/result"
)

// reply writes the answer to one request on a caller's connection.
type reply struct {
	conn net.Conn
	// id is the caller's request ID, idHeader the name of the field that carries it.
	idHeader, id string
	// close is set if the connection closes after this answer, and stopping once all connections do; it may be nil.
	close    bool
	stopping *atomic.Bool
	// keepAlive is the idle time of the connection that is announced to the caller.
	keepAlive time.Duration
	// minorVersion is the minor HTTP version of the request: 0 or 1.
	minorVersion int
	// headOnly is set if the request's method is HEAD: the answer ends with its header, whatever that says
	// of a body.
	headOnly bool
	// begun is set before the first byte of the answer is written, ended before the last part.
	begun bool
	ended bool
	// dataBegun is set before the first byte of a stream's body is written.
	dataBegun bool
	// bytes counts the bytes written, heads included, and writes the number of writes.
	bytes, writes int
	buf           []byte
}

// writeTimeout limits one write to a caller that does not read.
const writeTimeout = 10 * time.Second

func (r *reply) write(p []byte) error {
	r.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := r.conn.Write(p)
	r.bytes += n
	r.writes++
	return err
}

// interruptWrite ends a write to the caller that is under way.
func (r *reply) interruptWrite() { r.conn.SetWriteDeadline(time.Now()) }

// appendConnectionField appends the field that tells the caller whether and for how long the
// connection stays open.
func (r *reply) appendConnectionField(h h1.Header) h1.Header {
	r.close = r.close || r.stopping != nil && r.stopping.Load()
	if r.close {
		return append(h, h1.Field{Name: "Connection", Value: "close"})
	}
	seconds := int(r.keepAlive / time.Second)
	return append(h, h1.Field{Name: "Keep-Alive", Value: "timeout=" + strconv.Itoa(seconds)})
}

var chunkEnd = []byte(h1.ChunkEnd)

func keepAll(string) bool { return true }

// sendAnswer sends a complete answer of a target.
func (r *reply) sendAnswer(a *answer) error {
	h := a.header.EndToEnd(keepAll)
	switch {
	case r.headOnly:
		// The length is that of the answer to GET.
		if length, ok := a.header.Lookup("Content-Length"); ok {
			h = append(h, h1.Field{Name: "Content-Length", Value: length})
		}
	case a.status != http.StatusNoContent && a.status != http.StatusNotModified:
		h = append(h, h1.Field{Name: "Content-Length", Value: strconv.Itoa(len(a.body))})
	}
	r.begun = true
	r.ended = true
	r.buf = h1.AppendResponseHead(r.buf[:0], a.status, r.appendConnectionField(h))
	return r.writeParts(r.buf, a.body, nil)
}

// maxCopiedBytes is the largest part of a message that is copied behind the bytes before it, so that they leave in one
// packet.
const maxCopiedBytes = 16 << 10

// writeParts writes head, which is r.buf, body and tail.
func (r *reply) writeParts(head, body, tail []byte) error {
	if len(body) <= maxCopiedBytes {
		r.buf = append(append(head, body...), tail...)
		return r.write(r.buf)
	}
	r.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	parts := net.Buffers{head, body, tail}
	n, err := parts.WriteTo(r.conn)
	r.bytes += int(n)
	r.writes++
	return err
}

// beginStream sends the head of a stream, unless an earlier target of the request has sent its own.
func (r *reply) beginStream(resp *h1.Response) error {
	if r.begun {
		return nil
	}
	r.begun = true
	h := resp.Header.EndToEnd(keepAll)
	switch {
	case r.headOnly:
	case r.minorVersion == 0:
		r.close = true
		if err := r.setReset(true); err != nil {
			return err
		}
	default:
		h = append(h, h1.Field{Name: "Transfer-Encoding", Value: "chunked"})
	}
	r.buf = h1.AppendResponseHead(r.buf[:0], resp.Status, r.appendConnectionField(h))
	return r.write(r.buf)
}

// sendData sends a part of a stream's body.
func (r *reply) sendData(p []byte) error {
	if len(p) == 0 || r.headOnly {
		return nil
	}
	r.dataBegun = true
	if r.minorVersion == 0 {
		return r.write(p)
	}
	r.buf = h1.AppendChunkHead(r.buf[:0], len(p))
	return r.writeParts(r.buf, p, chunkEnd)
}

// endStream marks a stream as complete.
func (r *reply) endStream() error {
	r.ended = true
	switch {
	case r.headOnly:
		return nil
	case r.minorVersion == 0:
		return r.setReset(false)
	}
	return r.write([]byte(h1.LastChunk))
}

// setReset determines whether the end of the connection, also by the end of the process, is a reset:
// without chunks, nothing else tells the caller that a stream is incomplete.
func (r *reply) setReset(reset bool) error {
	conn, ok := r.conn.(*net.TCPConn)
	if !ok {
		return net.ErrClosed
	}
	if reset {
		return conn.SetLinger(0)
	}
	return conn.SetLinger(-1)
}

// errorBody is the JSON body of the router's own answers.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message      string `json:"message"`
	Code         int32  `json:"code"`
	Name         string `json:"name"`
	Ran          string `json:"ran"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
}

var errAnswerBegun = errors.New("the answer has begun")

// sendResult sends an answer of the router itself. It fails if another answer has begun.
func (r *reply) sendResult(res *result.Result, status int) error {
	if r.begun {
		return errAnswerBegun
	}
	body, err := json.Marshal(errorBody{Error: errorDetail{
		Message: result.Describe(res.Code).Sentence, Code: int32(res.Code), Name: res.Code.String(),
		Ran: res.Ran.String(), RetryAfterMs: res.RetryAfter.Milliseconds(),
	}})
	if err != nil {
		return err
	}
	h := h1.Header{
		{Name: "Content-Type", Value: "application/json"},
		{Name: result.HeaderCode, Value: res.HeaderValue()},
		{Name: result.HeaderRan, Value: res.Ran.String()},
		{Name: "Content-Length", Value: strconv.Itoa(len(body))},
	}
	if r.id != "" {
		h = append(h, h1.Field{Name: r.idHeader, Value: r.id})
	}
	if res.RetryAfter > 0 {
		h = append(h, h1.Field{Name: "Retry-After", Value: strconv.FormatFloat(res.RetryAfter.Seconds(), 'f', 3, 64)})
	}
	r.begun = true
	r.ended = true
	r.buf = h1.AppendResponseHead(r.buf[:0], status, r.appendConnectionField(h))
	if r.headOnly {
		return r.write(r.buf)
	}
	return r.write(append(r.buf, body...))
}
