package edge

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chiveseam/chiveseam/evacuation"
	"github.com/chiveseam/chiveseam/routing"
)

// newFakeSource returns a source without a configuration.
func newFakeSource() *fakeSource { return &fakeSource{revision: Revision{Number: 1}} }

// fakeSource is a Source that publishes what the test sets. It is safe for concurrent use.
type fakeSource struct {
	mu      sync.Mutex
	table   *routing.Table
	targets []TargetChange
	// pendingChanges are delivered by the next call of WatchTargets, and sentChanges all that were sent so far: each has a
	// revision of its own in the store, the first one 2.
	pendingChanges, sentChanges []TargetChange
	// hidden is set if watches do not deliver pendingChanges.
	hidden bool
	// pastTargets are changes of registrations before targets, and historyLost is set if the store has
	// discarded all changes.
	pastTargets []TargetChange
	historyLost bool
	// evacuations are all changes of evacuations so far, and keys those in force.
	evacuations, keys []evacuation.Change
	// failure is the error of all calls; nil lets them succeed.
	failure error
	// revision is the revision of the last change, and tableAt that of the table. They are above 0 even
	// without one.
	revision, tableAt Revision
	// reads counts the calls of Configuration and Targets.
	reads atomic.Int64
	// confirmations counts the calls of MissedTargetChanges. silent keeps these from returning.
	confirmations atomic.Int64
	silent        atomic.Bool
	// watchesStalled keeps WatchConfiguration from delivering changes.
	watchesStalled atomic.Bool
}

// publish replaces the configuration and the list of targets.
func (s *fakeSource) publish(table *routing.Table, targets ...routing.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table = table
	s.revision.Number++
	s.tableAt = s.revision
	s.targets = nil
	for _, t := range targets {
		s.targets = append(s.targets, TargetChange{ID: t.ID, Target: t, Revision: Revision{Number: 1}})
	}
}

// setFailure makes all calls fail with err, or succeed if it is nil.
func (s *fakeSource) setFailure(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failure = err
}

// sendChange delivers a change to WatchTargets.
func (s *fakeSource) sendChange(c TargetChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pendingChanges = append(s.pendingChanges, c)
}

// silence keeps calls of MissedTargetChanges from returning, or lets them return again.
func (s *fakeSource) silence(silent bool) { s.silent.Store(silent) }

// hideChanges makes changes that the store has, and that no watch delivers.
func (s *fakeSource) hideChanges(changes ...TargetChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hidden = true
	s.pendingChanges = append(s.pendingChanges, changes...)
}

// replaceTarget removes a registration and adds another one.
func (s *fakeSource) replaceTarget(id string, added routing.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changes := []TargetChange{{ID: id, Removed: true, Revision: Revision{Number: 2}}, {ID: added.ID, Target: added, Revision: Revision{Number: 2}}}
	s.pendingChanges = append(s.pendingChanges, changes...)
	s.targets = slices.DeleteFunc(s.targets, func(c TargetChange) bool { return c.ID == id })
	s.targets = append(s.targets, changes[1])
}

// takeChanges returns the pending changes once, the revision that they lead to, and the failure.
func (s *fakeSource) takeChanges() (changes []TargetChange, next Revision, failure error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failure != nil || s.hidden {
		return nil, s.delivered(), s.failure
	}
	changes, s.pendingChanges = s.pendingChanges, nil
	s.sentChanges = append(s.sentChanges, changes...)
	return changes, s.delivered(), nil
}

// evacuate requests the evacuation of a zone, or ends it.
func (s *fakeSource) evacuate(zone string, ended bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision.Number++
	c := evacuation.Change{Zone: zone, Ended: ended, Revision: s.revision}
	s.evacuations = append(s.evacuations, c)
	s.keys = slices.DeleteFunc(slices.Clone(s.keys), func(k evacuation.Change) bool { return k.Zone == zone })
	if !ended {
		s.keys = append(s.keys, c)
	}
}

func (s *fakeSource) Configuration(context.Context) (Publication, Revision, error) {
	s.reads.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failure != nil {
		return Publication{}, Revision{}, s.failure
	}
	return Publication{Table: s.table, Evacuations: s.keys, Changes: 1}, s.revision, nil
}

// changesAfter returns the changes after a revision.
func changesAfter(changes []evacuation.Change, after Revision) []evacuation.Change {
	return slices.DeleteFunc(slices.Clone(changes), func(c evacuation.Change) bool { return c.Revision.Compare(after) <= 0 })
}

func (s *fakeSource) WatchConfiguration(ctx context.Context, after Revision, wait time.Duration) (Publication, Revision, error) {
	for end := time.Now().Add(wait); ctx.Err() == nil && time.Now().Before(end); sleep(ctx, time.Millisecond) {
		if p, revision, err := s.changed(after); p.Changes > 0 || err != nil {
			return p, revision, err
		}
	}
	return Publication{}, after, nil
}

// changed returns what is newer than a revision if watches are not stalled.
func (s *fakeSource) changed(after Revision) (Publication, Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failure != nil {
		return Publication{}, Revision{}, s.failure
	}
	if s.watchesStalled.Load() || s.revision.Compare(after) <= 0 {
		return Publication{}, after, nil
	}
	p := Publication{Evacuations: changesAfter(s.evacuations, after), Changes: 1}
	if s.tableAt.Compare(after) > 0 {
		p.Table = s.table
	}
	return p, s.revision, nil
}

func (s *fakeSource) Targets(context.Context) ([]TargetChange, Revision, error) {
	s.reads.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targets, s.delivered(), s.failure
}

// newest returns the newest revision of the registrations, and delivered that up to which watches have delivered them. The
// caller holds s.mu.
func (s *fakeSource) newest() Revision {
	return Revision{Epoch: s.revision.Epoch, Number: uint64(1 + len(s.sentChanges) + len(s.pendingChanges))}
}

func (s *fakeSource) delivered() Revision {
	return Revision{Epoch: s.revision.Epoch, Number: uint64(1 + len(s.sentChanges))}
}

func (s *fakeSource) MissedTargetChanges(ctx context.Context, after Revision) ([]TargetChange, Revision, error) {
	s.confirmations.Add(1)
	sleep(ctx, 4*time.Millisecond)
	if s.silent.Load() {
		<-ctx.Done()
		return nil, Revision{}, ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := s.newest()
	switch {
	case s.failure != nil:
		return nil, Revision{}, s.failure
	case s.historyLost && after.Number < newest.Number || after.Epoch != newest.Epoch:
		return nil, Revision{}, ErrHistoryLost
	}
	return slices.Concat(s.sentChanges, s.pendingChanges)[after.Number-1:], newest, nil
}

func (s *fakeSource) TargetHistory(context.Context) (TargetHistory, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failure == nil && s.historyLost {
		return TargetHistory{Until: s.delivered()}, nil
	}
	var history []PastChange
	for _, c := range append(slices.Clone(s.pastTargets), s.targets...) {
		history = append(history, PastChange{TargetChange: c, New: true})
	}
	return TargetHistory{Changes: history, Whole: true, Until: s.delivered()}, s.failure
}

func (s *fakeSource) WatchTargets(ctx context.Context, after Revision, wait time.Duration) ([]TargetChange, Revision, error) {
	for end := time.Now().Add(wait); ctx.Err() == nil && time.Now().Before(end); sleep(ctx, time.Millisecond) {
		if changes, next, failure := s.takeChanges(); len(changes) > 0 || failure != nil {
			return changes, next, failure
		}
	}
	return nil, after, nil
}
