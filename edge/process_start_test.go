package edge

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/placement"
	"github.com/chiveseam/chiveseam/routing"
)

// fakeInspector asks at /start for a start, whose answer is the number alone. All engines list no parts, and state 7 as
// their start there.
type fakeInspector struct{}

func (fakeInspector) Inspect(context.Context, string) (*EngineState, error) {
	return &EngineState{StartedUnixMs: 7}, nil
}
func (fakeInspector) StartPath() string { return "/start" }
func (fakeInspector) StartTime(body []byte) int64 {
	started, _ := strconv.ParseInt(string(body), 10, 64)
	return started
}

// newEngineFixture starts a router whose targets are model engines.
func newEngineFixture(t *testing.T, targets ...*testTarget) *fixture {
	f := &fixture{t: t, is: is.New(t), source: newFakeSource(), done: make(chan error, 1), logs: &logRecorder{}, inspector: fakeInspector{}}
	f.run(targets)
	services := []routing.Service{{Name: "s", Engine: &routing.Engine{Slots: 16}}}
	f.edge.applyTable(routing.NewTable(2, testRoutes(), services, routing.Limits{}, map[string]string{"key": "shop"}), Revision{Number: 2})
	return f
}

// statesStart answers the question for the start of a target. It returns false for other requests.
func (s *receivedRequest) statesStart(started int64) bool {
	if s.Path() != "/start" {
		return false
	}
	s.answer(http.StatusOK, strconv.FormatInt(started, 10))
	return true
}

// requestsFor returns the number of requests for a path that a target has got.
func (target *testTarget) requestsFor(path string) int {
	n := 0
	for _, s := range target.requests() {
		if s.Path() == path {
			n++
		}
	}
	return n
}

// Guards against ORDER: a target has started again under its ID with another software version, and its registration does not
// say so yet. A stream that broke off elsewhere goes on there as at the version of the registration.
func TestStreamDoesNotGoOnAtAProcessThatIsNotRegistered(t *testing.T) {
	breaks := newTestTarget(t, "t1", func(s *receivedRequest) {
		if s.statesStart(1) {
			return
		}
		s.writeStreamHead()
		s.writeChunk("id: 1\ndata: v1\n\n")
		time.Sleep(20 * time.Millisecond)
		s.reset()
	})
	restarted := newTestTarget(t, "t2", func(s *receivedRequest) {
		if s.statesStart(2) {
			return
		}
		s.writeStreamHead()
		s.writeChunk("id: 2\ndata: v2\n\n")
		s.writeLastChunk()
	})
	breaks.version, restarted.version = "v1", "v1"
	f := newEngineFixture(t, breaks, restarted)
	for range 4 {
		_, body, err := f.client().call("POST", "/resumable/")
		f.is.True(!strings.Contains(body, "v2"))
		f.is.True(err != nil || body == "" || !strings.Contains(body, "v1")) // broken off, or refused
	}
	f.is.Equal(restarted.requestsFor("/resumable/"), 0)
	f.is.True(f.logs.contains("other_process", "t2"))
}

// Guards against ORDER: a stream with neither a length nor chunks ends with its target's process, and another one answers at the
// same address at once. The part that came passes as a whole stream.
func TestUnframedStreamOfAReplacedProcessIsIncomplete(t *testing.T) {
	var started atomic.Int64
	started.Store(1)
	f := newEngineFixture(t, newTestTarget(t, "t1", func(s *receivedRequest) {
		if s.statesStart(started.Load()) {
			return
		}
		s.write("HTTP/1.1 200 X\r\nT-Id: %ID\r\nT-Signed: yes\r\n\r\nid: 1\ndata: a\n\n")
		started.Store(2)
		s.conn.Close()
	}))
	_, _, err := f.client().call("POST", "/stream/")
	f.is.True(err != nil) // the caller sees that the stream is not complete
}

// Guards against MIXED: the same for a target that states no start, whose address is registered for another one.
func TestUnframedAnswerOfAReplacedTargetIsIncomplete(t *testing.T) {
	var f *fixture
	target := newTestTarget(t, "t1", nil)
	target.handle = func(s *receivedRequest) {
		s.write("HTTP/1.1 200 X\r\nT-Id: %ID\r\nT-Signed: yes\r\n\r\npart")
		other := target.registration()
		other.ID = "t2"
		f.edge.updateTargets([]TargetChange{{ID: "t1", Removed: true}, {ID: "t2", Target: other}}, false, 0)
		s.conn.Close()
	}
	f = newFixture(t, target)
	resp, _, err := f.client().call("POST", "/once/")
	f.is.NoErr(err)
	f.is.Equal(resp.Status, http.StatusBadGateway)
}

// The start of a process is asked once for each connection, and a target that does not state it is used all the same.
func TestStartIsAskedOncePerConnection(t *testing.T) {
	for _, stated := range []int64{1, 0} {
		target := newTestTarget(t, "t1", func(s *receivedRequest) {
			if s.statesStart(stated) {
				return
			}
			s.writeStreamHead()
			s.writeChunk("id: 1\ndata: a\n\n")
			s.writeLastChunk()
		})
		f := newEngineFixture(t, target)
		for range 3 {
			_, body, err := f.client().call("POST", "/resumable/")
			f.is.NoErr(err)
			f.is.True(strings.Contains(body, "data: a"))
		}
		for _, r := range target.requests() {
			f.is.Equal(r.Path() == "/start", r.number == 1)
		}
	}
}

// Failure: the parts that another process lists at the address of an engine are taken for those of the engine.
func TestPartsOfAnotherProcessAreNotUsed(t *testing.T) {
	registered, other := newTestTarget(t, "t1", nil), newTestTarget(t, "t2", nil)
	registered.started, other.started = 7, 8
	f := newEngineFixture(t, registered, other)
	f.await(func() bool {
		return f.logs.contains("kept_parts_read", "t1") && f.logs.contains("kept_parts_unknown", "t2")
	})
}

// Failure: a target sends its start without end. The request is not sent to it, and the caller told so soon.
func TestStartWithoutEndIsGivenUp(t *testing.T) {
	for name, head := range map[string]string{"head": "HTTP/1.1 200 X\r\nX-Long: ", "body": "HTTP/1.1 200 X\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			target := newTestTarget(t, "t1", func(s *receivedRequest) {
				s.write(head)
				s.writeForever(strings.Repeat("1", 1<<10))
			})
			f := newEngineFixture(t, target)
			began := time.Now()
			resp, _, err := f.client().call("POST", "/resumable/")
			f.is.NoErr(err)
			f.is.Equal(resp.Status, http.StatusServiceUnavailable)
			f.is.Equal(ranHeader(resp), "NO")
			f.is.True(time.Since(began) < time.Second)
			f.is.Equal(target.requestsFor("/resumable/"), 0)
		})
	}
}

// unstated are answers to the question for its start of a process that does not state it.
var unstated = map[string]func(s *receivedRequest){
	"none":         func(s *receivedRequest) { s.answer(http.StatusOK, "0") },
	"unreadable":   func(s *receivedRequest) { s.answer(http.StatusOK, "no number") },
	"other status": func(s *receivedRequest) { s.answer(http.StatusServiceUnavailable, "2") },
}

// unstatedStream runs a stream that breaks off at an engine after its first event, when another one of its version is
// registered. One of the two, the first if begins is set, answers the question for its start with answer. It returns the
// router, the ID of the request, its error, and how often the stream went on.
func unstatedStream(t *testing.T, answer func(s *receivedRequest), several, begins bool) (f *fixture, id string, continued *atomic.Int64, err error) {
	var second *testTarget
	continued = &atomic.Int64{}
	engine := func(id string, states bool) *testTarget {
		target := newTestTarget(t, id, func(s *receivedRequest) {
			switch {
			case s.Path() == "/start" && states:
				s.statesStart(1)
			case s.Path() == "/start":
				answer(s)
			case s.Header.Get("T-Last") != "":
				continued.Add(1)
				s.writeStreamHead()
				s.writeChunk("id: 3\ndata: b\n\n")
				s.writeLastChunk()
			default:
				f.edge.updateTargets([]TargetChange{{ID: second.id, Target: second.registration()}}, false, 0)
				s.writeStreamHead()
				s.writeChunk("id: 1\ndata: a\n\n")
				time.Sleep(20 * time.Millisecond)
				s.reset()
			}
		})
		target.version = "v1"
		return target
	}
	first := engine("t1", !begins)
	second = engine("t2", begins)
	f = newEngineFixture(t, first)
	if several {
		f.edge.mu.Lock()
		f.edge.origins.SeeVersion(placement.Hash("s"), placement.VersionHash("v2"))
		f.edge.mu.Unlock()
	}
	c := f.client()
	id = c.send("POST", "/resumable/", "", "")
	_, body, err := c.receive("POST")
	f.is.True(strings.Contains(body, "data: a"))
	return f, id, continued, err
}

// Guards against ORDER: a process that does not state its start, though its registration does, was taken for the
// registered one. A stream of another engine went on there, or one that began there went on elsewhere, in one answer or
// over its caller's tries. Where the service has had one version only, both go on.
func TestStreamDoesNotGoOnWithAProcessOfUnknownStart(t *testing.T) {
	for name, answer := range unstated {
		for _, several := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, several versions %t", name, several), func(t *testing.T) {
				f, _, continued, err := unstatedStream(t, answer, several, false)
				f.is.Equal(err != nil, several)
				f.is.Equal(continued.Load() == 0, several)

				f, id, continued, err := unstatedStream(t, answer, several, true)
				f.is.Equal(err != nil, several)
				f.is.Equal(continued.Load() == 0, several)
				status, _ := f.resumeStream(id)
				f.is.Equal(status == http.StatusOK, !several)
			})
		}
	}
}

// Guards against TWICE and REFUSED: the answer to the question for the start comes twice and is a refusal; the second one
// names no request and is not the answer to the request that follows, which runs.
func TestRefusedQuestionForTheStartIsNotTakenForARefusal(t *testing.T) {
	var ran atomic.Int32
	handle := func(s *receivedRequest) {
		if s.Path() == "/start" {
			refusal := "HTTP/1.1 503 X\r\nT-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
			s.write(refusal + refusal)
			return
		}
		ran.Add(1)
		time.Sleep(50 * time.Millisecond)
		s.writeStreamHead()
		s.writeChunk("id: 1\ndata: a\n\n")
		s.writeLastChunk()
	}
	f := newEngineFixture(t, newTestTarget(t, "t1", handle), newTestTarget(t, "t2", handle))
	resp, _, err := f.client().call("POST", "/resumable/")
	f.is.NoErr(err)
	time.Sleep(100 * time.Millisecond)
	f.is.True(!(resp.Status == http.StatusServiceUnavailable && ranHeader(resp) == "NO" && ran.Load() > 0))
	f.is.Equal(ran.Load(), int32(1))
}

// Guards against ORDER: a late answer to an earlier request comes before the answer to the question for the start, and is
// taken for that, so that a stream begins at a process of which the start is not known, or a wrong one.
func TestLateAnswerStatesNoStart(t *testing.T) {
	for _, late := range []string{"a late answer", "8"} {
		var asked atomic.Int32
		target := newTestTarget(t, "t1", func(s *receivedRequest) {
			switch {
			case s.Path() == "/idempotent/":
				s.answer(200, "first")
			case s.Path() != "/start":
				s.writeStreamHead()
				s.writeChunk("id: 1\ndata: a\n\n")
				s.writeLastChunk()
			case asked.Add(1) == 1:
				earlier := *s
				earlier.id = s.target.requests()[0].id
				earlier.answer(200, late)
				s.statesStart(7)
			default:
				s.statesStart(7)
			}
		})
		target.started = 7
		f := newEngineFixture(t, target)
		_, _, err := f.client().call("POST", "/idempotent/")
		f.is.NoErr(err)
		f.await(func() bool { return f.idleConns() == 1 }) // the question goes to the connection of the late answer
		resp, body, err := f.client().call("POST", "/resumable/")
		f.is.NoErr(err)
		f.is.Equal(resp.Status, http.StatusOK)
		f.is.Equal(body, "id: 1\ndata: a\n\n")
		f.await(func() bool { return f.logs.contains(`"event":"request_answered"`, `"start_ms":`) })
		f.is.True(f.logs.contains("request_answered", `"start_ms":7`))
		f.is.True(!f.logs.contains("other_process"))
	}
}

// idleConns returns the number of idle connections to targets.
func (f *fixture) idleConns() int {
	f.edge.targetConns.mu.Lock()
	defer f.edge.targetConns.mu.Unlock()
	return f.edge.targetConns.idleCount
}
