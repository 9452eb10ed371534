package edge

import (
	"bufio"
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/h1"
)

// When a caller disconnects, the router closes the connection to the target at once, so that the
// target does not go on working on an answer that nobody reads.
func TestCallerDisconnectCancelsTargetRequest(t *testing.T) {
	for _, path := range []string{"/once/", "/stream/", "/idempotent/"} {
		t.Run(path, func(t *testing.T) {
			gone := make(chan bool, 1)
			begun := make(chan struct{})
			f := newFixture(t, newTestTarget(t, "t1", func(s *receivedRequest) {
				close(begun)
				gone <- s.closedByRouter(2 * time.Second)
			}))
			c := f.client()
			c.send("POST", path, "", "")
			<-begun
			c.conn.Close()
			f.is.True(<-gone)
		})
	}
}

// Failure: retrying callers each open a new connection (traffic pattern retry_abuse), and idle
// connections use up the limit. The longest idle ones must be closed for new ones, and those with a
// request kept.
func TestIdleConnectionsAreEvictedAtLimit(t *testing.T) {
	release := make(chan struct{})
	f := newFixture(t, newTestTarget(t, "t1", func(s *receivedRequest) {
		if strings.HasSuffix(s.Target, "long") {
			<-release
		}
		s.answer(200, "x")
	}))
	f.edge.maxCallerConns = 20
	long := f.client()
	long.send("GET", "/once/long", "", "")
	for range 60 {
		resp, _, err := f.client().call("GET", "/once/")
		f.is.NoErr(err)
		f.is.Equal(resp.Status, 200)
	}
	close(release)
	_, _, err := long.receive("GET")
	f.is.NoErr(err)
	f.is.True(f.edge.callers.count() <= 21)
}

// Failure: a connection is taken for idle and closed although a request has arrived that was not
// yet read.
func TestConnectionWithUnreadRequestIsNotEvicted(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	peer, err := net.Dial("tcp4", l.Addr().String())
	is.NoErr(err)
	defer peer.Close()
	conn, err := l.Accept()
	is.NoErr(err)
	s := &callerConns{open: map[*callerConn]bool{}}
	c := &callerConn{conn: conn}
	s.add(c)
	_, err = peer.Write([]byte("GET / HTTP/1.1\r\n"))
	is.NoErr(err)
	for openWithoutInput(conn) {
		time.Sleep(time.Millisecond)
	}
	is.Equal(s.evictIdle(), 0)
	s.closeIdle()
	is.Equal(c.state.Load(), idle)
	conn.Read(make([]byte, 64))
	is.Equal(s.evictIdle(), 1)
}

// Failure: a caller disconnects before its request is sent to a target, the goroutine that watches
// the connection has not run yet, and a target works on an answer that nobody reads.
func TestRequestOfDisconnectedCallerIsNotSent(t *testing.T) {
	target := newTestTarget(t, "t1", echo)
	f := newFixture(t, target)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	f.is.NoErr(err)
	defer l.Close()
	peer, err := net.Dial("tcp4", l.Addr().String())
	f.is.NoErr(err)
	conn, err := l.Accept()
	f.is.NoErr(err)
	defer conn.Close()
	req, err := h1.ReadRequest(bufio.NewReader(strings.NewReader("GET /once/ HTTP/1.1\r\nHost: h.example\r\nT-Id: x\r\nT-Key: key\r\n\r\n")), 1<<12)
	f.is.NoErr(err)
	c, ok := f.edge.newCall(req, &reply{conn: conn, id: "x", idHeader: "T-Id", minorVersion: 1}, time.Now())
	f.is.True(ok)
	peer.Close()
	f.await(func() bool { return closedByPeer(conn) })
	c.serve(context.Background())
	f.is.Equal(len(target.requests()), 0)
}
