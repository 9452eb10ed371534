package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/result"
)

// handleLate answers as the last part of the request's path says.
func handleLate(s *receivedRequest) {
	switch s.Target[strings.LastIndex(s.Target, "/")+1:] {
	case "silent":
		s.closedByRouter(10 * time.Second)
	case "begins":
		s.writeStreamHead()
		s.writeChunk("id: 1\ndata: a\n\n")
		s.closedByRouter(10 * time.Second)
	case "rejects":
		time.Sleep(2400 * time.Millisecond)
		s.notRun(503)
	case "works":
		time.Sleep(700 * time.Millisecond)
		s.answer(200, "x")
	default:
		s.answer(200, "x")
	}
}

// lateRequest is a request around the stop of a router. Times count from the stop signal.
type lateRequest struct {
	name, path string
	// sentAt is when the text up to the first split is sent, all of it if split is empty. The rest
	// follows at restAt, or never if that is 0.
	sentAt, restAt time.Duration
	split          string
	expectContinue bool
	// want is the outcome, and reaches the number of targets that receive the request.
	want    string
	reaches int
}

const (
	answeredWhole = "200 close"
	refusedNotRun = "503 NO close"
	outcomeOpen   = "502 UNKNOWN close"
	visiblyBroken = "200, broken off"
)

// send sends the request and returns its ID and outcome.
func (r lateRequest) send(f *fixture, stopAt time.Time) (id, outcome string) {
	c := f.client()
	id = strings.ReplaceAll(r.name, " ", "-")
	text := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nT-Id: %s\r\nT-Key: key\r\nT-Deadline: 9000\r\nContent-Length: 4\r\n", r.path, id)
	if r.expectContinue {
		text += "Expect: 100-continue\r\n"
	}
	text += "\r\nbody"
	first := text
	if before, _, found := strings.Cut(text, r.split); found && r.split != "" {
		first = before + r.split
	}
	time.Sleep(time.Until(stopAt.Add(r.sentAt)))
	if _, err := io.WriteString(c.conn, first); err != nil {
		return id, err.Error()
	}
	if r.expectContinue {
		if line, err := c.br.ReadString('\n'); err != nil || !strings.Contains(line, "100") {
			return id, fmt.Sprintf("no 100: %q %v", line, err)
		}
		c.br.ReadString('\n')
	}
	if r.restAt > 0 {
		time.Sleep(time.Until(stopAt.Add(r.restAt)))
		if _, err := io.WriteString(c.conn, text[len(first):]); err != nil {
			return id, err.Error()
		}
	}
	resp, _, err := c.receive("POST")
	switch {
	case resp == nil:
		return id, "no answer: " + err.Error()
	case err != nil:
		return id, fmt.Sprintf("%d, broken off", resp.Status)
	}
	return id, strings.Join(strings.Fields(fmt.Sprint(resp.Status, " ", resp.Header.Get(result.HeaderRan), " ", resp.Header.Get("Connection"))), " ")
}

// Guards against requests that are cut without an answer at the end of a planned stop, among them ones that
// were passed on late and may not be repeated: each whole request ends in an answer, which says that it did not
// run only if it did not.
func TestRequestsInAPlannedStopAreAnswered(t *testing.T) {
	const second = time.Second
	requests := []lateRequest{
		{name: "begun before the stop", path: "/once/works", sentAt: -second / 5, want: answeredWhole, reaches: 1},
		{name: "unsafe", path: "/once/works", sentAt: 2 * second, want: answeredWhole, reaches: 1},
		{name: "unsafe on a silent target", path: "/once/silent", sentAt: second, want: outcomeOpen, reaches: 1},
		{name: "safe on silent targets", path: "/idempotent/silent", sentAt: second, want: outcomeOpen, reaches: 2},
		{name: "stream without an event", path: "/stream/silent", sentAt: second, want: outcomeOpen, reaches: 1},
		{name: "stream with an event", path: "/stream/begins", sentAt: second, want: visiblyBroken, reaches: 1},
		{name: "resumable stream with an event", path: "/resumable/begins", sentAt: 2 * second, want: visiblyBroken, reaches: 2},
		{name: "head late", path: "/once/", sentAt: 2 * second, split: "POST ", restAt: 3 * second, want: refusedNotRun},
		{name: "body late", path: "/once/", sentAt: 2 * second, split: "\r\n\r\n", restAt: 3 * second, want: refusedNotRun},
		{name: "body late of a safe request", path: "/idempotent/", sentAt: 2 * second, split: "\r\n\r\nbo", restAt: 3 * second, want: refusedNotRun},
		{name: "body in the last moment", path: "/once/silent", sentAt: 2 * second, split: "\r\n\r\nbo", restAt: 3600 * time.Millisecond, want: refusedNotRun},
		{name: "body late of a head before the stop", path: "/once/", sentAt: -second / 5, split: "\r\n\r\nbo", restAt: 2600 * time.Millisecond, want: refusedNotRun},
		{name: "body asked for and late", path: "/once/", sentAt: 2 * second, split: "\r\n\r\n", expectContinue: true, restAt: 3 * second, want: refusedNotRun},
		{name: "body never whole", path: "/once/", sentAt: 2 * second, split: "\r\n\r\nbo", want: refusedNotRun},
		{name: "rejected in the last moment", path: "/once/rejects", sentAt: second, want: refusedNotRun, reaches: 1},
	}
	var targets []*testTarget
	for i := range 10 {
		targets = append(targets, newTestTarget(t, fmt.Sprint("t", i), handleLate))
	}
	f := newFixture(t, targets...)
	stopAt := time.Now().Add(400 * time.Millisecond)
	type end struct{ id, outcome string }
	ends := make([]chan end, len(requests))
	for i, r := range requests {
		ends[i] = make(chan end, 1)
		go func() {
			id, outcome := r.send(f, stopAt)
			ends[i] <- end{id, outcome}
		}()
	}
	time.Sleep(time.Until(stopAt))
	f.stop()
	f.is.NoErr(<-f.done)
	if took := time.Since(stopAt); took >= f.edge.settings.Grace {
		t.Errorf("stopped after %v", took)
	}
	f.is.True(f.logs.contains(`"request_refused"`, `"status":502`, `"sent":1`, errStopping.Error()))
	received := make(map[string]int)
	for _, target := range targets {
		for _, s := range target.requests() {
			received[s.id]++
		}
	}
	for i, r := range requests {
		e := <-ends[i]
		if e.outcome != r.want || received[e.id] != r.reaches {
			t.Errorf("%s: %s, reaches %d targets; want %s, %d", r.name, e.outcome, received[e.id], r.want, r.reaches)
		}
	}
}

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
