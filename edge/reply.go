package edge

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/chiveseam/chiveseam/h1"
	"github.com/chiveseam/chiveseam/result"
)

// reply is the answer on a caller's connection.
type reply struct {
	conn net.Conn
	// id is the caller's request ID under the name idName.
	idName, id string
	// close says that the connection ends with this answer.
	close bool
	// keepAlive is how long the caller is told to keep the connection.
	keepAlive time.Duration
	// minor is the caller's HTTP version.
	minor int
	begun bool
	ended bool
	bytes int
	buf   []byte
}

// writeTimeout bounds one write to a caller that does not read.
const writeTimeout = 10 * time.Second

func (r *reply) write(p []byte) error {
	r.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := r.conn.Write(p)
	r.bytes += n
	return err
}

func (r *reply) connection(h h1.Header) h1.Header {
	if r.close {
		return append(h, h1.Field{Name: "Connection", Value: "close"})
	}
	seconds := int(r.keepAlive / time.Second)
	return append(h, h1.Field{Name: "Keep-Alive", Value: "timeout=" + strconv.Itoa(seconds)})
}

func all(string) bool { return true }

// whole sends an answer of a target with its length.
func (r *reply) whole(a *answer) error {
	h := a.header.EndToEnd(all)
	if a.status != http.StatusNoContent && a.status != http.StatusNotModified {
		h = append(h, h1.Field{Name: "Content-Length", Value: strconv.Itoa(len(a.body))})
	}
	r.begun = true
	r.ended = true
	r.buf = h1.AppendResponseHead(r.buf[:0], a.status, r.connection(h))
	return r.write(append(r.buf, a.body...))
}

// begin sends the head of a stream. A stream that goes on at another target has
// its head already.
func (r *reply) begin(resp *h1.Response) error {
	if r.begun {
		return nil
	}
	r.begun = true
	h := resp.Header.EndToEnd(all)
	if r.minor == 0 {
		r.close = true
	} else {
		h = append(h, h1.Field{Name: "Transfer-Encoding", Value: "chunked"})
	}
	r.buf = h1.AppendResponseHead(r.buf[:0], resp.Status, r.connection(h))
	return r.write(r.buf)
}

// data sends a part of a stream.
func (r *reply) data(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	if r.minor == 0 {
		return r.write(p)
	}
	r.buf = h1.AppendChunk(r.buf[:0], p)
	return r.write(r.buf)
}

// end ends a stream as complete.
func (r *reply) end() error {
	r.ended = true
	if r.minor == 0 {
		return nil
	}
	return r.write([]byte(h1.LastChunk))
}

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

// result answers with a result of the router's own.
func (r *reply) result(res *result.Result, status int) error {
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
		h = append(h, h1.Field{Name: r.idName, Value: r.id})
	}
	if res.RetryAfter > 0 {
		h = append(h, h1.Field{Name: "Retry-After", Value: strconv.FormatFloat(res.RetryAfter.Seconds(), 'f', 3, 64)})
	}
	r.begun = true
	r.ended = true
	r.buf = h1.AppendResponseHead(r.buf[:0], status, r.connection(h))
	return r.write(append(r.buf, body...))
}
