package edge

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chiveseam/chiveseam/routing"
)

// newSource returns a store without a configuration.
func newSource() *fakeSource { return &fakeSource{revision: 1} }

// fakeSource publishes what a test sets.
type fakeSource struct {
	mu      sync.Mutex
	table   *routing.Table
	targets []TargetChange
	told    []TargetChange
	down    error
	// revision is that of the table; it is above 0 in a store without one.
	revision uint64
	// reads counts the calls that read a whole feed.
	reads atomic.Int64
	// deaf is set if watches hear nothing.
	deaf atomic.Bool
}

func (s *fakeSource) publish(table *routing.Table, targets ...routing.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table = table
	s.revision++
	s.targets = nil
	for _, t := range targets {
		s.targets = append(s.targets, TargetChange{ID: t.ID, Target: t, Revision: 1})
	}
}

// fail makes all calls fail, or none if err is nil.
func (s *fakeSource) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = err
}

// tell passes a change to the watch of targets.
func (s *fakeSource) tell(c TargetChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told = append(s.told, c)
}

func (s *fakeSource) state() (told []TargetChange, down error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	told, s.told = s.told, nil
	return told, s.down
}

func (s *fakeSource) Configuration(context.Context) (*routing.Table, uint64, error) {
	s.reads.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down != nil {
		return nil, 0, s.down
	}
	return s.table, s.revision, nil
}

func (s *fakeSource) WatchConfiguration(ctx context.Context, after uint64, wait time.Duration) (*routing.Table, uint64, error) {
	for end := time.Now().Add(wait); ctx.Err() == nil && time.Now().Before(end); pause(ctx, time.Millisecond) {
		if table, revision, err := s.changed(after); table != nil || err != nil {
			return table, revision, err
		}
	}
	return nil, after, nil
}

// changed returns the table if it is later than a revision and watches hear changes.
func (s *fakeSource) changed(after uint64) (*routing.Table, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down != nil {
		return nil, 0, s.down
	}
	if s.deaf.Load() || s.revision <= after {
		return nil, after, nil
	}
	return s.table, s.revision, nil
}

func (s *fakeSource) Targets(context.Context) ([]TargetChange, uint64, error) {
	s.reads.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targets, 1, s.down
}

func (s *fakeSource) WatchTargets(ctx context.Context, after uint64, wait time.Duration) ([]TargetChange, uint64, error) {
	for end := time.Now().Add(wait); ctx.Err() == nil && time.Now().Before(end); pause(ctx, time.Millisecond) {
		if told, down := s.state(); len(told) > 0 || down != nil {
			return told, after, down
		}
	}
	return nil, after, nil
}
