package edge

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/chiveseam/chiveseam/routing"
)

// unframedStream writes the events of a stream without framing, some time before each of them, and ends it.
func (s *receivedRequest) unframedStream(events int, pause time.Duration) {
	s.write(unframedBodyHead)
	for n := 1; n <= events; n++ {
		time.Sleep(pause)
		if _, err := fmt.Fprintf(s.conn, "id: %d\ndata: x\n\n", n); err != nil {
			return
		}
	}
	s.conn.Close()
}

// newIdleClosingTarget returns a target that closes connections without a request after a time.
func newIdleClosingTarget(t *testing.T, idle time.Duration, handle func(s *receivedRequest)) *testTarget {
	target := &testTarget{t: t, id: "t1", idleTime: idle, handle: handle}
	var err error
	if target.listener, err = net.Listen("tcp4", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { target.listener.Close() })
	go target.accept()
	return target
}

// startFixture starts a router with plain targets or model engines. Engines state the start 1.
var startFixture = map[string]func(*testing.T, ...*testTarget) *fixture{"plain": newFixture, "engine": newEngineFixture}

// Guards against LOST: the target closes connections as idle while it answers, which is taken for the end of its process, and
// whole streams are cut.
func TestUnframedStreamsOfATargetThatClosesIdleConnectionsAreDelivered(t *testing.T) {
	for _, idle := range []time.Duration{60, 150, 400, 1000, 1900} {
		for name, start := range startFixture {
			t.Run(fmt.Sprintf("%s/%d", name, idle), func(t *testing.T) {
				t.Parallel()
				idle := idle * time.Millisecond
				events := int(max(idle*14/10, 800*time.Millisecond) / (40 * time.Millisecond))
				target := newIdleClosingTarget(t, idle, func(s *receivedRequest) {
					switch {
					case s.statesStart(1):
					case s.id == "":
						s.answer(http.StatusOK, "")
					default:
						s.unframedStream(events, 40*time.Millisecond)
					}
				})
				f := start(t, target)
				for range 3 {
					_, body, err := f.client().call("POST", "/stream/")
					f.is.NoErr(err)
					f.is.Equal(strings.Count(body, "id: "), events)
				}
			})
		}
	}
}

// Guards against LOST: the same for answers that last about as long as the idle time of the target. Those that end just after
// it has closed the first connections may be cut.
func TestShortUnframedAnswersOfATargetThatClosesIdleConnectionsAreDelivered(t *testing.T) {
	for _, idle := range []time.Duration{30, 60, 120, 300} {
		t.Run(fmt.Sprint(idle*time.Millisecond), func(t *testing.T) {
			t.Parallel()
			target := newIdleClosingTarget(t, idle*time.Millisecond, func(s *receivedRequest) {
				if s.id == "" {
					s.answer(http.StatusOK, "")
					return
				}
				s.write(unframedBodyHead + "hel")
				time.Sleep(100 * time.Millisecond)
				s.write("lo")
				s.conn.Close()
			})
			f := newFixture(t, target)
			whole := 0
			for range 30 {
				resp, _, err := f.client().call("POST", "/once/")
				f.is.NoErr(err)
				if resp.Status == http.StatusOK {
					whole++
				}
			}
			if whole < 26 {
				t.Errorf("%d of 30 answers are whole", whole)
			}
		})
	}
}

// Guards against MIXED and ORDER: the process of a target that closes idle connections ends within an answer, and the part
// passes as whole.
func TestUnframedAnswerOfAnEndedProcessThatClosedIdleConnectionsIsIncomplete(t *testing.T) {
	for name, next := range successors {
		for _, idle := range []time.Duration{150, 400, 1000} {
			t.Run(fmt.Sprint(name, idle*time.Millisecond), func(t *testing.T) {
				t.Parallel()
				idle := idle * time.Millisecond
				target := newIdleClosingTarget(t, idle, func(s *receivedRequest) {
					if s.Target == "/stream/whole" {
						s.unframedStream(int(2*idle/(50*time.Millisecond)), 50*time.Millisecond)
						return
					}
					s.write(unframedBodyHead + "id: 1\ndata: a\n\n")
					time.Sleep(idle + 310*time.Millisecond)
					s.target.endProcess(t, next)
				})
				f := newFixture(t, target)
				_, _, _ = f.client().call("POST", "/stream/whole")
				_, _, err := f.client().call("POST", "/stream/broken")
				f.is.True(err != nil)
			})
		}
	}
}

// leaveKinds are the ways in which a target leaves before it ends its last answer, and what the router knows of that.
type leaveKind struct {
	engine bool
	// known is how the router knows that the target leaves: "draining", "removed", "said", or "" if it does not.
	known string
	// keepsConnections is set if the target closes its listener only.
	keepsConnections bool
}

func (k leaveKind) String() string {
	return fmt.Sprintf("engine=%v/%s/keeps=%v", k.engine, k.known, k.keepsConnections)
}

// leaveKinds returns all kinds.
func leaveKinds() []leaveKind {
	var out []leaveKind
	for _, engine := range []bool{false, true} {
		for _, known := range []string{"draining", "removed", "said", ""} {
			for _, keeps := range []bool{false, true} {
				out = append(out, leaveKind{engine, known, keeps})
			}
		}
	}
	return out
}

// noteLeaving lets the router know that a target leaves.
func (f *fixture) noteLeaving(id, how string) {
	f.edge.mu.Lock()
	t := f.edge.directory.targets[id]
	switch how {
	case "draining":
		t.Draining = true
		f.edge.directory.targets[id] = t
	case "removed":
		delete(f.edge.directory.targets, id)
	}
	f.edge.mu.Unlock()
	if how == "said" {
		f.edge.setLeaving(t)
	}
}

// playLeaving plays a stream of a target that leaves within it. leave gets the request after the first events.
func playLeaving(t *testing.T, k leaveKind, leave func(s *receivedRequest)) (body string, err error) {
	var f *fixture
	var begun sync.WaitGroup
	begun.Add(1)
	target := newTestTarget(t, "t1", func(s *receivedRequest) {
		if s.statesStart(1) {
			return
		}
		begun.Wait()
		s.write(unframedBodyHead + "id: 1\ndata: a\n\n")
		time.Sleep(300 * time.Millisecond)
		f.noteLeaving("t1", k.known)
		time.Sleep(50 * time.Millisecond)
		leave(s)
	})
	start := startFixture["plain"]
	if k.engine {
		start = startFixture["engine"]
	}
	f = start(t, target)
	begun.Done()
	_, body, err = f.client().call("POST", "/stream/")
	return body, err
}

// Guards against LOST: a target that leaves closes its listener, and perhaps its other connections, some time before it ends its
// last answer and exits. That is taken for the end of its process within the answer, which is cut.
func TestLastUnframedAnswerOfATargetThatLeavesIsDelivered(t *testing.T) {
	for _, k := range leaveKinds() {
		t.Run(k.String(), func(t *testing.T) {
			t.Parallel()
			body, err := playLeaving(t, k, func(s *receivedRequest) {
				s.target.listener.Close()
				if !k.keepsConnections {
					s.target.closeOthers(s.conn)
				}
				goesOn := 600 * time.Millisecond
				if k.known == "" && k.keepsConnections {
					goesOn = 2400 * time.Millisecond // until the witness is replaced
				}
				time.Sleep(goesOn)
				io.WriteString(s.conn, "id: 2\ndata: b\n\n")
				s.conn.Close()
				s.target.crash()
			})
			if err != nil || body != "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" {
				t.Errorf("%q, %v", body, err)
			}
		})
	}
}

// Guards against MIXED and ORDER: the process of a target that is to leave ends within an answer, with its listener and all
// connections, and the part passes as whole.
func TestUnframedAnswerOfATargetThatLeavesAndEndsIsIncomplete(t *testing.T) {
	for name, next := range successors {
		for _, k := range leaveKinds() {
			if k.keepsConnections {
				continue
			}
			t.Run(name+"/"+k.String(), func(t *testing.T) {
				t.Parallel()
				body, err := playLeaving(t, k, func(s *receivedRequest) {
					time.Sleep(250 * time.Millisecond)
					s.target.endProcess(t, next)
				})
				if err == nil {
					t.Errorf("%q passes as whole", body)
				}
			})
		}
	}
}

// Guards against LOST: the same while the idle time of the target is not known yet, for answers beside which others of the target
// go on.
func TestUnframedAnswersBesideOthersOfATargetThatClosesIdleConnectionsAreDelivered(t *testing.T) {
	target := newIdleClosingTarget(t, 400*time.Millisecond, func(s *receivedRequest) {
		s.unframedStream(map[string]int{"/stream/1": 9, "/stream/2": 11, "/stream/3": 30}[s.Target], 50*time.Millisecond)
	})
	f := newFixture(t, target)
	var calls sync.WaitGroup
	for _, path := range []string{"/stream/3", "/stream/2", "/stream/1"} {
		c := f.client()
		calls.Go(func() {
			if _, _, err := c.call("POST", path); err != nil {
				t.Errorf("%s: %v", path, err)
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	calls.Wait()
}

// Guards against LOST: another registration has the address of a target that goes on, and counts as the proof that its process has
// ended.
func TestUnframedAnswerBesideAnotherRegistrationOfItsAddressIsDelivered(t *testing.T) {
	for _, other := range []int64{0, 1, 2000, 3000} {
		for name, start := range startFixture {
			t.Run(fmt.Sprint(name, other), func(t *testing.T) {
				t.Parallel()
				target := newTestTarget(t, "t2", func(s *receivedRequest) {
					if !s.statesStart(2000) {
						s.unframedStream(3, 20*time.Millisecond)
					}
				})
				target.started = 2000
				f := start(t, target)
				f.edge.mu.Lock()
				f.edge.directory.targets["t1"] = routing.Target{ID: "t1", Service: "other", Address: target.listener.Addr().String(), StartedUnixMs: other}
				f.edge.mu.Unlock()
				_, _, err := f.client().call("POST", "/stream/")
				f.is.NoErr(err)
			})
		}
	}
}
