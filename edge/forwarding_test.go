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

// echo answers each request with 200.
func echo(s *receivedRequest) { s.answer(200, "hello") }

// ranHeader returns what an answer says about whether the request ran.
func ranHeader(resp *h1.Response) string { return resp.Header.Get(result.HeaderRan) }

// Failure: the router normalises a request target or changes fields of the request or the answer, a
// caller sets or removes fields that belong to the router or describe the request, or fields that
// concern one connection are forwarded.
func TestRequestAndAnswerAreForwardedUnchanged(t *testing.T) {
	target := newTestTarget(t, "t1", func(s *receivedRequest) {
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
	f.is.Equal(resp.Header.Get("Keep-Alive"), "timeout=6") // the target's own value is for another connection

	got := target.requests()[0]
	f.is.Equal(got.Target, "/once/a//b/%2e%2E/?q=%20")
	f.is.Equal(string(got.Body), "body")
	f.is.Equal(got.Header.Get("T-Model"), "m") // forwarded although Connection names it
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

// Failure: a request whose length is ambiguous is forwarded, and the target takes a part of its
// body for another request (request smuggling).
func TestSmuggledRequestsReachNoTarget(t *testing.T) {
	target := newTestTarget(t, "t1", echo)
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

// Requests without a route are answered with 404, those with an unknown API key with 401.
func TestUnknownRoutesAndKeysAreRefused(t *testing.T) {
	f := newFixture(t, newTestTarget(t, "t1", echo))
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

// Failure: a router that has not read a configuration yet knows no routes and answers 404. It must
// answer that the caller may retry.
func TestRequestsWithoutConfigurationAreRetryable(t *testing.T) {
	f := &fixture{t: t, is: is.New(t), source: newFakeSource(), done: make(chan error, 1), logs: &logRecorder{}}
	f.start(f.settings())
	f.await(func() bool { return f.source.reads.Load() >= 2 })
	f.is.True(!f.edge.isReady())
	resp, _, err := f.client().call("GET", "/once/")
	f.is.NoErr(err)
	f.is.Equal(resp.Status, 503)
	f.is.True(resp.Header.Get("Retry-After") != "")
	f.is.Equal(ranHeader(resp), "NO")
	f.source.publish(testTable(1))
	f.await(f.edge.isReady)
}

// A request that must not run twice is sent to one target only, however the attempt fails.
func TestNonRepeatableRequestIsSentOnce(t *testing.T) {
	for name, handle := range map[string]func(s *receivedRequest){
		"reset":   func(s *receivedRequest) { s.reset() },
		"end":     func(s *receivedRequest) { s.conn.Close() },
		"garbage": func(s *receivedRequest) { s.write("garbage\r\n\r\n"); s.conn.Close() },
		"short": func(s *receivedRequest) {
			s.write("HTTP/1.1 200 X\r\nT-Id: %ID\r\nT-Signed: y\r\nContent-Length: 9\r\n\r\nabc")
			s.conn.Close()
		},
		"unsigned": func(s *receivedRequest) { s.write("HTTP/1.1 200 X\r\nT-Id: %ID\r\nContent-Length: 3\r\n\r\nabc") },
		"two sizes": func(s *receivedRequest) {
			s.write("HTTP/1.1 200 X\r\nT-Id: %ID\r\nT-Signed: y\r\nContent-Length: 1\r\nContent-Length: 3\r\n\r\nabc")
		},
	} {
		t.Run(name, func(t *testing.T) {
			first, second := newTestTarget(t, "t1", handle), newTestTarget(t, "t2", handle)
			f := newFixture(t, first, second)
			resp, _, err := f.client().call("POST", "/once/")
			f.is.NoErr(err)
			f.is.Equal(resp.Status, 502) // 502 does not state that the request has not run
			f.is.Equal(ranHeader(resp), "UNKNOWN")
			f.is.Equal(len(first.requests())+len(second.requests()), 1)
		})
	}
}

// Failure: a request is sent on an idle connection that the target has closed, and is lost or sent
// a second time.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	closeAfter := make(chan struct{})
	target := newTestTarget(t, "t1", func(s *receivedRequest) {
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

// A request that a target rejects as not run goes to another target, even if it must not run twice.
func TestRejectedRequestIsRetriedOnAnotherTarget(t *testing.T) {
	for _, status := range []int{503, 421, 429} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			var refused atomic.Int32
			handle := func(s *receivedRequest) {
				if refused.Add(1) == 1 {
					s.notRun(status)
					return
				}
				s.answer(200, "done")
			}
			first, second := newTestTarget(t, "t1", handle), newTestTarget(t, "t2", handle)
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

// A request that every target rejects is sent to the route's MaxAttempts targets at most.
func TestAttemptsAreBounded(t *testing.T) {
	var targets []*testTarget
	for i := range 4 {
		targets = append(targets, newTestTarget(t, fmt.Sprint("t", i), func(s *receivedRequest) { s.notRun(503) }))
	}
	f := newFixture(t, targets...)
	resp, _, err := f.client().call("POST", "/once/")
	f.is.NoErr(err)
	f.is.Equal(resp.Status, 503)
	f.is.Equal(ranHeader(resp), "NO")
	f.is.True(resp.Header.Get("Retry-After") != "")
	total := 0
	for _, target := range targets {
		total += len(target.requests())
	}
	f.is.Equal(total, 2)
}

// A target that cannot be connected to has not run the request: another one may, and if there is
// none the answer says that the request has not run.
func TestConnectFailureCountsAsNotRun(t *testing.T) {
	good := newTestTarget(t, "good", echo)
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
	f.is.Equal(ranHeader(resp), "NO")
}

// An idempotent request is sent to a second target whenever the first gives no complete answer in
// time or an error.
func TestIdempotentRequestIsRetried(t *testing.T) {
	for name, fail := range map[string]func(s *receivedRequest){
		"reset":  func(s *receivedRequest) { s.reset() },
		"error":  func(s *receivedRequest) { s.answer(500, "failed") },
		"silent": func(s *receivedRequest) { s.closedByRouter(3 * time.Second) },
		"short": func(s *receivedRequest) {
			s.write("HTTP/1.1 200 X\r\nT-Id: %ID\r\nT-Signed: y\r\nContent-Length: 9\r\n\r\nabc")
			s.conn.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int32
			handle := func(s *receivedRequest) {
				if calls.Add(1) == 1 {
					fail(s)
					return
				}
				s.answer(200, "done")
			}
			f := newFixture(t, newTestTarget(t, "t1", handle), newTestTarget(t, "t2", handle))
			resp, body, err := f.client().call("GET", "/idempotent/")
			f.is.NoErr(err)
			f.is.Equal(resp.Status, 200)
			f.is.Equal(body, "done")
			f.is.Equal(calls.Load(), int32(2))
		})
	}
}

// A target's error answer is forwarded with its signature when no attempt is left.
func TestTargetErrorIsForwardedWhenNoAttemptIsLeft(t *testing.T) {
	handle := func(s *receivedRequest) { s.answer(500, "failed") }
	f := newFixture(t, newTestTarget(t, "t1", handle), newTestTarget(t, "t2", handle))
	for _, path := range []string{"/once/", "/idempotent/"} {
		resp, body, err := f.client().call("GET", path)
		f.is.NoErr(err)
		f.is.Equal(resp.Status, 500)
		f.is.Equal(body, "failed")
		f.is.Equal(resp.Header.Get("T-Signed"), "yes")
	}
}

// Failure: a target sends a late or additional answer to another request on the connection, and the
// caller receives that answer as its own.
func TestAnswersOfOtherRequestsAreDiscarded(t *testing.T) {
	extra := "HTTP/1.1 200 X\r\nT-Id: other\r\nT-Signed: y\r\nContent-Length: 5\r\n\r\nwrong"
	target := newTestTarget(t, "t1", func(s *receivedRequest) {
		switch len(s.target.requests()) {
		case 1: // an additional answer follows the request's own
			s.answer(200, "one")
			time.Sleep(50 * time.Millisecond)
			s.write(extra)
		case 2: // a late answer comes before the request's own
			s.write(extra)
			s.answer(200, "two")
		case 3: // the additional answer comes together with the request's own
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

// An answer without a length is complete when its connection closes, but not when it is reset.
func TestAnswerWithoutLength(t *testing.T) {
	target := newTestTarget(t, "t1", func(s *receivedRequest) {
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
	f.is.True(err != nil) // cut off without the last chunk
}

// Failure: a target answers before it has read a long body, and takes the next request on the
// connection for the rest of that body. It must receive the rest of the body or the end of the
// connection.
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

// earlyTarget answers after the head of a request and reads the body later. It sends the bodies
// read to rest, "" for one that was cut off.
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

// A request without an answer is answered with 504 at the timeout of its route.
func TestRouteTimeout(t *testing.T) {
	f := newFixture(t, newTestTarget(t, "t1", func(s *receivedRequest) { s.closedByRouter(3 * time.Second) }))
	begin := time.Now()
	resp, _, err := f.client().call("POST", "/short/")
	f.is.NoErr(err)
	f.is.Equal(resp.Status, 504)
	f.is.True(time.Since(begin) >= 200*time.Millisecond)
}
