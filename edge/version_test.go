package edge

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chiveseam/chiveseam/streams"
)

// versionedTargets returns two targets of each of two software versions. Their streams have the events
// 1 to 4 and name in each the version that wrote it. The first target of a request, which has no
// T-Last, breaks off after the second event if breaks is set.
func versionedTargets(t *testing.T, breaks *atomic.Bool) []*testTarget {
	var targets []*testTarget
	for i := range 2 {
		for _, version := range []string{"v1", "v2"} {
			target := newTestTarget(t, fmt.Sprintf("%s-%d", version, i), func(s *receivedRequest) {
				last, _ := strconv.Atoi(s.Header.Get("T-Last"))
				s.writeStreamHead()
				for event := last + 1; event <= 4; event++ {
					s.writeChunk(fmt.Sprintf("id: %d\ndata: %s\n\n", event, version))
					if event == 2 && last == 0 && breaks.Load() {
						time.Sleep(20 * time.Millisecond)
						s.reset()
						return
					}
				}
				s.writeLastChunk()
			})
			target.version = version
			targets = append(targets, target)
		}
	}
	return targets
}

// versionsIn returns the versions that wrote the events of a stream, and the number of events.
func versionsIn(body string) (versions []string, events int) {
	for line := range strings.SplitSeq(body, "\n") {
		if version, ok := strings.CutPrefix(line, "data: "); ok {
			events++
			versions = append(versions, version)
		}
	}
	slices.Sort(versions)
	return slices.Compact(versions), events
}

// beginStream sends a request for a stream, reads its first two events and returns the request's ID and
// what it has read. The connection then closes.
func (f *fixture) beginStream() (id, body string) {
	f.t.Helper()
	c := f.client()
	id = c.send("POST", "/resumable/", "", "")
	for strings.Count(body, "data: ") < 2 {
		line, err := c.br.ReadString('\n')
		f.is.NoErr(err)
		body += line
	}
	c.conn.Close()
	return id, body
}

// resumeStream takes a stream up after its second event.
func (f *fixture) resumeStream(id string) (status int, body string) {
	f.t.Helper()
	c := f.client()
	c.send("POST", "/resumable/", "T-Last: 2\r\nT-Resumes: "+id+"\r\n", "")
	resp, body, err := c.receive("POST")
	f.is.NoErr(err)
	return resp.Status, body
}

// begunStream is a stream that its caller has the first two events of.
type begunStream struct{ id, body string }

// beginStreams begins streams and waits until the router has reported them.
func (f *fixture) beginStreams(n int) []begunStream {
	begun := make([]begunStream, n)
	for i := range begun {
		begun[i].id, begun[i].body = f.beginStream()
	}
	time.Sleep(400 * time.Millisecond)
	return begun
}

// resumeAtTheirVersions takes streams up, the last one first, and checks that each goes on at its version.
func (f *fixture) resumeAtTheirVersions(begun []begunStream) {
	f.t.Helper()
	for _, s := range slices.Backward(begun) {
		status, rest := f.resumeStream(s.id)
		f.is.Equal(status, http.StatusOK)
		versions, _ := versionsIn(s.body + rest)
		f.is.Equal(len(versions), 1)
	}
}

// Guards against the incident ORDER: a stream that broke off went on, within one answer, at a target of
// another software version.
func TestStreamContinuesAtItsVersion(t *testing.T) {
	var breaks atomic.Bool
	breaks.Store(true)
	f := newFixture(t, versionedTargets(t, &breaks)...)
	for range 8 {
		_, body, err := f.client().call("POST", "/resumable/")
		f.is.NoErr(err)
		versions, events := versionsIn(body)
		f.is.Equal(len(versions), 1)
		f.is.Equal(events, 4)
	}
}

// If no other target of its version is left, the stream breaks off visibly, and no other target gets it.
func TestStreamWithoutATargetOfItsVersionBreaksOff(t *testing.T) {
	var breaks atomic.Bool
	breaks.Store(true)
	targets := versionedTargets(t, &breaks)
	first, other := targets[0], targets[1]
	f := newFixture(t, first, other)
	_, body, err := f.client().call("POST", "/resumable/")
	f.is.True(err != nil)
	versions, events := versionsIn(body)
	f.is.Equal(len(versions), 1)
	f.is.Equal(events, 2)
	f.is.Equal(len(first.requests())+len(other.requests()), 1)
}

// Guards against the incident ORDER: a caller took a stream up, and it went on at another software
// version, at the router that began it or at another one.
func TestCallerTakesUpAStreamAtItsVersion(t *testing.T) {
	var breaks atomic.Bool
	targets := versionedTargets(t, &breaks)
	first := newFixture(t, targets...)
	second := first.newPeer(targets...)
	for _, f := range []*fixture{first, second} {
		for range 8 {
			id, begun := first.beginStream()
			status, rest := f.resumeStream(id)
			f.is.Equal(status, http.StatusOK)
			versions, events := versionsIn(begun + rest)
			f.is.Equal(len(versions), 1)
			f.is.True(events >= 4)
		}
	}
}

// The version of a stream is known after its router was killed, if that has reported since.
func TestStreamOfAKilledRouterGoesOnAtItsVersion(t *testing.T) {
	var breaks atomic.Bool
	targets := versionedTargets(t, &breaks)
	first := newFixture(t, targets...)
	second := first.newPeer(targets...)
	begun := first.beginStreams(6)
	first.edge.tomb.Kill(nil)
	second.resumeAtTheirVersions(begun)
}

// A router that has started since a stream began asks the others for its version.
func TestStartedRouterAsksForTheVersionOfAStream(t *testing.T) {
	var breaks atomic.Bool
	targets := versionedTargets(t, &breaks)
	first := newFixture(t, targets...)
	begun := first.beginStreams(6)
	second := first.newPeer(targets...)
	second.resumeAtTheirVersions(begun)
}

// Guards against ORDER: streams of a version whose targets had left went on at another one, at a router
// that started after that.
func TestStartedRouterLearnsOfVersionsThatAreGone(t *testing.T) {
	var breaks atomic.Bool
	targets := versionedTargets(t, &breaks)
	first := newFixture(t, targets...)
	begun := first.beginStreams(8)
	second := first.newPeer(targets[1], targets[3])
	continued, refused := 0, 0
	for _, s := range begun {
		status, rest := second.resumeStream(s.id)
		if status != http.StatusOK {
			second.is.Equal(status, http.StatusServiceUnavailable)
			refused++
			continue
		}
		versions, _ := versionsIn(s.body + rest)
		second.is.Equal(len(versions), 1)
		continued++
	}
	second.is.True(continued > 0 && refused > 0)
}

// A stream that no router knows goes on only if its service has one version: otherwise the request is
// refused soon, and has not run.
func TestUnknownStreamIsNotContinuedAmongSeveralVersions(t *testing.T) {
	var breaks atomic.Bool
	targets := versionedTargets(t, &breaks)
	f := newFixture(t, targets...)
	began := time.Now()
	c := f.client()
	c.send("POST", "/resumable/", "T-Last: 2\r\nT-Resumes: nobody's\r\n", "")
	resp, _, err := c.receive("POST")
	f.is.NoErr(err)
	f.is.Equal(resp.Status, 503)
	f.is.Equal(ranHeader(resp), "NO")
	f.is.True(time.Since(began) < time.Second)
	for _, target := range targets {
		f.is.Equal(len(target.requests()), 0)
	}

	same := newFixture(t, targets[0], targets[2])
	status, _ := same.resumeStream("nobody's")
	same.is.Equal(status, http.StatusOK)
}

// The other routers are asked once for an unknown stream, not at all for one without an ID, and by no
// more than maxOriginQuestions requests at a time.
func TestQuestionsForOriginsAreBounded(t *testing.T) {
	var breaks atomic.Bool
	targets := versionedTargets(t, &breaks)
	f := newFixture(t, targets...)
	f.newPeer(targets...)
	status, _ := f.resumeStream("")
	f.is.Equal(status, 503)
	f.is.Equal(f.logs.count("stream_origin_asked"), 0)
	status, _ = f.resumeStream("nobody's")
	f.is.Equal(status, 503)
	f.is.Equal(f.logs.count("stream_origin_asked"), 1)

	f.edge.mu.Lock()
	for i := range maxOriginQuestions {
		f.edge.originWaiters[streams.ID(i+1)] = make(chan struct{})
	}
	f.edge.mu.Unlock()
	began := time.Now()
	status, _ = f.resumeStream("nobody's either")
	f.is.Equal(status, 503)
	f.is.True(time.Since(began) < originWait)
	f.is.Equal(f.logs.count("stream_origin_asked"), 1)
}

// Guards against LOST: callers take up streams of routes that may not be resumed, which are recorded nowhere, and the questions for
// them keep the router from asking for those that may.
func TestStreamsThatMayNotGoOnLeaveQuestionsToOthers(t *testing.T) {
	var breaks atomic.Bool
	targets := versionedTargets(t, &breaks)
	f := newFixture(t, targets...)
	f.newPeer(targets...)
	f.edge.mu.Lock()
	for i := range maxOriginQuestions / 2 {
		f.edge.originWaiters[streams.ID(i+1)] = make(chan struct{})
	}
	f.edge.mu.Unlock()
	began := time.Now()
	c := f.client()
	c.send("POST", "/stream/", "T-Last: 1\r\nT-Resumes: nobody's\r\n", "")
	resp, _, _ := c.receive("POST")
	f.is.Equal(resp.Status, 200)
	f.is.True(time.Since(began) < originWait)
	f.is.Equal(f.logs.count("stream_origin_asked"), 0)
	status, _ := f.resumeStream("nobody's")
	f.is.Equal(status, 503)
	f.is.Equal(f.logs.count("stream_origin_asked"), 1)
}
