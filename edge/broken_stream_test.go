package edge

import (
	"errors"
	"io"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/chiveseam/chiveseam/streams"
)

// unframedStreamHead is the head of a stream that ends with its connection.
const unframedStreamHead = "HTTP/1.1 200 X\r\nT-Id: %ID\r\nT-Signed: yes\r\nContent-Type: text/event-stream\r\n\r\n"

// brokenStreams are streams that a target breaks off without an error of the connection, after the
// complete event "id: 1\ndata: a\n\n" where they have events.
func brokenStreams() map[string]func(s *receivedRequest) {
	const event = "id: 1\ndata: a\n\n"
	return map[string]func(s *receivedRequest){
		"unframed, inside an event": func(s *receivedRequest) { s.write(unframedStreamHead + event + "id: 2\nda"); s.conn.Close() },
		"unframed, after a line":    func(s *receivedRequest) { s.write(unframedStreamHead + event + "id: 2\n"); s.conn.Close() },
		"unframed, carriage returns": func(s *receivedRequest) {
			s.write(unframedStreamHead + "id: 1\r\ndata: a\r\n\r\nid: 2\r\n")
			s.conn.Close()
		},
		"unframed, no event": func(s *receivedRequest) { s.write(unframedStreamHead); s.conn.Close() },
		"chunks, inside an event": func(s *receivedRequest) {
			s.writeStreamHead()
			s.writeChunk(event + "id: 2\nda")
			s.writeLastChunk()
		},
		"length, inside an event": func(s *receivedRequest) {
			body := event + "id: 2\nda"
			s.write(strings.Replace(unframedStreamHead, "\r\n\r\n", "\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n", 1) + body)
		},
	}
}

// Failure: a target crashes in the middle of a stream whose answer has neither a length nor chunks,
// and the caller gets the part that came as a complete answer. Also with a length or with chunks, a
// stream that ends inside an event is incomplete.
func TestStreamThatEndsInsideAnEventIsIncomplete(t *testing.T) {
	for name, handle := range brokenStreams() {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, newTestTarget(t, "t1", handle))
			resp, _, err := f.client().call("POST", "/stream/")
			f.is.True(resp != nil)
			f.is.True(err != nil) // the caller must see that the answer is incomplete
			f.await(func() bool { return f.logs.contains(`"event":"answer_aborted"`) })
		})
	}
}

// Failure: a resumable stream that ends inside an event is passed on as complete, and is not
// continued at another target.
func TestResumableStreamThatEndsInsideAnEventContinues(t *testing.T) {
	for name, breakOff := range brokenStreams() {
		t.Run(name, func(t *testing.T) {
			var starts atomic.Int32
			handle := func(s *receivedRequest) {
				if starts.Add(1) == 1 {
					breakOff(s)
					return
				}
				s.write(unframedStreamHead)
				if s.Header.Get("T-Last") == "" {
					s.write("id: 1\ndata: a\n\n")
				}
				s.write("id: 2\ndata: b\n\n")
				s.conn.Close()
			}
			f := newFixture(t, newTestTarget(t, "t1", handle), newTestTarget(t, "t2", handle))
			_, body, err := f.client().call("POST", "/resumable/")
			f.is.NoErr(err)
			f.is.Equal(strings.ReplaceAll(body, "\r", ""), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
		})
	}
}

// Guards against ORDER: a target was killed between two events of a stream with neither a length nor chunks, and
// the caller got the part that came as a complete answer. A resumable stream goes on at another target.
func TestStreamOfATargetThatEndedIsIncomplete(t *testing.T) {
	for _, path := range []string{"/stream/", "/resumable/"} {
		for _, order := range []string{"listener first", "connections first"} {
			t.Run(path+order, func(t *testing.T) {
				t.Parallel()
				var starts atomic.Int32
				handle := func(s *receivedRequest) {
					s.write(unframedStreamHead)
					if starts.Add(1) > 1 {
						s.write("id: 2\ndata: b\n\n")
						s.conn.Close()
						return
					}
					s.write("id: 1\ndata: a\n\n")
					if order == "connections first" {
						s.conn.Close()
						time.Sleep(5 * time.Millisecond)
					}
					s.target.crash()
				}
				f := newFixture(t, newTestTarget(t, "t1", handle), newTestTarget(t, "t2", handle))
				_, body, err := f.client().call("POST", path)
				f.is.Equal(err == nil, path == "/resumable/")
				f.is.Equal(strings.Contains(body, "id: 2"), path == "/resumable/")
				f.is.True(f.logs.contains(`"event":"attempt_failed"`, `"target_gone":true`))
			})
		}
	}
}

// Guards against ORDER: the target that was to go on with a stream began it again, and the caller got events twice
// and as a complete answer, within one answer or when it took the stream up.
func TestStreamThatBeginsAgainIsNotPassedOn(t *testing.T) {
	const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	for _, taken := range []string{"", "T-Last: 2\r\nT-Resumes: r\r\n"} {
		var starts atomic.Int32
		handle := func(s *receivedRequest) {
			s.writeStreamHead()
			s.writeChunk(events)
			if starts.Add(1) == 1 && taken == "" {
				s.reset()
				return
			}
			s.writeLastChunk()
		}
		f := newFixture(t, newTestTarget(t, "t1", handle), newTestTarget(t, "t2", handle))
		c := f.client()
		c.send("POST", "/resumable/", taken, "")
		_, body, err := c.receive("POST")
		f.is.True(err != nil)
		f.is.True(body == "" || body == events)
		f.is.Equal(body == events, taken == "")
		f.is.True(f.logs.contains(streams.ErrOrder.Error()))
	}
}

// A stream without a length that ends after an event is complete, whatever ends its lines and
// however its bytes are split.
func TestUnframedStreamIsDelivered(t *testing.T) {
	for name, text := range map[string]string{
		"line feeds":       "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
		"carriage returns": "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n",
		"old line ends":    "id: 1\rdata: a\r\rid: 2\rdata: b\r\r",
		"empty lines":      "\n\nid: 1\ndata: a\n\n\n\n",
		"not ASCII":        ": größer\n\nid: 1\ndata: 日本 \U0001f600 \u0085\u2028\n\n",
		"byte order mark":  "\ufeffid: 1\ndata: a\n\nid: 2\ndata: b\n\n",
	} {
		for _, path := range []string{"/stream/", "/resumable/"} {
			t.Run(name+path, func(t *testing.T) {
				f := newFixture(t, newTestTarget(t, "t1", func(s *receivedRequest) {
					s.write(unframedStreamHead)
					for i := range len(text) {
						s.write(text[i : i+1])
						time.Sleep(time.Millisecond)
					}
					s.conn.Close()
				}))
				_, body, err := f.client().call("POST", path)
				f.is.NoErr(err)
				f.is.Equal(body, text)
			})
		}
	}
}

// Failure: a stream that breaks off reaches a caller that speaks HTTP/1.0, whose answer has no chunks,
// with the same end of the connection as a complete one.
func TestBrokenStreamResetsConnectionWithoutChunks(t *testing.T) {
	proceed := make(chan struct{})
	f := newFixture(t, newTestTarget(t, "t1", func(s *receivedRequest) {
		s.writeStreamHead()
		s.writeChunk("id: 1\ndata: a\n\n")
		<-proceed
		s.reset()
	}))
	c := f.client()
	_, err := io.WriteString(c.conn, "POST /stream/ HTTP/1.0\r\nHost: h.example\r\nT-Id: 1\r\nT-Key: key\r\n\r\n")
	f.is.NoErr(err)
	var got string
	for !strings.Contains(got, "data: a\n\n") {
		line, err := c.br.ReadString('\n')
		f.is.NoErr(err)
		got += line
	}
	close(proceed)
	_, err = c.br.ReadByte()
	f.is.True(errors.Is(err, syscall.ECONNRESET))
}

// A complete stream to a caller that speaks HTTP/1.0 ends with a regular end of the connection.
func TestCompleteStreamWithoutChunks(t *testing.T) {
	f := newFixture(t, newTestTarget(t, "t1", func(s *receivedRequest) {
		s.writeStreamHead()
		s.writeChunk("id: 1\ndata: a\n\n")
		s.writeLastChunk()
	}))
	c := f.client()
	_, err := io.WriteString(c.conn, "POST /stream/ HTTP/1.0\r\nHost: h.example\r\nT-Id: 1\r\nT-Key: key\r\n\r\n")
	f.is.NoErr(err)
	got, err := io.ReadAll(c.br)
	f.is.NoErr(err)
	f.is.True(strings.HasSuffix(string(got), "\r\n\r\nid: 1\ndata: a\n\n"))
}

// Failure: a stream breaks off, the target that should continue it answers with an error, and the
// caller gets that answer in the middle of the stream.
func TestErrorAnswerDoesNotContinueAStream(t *testing.T) {
	for _, status := range []int{302, 404, 500, 204} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			var starts atomic.Int32
			handle := func(s *receivedRequest) {
				if starts.Add(1) == 1 {
					s.writeStreamHead()
					s.writeChunk("id: 1\ndata: a\n\n")
					time.Sleep(20 * time.Millisecond)
					s.reset()
					return
				}
				s.answer(status, "")
			}
			f := newFixture(t, newTestTarget(t, "t1", handle), newTestTarget(t, "t2", handle))
			_, body, err := f.client().call("POST", "/resumable/")
			f.is.True(errors.Is(err, io.ErrUnexpectedEOF))
			f.is.Equal(body, "id: 1\ndata: a\n\n")
			f.is.Equal(starts.Load(), int32(2))
		})
	}
}

// Failure: a resumable stream whose events have no IDs breaks off, is sent again from its beginning,
// and the caller gets its events twice.
func TestStreamWithoutEventIDsIsNotContinued(t *testing.T) {
	var starts atomic.Int32
	handle := func(s *receivedRequest) {
		starts.Add(1)
		s.writeStreamHead()
		s.writeChunk("data: a\n\n")
		time.Sleep(20 * time.Millisecond)
		s.reset()
	}
	f := newFixture(t, newTestTarget(t, "t1", handle), newTestTarget(t, "t2", handle))
	_, body, err := f.client().call("POST", "/resumable/")
	f.is.True(err != nil)
	f.is.Equal(body, "data: a\n\n")
	f.is.Equal(starts.Load(), int32(1))
}
