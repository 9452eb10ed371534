package edge

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
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
		t.Run(fmt.Sprint(idle), func(t *testing.T) {
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
			t.Run(fmt.Sprint(name, idle), func(t *testing.T) {
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
