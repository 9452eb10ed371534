package edge

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// framings are the ways in which an answer ends, as functions that write one.
var framings = map[string]func(s *receivedRequest, head, body string){
	"length": func(s *receivedRequest, head, body string) {
		s.write(fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body))
	},
	"chunks": func(s *receivedRequest, head, body string) {
		s.write(head + "Transfer-Encoding: chunked\r\n\r\n")
		s.writeChunk(body)
		s.writeLastChunk()
	},
	"neither": func(s *receivedRequest, head, body string) {
		s.write(head + "\r\n" + body)
		s.conn.Close()
	},
}

// Guards against REFUSED and TWICE: a faulty target writes an earlier refusal once more on a kept connection, with
// the ID of the earlier request or with none, and the router takes it for the answer to the next request,
// which runs.
func TestRepeatedRefusalSaysNothingOfTheNextRequest(t *testing.T) {
	for name, write := range framings {
		for _, status := range []int{400, 408, 421, 429, 503} {
			for _, id := range []string{"", "T-Id: earlier\r\n"} {
				for _, path := range []string{"/once/", "/idempotent/", "/stream/", "/resumable/"} {
					t.Run(fmt.Sprint(name, status, id != "", path), func(t *testing.T) {
						t.Parallel()
						repeatRefusal(t, path, func(s *receivedRequest) {
							write(s, fmt.Sprintf("HTTP/1.1 %d X\r\n%sT-Not-Run: 1\r\n", status, id), "busy")
						})
					})
				}
			}
		}
	}
}

// repeatRefusal plays a request on a kept connection to one of two targets. Before the target answers it, and
// while it runs it, the target writes a refusal.
func repeatRefusal(t *testing.T, path string, refuse func(s *receivedRequest)) {
	var ran atomic.Int32
	handle := func(s *receivedRequest) {
		if s.Target != path+"second" {
			time.Sleep(20 * time.Millisecond)
			s.answer(200, "one")
			return
		}
		ran.Add(1)
		if s.number > 1 {
			refuse(s)
			time.Sleep(20 * time.Millisecond)
		}
		if strings.HasPrefix(path, "/stream/") || strings.HasPrefix(path, "/resumable/") {
			s.writeStreamHead()
			s.writeChunk("id: 1\ndata: two\n\n")
			s.writeLastChunk()
			return
		}
		s.answer(200, "two")
	}
	first, second := newTestTarget(t, "t1", handle), newTestTarget(t, "t2", handle)
	f := newFixture(t, first, second)
	f.keepConnections(first, second)

	resp, body, err := f.client().call("POST", path+"second")
	f.is.NoErr(err)
	repeated := path == "/idempotent/" || path == "/resumable/"
	f.is.True(repeated || ran.Load() == 1)
	if resp.Status == http.StatusOK {
		f.is.True(strings.Contains(body, "two"))
		return
	}
	f.is.True(ranHeader(resp) != "NO") // it ran
	f.is.Equal(resp.Status, http.StatusBadGateway)
}

// keepConnections sends requests until the router has had a connection to each of the targets.
func (f *fixture) keepConnections(targets ...*testTarget) {
	f.t.Helper()
	f.await(func() bool {
		var done sync.WaitGroup
		for range len(targets) {
			c := f.client()
			c.send("POST", "/idempotent/first", "", "")
			done.Go(func() { c.receive("POST") })
		}
		done.Wait()
		return !slices.ContainsFunc(targets, func(t *testTarget) bool { return len(t.requests()) == 0 })
	})
}

// A refusal without an ID, as the first answer on a connection, can only be to the request: that has not run, and
// another target gets it.
func TestRefusalWithoutIDOnANewConnectionIsBelieved(t *testing.T) {
	for name, write := range framings {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int32
			handle := func(s *receivedRequest) {
				if calls.Add(1) == 1 {
					write(s, "HTTP/1.1 503 X\r\nT-Not-Run: 1\r\n", "busy")
					return
				}
				s.answer(200, "done")
			}
			f := newFixture(t, newTestTarget(t, "t1", handle), newTestTarget(t, "t2", handle))
			resp, body, err := f.client().call("POST", "/once/")
			f.is.NoErr(err)
			f.is.Equal(resp.Status, http.StatusOK)
			f.is.Equal(body, "done")
		})
	}
}
