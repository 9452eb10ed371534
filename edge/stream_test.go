package edge

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

const streamHead = "HTTP/1.1 200 X\r\nT-Id: %ID\r\nT-Signed: %T\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

func (s *served) head() { s.write(strings.ReplaceAll(streamHead, "%T", s.target.id)) }

func (s *served) chunk(text string) {
	s.write(strings.Join([]string{hex(len(text)), text, ""}, "\r\n"))
}

func hex(n int) string {
	const digits = "0123456789abcdef"
	if n < 16 {
		return digits[n : n+1]
	}
	return hex(n/16) + digits[n%16:n%16+1]
}

func (s *served) last() { s.write("0\r\n\r\n") }

func TestEventsArePassedOnAsTheyCome(t *testing.T) {
	proceed := make(chan struct{})
	f := newFixture(t, newStandIn(t, "t1", func(s *served) {
		s.head()
		s.chunk("id: 1\ndata: a\n\n")
		<-proceed
		s.chunk("id: 2\ndata: b\n\n")
		s.last()
	}))
	c := f.client()
	c.send("POST", "/stream/", "", "")
	var got string
	for !strings.Contains(got, "data: a") {
		line, err := c.br.ReadString('\n')
		f.is.NoErr(err)
		got += line
	}
	close(proceed)
	for !strings.HasSuffix(got, "0\r\n\r\n") {
		line, err := c.br.ReadString('\n')
		f.is.NoErr(err)
		got += line
	}
	f.is.True(strings.Contains(got, "data: b"))
}

// A stream that can be resumed goes on at another target after the last whole
// event, in the same answer.
func TestResumableStreamGoesOnElsewhere(t *testing.T) {
	for name, cut := range map[string]func(s *served){
		"reset":  func(s *served) { s.reset() },
		"silent": func(s *served) { s.gone(5 * time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			var starts atomic.Int32
			handle := func(s *served) {
				s.head()
				if starts.Add(1) == 1 {
					s.chunk("id: 1\ndata: a\n\nid: 2\nda")
					s.chunk("ta: b\n\nid: 3\nda")
					time.Sleep(20 * time.Millisecond)
					cut(s)
					return
				}
				s.chunk("id: 3\ndata: c\n\n")
				s.last()
			}
			first, second := newStandIn(t, "t1", handle), newStandIn(t, "t2", handle)
			f := newFixture(t, first, second)
			resp, body, err := f.client().call("POST", "/resumable/")
			f.is.NoErr(err)
			f.is.Equal(body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n")
			all := append(first.requests(), second.requests()...)
			f.is.Equal(len(all), 2)
			f.is.Equal(all[0].Header.Get("T-Last")+all[1].Header.Get("T-Last"), "2")
			f.is.True(resp.Header.Get("T-Signed") != "")
		})
	}
}

// Other streams run once: a broken one ends visibly.
func TestBrokenStreamEndsVisibly(t *testing.T) {
	handle := func(s *served) {
		s.head()
		s.chunk("id: 1\ndata: a\n\n")
		time.Sleep(20 * time.Millisecond)
		s.reset()
	}
	first, second := newStandIn(t, "t1", handle), newStandIn(t, "t2", handle)
	f := newFixture(t, first, second)
	_, body, err := f.client().call("POST", "/stream/")
	f.is.True(err != nil)
	f.is.Equal(body, "id: 1\ndata: a\n\n")
	f.is.Equal(len(first.requests())+len(second.requests()), 1)
}

func TestLastEventID(t *testing.T) {
	is := is.New(t)
	is.Equal(lastEventID([]byte("id: 1\ndata: id: 5\n\nid:2\ndata: x\n\n")), "2")
	is.Equal(lastEventID([]byte("id: 7\n\n")), "7")
	is.Equal(lastEventID([]byte("data: x\n\n")), "")
}

// The caller's own Last-Event-Id is passed on as long as no event was.
func TestCallersLastEventIsPassedOn(t *testing.T) {
	target := newStandIn(t, "t1", func(s *served) {
		s.head()
		s.chunk("id: 9\n\n")
		s.last()
	})
	f := newFixture(t, target)
	c := f.client()
	c.send("POST", "/resumable/", "T-Last: 8\r\n", "")
	_, _, err := c.receive("POST")
	f.is.NoErr(err)
	f.is.Equal(target.requests()[0].Header.Get("T-Last"), "8")
}
