package edge

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/streams"
)

var errStoreAway = errors.New("store is unreachable")

// fakeStore provides feeds in virtual time and records when they were read.
type fakeStore struct {
	mu    sync.Mutex
	away  bool
	calls int
	// lastRead holds when each feed was last applied. mu guards all fields.
	lastRead map[string]time.Time
}

// setAway makes the store unreachable or reachable, and sets the count of calls to 0.
func (s *fakeStore) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away, s.calls = away, 0
}

// feed returns a feed whose watch calls take 100 ms.
func (s *fakeStore) feed(name string) feed[int] {
	call := func() (int, Revision, error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.calls++
		if s.away {
			return 0, Revision{}, errStoreAway
		}
		return 1, Revision{Number: 7}, nil
	}
	return feed[int]{
		name: name, pausedUntil: &atomic.Int64{},
		read: func(context.Context) (int, Revision, error) { return call() },
		watch: func(ctx context.Context, _ Revision, _ time.Duration) (int, Revision, error) {
			sleep(ctx, 100*time.Millisecond)
			return call()
		},
		apply: func(int, Revision, bool, time.Duration) bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.lastRead[name] = time.Now()
			return false
		},
	}
}

// Failure: all tasks of all routers call a store that is away, use up its rate limit, to which
// refused calls count, and delay the first read after its return. Only one task of each router may
// retry, and all feeds must be read within three seconds of the return, since from then on changes
// must be in force within two seconds again.
func TestOneTaskRetriesUnavailableStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		e := &Edge{logger: log.NewNopLogger()}
		s := &fakeStore{lastRead: map[string]time.Time{}}
		names := []string{"first", "second", "third"}
		for _, name := range names {
			go follow(ctx, e, s.feed(name))
		}
		time.Sleep(time.Second)
		synctest.Wait()
		s.setAway(true)
		time.Sleep(30 * time.Second)
		synctest.Wait()
		t.Logf("%d calls during an outage of 30 s", s.calls)
		is.True(s.calls <= 60) // at most two calls per second for the whole router
		s.setAway(false)
		returned := time.Now()
		time.Sleep(3 * time.Second)
		synctest.Wait()
		for _, name := range names {
			is.True(s.lastRead[name].After(returned)) // read again after the outage
		}
		cancel()
		synctest.Wait()
	})
}

// Failure: a watch stalls and delivers no changes. The periodic reads must find them.
func TestStalledWatchIsDetectedByReads(t *testing.T) {
	f := newFixture(t)
	f.source.watchesStalled.Store(true)
	f.source.publish(testTable(2))
	f.await(func() bool { return f.edge.table.Load().Version == 2 })
	f.is.True(f.logs.contains("watch_behind", "configuration"))
}

// A watch that pauses to batch changes is behind other routers for a moment. That alone must not
// cause a read of the store.
func TestBatchingWatchIsNotTakenAsStalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		source := newFakeSource()
		e := &Edge{logger: log.NewNopLogger(), source: source, directory: newDirectory(0), origins: streams.New(time.Now())}
		e.peerTargetsRevision.raise(Revision{Number: 9})
		e.targetsPausedUntil.Store(time.Now().Add(maxBatchPause).UnixNano())
		time.AfterFunc(maxBatchPause, func() { e.targetsRevision.raise(Revision{Number: 9}) })
		is.True(!e.stillBehind(t.Context()))
		e.peerTargetsRevision.raise(Revision{Number: 10})
		is.True(e.stillBehind(t.Context()))
		is.NoErr(e.readOutdated(t.Context()))
		is.Equal(source.reads.Load(), int64(1)) // only the targets are read
	})
}

// Failure: no watch of the fleet delivers a change. The first router that reads the store reports
// it, and the others must have it in force within two seconds of the change. So a router may wait at
// most watchDelay for its own watch, unless that watch pauses to batch changes.
func TestStalledWatchIsDetectedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := &Edge{logger: log.NewNopLogger(), source: newFakeSource()}
		e.table.Store(testTable(1))
		e.peerConfigurationVersion.Store(2)
		start := time.Now()
		is.True(e.stillBehind(t.Context()))
		is.True(time.Since(start) <= 300*time.Millisecond)
	})
}

// One router reads the store in each period and reports the time. The newest of the reported times
// counts.
func TestNewestStoreReadCounts(t *testing.T) {
	f := newFixture(t)
	e := f.edge
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.noteStoreRead(now)
	e.noteStoreRead(now.Add(-time.Second))
	f.is.Equal(e.lastStoreRead, now) // an older read changes nothing
}

// A configuration with an older version must not replace the one in force.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	f := newFixture(t)
	f.edge.applyTable(testTable(7), Revision{Number: 2})
	f.edge.applyTable(testTable(5), Revision{Number: 3})
	f.is.Equal(f.edge.table.Load().Version, uint64(7))
}
