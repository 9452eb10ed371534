package edge

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/routing"
)

func (f *fixture) readiness() int {
	resp, err := http.Get("http://" + f.edge.settings.Ready + "/ready")
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// A planned stop ends readiness, still takes requests until the balancer has
// noticed, and cuts off none in progress.
func TestPlannedStopCutsNothing(t *testing.T) {
	f := newFixture(t, newStandIn(t, "t1", func(s *served) {
		if strings.HasSuffix(s.Target, "long") {
			time.Sleep(time.Second)
		}
		s.answer(200, "x")
	}))
	f.await(func() bool { return f.readiness() == 200 })
	idle, long := f.client(), f.client()
	_, _, err := idle.call("GET", "/once/")
	f.is.NoErr(err)
	f.stop()
	f.await(func() bool { return f.edge.stopping.Load() })
	f.is.Equal(f.readiness(), 503)
	resp, _, err := f.client().call("GET", "/once/")
	f.is.NoErr(err)
	f.is.Equal(resp.Status, 200)
	f.is.True(resp.Header.HasToken("Connection", "close"))
	time.Sleep(balancerNotice - 500*time.Millisecond)
	resp, _, err = long.call("GET", "/once/long")
	f.is.NoErr(err)
	f.is.Equal(resp.Status, 200)
	f.is.NoErr(<-f.done)
	f.is.True(f.logs.has(`"event":"stopped"`))
}

func TestSettingsFileIsReloaded(t *testing.T) {
	f := newFixture(t)
	path := f.edge.settings.SettingsFilePath
	text, err := os.ReadFile(path)
	f.is.NoErr(err)
	f.is.NoErr(os.WriteFile(path, append(text, "retry-min = 7\nseeds = 127.0.0.9:1\n"...), 0o600))
	f.edge.Reload()
	f.is.Equal(f.edge.settings.RetryMin, 7)
	f.is.NoErr(os.WriteFile(path, append(text, "retry-min = many\n"...), 0o600))
	f.edge.Reload()
	f.is.Equal(f.edge.settings.RetryMin, 7)
	f.is.True(f.logs.has("reload_failed"))
}

func TestSettingsAreChecked(t *testing.T) {
	is := is.New(t)
	path := t.TempDir() + "/edge.ini"
	is.NoErr(os.WriteFile(path, []byte("name = r\nzone = a\nlisten = here\nready = 127.0.0.1:1\npeer = 127.0.0.1:2\nstore = 127.0.0.1:3\nunknown = 1\ngrace = 0s\nseeds = x\n"), 0o600))
	_, err := ReadSettings(path)
	is.True(err != nil)
	for _, part := range []string{`listen = "here"`, "grace = 0s", `seeds: "x"`} {
		is.True(strings.Contains(err.Error(), part))
	}
	is.True(!strings.Contains(err.Error(), "unknown"))
	is.NoErr(os.WriteFile(path, []byte("name = r\nretry-ratio = some\n"), 0o600))
	_, err = ReadSettings(path)
	is.True(strings.Contains(err.Error(), "2"))
	is.True(strings.Contains(err.Error(), "retry-ratio"))
}

func TestSeedsTakeThePeerPort(t *testing.T) {
	is := is.New(t)
	s := Settings{Peer: "10.0.0.1:7400", Seeds: "10.0.0.2:8785,10.0.0.3:8785"}
	seeds, err := s.SeedAddresses()
	is.NoErr(err)
	is.Equal(len(seeds), 2)
	is.Equal(seeds[0].String(), "10.0.0.2:7400")
}

var target1 = routing.Target{ID: "i-1", Service: "s", Address: "a:1", StartedUnixMs: 1, Sequence: 1}

func TestDirectoryKeepsWhatLapsedWithTheStore(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	d := newDirectory(2 * time.Second)
	is.Equal(len(d.replace(now, []TargetChange{{ID: "i-1", Target: target1}})), 1)
	d.back(now)
	is.Equal(len(d.change(now.Add(time.Second), TargetChange{ID: "i-1", Removed: true})), 0)
	is.Equal(len(d.expire(now.Add(1900*time.Millisecond))), 0)
	back := target1
	back.Sequence = 2
	is.Equal(len(d.change(now.Add(1950*time.Millisecond), TargetChange{ID: "i-1", Target: back})), 0)
	is.Equal(len(d.expire(now.Add(3*time.Second))), 0)
	is.Equal(len(d.replace(now.Add(4*time.Second), nil)), 1) // the store is steady: gone at once
}

func TestDirectoryGivesUpWhatStaysAway(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	d := newDirectory(2 * time.Second)
	d.replace(now, []TargetChange{{ID: "i-1", Target: target1}})
	d.back(now)
	d.replace(now, nil)
	events := d.expire(now.Add(2 * time.Second))
	is.Equal(len(events), 1)
	is.True(events[0].removed)
}

func TestDirectoryIgnoresEarlierReports(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	d := newDirectory(2 * time.Second)
	draining := target1
	draining.Sequence, draining.Draining = 5, true
	d.change(now, TargetChange{ID: "i-1", Target: draining})
	is.Equal(len(d.change(now, TargetChange{ID: "i-1", Target: target1})), 0)
	is.True(d.targets["i-1"].Draining)
	reborn := routing.Target{ID: "i-1", Service: "s", Address: "a:2", StartedUnixMs: 2, Sequence: 1}
	is.Equal(len(d.change(now, TargetChange{ID: "i-1", Target: reborn})), 1)
}

// The time of the store's return is that of the first answer, not that of the
// next change: a target that leaves later is gone at once.
func TestTargetThatLeavesAfterTheStoresReturnIsGoneAtOnce(t *testing.T) {
	target := newStandIn(t, "t1", echo)
	f := newFixture(t, target)
	f.source.fail(ErrStoreBusy)
	f.await(func() bool { return f.logs.has("store_lost", "targets") })
	time.Sleep(longAbsence)
	f.source.fail(nil)
	f.await(func() bool { return f.logs.has("store_back", "targets") })
	f.edge.mu.Lock()
	f.edge.directory.returned = f.edge.directory.returned.Add(-2 * time.Second)
	f.edge.mu.Unlock()
	f.source.tell(TargetChange{ID: "t1", Removed: true, Revision: 2})
	f.await(func() bool { return f.logs.has("target_gone", "t1") })
}

// Pattern: all routers of a large fleet start at once (power loss), and each knows
// few of the others yet. None asks more than a few engines.
func TestRouterAsksFewEngines(t *testing.T) {
	f := newFixture(t)
	f.edge.apply(routing.NewTable(2, nil, []routing.Service{{Name: "llm", Engine: &routing.Engine{Slots: 16}}}, routing.Limits{}, nil), 1)
	var changes []TargetChange
	for i := range 140 {
		id := fmt.Sprint("e", i)
		changes = append(changes, TargetChange{ID: id, Target: routing.Target{ID: id, Service: "llm", Address: "a:1"}})
	}
	f.edge.updateTargets(changes, false, 0)
	f.is.Equal(len(f.edge.rankedEngines()), 140)
	f.is.Equal(len(f.edge.ownEngines()), maxAsked)
}
