package edge

import (
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// writeForever sends text until the router closes the connection, at most for ten seconds.
func (s *receivedRequest) writeForever(text string) {
	s.conn.SetWriteDeadline(time.Now().Add(10 * time.Second))
	for {
		if _, err := s.conn.Write([]byte(text)); err != nil {
			return
		}
	}
}

// Failure: a target sends bytes that are no answer until its connection is closed. The router must
// close it soon, hold little of it in memory and tell the caller that the request may have run,
// with an answer that is not complete if it has begun.
func TestAnswersWithoutEndAreCutOff(t *testing.T) {
	junk := strings.Repeat("x", 8<<10)
	head := "HTTP/1.1 200 X\r\nT-Id: %ID\r\nT-Signed: yes\r\n"
	for _, c := range []struct {
		name, path string
		handle     func(s *receivedRequest)
		// begun is set if the caller has got a part of the answer.
		begun bool
	}{
		{name: "status line", path: "/once/", handle: func(s *receivedRequest) { s.writeForever(junk) }},
		{name: "field", path: "/once/", handle: func(s *receivedRequest) { s.write(head + "X-Long: "); s.writeForever(junk) }},
		{name: "fields", path: "/once/", handle: func(s *receivedRequest) { s.write(head); s.writeForever("X-A: b\r\n") }},
		{name: "interim answers", path: "/once/", handle: func(s *receivedRequest) { s.writeForever("HTTP/1.1 100 X\r\n\r\n") }},
		{name: "empty lines", path: "/once/", handle: func(s *receivedRequest) { s.writeForever("\r\n\r\n") }},
		{name: "body until close", path: "/once/", handle: func(s *receivedRequest) { s.write(head + "\r\n"); s.writeForever(junk) }},
		{name: "chunk size", path: "/once/", handle: func(s *receivedRequest) {
			s.write(head + "Transfer-Encoding: chunked\r\n\r\n1;")
			s.writeForever(junk)
		}},
		{name: "trailers", path: "/once/", handle: func(s *receivedRequest) {
			s.write(head + "Transfer-Encoding: chunked\r\n\r\n0\r\n")
			s.writeForever("X-A: b\r\n")
		}},
		{name: "answer to another request", path: "/once/", handle: func(s *receivedRequest) {
			s.write("HTTP/1.1 200 X\r\nT-Id: other\r\nT-Signed: yes\r\nTransfer-Encoding: chunked\r\n\r\n")
			s.writeForever("2000\r\n" + junk + "\r\n")
		}},
		{name: "event", path: "/stream/", begun: true, handle: func(s *receivedRequest) { s.writeStreamHead(); s.writeForever("2000\r\n" + junk + "\r\n") }},
		{name: "resumable event", path: "/resumable/", begun: true, handle: func(s *receivedRequest) {
			s.writeStreamHead()
			s.writeForever("2000\r\n" + junk + "\r\n")
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			closed := make(chan time.Duration, 4)
			began := time.Now()
			f := newFixture(t, newTestTarget(t, "t1", func(s *receivedRequest) {
				c.handle(s)
				closed <- time.Since(began)
			}))
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			resp, _, err := f.client().call("POST", c.path)
			is.True(<-closed < 2*time.Second) // the router closes the connection before the deadline of 3 s
			runtime.ReadMemStats(&after)
			is.True(after.TotalAlloc-before.TotalAlloc < 64<<20)
			if c.begun {
				is.True(err != nil) // the answer is not complete
				return
			}
			is.NoErr(err)
			is.Equal(resp.Status, 502)
			is.Equal(ranHeader(resp), "UNKNOWN")
		})
	}
}

// Failure: a target says that it did not run the request, in an answer whose body does not end, and
// the caller waits for it. Another target must get the request at once.
func TestRejectionWithoutEndIsRetried(t *testing.T) {
	reject := func(s *receivedRequest) {
		s.write("HTTP/1.1 503 X\r\nT-Id: %ID\r\nT-Not-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n")
		time.Sleep(2 * time.Second)
	}
	first := true
	handle := func(s *receivedRequest) {
		if first {
			first = false
			reject(s)
			return
		}
		echo(s)
	}
	f := newFixture(t, newTestTarget(t, "t1", handle), newTestTarget(t, "t2", handle))
	began := time.Now()
	resp, _, err := f.client().call("POST", "/once/")
	f.is.NoErr(err)
	f.is.Equal(resp.Status, 200)
	f.is.True(time.Since(began) < time.Second)
}

// Failure: answers without end at several requests use up the memory of the router. Together they
// hold no more than the limit, and answers find room again when they have ended.
func TestAnswersHoldLimitedMemory(t *testing.T) {
	is := is.New(t)
	m := &memoryLimit{limit: 100}
	a, b := &answerBuffer{memory: m}, &answerBuffer{memory: m}
	_, err := a.Write(make([]byte, 60))
	is.NoErr(err)
	_, err = b.Write(make([]byte, 60))
	is.Equal(err, errAnswerMemory)
	a.release()
	_, err = b.Write(make([]byte, 60))
	is.NoErr(err)
	b.release()
	is.Equal(m.used.Load(), int64(0))
}

// Failure: a stalled target sends a byte now and then, so that its stream never ends. A resumable
// stream continues at another target once no event has ended for the time that the route allows.
func TestBytesThatEndNoEventDoNotKeepAStream(t *testing.T) {
	stalled := true
	handle := func(s *receivedRequest) {
		s.writeStreamHead()
		if !stalled {
			s.writeChunk("id: 2\ndata: b\n\n")
			s.writeLastChunk()
			return
		}
		stalled = false
		s.writeChunk("id: 1\ndata: a\n\n")
		for range 50 {
			time.Sleep(40 * time.Millisecond)
			s.writeChunk(":")
		}
	}
	f := newFixture(t, newTestTarget(t, "t1", handle), newTestTarget(t, "t2", handle))
	began := time.Now()
	_, body, err := f.client().call("POST", "/resumable/")
	f.is.NoErr(err)
	f.is.True(strings.Contains(body, "data: a") && strings.Contains(body, "data: b"))
	f.is.True(time.Since(began) < 1500*time.Millisecond)
}
