package dispatch

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/config"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// endingRecorder is a Guard that passes on how attempts ended.
type endingRecorder struct {
	Guard
	ch chan Ending
}

func (e endingRecorder) End(_ uint64, _ config.ID, ending Ending) { e.ch <- ending }

// sendToSilentTarget starts a round trip to a target that does not answer and ends the
// context of its caller. It returns the round trip and the target's end of the
// connection.
func sendToSilentTarget(t *testing.T) (*pendingRequest, net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	ctx, cancel := context.WithCancel(t.Context())
	target := &v1.Target{Name: "target", Address: listener.Addr().String()}
	p := newTransports(testTimeout).start(ctx, target, &Request{Method: "POST", TargetURI: "/", Header: http.Header{}, Body: []byte("x")})
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	cancel()
	return p, conn
}

// A crash of the target is noticed after the caller has disconnected.
func TestConnectionLossAfterGiveUpIsACrash(t *testing.T) {
	is := is.New(t)
	guard := endingRecorder{ch: make(chan Ending, 1)}
	p, conn := sendToSilentTarget(t)
	is.True(p.sent())
	is.True(newWatcher(guard).watch(1, 1, p))
	conn.Close()
	is.Equal(<-guard.ch, EndedCrashed)
}

func TestLateAnswerIsNoCrash(t *testing.T) {
	is := is.New(t)
	guard := endingRecorder{ch: make(chan Ending, 1)}
	p, conn := sendToSilentTarget(t)
	is.True(newWatcher(guard).watch(1, 1, p))
	_, err := conn.Write([]byte(okAnswer))
	is.NoErr(err)
	is.Equal(<-guard.ch, EndedInconclusive)
}

// The connection is closed when the watch duration has passed, and at once when too
// many connections are watched.
func TestWatchIsBounded(t *testing.T) {
	is := is.New(t)
	guard := endingRecorder{ch: make(chan Ending, 1)}
	w := newWatcher(guard)
	w.duration = time.Millisecond
	p, conn := sendToSilentTarget(t)
	is.True(w.watch(1, 1, p))
	is.Equal(<-guard.ch, EndedInconclusive)
	expectClosed(t, conn)

	w = newWatcher(guard)
	w.slots = nil
	p, conn = sendToSilentTarget(t)
	is.True(!w.watch(1, 1, p))
	is.Equal(<-guard.ch, EndedInconclusive)
	expectClosed(t, conn)
}

// expectClosed reads what is left of a connection up to its end.
func expectClosed(t *testing.T, conn net.Conn) {
	t.Helper()
	buf := make([]byte, 1<<10)
	for {
		if _, err := conn.Read(buf); err != nil {
			return
		}
	}
}
