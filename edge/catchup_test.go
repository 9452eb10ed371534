package edge

import (
	"errors"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/poison"
)

// crashingPart is a part of a prompt that crashes targets, in the tests.
const crashingPart = 77

// loseTargets records at a router that different requests with crashingPart have each crashed a target some
// seconds ago.
func (f *fixture) loseTargets() {
	f.edge.mu.Lock()
	defer f.edge.mu.Unlock()
	for i := range 5 {
		at := time.Now().Add(time.Duration(i-20) * time.Second)
		f.edge.poison.Lost(at, poison.Loss{Request: uint64(i + 1), Parts: []uint64{crashingPart}, Begun: true, Targets: []uint32{uint32(i + 1)}})
	}
}

// refusesPart reports whether a router refuses prompts with crashingPart.
func (f *fixture) refusesPart() bool {
	f.edge.mu.Lock()
	defer f.edge.mu.Unlock()
	return f.edge.poison.PromptRefused(time.Now(), []uint64{crashingPart}, func(uint64) bool { return false })
}

// startAgain kills a router and starts it at the same address, without seeds.
func (f *fixture) startAgain(targets ...*testTarget) *fixture {
	f.edge.tomb.Kill(nil)
	<-f.done
	again := &fixture{t: f.t, is: f.is, source: newFakeSource(), done: make(chan error, 1), logs: &logRecorder{}, name: f.name, peer: f.peer}
	again.run(targets)
	return again
}

// Guards against BUDGET: routers that were killed and started again at once were not told what crashes targets,
// as the others went on sending them reports, unless a seed knew it. The same holds for targets that leave, for
// rate limits and for the versions of services.
func TestRouterThatStartsAgainIsToldWhatItMissed(t *testing.T) {
	var breaks atomic.Bool
	targets := versionedTargets(t, &breaks)
	first := newFixture(t, targets...)
	second := first.newPeer(targets...)
	begun := first.beginStreams(6)
	first.loseTargets()
	first.edge.setLeaving(targets[3].registration())
	first.edge.setRateLimit(first.edge.logger, targets[1].registration(), 5)
	first.await(func() bool { return first.refusesPart() && second.refusesPart() })
	time.Sleep(time.Second) // reports no longer state it

	again := second.startAgain(targets[1], targets[3])
	started := time.Now()
	again.await(again.refusesPart)
	again.is.True(time.Since(started) < 2*time.Second) // of the 3 s until it counts as in touch
	again.edge.mu.Lock()
	again.is.Equal(len(again.edge.balancer.LeavingTargets()), 1)
	again.is.Equal(len(again.edge.balancer.RateLimits(time.Now())), 1)
	again.edge.mu.Unlock()
	for _, s := range begun {
		status, rest := again.resumeStream(s.id)
		versions, _ := versionsIn(s.body + rest)
		again.is.True(status == http.StatusServiceUnavailable || len(versions) == 1)
	}
}

// Guards against answers that come before the targets are known: rate limits that they name are told again.
func TestAnswersCountOnceTargetsAreKnown(t *testing.T) {
	target := newTestTarget(t, "t1", func(s *receivedRequest) { s.answer(200, "ok") })
	first := newFixture(t, target)
	second := first.newPeer(target)
	second.edge.tomb.Kill(nil)
	<-second.done
	first.edge.setRateLimit(first.edge.logger, target.registration(), 5)
	time.Sleep(time.Second)

	again := &fixture{t: t, is: first.is, source: newFakeSource(), done: make(chan error, 1), logs: &logRecorder{}, name: second.name, peer: second.peer, seeds: second.seeds}
	again.source.publish(testTable(1), target.registration())
	again.source.setFailure(errors.New("store away"))
	again.start(again.settings())
	again.await(func() bool { return again.logs.contains("peer_found") })
	time.Sleep(200 * time.Millisecond)
	again.source.setFailure(nil)
	again.await(func() bool {
		again.edge.mu.Lock()
		defer again.edge.mu.Unlock()
		limits := again.edge.balancer.RateLimits(time.Now())
		return len(limits) == 1 && limits[0].PerSecond == 5
	})
}

// A router that has just started does not take a stream of unknown origin for one that may go on anywhere, as
// long as another router may know more. It is refused, and the caller comes again.
func TestStartedRouterRefusesUnknownStreamsUntilItIsTold(t *testing.T) {
	var breaks atomic.Bool
	targets := versionedTargets(t, &breaks)[:1]
	f := &fixture{t: t, is: is.New(t), source: newFakeSource(), done: make(chan error, 1), logs: &logRecorder{}, seeds: "127.0.0.3:9"}
	f.run(targets)
	status, _ := f.resumeStream("nobody's")
	f.is.Equal(status, http.StatusServiceUnavailable)
	f.is.Equal(len(targets[0].requests()), 0)
	f.await(func() bool {
		status, _ := f.resumeStream("nobody's")
		return status == http.StatusOK
	})
	f.is.True(time.Since(f.edge.started) < 3*time.Second)
}
