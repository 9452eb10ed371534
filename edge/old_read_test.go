package edge

import (
	"testing"

	"github.com/chiveseam/chiveseam/routing"
)

// Guards against DRAIN: a complete read of the store that began before a target was removed, or said that it leaves,
// ends after the watch told of that, and puts the target back in use. It happens in zones whose routers do not share
// the reading.
func TestOldReadDoesNotUndoANewerWatch(t *testing.T) {
	first, second := newTestTarget(t, "t1", echo), newTestTarget(t, "t2", echo)
	f := newFixture(t, first, second)
	at := func(n uint64) Revision { return Revision{Number: n} }
	list := []TargetChange{{ID: "t1", Target: first.registration(), Revision: at(5)}, {ID: "t2", Target: second.registration(), Revision: at(6)}}
	draining := second.registration()
	draining.Draining = true
	f.edge.registrationsRead(list, at(10), true, 0)
	f.edge.registrationsRead([]TargetChange{{ID: "t1", Removed: true, Revision: at(12)}, {ID: "t2", Target: draining, Revision: at(13)}}, at(13), false, 0)
	used := func(id string) (routing.Target, bool) {
		f.edge.mu.Lock()
		defer f.edge.mu.Unlock()
		target, ok := f.edge.directory.targets[id]
		return target, ok
	}
	for _, read := range []uint64{11, 12} {
		f.edge.registrationsRead(list, at(read), true, 0)
		_, ok := used("t1")
		f.is.True(!ok)
		left, ok := used("t2")
		f.is.True(ok && left.Draining)
	}
	// A later read counts.
	f.edge.registrationsRead([]TargetChange{{ID: "t1", Target: first.registration(), Revision: at(14)}}, at(14), true, 0)
	_, ok := used("t1")
	f.is.True(ok)
	_, ok = used("t2")
	f.is.True(!ok)
}
