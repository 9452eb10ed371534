package edge

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/h1"
	"github.com/chiveseam/chiveseam/result"
	"github.com/chiveseam/chiveseam/routing"
)

func echo(s *served) { s.answer(200, "hello") }

func ran(resp *h1.Response) string { return resp.Header.Get(result.HeaderRan) }

func TestRequestAndAnswerPassUnchanged(t *testing.T) {
	target := newStandIn(t, "t1", func(s *served) {
		s.write("HTTP/1.1 404 X\r\nT-Id: %ID\r\nT-Signed: yes\r\nX-Odd:  v \r\nKeep-Alive: timeout=9\r\nContent-Length: 3\r\n\r\nabc")
	})
	f := newFixture(t, target)
	c := f.client()
	c.send("POST", "/once/a//b/%2e%2E/?q=%20", "T-Parts: 1:10\r\nT-Model: m\r\nConnection: T-Model, X-Drop\r\nX-Drop: 1\r\n"+
		"T-Workspace: other\r\nT-Target: other\r\nT-Hold: 1\r\nT-Fetch: 1.2.3.4:5\r\n", "body")
	resp, body, err := c.receive("POST")
	f.is.NoErr(err)
	f.is.Equal(resp.Status, 404)
	f.is.Equal(body, "abc")
	f.is.Equal(resp.Header.Get("X-Odd"), "v")
	f.is.Equal(resp.Header.Get("Keep-Alive"), "timeout=6") // the target's concerns another connection

	got := target.requests()[0]
	f.is.Equal(got.Target, "/once/a//b/%2e%2E/?q=%20")
	f.is.Equal(string(got.Body), "body")
	f.is.Equal(got.Header.Get("T-Model"), "m") // a caller cannot have it removed
	f.is.Equal(got.Header.Get("X-Drop"), "")
	f.is.Equal(got.Header.Get("T-Hold"), "")
	f.is.Equal(got.Header.Get("T-Fetch"), "")
	f.is.Equal(got.Header.Get("T-Key"), "")
	f.is.Equal(got.Header.Get("T-Workspace"), "shop")
	f.is.Equal(got.Header.Count("T-Workspace"), 1)
	f.is.Equal(got.Header.Get("T-Target"), "t1")
	left, err := strconv.Atoi(got.Header.Get("T-Deadline"))
	f.is.NoErr(err)
	f.is.True(left > 0 && left <= 3000)
}

func TestSmuggledRequestsReachNoTarget(t *testing.T) {
	target := newStandIn(t, "t1", echo)
	f := newFixture(t, target)
	for _, framing := range []string{
		"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "Content-Length: 5\r\nContent-Length: 6\r\n", "Transfer-Encoding: chunked, gzip\r\n",
	} {
		c := f.client()
		c.send("POST", "/once/", framing, "")
		resp, _, err := c.receive("POST")
		f.is.NoErr(err)
		f.is.Equal(resp.Status, 400)
		f.is.True(resp.Header.HasToken("Connection", "close"))
	}
	f.is.Equal(len(target.requests()), 0)
}

func TestKeysAndRoutes(t *testing.T) {
	f := newFixture(t, newStandIn(t, "t1", echo))
	c := f.client()
	resp, _, err := c.call("GET", "/none/")
	f.is.NoErr(err)
	f.is.Equal(resp.Status, 404)
	c.send("GET", "/once/", "", "")
	resp, _, err = c.receive("GET")
	f.is.NoErr(err)
	f.is.Equal(resp.Status, 200)
	fmt.Fprint(c.conn, "GET /once/ HTTP/1.1\r\nHost: h.example\r\nT-Id: x\r\nT-Key: wrong\r\n\r\n")
	resp, _, err = c.receive("GET")
	f.is.NoErr(err)
	f.is.Equal(resp.Status, 401)
}

// Without a configuration a router knows of no route; it must not say that there
// is none.
func TestWithoutConfigurationCallersComeBack(t *testing.T) {
	f := &fixture{t: t, is: is.New(t), source: newSource(), done: make(chan error, 1), logs: &logs{}}
	f.start(f.settings())
	f.await(func() bool { return f.source.reads.Load() >= 2 })
	f.is.True(!f.edge.isReady())
	resp, _, err := f.client().call("GET", "/once/")
	f.is.NoErr(err)
	f.is.Equal(resp.Status, 503)
	f.is.True(resp.Header.Get("Retry-After") != "")
	f.is.Equal(ran(resp), "NO")
	f.source.publish(testTable(1))
	f.await(f.edge.isReady)
}

// A request that may not be repeated is sent once, whatever happens to it.
func TestRequestRunsOnce(t *testing.T) {
	for name, handle := range map[string]func(s *served){
		"reset":   func(s *served) { s.reset() },
		"end":     func(s *served) { s.conn.Close() },
		"garbage": func(s *served) { s.write("garbage\r\n\r\n"); s.conn.Close() },
		"short": func(s *served) {
			s.write("HTTP/1.1 200 X\r\nT-Id: %ID\r\nT-Signed: y\r\nContent-Length: 9\r\n\r\nabc")
			s.conn.Close()
		},
		"unsigned": func(s *served) { s.write("HTTP/1.1 200 X\r\nT-Id: %ID\r\nContent-Length: 3\r\n\r\nabc") },
		"two sizes": func(s *served) {
			s.write("HTTP/1.1 200 X\r\nT-Id: %ID\r\nT-Signed: y\r\nContent-Length: 1\r\nContent-Length: 3\r\n\r\nabc")
		},
	} {
		t.Run(name, func(t *testing.T) {
			first, second := newStandIn(t, "t1", handle), newStandIn(t, "t2", handle)
			f := newFixture(t, first, second)
			resp, _, err := f.client().call("POST", "/once/")
			f.is.NoErr(err)
			f.is.Equal(resp.Status, 502) // promises nothing
			f.is.Equal(ran(resp), "UNKNOWN")
			f.is.Equal(len(first.requests())+len(second.requests()), 1)
		})
	}
}

// A kept connection that its target has closed or reset is not used for a
// request, and nothing is sent a second time by itself.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	closeAfter := make(chan struct{})
	target := newStandIn(t, "t1", func(s *served) {
		s.answer(200, "x")
		if s.number == 1 && len(s.target.requests()) == 1 {
			s.conn.Close()
			close(closeAfter)
		}
	})
	f := newFixture(t, target)
	c := f.client()
	_, _, err := c.call("POST", "/once/")
	f.is.NoErr(err)
	<-closeAfter
	time.Sleep(20 * time.Millisecond)
	resp, _, err := c.call("POST", "/once/")
	f.is.NoErr(err)
	f.is.Equal(resp.Status, 200)
	f.is.Equal(len(target.requests()), 2)
}

func TestProvenNotRunGoesToAnotherTarget(t *testing.T) {
	for _, status := range []int{503, 421, 429} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			var refused atomic.Int32
			handle := func(s *served) {
				if refused.Add(1) == 1 {
					s.notRun(status)
					return
				}
				s.answer(200, "done")
			}
			first, second := newStandIn(t, "t1", handle), newStandIn(t, "t2", handle)
			f := newFixture(t, first, second)
			resp, body, err := f.client().call("POST", "/once/")
			f.is.NoErr(err)
			f.is.Equal(resp.Status, 200)
			f.is.Equal(body, "done")
			f.is.Equal(len(first.requests()), 1)
			f.is.Equal(len(second.requests()), 1)
		})
	}
}

func TestAttemptsAreBounded(t *testing.T) {
	var targets []*standIn
	for i := range 4 {
		targets = append(targets, newStandIn(t, fmt.Sprint("t", i), func(s *served) { s.notRun(503) }))
	}
	f := newFixture(t, targets...)
	resp, _, err := f.client().call("POST", "/once/")
	f.is.NoErr(err)
	f.is.Equal(resp.Status, 503)
	f.is.Equal(ran(resp), "NO")
	f.is.True(resp.Header.Get("Retry-After") != "")
	total := 0
	for _, target := range targets {
		total += len(target.requests())
	}
	f.is.Equal(total, 2)
}

// A target that cannot be connected to has not run anything.
func TestUnreachableTargetIsProofOfNotRun(t *testing.T) {
	good := newStandIn(t, "good", echo)
	f := newFixture(t, good)
	dead := routing.Target{ID: "dead", Service: "s", Address: freeAddress(t, "tcp4"), Slots: 4}
	f.source.publish(testTable(1), good.registration(), dead)
	f.edge.updateTargets([]TargetChange{{ID: "dead", Target: dead}}, false, 0)
	for range 4 {
		resp, _, err := f.client().call("POST", "/once/")
		f.is.NoErr(err)
		f.is.Equal(resp.Status, 200)
	}
	f.source.publish(testTable(1), dead)
	f.edge.updateTargets([]TargetChange{{ID: "good", Removed: true}}, false, 0)
	resp, _, err := f.client().call("POST", "/once/")
	f.is.NoErr(err)
	f.is.Equal(resp.Status, 503)
	f.is.Equal(ran(resp), "NO")
}

func TestIdempotentCallIsRepeated(t *testing.T) {
	for name, fail := range map[string]func(s *served){
		"reset":  func(s *served) { s.reset() },
		"error":  func(s *served) { s.answer(500, "failed") },
		"silent": func(s *served) { s.gone(3 * time.Second) },
		"short": func(s *served) {
			s.write("HTTP/1.1 200 X\r\nT-Id: %ID\r\nT-Signed: y\r\nContent-Length: 9\r\n\r\nabc")
			s.conn.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int32
			handle := func(s *served) {
				if calls.Add(1) == 1 {
					fail(s)
					return
				}
				s.answer(200, "done")
			}
			f := newFixture(t, newStandIn(t, "t1", handle), newStandIn(t, "t2", handle))
			resp, body, err := f.client().call("GET", "/idempotent/")
			f.is.NoErr(err)
			f.is.Equal(resp.Status, 200)
			f.is.Equal(body, "done")
			f.is.Equal(calls.Load(), int32(2))
		})
	}
}

// A target's own failure is passed on with its signature when no attempt is left.
func TestFailureOfATargetIsItsOwn(t *testing.T) {
	handle := func(s *served) { s.answer(500, "failed") }
	f := newFixture(t, newStandIn(t, "t1", handle), newStandIn(t, "t2", handle))
	for _, path := range []string{"/once/", "/idempotent/"} {
		resp, body, err := f.client().call("GET", path)
		f.is.NoErr(err)
		f.is.Equal(resp.Status, 500)
		f.is.Equal(body, "failed")
		f.is.Equal(resp.Header.Get("T-Signed"), "yes")
	}
}

// Late or extra answers belong to other requests: they are passed over, and reach
// no caller.
func TestAnswersOfOtherRequestsAreNotPassedOn(t *testing.T) {
	extra := "HTTP/1.1 200 X\r\nT-Id: other\r\nT-Signed: y\r\nContent-Length: 5\r\n\r\nwrong"
	target := newStandIn(t, "t1", func(s *served) {
		switch len(s.target.requests()) {
		case 1: // an extra answer follows its own
			s.answer(200, "one")
			time.Sleep(50 * time.Millisecond)
			s.write(extra)
		case 2: // a late answer comes before its own
			s.write(extra)
			s.answer(200, "two")
		case 3: // the extra answer comes with its own
			s.write("HTTP/1.1 200 X\r\nT-Id: %ID\r\nT-Signed: y\r\nContent-Length: 5\r\n\r\nthree" + extra)
		default:
			s.answer(200, "four")
		}
	})
	f := newFixture(t, target)
	c := f.client()
	for _, want := range []string{"one", "two", "three", "four"} {
		resp, body, err := c.call("POST", "/once/")
		f.is.NoErr(err)
		f.is.Equal(resp.Status, 200)
		f.is.Equal(body, want)
		time.Sleep(100 * time.Millisecond)
	}
	f.is.Equal(len(target.requests()), 4)
}

// An answer without a length ends with its connection; one that is reset is not
// whole.
func TestAnswerWithoutLength(t *testing.T) {
	target := newStandIn(t, "t1", func(s *served) {
		s.write("HTTP/1.1 200 X\r\nT-Id: %ID\r\nT-Signed: y\r\n\r\nabc")
		if strings.HasSuffix(s.Target, "cut") {
			time.Sleep(20 * time.Millisecond)
			s.reset()
			return
		}
		s.conn.Close()
	})
	f := newFixture(t, target)
	resp, body, err := f.client().call("POST", "/once/whole")
	f.is.NoErr(err)
	f.is.Equal(resp.Status, 200)
	f.is.Equal(body, "abc")
	resp, _, err = f.client().call("POST", "/once/cut")
	f.is.NoErr(err)
	f.is.Equal(resp.Status, 502)
	_, _, err = f.client().call("POST", "/stream/cut")
	f.is.True(err != nil) // visibly broken off
}

// A target that answers before it has read a long body gets the rest of it, or
// the end of the connection, but never another request in its place.
func TestEarlyAnswerToALongBody(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	rest := make(chan string, 8)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go earlyTarget(conn, rest)
		}
	}()
	f := newFixture(t)
	early := routing.Target{ID: "t1", Service: "s", Address: listener.Addr().String(), Slots: 4}
	f.source.publish(testTable(1), early)
	f.edge.updateTargets([]TargetChange{{ID: "t1", Target: early}}, false, 0)
	c := f.client()
	long := strings.Repeat("b", 1<<20)
	for range 2 {
		c.send("POST", "/once/", "", long)
		resp, _, err := c.receive("POST")
		f.is.NoErr(err)
		f.is.Equal(resp.Status, 413)
	}
	for range 2 {
		f.is.Equal(strings.Trim(<-rest, "b"), "")
	}
}

// earlyTarget answers from the head and reads the body later.
func earlyTarget(conn net.Conn, rest chan<- string) {
	defer conn.Close()
	br := bufio.NewReader(conn)
	for {
		req, err := h1.ReadRequest(br, 1<<16)
		if err != nil {
			return
		}
		fmt.Fprintf(conn, "HTTP/1.1 413 X\r\nT-Id: %s\r\nT-Signed: y\r\nContent-Length: 0\r\n\r\n", req.Header.Get("T-Id"))
		time.Sleep(50 * time.Millisecond)
		if req.ReadBody(br, 1<<22) != nil {
			rest <- ""
			return
		}
		rest <- string(req.Body)
	}
}

// The final answer comes at the route's timeout.
func TestTimeoutOfTheRoute(t *testing.T) {
	f := newFixture(t, newStandIn(t, "t1", func(s *served) { s.gone(3 * time.Second) }))
	begin := time.Now()
	resp, _, err := f.client().call("POST", "/short/")
	f.is.NoErr(err)
	f.is.Equal(resp.Status, 504)
	f.is.True(time.Since(begin) >= 200*time.Millisecond)
}
