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

// When a caller leaves, its target is told at once.
func TestCallerThatLeavesFreesTheTarget(t *testing.T) {
	for _, path := range []string{"/once/", "/stream/", "/idempotent/"} {
		t.Run(path, func(t *testing.T) {
			gone := make(chan bool, 1)
			begun := make(chan struct{})
			f := newFixture(t, newStandIn(t, "t1", func(s *served) {
				close(begun)
				gone <- s.gone(2 * time.Second)
			}))
			c := f.client()
			c.send("POST", path, "", "")
			<-begun
			c.conn.Close()
			f.is.True(<-gone)
		})
	}
}

// Pattern: more callers than connections, each with a new one (retry_abuse). The
// longest idle connections make room; those in use are kept.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	release := make(chan struct{})
	f := newFixture(t, newStandIn(t, "t1", func(s *served) {
		if strings.HasSuffix(s.Target, "long") {
			<-release
		}
		s.answer(200, "x")
	}))
	f.edge.maxCallers = 20
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

// A connection on which a request has come is not idle, also before its turn.
func TestWaitingRequestKeepsItsConnection(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	peer, err := net.Dial("tcp4", l.Addr().String())
	is.NoErr(err)
	defer peer.Close()
	conn, err := l.Accept()
	is.NoErr(err)
	s := &callers{open: map[*caller]bool{}}
	c := &caller{conn: conn}
	s.add(c)
	_, err = peer.Write([]byte("GET / HTTP/1.1\r\n"))
	is.NoErr(err)
	for quiet(conn) {
		time.Sleep(time.Millisecond)
	}
	is.Equal(s.evict(), 0)
	s.closeIdle()
	is.Equal(c.state.Load(), idle)
	conn.Read(make([]byte, 64))
	is.Equal(s.evict(), 1)
}

// A caller that left before its request is sent on, and whose connection was not
// looked at since, causes no work.
func TestRequestOfACallerThatLeftIsNotSent(t *testing.T) {
	target := newStandIn(t, "t1", echo)
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
	c, ok := f.edge.newCall(req, &reply{conn: conn, id: "x", idName: "T-Id", minor: 1}, time.Now())
	f.is.True(ok)
	peer.Close()
	f.await(func() bool { return ended(conn) })
	c.serve(context.Background())
	f.is.Equal(len(target.requests()), 0)
}
