package edge

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// feedLineEnds matches what ends a line for a reader that knows only line feeds, with or without a carriage return before them.
var feedLineEnds = regexp.MustCompile("\r?\n")

// readEvents returns the lines of each event with data that has ended in a text, but for comments.
func readEvents(text string, ends *regexp.Regexp) (events []string) {
	lines := ends.Split(strings.TrimPrefix(text, byteOrderMark), -1)
	var event []string
	hasData := false
	for _, line := range lines[:len(lines)-1] {
		switch {
		case line == "" && hasData:
			events = append(events, strings.Join(event, "\n"))
			fallthrough
		case line == "":
			event, hasData = nil, false
		case line[0] != ':':
			event = append(event, line)
			hasData = hasData || strings.HasPrefix(line, "data")
		}
	}
	return events
}

// Guards against ORDER: an engine breaks a stream off within a line end, the stream goes on at another engine, and a reader that
// knows only line feeds joins two events.
func TestStreamThatBreaksOffAtAnyByteReadsAsOne(t *testing.T) {
	const events = 2
	for _, lineEnd := range []string{"\n", "\r\n", "\r"} {
		for _, framing := range []string{"none", "length", "chunks"} {
			for _, path := range []string{"/stream/", "/resumable/"} {
				t.Run(fmt.Sprintf("%q%s%s", lineEnd, framing, path), func(t *testing.T) {
					t.Parallel()
					text := func(from int) string {
						return strings.ReplaceAll(": ping\n"+soundEvents(from, events), "\n", lineEnd)
					}
					var at atomic.Int32
					at.Store(-1)
					handle := func(s *receivedRequest) {
						first := 0
						fmt.Sscan(s.Header.Get("T-Last"), &first)
						n := at.Swap(-1)
						switch {
						case n < 0:
							sendChunked(text(first + 1))(s)
							return
						case framing == "none":
							s.write(unframedStreamHead + text(1)[:n])
						case framing == "length":
							s.write(lengthHead(len(text(1))+1) + text(1)[:n])
						default:
							s.write(chunkedHead + fmt.Sprintf("%x\r\n", len(text(1))+1) + text(1)[:n])
						}
						time.Sleep(3 * time.Millisecond)
						s.reset()
					}
					f := newFixture(t, newTestTarget(t, "t1", handle), newTestTarget(t, "t2", handle))
					kept := f.client()
					sound := readEvents(text(1), lineEnds)
					for n := range len(text(1)) + 1 {
						for range 12 { // for the retry budget
							_, _, err := kept.call("POST", path)
							f.is.NoErr(err)
						}
						at.Store(int32(n))
						c := f.client()
						_, body, err := c.call("POST", path)
						c.conn.Close()
						f.is.Equal(err == nil, path == "/resumable/")
						for _, ends := range []*regexp.Regexp{lineEnds, feedLineEnds} {
							if lineEnd == "\r" && ends == feedLineEnds {
								continue
							}
							got := readEvents(body, ends)
							if fmt.Sprint(got) != fmt.Sprint(sound[:min(len(got), len(sound))]) || err == nil && len(got) != events {
								t.Errorf("byte %d: %q", n, body)
							}
						}
					}
				})
			}
		}
	}
}

// Guards against ORDER: a stream goes on at another engine, which begins with a byte order mark, and the first field there is
// none to readers, since the mark is within the caller's stream.
func TestByteOrderMarkIsNotPassedOnWithinAStream(t *testing.T) {
	var starts atomic.Int32
	handle := func(s *receivedRequest) {
		s.writeStreamHead()
		s.writeChunk(byteOrderMark[:1])
		if starts.Add(1) == 1 {
			s.writeChunk(byteOrderMark[1:] + "id: 1\ndata: a\n\nid: 2\nda")
			time.Sleep(20 * time.Millisecond)
			s.reset()
			return
		}
		s.writeChunk(byteOrderMark[1:] + "id: 2\ndata: b\n\n")
		s.writeLastChunk()
	}
	f := newFixture(t, newTestTarget(t, "t1", handle), newTestTarget(t, "t2", handle))
	_, body, err := f.client().call("POST", "/resumable/")
	f.is.NoErr(err)
	f.is.Equal(body, byteOrderMark+"id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
}

// Guards against LOST: an engine sends comments without empty lines between them to keep the connection open, and the sound
// stream is cut as if an event did not end.
func TestStreamOfCommentLinesIsNotCut(t *testing.T) {
	for _, path := range []string{"/stream/", "/resumable/"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			const text = ": ping\n"
			read := make(chan struct{})
			target := newTestTarget(t, "t1", func(s *receivedRequest) {
				s.writeStreamHead()
				s.writeChunk(text)
				<-read
				for range 24 {
					s.writeChunk(text)
					time.Sleep(100 * time.Millisecond)
				}
				s.writeChunk("id: 1\ndata: a\n\n: end\n")
				s.writeLastChunk()
			})
			f := newFixture(t, target)
			c := f.client()
			c.send("POST", path, "", "")
			for line := ""; line != text; {
				var err error
				line, err = c.br.ReadString('\n')
				f.is.NoErr(err)
			}
			close(read) // the comment has come before the next one was written
			rest := ""
			for !strings.HasSuffix(rest, "0\r\n\r\n") {
				line, err := c.br.ReadString('\n')
				f.is.NoErr(err)
				rest += line
			}
			f.is.Equal(strings.Count(rest, text), 24)
			f.is.True(strings.Contains(rest, "id: 1\ndata: a\n\n"))
			f.is.True(strings.Contains(rest, ": end\n"))
			f.is.Equal(len(target.requests()), 1)
		})
	}
}

// Guards against MIXED: an engine breaks a comment off and answers again, and the caller gets the second head, since comments
// are passed on by the line.
func TestAnswerWithinACommentIsNotPassedOn(t *testing.T) {
	spoiled := make(map[string]func(s *receivedRequest))
	for _, begun := range []string{":", ": pi", ": ping\r", ": HTTP/1"} {
		second := unframedStreamHead + soundEvents(1, eventsOfStream)
		spoiled[fmt.Sprintf("%q", begun)] = func(s *receivedRequest) { s.write(unframedStreamHead + begun + second) }
	}
	for name, spoil := range spoiled {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, newTestTarget(t, "t1", func(s *receivedRequest) {
				spoil(s)
				s.conn.Close()
			}))
			_, body, err := f.client().call("POST", "/stream/")
			f.is.True(err != nil)
			f.is.True(!strings.Contains(body, "HTTP/1.1"))
		})
	}
}

// Guards against ORDER: an engine breaks off within the first line end and answers again, the stream goes on at another engine, and a
// reader that knows only line feeds takes the first field there for a part of the comment.
func TestFirstLineEndIsNotPassedOnInHalf(t *testing.T) {
	fleet := newGateFleet(t, []string{soundEvents(1, 4)})
	out, err := fleet.newGate("", true).run([][]byte{[]byte(": ping\r" + unframedStreamHead + soundEvents(1, 4))}, false)
	if out != "" || err != errAnswerInStream {
		t.Errorf("%q, %v", out, err)
	}
}

// Guards against ORDER: an engine writes other bytes in place of the second half of the line end behind an event, the stream goes
// on at another engine, and a reader that knows only line feeds joins two events. The router has not learned the service.
func TestStreamDoesNotGoOnBehindHalfALineEnd(t *testing.T) {
	crlf := func(text string) string { return strings.ReplaceAll(text, "\n", "\r\n") }
	for name, rest := range map[string]string{
		"bytes": "\x00\xff", "printable bytes": "{]", "second answer": unframedStreamHead + crlf(soundEvents(1, 4)),
		"comment": ": ping\r\n\x00", "event": crlf("id: 2\ndata: a\n\n"),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var spoiled atomic.Bool
			spoiled.Store(true)
			handle := func(s *receivedRequest) {
				if spoiled.Swap(false) {
					text := strings.TrimSuffix(crlf(soundEvents(1, 2)), "\n") + rest
					s.write(lengthHead(len(text)+1) + text)
					s.conn.Close()
					return
				}
				last := 0
				fmt.Sscan(s.Header.Get("T-Last"), &last)
				sendChunked(crlf(soundEvents(last+1, 4)))(s)
			}
			f := newFixture(t, newTestTarget(t, "t1", handle), newTestTarget(t, "t2", handle))
			_, body, err := f.client().call("POST", "/resumable/")
			got, sound := readEvents(body, feedLineEnds), readEvents(crlf(soundEvents(1, 4)), lineEnds)
			if len(got) > len(sound) || !slices.Equal(got, sound[:len(got)]) || err == nil && len(got) != len(sound) {
				t.Errorf("read %q, %v", got, err)
			}
		})
	}
}

// Guards against ORDER: the process of an engine ends within the line end of a comment or of an empty line of an unframed stream,
// the stream goes on at another engine, and to a reader that knows only line feeds the next event has no ID.
func TestStreamDoesNotGoOnWithinAComment(t *testing.T) {
	crlf := func(text string) string { return strings.ReplaceAll(text, "\n", "\r\n") }
	for _, rest := range []string{": ping\r", "\r", ": pi"} {
		t.Run(fmt.Sprintf("%q", rest), func(t *testing.T) {
			t.Parallel()
			var ends atomic.Bool
			ends.Store(true)
			handle := func(s *receivedRequest) {
				if s.statesStart(1) {
					return
				}
				if ends.Swap(false) {
					s.write(unframedStreamHead + crlf(soundEvents(1, 2)) + rest)
					time.Sleep(30 * time.Millisecond)
					s.target.endProcess(t, successors["nothing"])
					return
				}
				last := 0
				fmt.Sscan(s.Header.Get("T-Last"), &last)
				sendChunked(crlf(soundEvents(last+1, 4)))(s)
			}
			f := newEngineFixture(t, newTestTarget(t, "t1", handle), newTestTarget(t, "t2", handle))
			_, body, err := f.client().call("POST", "/resumable/")
			f.is.NoErr(err)
			if got, want := readEvents(body, feedLineEnds), readEvents(soundEvents(1, 4), lineEnds); !slices.Equal(got, want) {
				t.Errorf("read %q", got)
			}
		})
	}
}
