package edge

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// errorText is the body of error answers in these tests.
const errorText = "id: 9\ndata: error text\n\n"

// brokenBeginnings are beginnings of a stream that break off, with the events that the caller gets of them.
var brokenBeginnings = map[string]struct {
	write  func(s *receivedRequest)
	events string
}{
	"before the head": {func(s *receivedRequest) {}, ""},
	"after the head":  {func(s *receivedRequest) { s.writeStreamHead() }, ""},
	"after an event": {func(s *receivedRequest) {
		s.writeStreamHead()
		s.writeChunk("id: 1\ndata: a\n\n")
	}, "id: 1\ndata: a\n\n"},
	"inside an event": {func(s *receivedRequest) {
		s.writeStreamHead()
		s.writeChunk("id: 1\ndata: a\n\nid: 2\nda")
	}, "id: 1\ndata: a\n\n"},
	"after an event, neither length nor chunks": {func(s *receivedRequest) {
		s.write(unframedStreamHead + "id: 1\ndata: a\n\n")
	}, "id: 1\ndata: a\n\n"},
}

// Guards against ORDER and MIXED: a stream begins and breaks off, the next target answers with an error, and the
// caller finds that in its stream, or the stream ends as if it were complete.
func TestErrorAnswerNeverEntersAStream(t *testing.T) {
	heads := map[string]string{}
	for _, status := range []int{204, 302, 400, 404, 429, 500, 502, 503, 504} {
		heads[fmt.Sprint(status, " signed")] = fmt.Sprintf("HTTP/1.1 %d X\r\nT-Id: %%ID\r\nT-Signed: y\r\n", status)
		heads[fmt.Sprint(status, " not run")] = fmt.Sprintf("HTTP/1.1 %d X\r\nT-Id: %%ID\r\nT-Not-Run: 1\r\n", status)
		heads[fmt.Sprint(status, " unsigned")] = fmt.Sprintf("HTTP/1.1 %d X\r\nT-Id: %%ID\r\n", status)
	}
	heads["200 unsigned"] = "HTTP/1.1 200 X\r\nT-Id: %ID\r\n"
	for framing, write := range framings {
		for name, head := range heads {
			for beginning, broken := range brokenBeginnings {
				t.Run(strings.Join([]string{framing, name, beginning}, ", "), func(t *testing.T) {
					t.Parallel()
					var starts atomic.Int32
					handle := func(s *receivedRequest) {
						if starts.Add(1) == 1 {
							broken.write(s)
							time.Sleep(20 * time.Millisecond)
							s.reset()
							return
						}
						write(s, head, errorText)
					}
					f := newFixture(t, newTestTarget(t, "t1", handle), newTestTarget(t, "t2", handle))
					c := f.client()
					c.send("POST", "/resumable/", "", "")
					resp, body, err := c.receive("POST")
					if resp != nil && resp.Status != http.StatusOK {
						// Nothing of the stream had been passed on.
						f.is.True(beginning == "before the head")
						return
					}
					f.is.Equal(body, broken.events)
					f.is.True(errors.Is(err, io.ErrUnexpectedEOF)) // the caller sees that it is incomplete
				})
			}
		}
	}
}

// Guards against MIXED: a caller takes its stream up, the target answers with an error, and the caller gets that
// as a part of the stream. It gets the target's answer whole, or one of the router.
func TestErrorAnswerToAStreamThatIsTakenUp(t *testing.T) {
	for framing, write := range framings {
		for _, status := range []int{302, 400, 404, 500, 504} {
			t.Run(fmt.Sprint(framing, status), func(t *testing.T) {
				f := newFixture(t, newTestTarget(t, "t1", func(s *receivedRequest) {
					write(s, fmt.Sprintf("HTTP/1.1 %d X\r\nT-Id: %%ID\r\nT-Signed: y\r\n", status), "error text")
				}))
				for _, path := range []string{"/stream/", "/resumable/"} {
					c := f.client()
					c.send("POST", path, "T-Last: 2\r\n", "")
					resp, body, err := c.receive("POST")
					f.is.NoErr(err)
					f.is.Equal(resp.Status, status)
					f.is.Equal(body, "error text")
					f.is.Equal(resp.Length(), int64(len("error text")))
				}
			})
		}
	}
}

// Guards against ORDER and MIXED: a stream with neither length nor chunks breaks off, a faulty target writes an
// error answer behind it, and the caller finds its head in the stream, which ends as if it were complete.
func TestAnswerBehindAnUnframedStreamIsNoPartOfIt(t *testing.T) {
	for name, extra := range map[string]string{
		"empty":       "HTTP/1.1 503 X\r\nT-Id: %ID\r\nContent-Length: 0\r\n\r\n",
		"with body":   "HTTP/1.1 500 X\r\nT-Id: other\r\nT-Signed: y\r\n\r\n" + errorText,
		"HTTP 1.0":    "HTTP/1.0 502 X\r\n\r\n",
		"of a stream": streamHead,
	} {
		for _, path := range []string{"/stream/", "/resumable/"} {
			for pace, write := range map[string]func(s *receivedRequest, text string){
				"at once":      func(s *receivedRequest, text string) { s.write(text) },
				"event, rest":  func(s *receivedRequest, text string) { s.writeInPieces(text, len("id: 1\ndata: a\n\n")) },
				"byte by byte": func(s *receivedRequest, text string) { s.writeInPieces(text, 1) },
			} {
				t.Run(fmt.Sprint(name, path, pace), func(t *testing.T) {
					t.Parallel()
					handle := func(s *receivedRequest) {
						s.write(unframedStreamHead)
						write(s, "id: 1\ndata: a\n\n"+extra)
						s.conn.Close()
					}
					f := newFixture(t, newTestTarget(t, "t1", handle))
					_, body, err := f.client().call("POST", path)
					f.is.Equal(body, "id: 1\ndata: a\n\n")
					f.is.True(err != nil)
				})
			}
		}
	}
}

// writeInPieces sends text in pieces of a size, with pauses between them.
func (s *receivedRequest) writeInPieces(text string, size int) {
	text = strings.ReplaceAll(text, "%ID", s.id)
	for piece := range slices.Chunk([]byte(text), size) {
		s.write(string(piece))
		time.Sleep(2 * time.Millisecond)
	}
}

// Lines that begin like a status line but are none, or stand inside an event, are parts of a stream.
func TestEventsThatResembleAnAnswerAreForwarded(t *testing.T) {
	const text = "HTTP: 1\nid: 1\ndata: a\n\nHTTP/2\n\nid: 2\nHTTP/1.1 200 X\n\nHHTTP/1.1\n\n"
	for _, path := range []string{"/stream/", "/resumable/"} {
		for _, size := range []int{1, 5, len(text)} {
			f := newFixture(t, newTestTarget(t, "t1", func(s *receivedRequest) {
				s.write(unframedStreamHead)
				s.writeInPieces(text, size)
				s.conn.Close()
			}))
			_, body, err := f.client().call("POST", path)
			f.is.NoErr(err)
			f.is.Equal(body, text)
		}
	}
}

// A resumable stream goes on at another target after its last event if another answer follows that.
func TestStreamWithAnAnswerBehindItContinues(t *testing.T) {
	var starts atomic.Int32
	handle := func(s *receivedRequest) {
		if starts.Add(1) == 1 {
			s.write(unframedStreamHead + "id: 1\ndata: a\n\nHTTP/1.1 503 X\r\n\r\n")
			s.conn.Close()
			return
		}
		s.writeStreamHead()
		s.writeChunk("id: 2\ndata: b\n\n")
		s.writeLastChunk()
	}
	f := newFixture(t, newTestTarget(t, "t1", handle), newTestTarget(t, "t2", handle))
	_, body, err := f.client().call("POST", "/resumable/")
	f.is.NoErr(err)
	f.is.Equal(body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
}
