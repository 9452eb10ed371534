package edge

import (
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"github.com/chiveseam/chiveseam/routing"
)

// unframedBodyHead is the head of an answer that ends with its connection.
const unframedBodyHead = "HTTP/1.1 200 X\r\nT-Id: %ID\r\nT-Signed: y\r\n\r\n"

// successor takes over the address of a test target whose process has ended. It returns after it listens.
type successor func(t *testing.T, address string)

// successors are what there may be at the address of a process that has ended.
var successors = map[string]successor{
	"nothing":           func(*testing.T, string) {},
	"accepts no more":   func(t *testing.T, address string) { listenWithoutAccepting(t, address, 0) },
	"accepts in vain":   func(t *testing.T, address string) { listenWithoutAccepting(t, address, 128) },
	"answers as before": answerAt,
}

// listenWithoutAccepting listens at an address with a queue for that many connections, and answers none. A queue of 0 is
// full at once: further connection attempts get no answer.
func listenWithoutAccepting(t *testing.T, address string, queue int) {
	addr, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		t.Error(err)
		return
	}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Error(err)
		return
	}
	t.Cleanup(func() { unix.Close(fd) })
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	sa := &unix.SockaddrInet4{Port: addr.Port}
	copy(sa.Addr[:], addr.IP.To4())
	if err := unix.Bind(fd, sa); err != nil {
		t.Error(err)
		return
	}
	if err := unix.Listen(fd, queue); err != nil {
		t.Error(err)
		return
	}
	if queue > 0 {
		return
	}
	for range 4 {
		conn, err := net.DialTimeout("tcp4", address, 20*time.Millisecond)
		if err != nil {
			return // the queue is full
		}
		t.Cleanup(func() { conn.Close() })
	}
}

// answerAt answers all requests at an address with 200 and the signature of targets.
func answerAt(t *testing.T, address string) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		t.Error(err)
		return
	}
	next := &testTarget{t: t, id: "t1", listener: listener, handle: func(s *receivedRequest) { s.answer(http.StatusOK, "next") }}
	t.Cleanup(func() { listener.Close() })
	go next.accept()
}

// endProcess closes all connections and the listener of a target, and lets a successor take over.
func (target *testTarget) endProcess(t *testing.T, next successor) {
	address := target.listener.Addr().String()
	target.crash()
	next(t, address)
}

// Guards against ORDER and MIXED: the process of a target ends within an answer with neither a length nor chunks, and what is
// at its address then does not tell: the part that came passes as a whole answer.
func TestUnframedAnswerOfAnEndedProcessIsIncomplete(t *testing.T) {
	event := "id: 1\ndata: a\n\n"
	for name, next := range successors {
		for path, part := range map[string]string{"/once/": "hel", "/stream/": event} {
			t.Run(name+path, func(t *testing.T) {
				f := newFixture(t, newTestTarget(t, "t1", func(s *receivedRequest) {
					s.write(unframedBodyHead + part)
					time.Sleep(30 * time.Millisecond)
					s.target.endProcess(t, next)
				}))
				resp, body, err := f.client().call("POST", path)
				if path == "/stream/" {
					f.is.True(err != nil) // the caller sees that the stream is not complete
					f.is.Equal(body, event)
					return
				}
				f.is.NoErr(err)
				f.is.Equal(resp.Status, http.StatusBadGateway)
				f.is.Equal(ranHeader(resp), "UNKNOWN")
			})
		}
	}
}

// Guards against ORDER: the same for a stream that may be resumed. It goes on at another target.
func TestUnframedStreamOfAnEndedProcessGoesOn(t *testing.T) {
	for name, next := range successors {
		t.Run(name, func(t *testing.T) {
			var ended atomic.Bool
			handle := func(s *receivedRequest) {
				if s.statesStart(1) {
					return
				}
				if s.Header.Get("T-Last") == "1" {
					s.writeStreamHead()
					s.writeChunk("id: 2\ndata: b\n\n")
					s.writeLastChunk()
					return
				}
				s.write(unframedBodyHead + "id: 1\ndata: a\n\n")
				time.Sleep(30 * time.Millisecond)
				if ended.CompareAndSwap(false, true) {
					s.target.endProcess(t, next)
				}
			}
			f := newEngineFixture(t, newTestTarget(t, "t1", handle), newTestTarget(t, "t2", handle))
			_, body, err := f.client().call("POST", "/resumable/")
			f.is.NoErr(err)
			f.is.Equal(body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
		})
	}
}

// The reverse: a whole answer with neither a length nor chunks is delivered though its target takes no connection and answers
// no question just then, if its process goes on.
func TestUnframedAnswerOfABusyTargetIsDelivered(t *testing.T) {
	for path, body := range map[string]string{"/once/": "hello", "/stream/": "id: 1\ndata: a\n\n", "/resumable/": "id: 1\ndata: a\n\n"} {
		t.Run(path, func(t *testing.T) {
			target := newTestTarget(t, "t1", nil)
			var busy atomic.Bool
			target.handle = func(s *receivedRequest) {
				if busy.Load() || s.statesStart(1) {
					return
				}
				s.write(unframedBodyHead + body[:3])
				time.Sleep(30 * time.Millisecond)
				busy.Store(true)
				address := target.listener.Addr().String()
				target.listener.Close()
				listenWithoutAccepting(t, address, 0)
				s.write(body[3:])
				s.conn.Close()
			}
			f := newEngineFixture(t, target)
			resp, got, err := f.client().call("POST", path)
			f.is.NoErr(err)
			f.is.Equal(resp.Status, http.StatusOK)
			f.is.Equal(got, body)
		})
	}
}

// The reverse for answers that come in one piece, so that nothing else could be opened before their end: the first one is
// confirmed by a status check, later ones by a connection that was opened before.
func TestUnframedAnswersInOnePieceAreDelivered(t *testing.T) {
	var checks atomic.Int32
	f := newFixture(t, newTestTarget(t, "t1", func(s *receivedRequest) {
		if s.Path() == "/status" {
			checks.Add(1)
			s.write("HTTP/1.1 200 X\r\nT-Instance: t1\r\nContent-Length: 0\r\n\r\n")
			return
		}
		s.write(unframedBodyHead + "hello")
		s.conn.Close()
	}))
	for range 10 {
		resp, body, err := f.client().call("POST", "/once/")
		f.is.NoErr(err)
		f.is.Equal(resp.Status, http.StatusOK)
		f.is.Equal(body, "hello")
	}
	f.is.True(checks.Load() <= 1)
	f.await(func() bool { return f.logs.count(`"end_evidence":"witness"`) == 9 })
}

// Guards against MIXED: another target has the address of one that has ended with an answer in one piece, of which the router
// knows no other connection.
func TestUnframedAnswerIsIncompleteIfAnotherTargetHasItsAddress(t *testing.T) {
	for name, status := range map[string]string{
		"other ID":    "HTTP/1.1 200 X\r\nT-Instance: t2\r\nContent-Length: 0\r\n\r\n",
		"misdirected": "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n",
		"no answer":   "",
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, newTestTarget(t, "t1", func(s *receivedRequest) {
				if s.Path() == "/status" {
					s.write(status)
					return
				}
				s.write(unframedBodyHead + "hel")
				s.conn.Close()
			}))
			resp, _, err := f.client().call("POST", "/once/")
			f.is.NoErr(err)
			f.is.Equal(resp.Status, http.StatusBadGateway)
		})
	}
}

// The reverse: answers with and without framing of one service on kept connections, many at a time.
func TestUnframedAnswersBesideKeptConnections(t *testing.T) {
	f := newFixture(t, newTestTarget(t, "t1", func(s *receivedRequest) {
		if s.Path() == "/once/" {
			s.write(unframedBodyHead + "hello")
			s.conn.Close()
			return
		}
		s.answer(http.StatusOK, "hello")
	}))
	_, _, err := f.client().call("POST", "/once/")
	f.is.NoErr(err)
	var calls sync.WaitGroup
	var failed atomic.Int32
	for range 8 {
		c := f.client()
		calls.Go(func() {
			for range 200 {
				resp, body, err := c.call("POST", "/idempotent/")
				if err != nil || resp.Status != http.StatusOK || body != "hello" {
					failed.Add(1)
					return
				}
			}
		})
	}
	calls.Wait()
	f.is.Equal(failed.Load(), int32(0))
}

// Guards against MIXED: the connection of an unframed answer is reset while other connections to its process are open, and
// the look at whether it is open takes the error from the next read: the part passes as a whole answer.
func TestUnframedAnswerThatIsResetIsIncomplete(t *testing.T) {
	for path, part := range map[string]string{"/once/": "hel", "/stream/": "id: 1\ndata: a\n\n"} {
		t.Run(path, func(t *testing.T) {
			f := newFixture(t, newTestTarget(t, "t1", func(s *receivedRequest) {
				if s.Path() == "/status" {
					s.answer(http.StatusOK, "")
					return
				}
				s.write(unframedBodyHead + part)
				time.Sleep(30 * time.Millisecond)
				s.reset()
			}))
			for range 5 {
				resp, _, err := f.client().call("POST", path)
				f.is.True(err != nil || resp.Status != http.StatusOK)
			}
		})
	}
}

// The reverse: a stream goes on after its last event at a target that has no event left, and answers without framing.
func TestUnframedRestOfAStreamWithoutAnEventIsDelivered(t *testing.T) {
	f := newEngineFixture(t, newTestTarget(t, "t1", func(s *receivedRequest) {
		if s.statesStart(1) {
			return
		}
		s.write(unframedBodyHead)
		time.Sleep(30 * time.Millisecond)
		s.conn.Close()
	}))
	c := f.client()
	c.send("POST", "/resumable/", "T-Last: 8\r\n", "")
	resp, body, err := c.receive("POST")
	f.is.NoErr(err)
	f.is.Equal(resp.Status, http.StatusOK)
	f.is.Equal(body, "")
}

// The reverse: a look at a connection is interrupted by a signal, and takes it for closed.
func TestOpenConnectionIsSeenDespiteSignals(t *testing.T) {
	target := newTestTarget(t, "t1", func(*receivedRequest) {})
	u, err := newConnPool(1).dial(t.Context(), target.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer u.Close()
	done := make(chan struct{})
	collected := make(chan struct{})
	go func() {
		defer close(collected)
		for {
			select {
			case <-done:
				return
			default:
				runtime.GC()
			}
		}
	}()
	closed := 0
	for end := time.Now().Add(500 * time.Millisecond); time.Now().Before(end); {
		if !isOpen(u) {
			closed++
		}
	}
	close(done)
	<-collected
	is.New(t).Equal(closed, 0)
}

// The reverse: an answer in one piece of a service without a status check is confirmed by a connection that is opened with the
// request.
func TestUnframedAnswersWithoutAStatusCheckAreDelivered(t *testing.T) {
	f := newFixture(t, newTestTarget(t, "t1", func(s *receivedRequest) {
		time.Sleep(30 * time.Millisecond)
		s.write(unframedBodyHead + "hello")
		s.conn.Close()
	}))
	table := routing.NewTable(2, testRoutes(), nil, routing.Limits{}, map[string]string{"key": "shop"})
	f.edge.applyTable(table, Revision{Number: 2})
	for range 3 {
		resp, body, err := f.client().call("POST", "/once/")
		f.is.NoErr(err)
		f.is.Equal(resp.Status, http.StatusOK)
		f.is.Equal(body, "hello")
	}
}
