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

// net/http answers requests that it cannot read, such as those with too many
// headers, by itself: with the protocol, a status and libraryHeaders. Answers of a
// handler always have a Date header, so that none of them begins like that.
const (
	protocol       = "HTTP/1.1 "
	lineEnd        = "\r\n"
	libraryHeaders = lineEnd + "Content-Type: text/plain; charset=utf-8" + lineEnd + "Connection: close" + lineEnd + lineEnd
)

// NewListener returns a listener for the entry's HTTP server on whose connections
// also the answers that net/http makes by itself carry a result code.
func NewListener(l net.Listener) net.Listener { return codedListener{l} }

type codedListener struct{ net.Listener }

func (l codedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return codedConn{conn}, nil
}

// codedConn replaces the answers that net/http makes by itself, each of which is
// one write.
type codedConn struct{ net.Conn }

func (c codedConn) Write(p []byte) (int, error) {
	status, ok := libraryStatus(p)
	if !ok {
		return c.Conn.Write(p)
	}
	if _, err := c.Conn.Write(codedAnswer(status)); err != nil {
		return 0, err
	}
	return len(p), nil
}

// libraryStatus returns the code and text of an answer that net/http made by
// itself, and false for any other answer.
func libraryStatus(p []byte) (string, bool) {
	rest, ok := bytes.CutPrefix(p, []byte(protocol))
	if !ok {
		return "", false
	}
	end := bytes.Index(rest, []byte(lineEnd))
	if end < 0 || !bytes.HasPrefix(rest[end:], []byte(libraryHeaders)) {
		return "", false
	}
	return string(rest[:end]), true
}

// codedAnswer returns the router's answer for the status. The request could not be
// read and may have a key, so that nothing is known of an earlier one.
func codedAnswer(status string) []byte {
	end := result.New(v1.Code_BAD_REQUEST, v1.Ran_UNKNOWN, "%s", status)
	// An error body always encodes.
	body, _ := json.Marshal(newErrorBody(end))
	header := http.Header{}
	setResultHeaders(header, end)
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set("Connection", "close")
	var answer bytes.Buffer
	fmt.Fprintf(&answer, "%s%s%s", protocol, status, lineEnd)
	// Writing to a buffer does not fail.
	_ = header.Write(&answer)
	answer.WriteString(lineEnd)
	answer.Write(body)
	return answer.Bytes()
}
