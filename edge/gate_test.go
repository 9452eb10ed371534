package edge

import (
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chiveseam/chiveseam/streams"
)

// Guards against ORDER: an engine breaks a stream off within an event and goes on with an answer that names no request of the
// connection, and the caller gets both as one event.
func TestAnswerOfNoKnownRequestIsNotPassedOn(t *testing.T) {
	spoiled := make(map[string]func(s *receivedRequest))
	for name, second := range map[string]string{
		"refusal without ID":    "HTTP/1.1 503 X\r\nT-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"report":                "HTTP/1.1 200 X\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}",
		"to an unknown request": "HTTP/1.1 200 X\r\nT-Id: other\r\nT-Signed: yes\r\n\r\n" + soundEvents(1, eventsOfStream),
		"interim":               "HTTP/1.1 103 X\r\nLink: x\r\n\r\n" + unframedStreamHead + soundEvents(1, eventsOfStream),
	} {
		spoiled[name] = func(s *receivedRequest) { s.write(unframedStreamHead + soundEvents(1, 5) + "id: 6\nda" + second) }
	}
	testSpoiled(t, spoiled)
}

// Guards against MIXED: a bare head of another answer begins behind empty lines or comments that end with a carriage return, which
// are not passed on by themselves, and a router that has not learned the service passes it as an event.
func TestBareHeadBehindALoneCarriageReturnIsNotPassedOn(t *testing.T) {
	const bare = "HTTP/1.1 200 OK\r\n\r\n"
	for _, before := range []string{"", "\r", "\n\r", "data: a\r\n\r\n\r", ": ping\r", ": ping\n\r", "\ufeff\r"} {
		f := &gateFleet{numberings: numberings{byVersion: make(streams.Numberings)}, forms: forms{byVersion: make(streams.Forms)}}
		if out, err := f.newGate("", false).run([][]byte{[]byte(before + bare)}, false); !errors.Is(err, errAnswerInStream) {
			t.Errorf("%q: %q passes, %v", before, out, err)
		}
	}
}

// Guards against LOST: the IDs of a sound service begin to rise by more, streams are broken off as if events were missing, and
// all targets of the service count as failing.
func TestGapDoesNotCountAgainstTheTarget(t *testing.T) {
	var wide atomic.Bool
	handle := func(s *receivedRequest) {
		if wide.Load() {
			sendChunked("id: 1\ndata: a\n\nid: 4\ndata: b\n\n")(s)
			return
		}
		serveSound(s)
	}
	f := newFixture(t, newTestTarget(t, "t1", handle))
	for range soundStreams {
		_, _, err := f.client().call("POST", "/stream/")
		f.is.NoErr(err)
	}
	wide.Store(true)
	for range 3 {
		resp, _, err := f.client().call("POST", "/stream/")
		f.is.Equal(resp.Status, 200)
		f.is.True(err != nil)
	}
	wide.Store(false)
	resp, body, err := f.client().call("POST", "/stream/")
	f.is.NoErr(err)
	f.is.Equal(resp.Status, 200)
	f.is.Equal(body, soundEvents(1, eventsOfStream))
}

// Guards against ORDER: a second answer begins at any byte of a stream, whatever its framing and line ends.
func TestAnswerAtAnyByteOfAStreamIsNotPassedOn(t *testing.T) {
	const events = 3
	heads := map[string]func(length int) string{
		"none": func(int) string { return unframedStreamHead }, "length": lengthHead,
		"chunks": func(length int) string { return chunkedHead + fmt.Sprintf("%x\r\n", length) },
	}
	for framing, head := range heads {
		for _, lineEnd := range []string{"\n", "\r\n", "\r"} {
			for _, path := range []string{"/stream/", "/resumable/"} {
				t.Run(fmt.Sprintf("%s%q%s", framing, lineEnd, path), func(t *testing.T) {
					t.Parallel()
					var at atomic.Int32
					at.Store(-1)
					whole := strings.ReplaceAll(soundEvents(1, events), "\n", lineEnd)
					handle := func(s *receivedRequest) {
						if n := at.Swap(-1); n >= 0 {
							s.write(head(len(whole)) + whole[:n] + head(len(whole)) + whole)
							s.conn.Close()
							return
						}
						first := 0
						fmt.Sscan(s.Header.Get("T-Last"), &first)
						sendChunked(strings.ReplaceAll(soundEvents(first+1, events), "\n", lineEnd) + ": end\n\n")(s)
					}
					f := newFixture(t, newTestTarget(t, "t1", handle), newTestTarget(t, "t2", handle))
					kept := f.client()
					for n := range len(whole) {
						for range 12 { // for the retry budget
							_, _, err := kept.call("POST", path)
							f.is.NoErr(err)
						}
						at.Store(int32(n))
						c := f.client()
						_, body, err := c.call("POST", path)
						c.conn.Close()
						f.is.Equal(err == nil, path == "/resumable/")
						body = strings.NewReplacer("\r\n", "\n", "\r", "\n", ": end\n\n", "").Replace(body)
						f.is.True(strings.HasPrefix(soundEvents(1, events), body))
						f.is.True(err != nil || body == soundEvents(1, events))
					}
				})
			}
		}
	}
}

// Guards against ORDER: a stream that may be resumed goes on after its last ID, and an event without ID that came after that
// comes twice. Comments, which callers ignore, may.
func TestEventWithoutIDIsNotRepeated(t *testing.T) {
	for begun, goesOn := range map[string]bool{
		"id: 1\ndata: a\n\ndata: b\n\n":                   false,
		"data: b\n\n: ping\n\n":                           false,
		"id: 1\ndata: a\n\ndata: b\n\nid: 2\ndata: c\n\n": true,
		"id: 1\ndata: a\n\n: ping\n\n":                    true,
		": ping\n\nretry: 5\n\n":                          true,
	} {
		var starts atomic.Int32
		handle := func(s *receivedRequest) {
			s.writeStreamHead()
			if starts.Add(1) == 1 {
				s.writeChunk(begun)
				time.Sleep(20 * time.Millisecond)
				s.reset()
				return
			}
			s.writeChunk("id: 9\ndata: z\n\n")
			s.writeLastChunk()
		}
		f := newFixture(t, newTestTarget(t, "t1", handle), newTestTarget(t, "t2", handle))
		_, body, err := f.client().call("POST", "/resumable/")
		f.is.Equal(err == nil, goesOn)
		f.is.True(strings.HasPrefix(body, begun))
	}
}

// Guards against ORDER: an event has a wrong, higher number, the next one is refused, and the stream goes on after the wrong one at
// another target: events are missing, or it ends short as whole. One that comes twice or late is left out of the stream.
func TestStreamDoesNotGoOnAfterADoubtfulNumber(t *testing.T) {
	for numbers, goesOn := range map[[3]int]bool{{1, 42, 3}: false, {41, 2, 3}: false, {1, 2, 2}: true, {2, 3, 1}: true} {
		var starts atomic.Int32
		handle := func(s *receivedRequest) {
			if starts.Add(1) == 1 {
				sendChunked(fmt.Sprintf("id: %d\ndata: a\n\nid: %d\ndata: b\n\nid: %d\ndata: c\n\n", numbers[0], numbers[1], numbers[2]))(s)
				return
			}
			last := 0
			fmt.Sscan(s.Header.Get("T-Last"), &last)
			sendChunked(soundEvents(last+1, eventsOfStream))(s)
		}
		f := newFixture(t, newTestTarget(t, "t1", handle), newTestTarget(t, "t2", handle))
		_, _, err := f.client().call("POST", "/resumable/")
		f.is.Equal(err == nil, goesOn)
		f.is.True(goesOn || f.logs.contains("last event ID doubtful"))
	}
}

// Guards against ORDER: a router starts, knows nothing of how the IDs of a service rise, and passes on a stream that may not be resumed
// although an event is left out, while other routers know it.
func TestStartedRouterIsToldHowIDsRise(t *testing.T) {
	f := newFixture(t, newTestTarget(t, "t1", serveSound))
	for range soundStreams {
		_, _, err := f.client().call("POST", "/stream/")
		f.is.NoErr(err)
	}
	peer := f.newPeer(newTestTarget(t, "t2", sendChunked(soundEvents(1, 4)+soundEvents(6, eventsOfStream))))
	_, body, err := peer.client().call("POST", "/stream/")
	f.is.True(err != nil)
	f.is.Equal(body, soundEvents(1, 4))
}

// Guards against ORDER: an event is left out of the first streams of a service, before the router knows how its IDs rise, and they pass as
// whole.
func TestGapInTheFirstStreamIsNotPassedAsWhole(t *testing.T) {
	for _, path := range []string{"/stream/", "/resumable/"} {
		for _, left := range []int{3, 10} {
			faulty := sendChunked(soundEvents(1, left-1) + soundEvents(left+1, 20))
			f := newFixture(t, newTestTarget(t, "t1", faulty))
			_, body, err := f.client().call("POST", path)
			f.is.True(err != nil)
			f.is.True(left == 3 || body == soundEvents(1, left-1))
			f.is.True(f.logs.contains(streams.ErrGap.Error()))
		}
	}
}

// Guards against ORDER: two targets leave out the same event of a stream that may be resumed, and it passes as whole although other gaps
// of the service were faults of single targets.
func TestSameGapAtTwoTargetsIsNotPassedOn(t *testing.T) {
	var faulty atomic.Int32
	handle := func(s *receivedRequest) {
		first := 0
		fmt.Sscan(s.Header.Get("T-Last"), &first)
		if faulty.Add(-1) >= 0 {
			left := max(first, 5) + 1
			sendChunked(soundEvents(first+1, left-1) + soundEvents(left+1, eventsOfStream))(s)
			return
		}
		sendChunked(soundEvents(first+1, eventsOfStream))(s)
	}
	f := newFixture(t, newTestTarget(t, "t1", handle), newTestTarget(t, "t2", handle))
	for range soundStreams {
		_, _, err := f.client().call("POST", "/resumable/")
		f.is.NoErr(err)
	}
	for _, targets := range []int32{1, 1, 2} {
		faulty.Store(targets)
		_, body, err := f.client().call("POST", "/resumable/")
		f.is.Equal(err == nil, targets == 1)
		f.is.True(strings.HasPrefix(soundEvents(1, eventsOfStream), body))
	}
}
