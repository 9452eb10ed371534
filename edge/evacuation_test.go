package edge

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an evacuation that is not obeyed, or not ended, as long as one of the ways works by which a
// router learns of it: its watch, a complete read, the reports of a router that is not cut off from the store,
// and the read at its start, before it is ready. If all targets are evacuated, callers are refused at once.
func TestEvacuationIsLearnedInEachWay(t *testing.T) {
	for _, way := range []string{"start", sourceWatch, sourceRead, sourceReport} {
		t.Run(way, func(t *testing.T) {
			target := newTestTarget(t, "t1", echo)
			target.zone = "b"
			f := &fixture{t: t, is: is.New(t), source: newFakeSource(), done: make(chan error, 1), logs: &logRecorder{}}
			operator := f.source
			if way == "start" {
				operator.evacuate("b", false)
			}
			f.run([]*testTarget{target})
			switch way {
			case sourceWatch:
				f.edge.mu.Lock()
				f.edge.noteStoreRead(time.Now().Add(time.Minute)) // no periodic read
				f.edge.mu.Unlock()
			case sourceRead:
				f.source.watchesStalled.Store(true)
			case sourceReport:
				operator = f.newPeer().source
				f.source.setFailure(errStoreAway)
			}
			status := func() int {
				resp, _, err := f.client().call("POST", "/once/")
				f.is.NoErr(err)
				f.is.Equal(resp.Header.Get("Retry-After") != "", resp.Status == 503)
				return resp.Status
			}
			if way != "start" {
				f.is.Equal(status(), 200)
				operator.evacuate("", false)
				operator.evacuate("b", false)
				f.await(func() bool { return f.edge.isEvacuated("b") })
				f.is.True(f.logs.contains(`"zone_evacuated"`, `"zone":"b"`, `"targets":1`, `"source":"`+way+`"`))
			}
			before := len(target.requests())
			f.is.Equal(status(), 503)
			f.is.Equal(len(target.requests()), before)
			f.is.True(f.logs.contains(`"request_refused"`, "zones are evacuated", "evacuated:1"))
			operator.evacuate("b", true)
			f.await(func() bool { return status() == 200 })
		})
	}
}

// Guards against a request that is sent to a zone that was evacuated after its target had been chosen.
func TestChosenTargetIsCheckedBeforeTheRequestIsSent(t *testing.T) {
	target := newTestTarget(t, "t1", echo)
	target.zone = "b"
	f := newFixture(t, target)
	f.edge.evacuatedZones.Store(&map[string]bool{"b": true}) // the choice does not know yet
	resp, _, err := f.client().call("POST", "/once/")
	f.is.NoErr(err)
	f.is.Equal(resp.Status, 503)
	f.is.Equal(ranHeader(resp), "NO")
	f.is.Equal(len(target.requests()), 0)
	f.is.True(f.logs.contains("attempt_failed", errEvacuated.Error(), "not_sent"))
}
