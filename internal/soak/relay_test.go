package soak

import (
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/platform/standin"
)

// Requests to the target: for the parts that it keeps, which it answers at once, and for a long stream.
var (
	keptParts = standin.Request{Method: "GET", Path: "/api/kv-list"}
	stream    = standin.Request{Method: "GET", Path: "/", PromptParts: "a:1", PromptTokens: 1, OutputTokens: 1000}
)

// relayedTarget starts a target without framing, with a relay in front of it.
func relayedTarget(t *testing.T) (*standin.Target, *relay) {
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(l.Close())
	target := &standin.Target{ID: "t1", Version: "v1", OnStart: func(standin.Run) {}, OnEnd: func(standin.Run) {}}
	target.SetFault(standin.Unframed)
	is.NoErr(target.Start(l.Addr().String()))
	r, err := newRelay(l.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() {
		_ = target.Crash() // a test may have ended it
		r.close()
	})
	return target, r
}

// ask sends a request on a new connection and waits for the first bytes of its answer.
func ask(t *testing.T, r *relay, request standin.Request) net.Conn {
	is := is.New(t)
	conn, err := net.Dial("tcp4", r.address())
	is.NoErr(err)
	t.Cleanup(func() { conn.Close() })
	_, err = io.WriteString(conn, request.TextFor("t1"))
	is.NoErr(err)
	_, err = conn.Read(make([]byte, 1024))
	is.NoErr(err)
	return conn
}

// TestConnectionsOfATargetEndTogether checks that the end of a target ends idle connections and those of answers
// without framing at once and without an error, as the end of a process does.
func TestConnectionsOfATargetEndTogether(t *testing.T) {
	is := is.New(t)
	target, r := relayedTarget(t)
	var conns []net.Conn
	for range 20 {
		conns = append(conns, ask(t, r, keptParts), ask(t, r, stream))
	}
	ends, errs := make(chan time.Time, len(conns)), make(chan error, len(conns))
	for _, conn := range conns {
		go func() {
			_, err := io.Copy(io.Discard, conn)
			ends <- time.Now()
			errs <- err
		}()
	}
	is.NoErr(target.Crash())
	first := <-ends
	last := first
	for range len(conns) - 1 {
		last = <-ends
	}
	for range conns {
		is.NoErr(<-errs)
	}
	t.Logf("%d connections end within %v", len(conns), last.Sub(first))
	is.True(last.Sub(first) < 50*time.Millisecond)
}

// TestStoppedRelayAnswersNoConnection checks what new connections see of a relay that accepts none: nothing at
// all if it is dark, and silence otherwise. Open connections go on in both cases.
func TestStoppedRelayAnswersNoConnection(t *testing.T) {
	for _, dark := range []bool{false, true} {
		is := is.New(t)
		_, r := relayedTarget(t)
		open := ask(t, r, keptParts)
		is.NoErr(r.stopAccepting(dark))
		for range 3 {
			conn, err := net.DialTimeout("tcp4", r.address(), 100*time.Millisecond)
			if !dark {
				is.NoErr(err)
				fmt.Fprint(conn, "GET /api/kv-list HTTP/1.1\r\nHost: x\r\n\r\n")
				is.NoErr(conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond)))
				_, err = conn.Read(make([]byte, 1))
			}
			is.True(isTimeout(err))
		}
		fmt.Fprint(open, "GET /api/kv-list HTTP/1.1\r\nHost: x\r\n\r\n")
		_, err := open.Read(make([]byte, 1))
		is.NoErr(err)
		r.refuse()
		_, err = net.Dial("tcp4", r.address())
		is.True(err != nil && !isTimeout(err)) // refused
		is.NoErr(r.listenAgain())
		ask(t, r, keptParts)
	}
}

// isTimeout reports whether a network operation has timed out.
func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}
