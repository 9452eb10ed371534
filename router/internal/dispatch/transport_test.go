package dispatch

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const (
	attemptHeader = "X-Attempt"
	testTimeout   = 10 * time.Second
	okAnswer      = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	partialAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
)

// closing is when the fake target closes its connections.
type closing string

const (
	// closeIdle closes each connection after its first answer.
	closeIdle closing = "close idle connection"
	// closeSecond reads the second request of a connection and closes it without an
	// answer.
	closeSecond closing = "close on second request"
	// closeInHead closes the connection within the head of the second answer.
	closeInHead closing = "close in head of second answer"
	// closeFirst reads the first request of a connection and closes it without an
	// answer.
	closeFirst closing = "close on first request"
)

// fakeTarget counts the requests that it reads, by the value of attemptHeader.
type fakeTarget struct {
	net.Listener
	closing closing

	mu   sync.Mutex
	seen map[string]int
}

func startFakeTarget(t *testing.T, c closing) *fakeTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeTarget{Listener: listener, closing: c, seen: map[string]int{}}
	t.Cleanup(func() { listener.Close() })
	go f.accept()
	return f
}

func (f *fakeTarget) accept() {
	for {
		conn, err := f.Accept()
		if err != nil {
			return
		}
		go f.serve(conn)
	}
}

func (f *fakeTarget) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for n := 1; ; n++ {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		f.count(req.Header.Get(attemptHeader))
		if !f.answer(conn, n) {
			return
		}
	}
}

func (f *fakeTarget) count(attempt string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seen[attempt]++
}

func (f *fakeTarget) seenCount(attempt string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.seen[attempt]
}

// answer answers the n-th request of a connection and reports whether the
// connection stays open.
func (f *fakeTarget) answer(conn net.Conn, n int) bool {
	if f.closing == closeFirst || f.closing == closeSecond && n > 1 {
		return false
	}
	if f.closing == closeInHead && n > 1 {
		_, _ = io.WriteString(conn, partialAnswer)
		return false
	}
	_, _ = io.WriteString(conn, okAnswer)
	return f.closing != closeIdle
}

// net/http sends a request again by itself when a kept connection fails and the request
// looks repeatable. The test checks for each kind of connection failure, method and
// body that this does not happen.
func TestNoRequestIsSentTwice(t *testing.T) {
	for _, closing := range []closing{closeIdle, closeSecond, closeInHead, closeFirst} {
		for _, method := range []string{http.MethodGet, http.MethodPut, http.MethodPost, http.MethodDelete} {
			for _, body := range []string{"", "body"} {
				for _, idempotent := range []bool{false, true} {
					name := string(closing) + "/" + method + "/" + body + "/" + strconv.FormatBool(idempotent)
					t.Run(name, func(t *testing.T) {
						expectSentOnce(t, closing, Request{Method: method, Body: []byte(body), Idempotent: idempotent})
					})
				}
			}
		}
	}
}

// expectSentOnce sends the request several times over the same transports and checks
// that the target reads each at most once.
func expectSentOnce(t *testing.T, c closing, req Request) {
	is := is.New(t)
	fake := startFakeTarget(t, c)
	target := &v1.Target{Name: "fake", Address: fake.Addr().String()}
	transports := newTransports(testTimeout)
	defer transports.closeIdle(target)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	const attempts = 6
	for i := range attempts {
		attempt := strconv.Itoa(i)
		req.TargetURI = "/"
		req.Header = http.Header{attemptHeader: {attempt}, "Idempotency-Key": {"key"}, "X-Idempotency-Key": {"key"}}
		resp, err := transports.roundTrip(ctx, target, &req)
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			is.Equal(fake.seenCount(attempt), 1) // an answered request was sent once
			continue
		}
		is.True(fake.seenCount(attempt) <= 1)
		if errors.Is(err, errNotSent) {
			is.Equal(fake.seenCount(attempt), 0)
		}
	}
	for i := range attempts {
		is.True(fake.seenCount(strconv.Itoa(i)) <= 1) // not sent again after a later request
	}
}

// A refused connection proves that nothing was sent, whether the request is idempotent
// or not.
func TestRefusedConnectionIsErrNotSent(t *testing.T) {
	is := is.New(t)
	fake := startFakeTarget(t, closeFirst)
	target := &v1.Target{Name: "fake", Address: fake.Addr().String()}
	fake.Close()
	transports := newTransports(testTimeout)
	for _, idempotent := range []bool{false, true} {
		req := Request{Method: http.MethodPost, TargetURI: "/", Header: http.Header{}, Body: []byte("x"), Idempotent: idempotent}
		_, err := transports.roundTrip(context.Background(), target, &req)
		is.True(errors.Is(err, errNotSent))
	}
}

// A target that reads the request and closes the connection may have executed the
// request.
func TestConnectionClosedAfterReadIsNotErrNotSent(t *testing.T) {
	is := is.New(t)
	fake := startFakeTarget(t, closeFirst)
	target := &v1.Target{Name: "fake", Address: fake.Addr().String()}
	transports := newTransports(testTimeout)
	for _, idempotent := range []bool{false, true} {
		req := Request{Method: http.MethodPost, TargetURI: "/", Header: http.Header{}, Body: []byte("x"), Idempotent: idempotent}
		_, err := transports.roundTrip(context.Background(), target, &req)
		is.True(err != nil)
		is.True(!errors.Is(err, errNotSent))
	}
}
