package edge

import (
	"net/http"
	"testing"
	"time"

	"github.com/chiveseam/chiveseam/routing"
)

// Guards against ORDER and LOST: the only target of a stream's version drains, leaves, starts again as another version or is cold, and
// the stream goes on at another version, or not any more when the target is back.
func TestStreamWaitsForTheLastTargetOfItsVersion(t *testing.T) {
	for name, c := range map[string]struct {
		change func(t *routing.Target)
		status int
	}{
		"draining":             {func(t *routing.Target) { t.Draining = true }, http.StatusServiceUnavailable},
		"started again, other": {func(t *routing.Target) { t.Version, t.StartedUnixMs = "v2", 2 }, http.StatusServiceUnavailable},
		"at another service":   {func(t *routing.Target) { t.Service = "B" }, http.StatusServiceUnavailable},
		"started again, cold":  {func(t *routing.Target) { t.StartedUnixMs, t.ColdRemaining = 2, time.Minute }, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet := newMovableFleet(t, 2, "A v1", "A v2", "A v2")
			for _, f := range fleet {
				f.setTable(movedTable(2, leadsTo("A")))
			}
			var played []*playedStream
			for i := 0; i < 20 && len(played) < 3; i++ {
				s := &playedStream{}
				if s.read(fleet[0], 2); s.wrote[0] == "A v1" {
					played = append(played, s)
				}
			}
			if len(played) == 0 {
				t.Fatal("no stream at v1")
			}
			apply := func(to routing.Target) {
				for _, f := range fleet {
					f.source.mu.Lock()
					change := TargetChange{ID: to.ID, Target: to, Revision: Revision{Number: to.Sequence + 2}}
					for i := range f.source.targets {
						if f.source.targets[i].ID == to.ID {
							f.source.targets[i] = change
						}
					}
					f.source.pendingChanges = append(f.source.pendingChanges, change)
					f.source.mu.Unlock()
					f.await(func() bool {
						f.edge.mu.Lock()
						defer f.edge.mu.Unlock()
						return f.edge.directory.targets[to.ID] == to
					})
				}
			}
			sound := fleet[0].source.targets[0].Target
			changed := sound
			changed.Sequence = 1
			c.change(&changed)
			apply(changed)
			for i, s := range played {
				if s.read(fleet[i%2], 2); s.status != c.status {
					t.Errorf("%d", s.status)
				}
			}
			sound.Sequence, sound.StartedUnixMs = 2, 3
			apply(sound)
			for i, s := range played {
				if s.read(fleet[i%2], 2); s.status != http.StatusOK {
					t.Errorf("back: %d", s.status)
				}
				if s.versionsOf("") > 1 {
					t.Errorf("of two versions: %q", s.wrote)
				}
			}
		})
	}
}
