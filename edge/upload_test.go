package edge

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"path"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chiveseam/chiveseam/routing"
)

// uploadPaths are the routes on which uploads are played, with the whole body of an answer.
var uploadPaths = map[string]string{
	"/once/": "hello", "/idempotent/": "hello", "/stream/": firstEvent + secondEvent, "/resumable/": firstEvent + secondEvent,
}

// uploadPart returns the part of an answer that a target writes before it ends the connection.
func uploadPart(path string) string {
	if uploadPaths[path] == "hello" {
		return "hel"
	}
	return firstEvent
}

// unreadAtEnd are the last bytes of an upload that a target has not read "at the end" of it.
const unreadAtEnd = 64 << 10

// uploadMoments are the numbers of bytes of an upload that a target has read when it ends its answer.
var uploadMoments = map[string]func(size int) int{
	"before it":     func(int) int { return 0 },
	"during it":     func(size int) int { return size / 2 },
	"at its end":    func(size int) int { return size - unreadAtEnd },
	"all but a bit": func(size int) int { return size - unreadAtEnd/8 },
}

// uploadEnds end the connection of a target that has not read the whole upload.
var uploadEnds = map[string]func(s *receivedRequest){
	"reset":  func(s *receivedRequest) { s.reset() },
	"closed": func(s *receivedRequest) { s.conn.Close() },
	"ended, then reset": func(s *receivedRequest) {
		s.endSending()
		s.reset()
	},
}

// endSending ends the sending side of the connection.
func (s *receivedRequest) endSending() { s.conn.(*net.TCPConn).CloseWrite() }

// readBytes reads a part of the body.
func (s *receivedRequest) readBytes(n int) { io.CopyN(io.Discard, s.br, int64(n)) }

// newEarlyTarget returns a target that gets requests before their bodies are read, and answers status checks and the requests of
// awaitWitness.
func newEarlyTarget(t *testing.T, id string, handle func(s *receivedRequest)) *testTarget {
	target := newTestTarget(t, id, func(s *receivedRequest) {
		switch s.Path() {
		case "/status":
			s.answer(http.StatusOK, "")
		case "/once/first":
			s.write(unframedBodyHead + "hello")
			s.conn.Close()
		default:
			handle(s)
		}
	})
	target.early = true
	return target
}

// awaitWitness sends requests until the router has a witness of its only target: a busy machine may not answer what the router
// asks without one.
func (f *fixture) awaitWitness() {
	f.await(func() bool {
		_, _, _ = f.client().call("POST", "/once/first")
		time.Sleep(10 * time.Millisecond)
		f.edge.witnesses.mu.Lock()
		defer f.edge.witnesses.mu.Unlock()
		for _, w := range f.edge.witnesses.byAddress {
			return w.current != nil
		}
		return false
	})
}

// brokenUpload sends a body of some bytes and returns what is wrong if the answer of the only attempt that broke off is not
// incomplete, or if a request that may be repeated is not answered by the other target.
func (f *fixture) brokenUpload(path string, size int) error {
	c := f.client()
	c.send("POST", path, "", strings.Repeat("b", size))
	resp, body, err := c.receive("POST")
	whole := uploadPaths[path]
	ok := false
	switch path {
	case "/once/":
		ok = err == nil && resp.Status == http.StatusBadGateway && ranHeader(resp) == "UNKNOWN"
	case "/stream/":
		ok = err != nil && resp != nil && strings.HasPrefix(whole, body)
	default:
		ok = err == nil && resp.Status == http.StatusOK && body == whole
	}
	if ok {
		return nil
	}
	return fmt.Errorf("answer %+v, body %q, end %v", resp, body, err)
}

// newUploads returns a router with some targets, of which the first one with a request answers by breakOff, and any other one
// soundly.
func newUploads(t *testing.T, route string, targets int, breakOff func(f *fixture, s *receivedRequest)) *fixture {
	var f *fixture
	var broken atomic.Bool
	handle := func(s *receivedRequest) {
		if broken.CompareAndSwap(false, true) {
			breakOff(f, s)
			return
		}
		if s.ReadBody(s.br, hugeUpload) != nil {
			return
		}
		if s.Header.Get("T-Last") == "1" {
			s.answer(http.StatusOK, secondEvent)
			return
		}
		s.answer(http.StatusOK, uploadPaths[route])
	}
	f = newFixture(t, []*testTarget{newEarlyTarget(t, "t1", handle), newEarlyTarget(t, "t2", handle)}[:targets]...)
	f.expectUploads(testServices())
	return f
}

// expectUploads configures routes that take huge uploads and are patient with the targets of a service.
func (f *fixture) expectUploads(services []routing.Service) {
	routes := testRoutes()
	for _, r := range routes {
		r.LatencyObjective, r.EventGapObjective = 5*time.Second, 5*time.Second
	}
	limits := routing.Limits{IdleTimeout: 10 * time.Second, BodyBytes: hugeUpload}
	f.edge.applyTable(routing.NewTable(3, routes, services, limits, map[string]string{"key": "shop"}), Revision{Number: 3})
}

// hugeUpload is the size of an upload that does not fit into the buffers of a connection.
const hugeUpload = 8 << 20

// uploadRuns is how often each case of an upload is played, as races decide who sees the end of its connection.
const uploadRuns = 3

// Guards against MIXED: a target answers an upload without framing and breaks the connection before it has read the upload. The
// part that came passes as a whole answer.
func TestUnframedAnswerThatBreaksOffWithinAnUploadIsIncomplete(t *testing.T) {
	for route := range uploadPaths {
		for moment, read := range uploadMoments {
			for name, end := range uploadEnds {
				for _, size := range []int{200 << 10, 3 << 20} {
					t.Run(fmt.Sprint(path.Base(route), " ", moment, " ", name, " ", size), func(t *testing.T) {
						t.Parallel()
						for range uploadRuns {
							f := newUploads(t, route, 2, func(_ *fixture, s *receivedRequest) {
								s.write(unframedBodyHead + uploadPart(route))
								s.readBytes(read(size))
								end(s)
							})
							if err := f.brokenUpload(route, size); err != nil {
								t.Error(err)
							}
						}
					})
				}
			}
		}
	}
}

// The same with certainty: the write of the upload takes the error of the reset, since the answer is read only after that.
func TestResetThatAWriteOfTheUploadTakesIsSeen(t *testing.T) {
	for route := range uploadPaths {
		for name, end := range uploadEnds {
			t.Run(path.Base(route)+" "+name, func(t *testing.T) {
				t.Parallel()
				f := newUploads(t, route, 2, func(f *fixture, s *receivedRequest) {
					f.edge.witnesses.mu.Lock()
					defer f.edge.witnesses.mu.Unlock()
					s.write(unframedBodyHead + uploadPart(route))
					time.Sleep(30 * time.Millisecond)
					end(s)
					time.Sleep(30 * time.Millisecond)
				})
				if err := f.brokenUpload(route, hugeUpload); err != nil {
					t.Error(err)
				}
			})
		}
	}
}

// Guards against MIXED: the target ends its side of the connection within an upload that it never reads, and closes the
// connection later.
func TestUnframedAnswerOfATargetThatNeverReadsTheUploadIsIncomplete(t *testing.T) {
	for route := range uploadPaths {
		for _, size := range []int{200 << 10, hugeUpload} {
			t.Run(fmt.Sprint(path.Base(route), size), func(t *testing.T) {
				t.Parallel()
				f := newUploads(t, route, 2, func(_ *fixture, s *receivedRequest) {
					s.conn.(*net.TCPConn).SetReadBuffer(32 << 10)
					s.write(unframedBodyHead + uploadPart(route))
					s.endSending()
					time.Sleep(200 * time.Millisecond)
					s.conn.Close()
				})
				if err := f.brokenUpload(route, size); err != nil {
					t.Error(err)
				}
			})
		}
	}
}

// The reverse: a target begins its answer within the upload, or has ended its side of the connection by then, reads on to the
// end of the upload and closes the connection: the answer is whole.
func TestUnframedAnswerThatBeginsWithinAnUploadIsDelivered(t *testing.T) {
	for route, whole := range uploadPaths {
		for name, answer := range map[string]func(s *receivedRequest, size int){
			"begins before the upload is read": func(s *receivedRequest, size int) {
				s.write(unframedBodyHead + whole[:3])
				s.readBytes(size)
				s.write(whole[3:])
			},
			"begins while it is read": func(s *receivedRequest, size int) {
				s.readBytes(size / 2)
				s.write(unframedBodyHead + whole[:3])
				time.Sleep(30 * time.Millisecond)
				s.readBytes(size - size/2)
				s.write(whole[3:])
			},
			"is whole before the upload is read": func(s *receivedRequest, size int) {
				s.write(unframedBodyHead + whole)
				s.readBytes(size)
			},
			"its side ends before the upload is read": func(s *receivedRequest, size int) {
				s.write(unframedBodyHead + whole)
				s.endSending()
				time.Sleep(50 * time.Millisecond)
				s.readBytes(size)
			},
			"its side ends while the upload is read": func(s *receivedRequest, size int) {
				s.readBytes(size / 2)
				s.write(unframedBodyHead + whole)
				s.endSending()
				for read := size / 2; read < size; read += size / 16 {
					time.Sleep(5 * time.Millisecond)
					s.readBytes(min(size/16, size-read))
				}
			},
			"begins after the upload is read": func(s *receivedRequest, size int) {
				s.readBytes(size)
				s.write(unframedBodyHead + whole)
			},
		} {
			for _, size := range []int{200 << 10, hugeUpload} {
				t.Run(fmt.Sprint(path.Base(route), " ", name, " ", size), func(t *testing.T) {
					t.Parallel()
					f := newUploads(t, route, 1, func(_ *fixture, s *receivedRequest) {
						answer(s, size)
						s.conn.Close()
					})
					f.awaitWitness()
					c := f.client()
					c.send("POST", route, "", strings.Repeat("b", size))
					resp, body, err := c.receive("POST")
					f.is.NoErr(err)
					f.is.Equal(resp.Status, http.StatusOK)
					f.is.Equal(body, whole)
				})
			}
		}
	}
}

// Guards against CONFIG: a target that ends its side, and neither reads the upload nor ends the connection, holds the request
// beyond the timeout of its route.
func TestUnframedAnswerOfATargetThatHoldsTheUploadEndsInTime(t *testing.T) {
	f := newUploads(t, "/once/", 2, func(_ *fixture, s *receivedRequest) {
		s.conn.(*net.TCPConn).SetReadBuffer(32 << 10)
		s.write(unframedBodyHead + "hel")
		s.endSending()
		time.Sleep(2 * time.Second)
	})
	c := f.client()
	began := time.Now()
	c.send("POST", "/short/", "", strings.Repeat("b", 200<<10))
	resp, _, err := c.receive("POST")
	f.is.NoErr(err)
	f.is.Equal(resp.Status, http.StatusGatewayTimeout)
	f.is.True(time.Since(began) < 700*time.Millisecond)
}

// The reverse: callers that leave within an answer to an upload, or before it, are no sign that the upload harms targets.
func TestCallersThatLeaveWithinAnUploadDoNotQuarantineIt(t *testing.T) {
	for _, begun := range []bool{false, true} {
		t.Run(fmt.Sprint(begun), func(t *testing.T) {
			var sound atomic.Bool
			handle := func(s *receivedRequest) {
				switch {
				case sound.Load():
					s.readBytes(200 << 10)
					s.answer(http.StatusOK, "hello")
				case begun:
					s.write(unframedBodyHead + "hel")
					fallthrough
				default:
					time.Sleep(300 * time.Millisecond)
					s.conn.Close()
				}
			}
			f := newFixture(t, newEarlyTarget(t, "t1", handle), newEarlyTarget(t, "t2", handle))
			upload := strings.Repeat("b", 200<<10)
			for range 5 {
				c := f.client()
				c.send("POST", "/once/", "", upload)
				time.Sleep(100 * time.Millisecond)
				c.conn.Close()
			}
			time.Sleep(400 * time.Millisecond)
			sound.Store(true)
			c := f.client()
			c.send("POST", "/once/", "", upload)
			resp, _, err := c.receive("POST")
			f.is.NoErr(err)
			f.is.Equal(resp.Status, http.StatusOK)
		})
	}
}

// Uploads of callers that send them slowly, or wait for 100 before they do, are sent to targets once they are whole, without
// the question for 100.
func TestUploadsOfSlowCallers(t *testing.T) {
	const size = 200 << 10
	for name, pace := range map[string]struct {
		extra, body string
		pause       time.Duration
	}{
		"length":         {fmt.Sprintf("Content-Length: %d\r\n", size), strings.Repeat("b", size), 50 * time.Millisecond},
		"chunks":         {"Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", size, strings.Repeat("b", size)), 50 * time.Millisecond},
		"expects 100":    {fmt.Sprintf("Expect: 100-continue\r\nContent-Length: %d\r\n", size), strings.Repeat("b", size), 0},
		"slow after 100": {fmt.Sprintf("Expect: 100-continue\r\nContent-Length: %d\r\n", size), strings.Repeat("b", size), 50 * time.Millisecond},
	} {
		for end, broken := range map[string]bool{"whole": false, "reset": true, "closed": true, "ended, then reset": true} {
			for route, whole := range map[string]string{"/once/": "hello", "/stream/": firstEvent + secondEvent} {
				t.Run(name+" "+end+route, func(t *testing.T) {
					t.Parallel()
					expected := make(chan bool, 1)
					f := newUploads(t, route, 1, func(_ *fixture, s *receivedRequest) {
						expected <- s.Header.Count("Expect") > 0
						if broken {
							s.write(unframedBodyHead + uploadPart(route))
							uploadEnds[end](s)
							return
						}
						s.write(unframedBodyHead + whole)
						s.readBytes(size)
						s.conn.Close()
					})
					if !broken {
						f.awaitWitness()
					}
					c := f.client()
					c.send("POST", route, pace.extra, "")
					if strings.HasPrefix(pace.extra, "Expect") {
						line, err := c.br.ReadString('\n')
						f.is.NoErr(err)
						f.is.Equal(line, "HTTP/1.1 100 Continue\r\n")
						c.br.ReadString('\n')
					}
					for piece := range slices.Chunk([]byte(pace.body), len(pace.body)/5+1) {
						_, err := c.conn.Write(piece)
						f.is.NoErr(err)
						time.Sleep(pace.pause)
					}
					resp, body, err := c.receive("POST")
					f.is.True(!<-expected)
					switch {
					case !broken:
						f.is.NoErr(err)
						f.is.Equal(resp.Status, http.StatusOK)
						f.is.Equal(body, whole)
					case route == "/stream/":
						f.is.True(err != nil)
					default:
						f.is.NoErr(err)
						f.is.Equal(resp.Status, http.StatusBadGateway)
					}
				})
			}
		}
	}
}

// Guards against GONE: the caller leaves while the router waits for a target to take the upload behind its answer.
func TestUploadOfACallerThatLeavesEnds(t *testing.T) {
	for _, route := range []string{"/once/", "/stream/", "/resumable/"} {
		t.Run(route, func(t *testing.T) {
			read := make(chan int64, 2)
			f := newUploads(t, route, 2, func(_ *fixture, s *receivedRequest) {
				s.write(unframedBodyHead + uploadPart(route))
				s.endSending()
				time.Sleep(300 * time.Millisecond)
				n, _ := io.Copy(io.Discard, io.LimitReader(s.br, hugeUpload))
				read <- n
			})
			c := f.client()
			c.send("POST", route, "", strings.Repeat("b", hugeUpload))
			time.Sleep(100 * time.Millisecond)
			c.conn.Close()
			f.is.True(<-read < hugeUpload)
		})
	}
}

// Guards against MIXED and ORDER: a model engine, which states its start, breaks an answer to an upload off.
func TestUnframedAnswerOfAnEngineWithinAnUpload(t *testing.T) {
	for route, whole := range uploadPaths {
		for name, broken := range map[string]bool{"reads on": false, "reset": true, "closed": true, "ended, then reset": true, "never reads": true} {
			t.Run(path.Base(route)+" "+name, func(t *testing.T) {
				t.Parallel()
				var first atomic.Bool
				handle := func(s *receivedRequest) {
					if s.statesStart(1) {
						return
					}
					if !first.CompareAndSwap(false, true) {
						s.readBytes(200 << 10)
						s.answer(http.StatusOK, map[string]string{"": whole, "1": secondEvent}[s.Header.Get("T-Last")])
						return
					}
					if !broken {
						s.write(unframedBodyHead + whole)
						s.endSending()
						time.Sleep(30 * time.Millisecond)
						s.readBytes(200 << 10)
						s.conn.Close()
						return
					}
					s.conn.(*net.TCPConn).SetReadBuffer(32 << 10)
					s.write(unframedBodyHead + uploadPart(route))
					if end := uploadEnds[name]; end != nil {
						end(s)
						return
					}
					s.endSending()
					time.Sleep(200 * time.Millisecond)
					s.conn.Close()
				}
				targets := []*testTarget{newEarlyTarget(t, "t1", handle), newEarlyTarget(t, "t2", handle)}
				if !broken {
					targets = targets[:1]
				}
				f := newEngineFixture(t, targets...)
				f.expectUploads([]routing.Service{{Name: "s", Engine: &routing.Engine{Slots: 16}}})
				if broken {
					if err := f.brokenUpload(route, 200<<10); err != nil {
						t.Error(err)
					}
					return
				}
				f.awaitWitness()
				c := f.client()
				c.send("POST", route, "", strings.Repeat("b", 200<<10))
				resp, body, err := c.receive("POST")
				f.is.NoErr(err)
				f.is.Equal(resp.Status, http.StatusOK)
				f.is.Equal(body, whole)
			})
		}
	}
}
