package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/result"
)

// net/http itself responds to requests that it can't read, such as those with too
// many headers. Such a response consists of protocolPrefix, a status,
// netHTTPErrorHeaders and a text. A handler's response always has a Date header, so
// that it never starts like this.
const (
	protocolPrefix      = "HTTP/1.1 "
	crlf                = "\r\n"
	netHTTPErrorHeaders = crlf + "Content-Type: text/plain; charset=utf-8" + crlf + "Connection: close" + crlf + crlf
)

// NewListener returns a listener for callers' connections. It adds a result code
// to the responses that net/http makes without calling a handler.
func NewListener(l net.Listener) net.Listener { return resultCodeListener{l} }

type resultCodeListener struct{ net.Listener }

func (l resultCodeListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return resultCodeConn{conn}, nil
}

// resultCodeConn replaces the responses that net/http makes without calling a
// handler. It relies on net/http writing each of them with one Write.
type resultCodeConn struct{ net.Conn }

func (c resultCodeConn) Write(p []byte) (int, error) {
	status, ok := netHTTPErrorStatus(p)
	if !ok {
		return c.Conn.Write(p)
	}
	if _, err := c.Conn.Write(errorResponse(status)); err != nil {
		return 0, err
	}
	return len(p), nil
}

// netHTTPErrorStatus returns the status code and text if p is a response that
// net/http made without calling a handler. It returns false for other data.
func netHTTPErrorStatus(p []byte) (string, bool) {
	rest, ok := bytes.CutPrefix(p, []byte(protocolPrefix))
	if !ok {
		return "", false
	}
	end := bytes.Index(rest, []byte(crlf))
	if end < 0 || !bytes.HasPrefix(rest[end:], []byte(netHTTPErrorHeaders)) {
		return "", false
	}
	return string(rest[:end]), true
}

// errorResponse returns a response with the status and a result code. Its Ran value
// is UNKNOWN: the unreadable request may have a key, and an earlier request
// with the same key may have run.
func errorResponse(status string) []byte {
	res := result.New(v1.Code_BAD_REQUEST, v1.Ran_UNKNOWN, "%s", status)
	// Encoding an errorBody does not fail.
	body, _ := json.Marshal(newErrorBody(res))
	header := http.Header{}
	setResultHeaders(header, res)
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set("Connection", "close")
	var response bytes.Buffer
	fmt.Fprintf(&response, "%s%s%s", protocolPrefix, status, crlf)
	// Writing to a buffer does not fail.
	_ = header.Write(&response)
	response.WriteString(crlf)
	response.Write(body)
	return response.Bytes()
}
