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

// Guards against requests that are reset with their connections when the listener closes, because the router had
// not accepted these yet.
func TestConnectionsThatWaitWhenTheListenerClosesAreServed(t *testing.T) {
	f := newFixture(t, newTestTarget(t, "t1", echo))
	f.stop()
	f.await(f.edge.stopping.Load)
	time.Sleep(loadBalancerDelay - 300*time.Millisecond)
	f.edge.callers.mu.Lock() // serveCallers waits for it
	var clients []*client
	for range 4 {
		c := f.client()
		c.send("POST", "/once/", "", "body")
		clients = append(clients, c)
	}
	f.await(f.edge.refuseNew.Load)
	time.Sleep(100 * time.Millisecond)
	f.edge.callers.mu.Unlock()
	for _, c := range clients {
		resp, _, err := c.receive("POST")
		f.is.NoErr(err)
		f.is.Equal(resp.Status, 503)
	}
}
