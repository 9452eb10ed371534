package edge

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a request that is read and never answered: its connection was taken for idle and closed after the
// bytes were read and before the request was begun.
func TestRequestReadFromAnIdleConnectionIsAnswered(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	caller, err := net.Dial("tcp4", l.Addr().String())
	is.NoErr(err)
	defer caller.Close()
	conn, err := l.Accept()
	is.NoErr(err)
	c := &callerConn{edge: f.edge, conn: conn, br: bufio.NewReader(conn)}
	f.edge.callers.add(c)
	_, err = io.WriteString(caller, "GET /once/ HTTP/1.1\r\nHost: h.example\r\nT-Id: x\r\nT-Key: key\r\n\r\n")
	is.NoErr(err)
	_, err = c.br.Peek(1)
	is.NoErr(err)
	f.edge.refuseNew.Store(true)
	f.edge.callers.closeIdle()
	go c.serve()
	caller.SetDeadline(time.Now().Add(2 * time.Second))
	answer, err := io.ReadAll(caller)
	is.NoErr(err)
	is.True(strings.HasPrefix(string(answer), "HTTP/1.1 503 "))
}
