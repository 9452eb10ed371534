package edge

import (
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/chiveseam/chiveseam/placement"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/streams"
)

// Guards against the incident ORDER: after the start of all routers, streams of a version that had left in the
// meantime went on at the only one that was registered. Where one version served only, they go on.
func TestStreamsAreNotMixedAfterAllRoutersStartAgain(t *testing.T) {
	var breaks atomic.Bool
	targets := versionedTargets(t, &breaks)
	left, present := targets[0].registration(), targets[1].registration()
	for _, c := range []struct {
		name        string
		past        []TargetChange
		historyLost bool
		// refusedFor is how long take-ups are refused at least; goesOn is set if they are not refused forever.
		refusedFor time.Duration
		goesOn     bool
	}{
		{"version left", []TargetChange{{ID: left.ID, Target: left}, {ID: left.ID, Removed: true}}, false, 5 * time.Second, false},
		{"one version", []TargetChange{{ID: present.ID, Target: present}}, false, 0, true},
		{"no history", nil, true, testRoutes()[0].Timeout, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := &fixture{t: t, is: is.New(t), source: newFakeSource(), done: make(chan error, 1), logs: &logRecorder{}}
			f.source.pastTargets, f.source.historyLost = c.past, c.historyLost
			f.run(targets[1:2])
			began, goneOn := time.Now(), false
			for !goneOn && time.Since(began) < 6*time.Second {
				status, _ := f.resumeStream("nobody's")
				goneOn = status == http.StatusOK
				f.is.True(goneOn || status == http.StatusServiceUnavailable)
				f.is.True(!goneOn || time.Since(began) >= c.refusedFor)
				time.Sleep(50 * time.Millisecond)
			}
			f.is.Equal(goneOn, c.goesOn)
			f.is.True(f.logs.contains("version_history_read"))
		})
	}
}

// Guards against ORDER: the history of a store that was restored from a copy was taken for whole, although a version may
// have been registered and left within the time that is lost.
func TestHistoryOfARestoredStoreMayLackAVersion(t *testing.T) {
	var breaks atomic.Bool
	present := versionedTargets(t, &breaks)[0]
	for _, c := range []struct {
		name      string
		sequences []uint64
		status    int
	}{
		{"nothing lost", []uint64{1, 2, 3, 4}, http.StatusOK},
		{"registrations lost", []uint64{1, 2, 5, 6}, http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, present)
			var history []PastChange
			for i, sequence := range c.sequences {
				r := present.registration()
				r.Sequence = sequence
				change := TargetChange{ID: r.ID, Target: r, Revision: Revision{Epoch: 1, Number: uint64(i + 1)}}
				history = append(history, PastChange{TargetChange: change, New: i == 0})
			}
			f.source.mu.Lock()
			f.source.revision.Epoch = 1
			f.source.mu.Unlock()
			f.edge.mu.Lock()
			f.edge.origins = streams.New(time.Now())
			f.edge.origins.SeeVersion(placement.Hash("s"), placement.VersionHash(present.version))
			f.edge.mu.Unlock()
			f.edge.mergeHistory(TargetHistory{Changes: history, Whole: true, Until: Revision{Epoch: 1, Number: 1}})
			status, _ := f.resumeStream("nobody's")
			f.is.Equal(status, c.status)
		})
	}
}

// Guards against ORDER: right after a restore of the store its history does not show what it has lost, and was taken for whole.
func TestHistoryOfARestoredStoreIsReadOnceTargetsHaveRegisteredAgain(t *testing.T) {
	for _, epoch := range []uint64{0, 1} {
		t.Run(strconv.FormatUint(epoch, 10), func(t *testing.T) {
			t.Parallel()
			f := &fixture{t: t, is: is.New(t), source: newFakeSource(), done: make(chan error, 1), logs: &logRecorder{}}
			f.source.revision.Epoch = epoch
			began := time.Now()
			f.run(versionedTargets(t, new(atomic.Bool))[:1])
			f.is.True(f.logs.contains("version_history_read"))
			f.is.Equal(time.Since(began) >= restoreSettleTime, epoch > 0)
		})
	}
}

// Guards against callers that wait for the store longer than they have time.
func TestConfirmationEndsWithTheRequest(t *testing.T) {
	f := newFixture(t)
	f.source.silence(true)
	began := time.Now()
	f.is.True(!f.edge.hasOneVersion(testRoutes()[3], began.Add(20*time.Millisecond)))
	f.is.True(time.Since(began) < originWait)
}

// Guards against ORDER: a router that had been stopped, or cut off from the store, told others that it knew all versions, also
// of the time in which it was. Each answer states up to which revision it does.
func TestStoppedRouterDoesNotTellThatItKnowsAllVersions(t *testing.T) {
	f := newFixture(t)
	f.newPeer()
	asking, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	f.is.NoErr(err)
	defer asking.Close()
	f.is.NoErr(asking.SetReadDeadline(time.Now().Add(5 * time.Second)))
	answer := func() *streams.Origins {
		f.edge.mu.Lock()
		f.edge.answerReport(time.Now(), asking.LocalAddr().(*net.UDPAddr).AddrPort())
		f.edge.mu.Unlock()
		buf := make([]byte, maxReportBytes)
		n, err := asking.Read(buf)
		f.is.NoErr(err)
		var report v1.LoadReport
		f.is.NoErr(proto.Unmarshal(buf[:n], &report))
		told := streams.New(time.Now())
		told.MergeReport(time.Now(), &report)
		return told
	}
	f.is.True(answer().Covers(Revision{Number: 1}))
	f.source.hideChanges(TargetChange{ID: "t", Removed: true})
	f.is.True(answer().Covers(Revision{Number: 1}))
	f.is.True(!answer().Covers(Revision{Number: 2}))
	// A router that has read the store since then does not take the answer for more.
	later := streams.New(time.Now())
	later.ReadAll(time.Now(), Revision{Number: 2})
	report := &v1.LoadReport{}
	f.edge.mu.Lock()
	f.edge.origins.AddVersions(time.Now(), report)
	f.edge.mu.Unlock()
	later.MergeReport(time.Now(), report)
	f.is.True(later.VersionsKnownFor(time.Now()) < time.Second)
}

// Guards against ORDER: the route of a stream came to another service with two versions. The stream went on at one of them,
// and when its caller took it up again, at the other.
func TestStreamThatGoesOnAtAnotherServiceStaysAtOneVersion(t *testing.T) {
	var breaks atomic.Bool
	targets := versionedTargets(t, &breaks)
	f := newFixture(t, targets...)
	id, _ := f.beginStream()
	f.edge.mu.Lock()
	f.edge.origins = streams.New(time.Now())
	f.edge.origins.Record(time.Now(), streams.IDOf(id), streams.Origin{Service: 1, Version: 1}) // the earlier service
	f.edge.mu.Unlock()
	var rest string
	for range 8 {
		status, body := f.resumeStream(id)
		f.is.Equal(status, http.StatusOK)
		rest += body
	}
	versions, _ := versionsIn(rest)
	f.is.Equal(len(versions), 1)
}
