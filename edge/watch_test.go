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
)

var errStoreAway = errors.New("store is away")

// storeTimes plays feeds of a store in virtual time and records when it was called.
type storeTimes struct {
	mu    sync.Mutex
	away  bool
	calls int
	// read tells when each feed was last read.
	read map[string]time.Time
}

// leave lets the store go away or return, and counts calls anew.
func (s *storeTimes) leave(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away, s.calls = away, 0
}

func (s *storeTimes) feed(name string) feed[int] {
	call := func() (int, uint64, error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.calls++
		if s.away {
			return 0, 0, errStoreAway
		}
		return 1, 7, nil
	}
	return feed[int]{
		name: name, rests: &atomic.Int64{},
		read: func(context.Context) (int, uint64, error) { return call() },
		watch: func(ctx context.Context, _ uint64, _ time.Duration) (int, uint64, error) {
			pause(ctx, 100*time.Millisecond)
			return call()
		},
		apply: func(int, uint64, bool, time.Duration) bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.read[name] = time.Now()
			return false
		},
	}
}

// While the store is away all routers press it when it returns, and refused calls
// count: only one duty of a router tries. All are current within the three seconds
// after the return in which no bound holds yet.
func TestAbsentStoreIsTriedByOneDuty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		e := &Edge{logger: log.NewNopLogger()}
		s := &storeTimes{read: map[string]time.Time{}}
		names := []string{"first", "second", "third"}
		for _, name := range names {
			go follow(ctx, e, s.feed(name))
		}
		time.Sleep(time.Second)
		synctest.Wait()
		s.leave(true)
		time.Sleep(30 * time.Second)
		synctest.Wait()
		t.Logf("%d calls in 30 s of absence", s.calls)
		is.True(s.calls <= 60) // two a second for a whole router
		s.leave(false)
		returned := time.Now()
		time.Sleep(3 * time.Second)
		synctest.Wait()
		for _, name := range names {
			is.True(s.read[name].After(returned)) // read anew
		}
		cancel()
		synctest.Wait()
	})
}

// A watch may hear nothing while changes are made.
func TestDeafWatchIsFoundByReads(t *testing.T) {
	f := newFixture(t)
	f.source.deaf.Store(true)
	f.source.publish(testTable(2))
	f.await(func() bool { return f.edge.table.Load().Version == 2 })
	f.is.True(f.logs.has("watch_behind", "configuration"))
}

// Routers that let changes gather are behind others for a moment, which is no reason
// to read the store.
func TestGatheringWatchIsNotTakenAsDeaf(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		source := newSource()
		e := &Edge{logger: log.NewNopLogger(), source: source, directory: newDirectory(0)}
		e.told.Store(9)
		e.targetsRest.Store(time.Now().Add(maxWatchPause).UnixNano())
		time.AfterFunc(maxWatchPause, func() { e.newest.Store(9) })
		is.True(!e.stillBehind(t.Context()))
		e.told.Store(10)
		is.True(e.stillBehind(t.Context()))
		is.NoErr(e.readNewer(t.Context()))
		is.Equal(source.reads.Load(), int64(1)) // only what is behind
	})
}

// When no watch of the fleet hears anything, the first router that reads the store
// tells the others, who must have the change in force within two seconds: a watch that
// is not gathering changes has had its chance after hearTime.
func TestDeafWatchIsGivenUpSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := &Edge{logger: log.NewNopLogger(), source: newSource()}
		e.table.Store(testTable(1))
		e.toldVersion.Store(2)
		told := time.Now()
		is.True(e.stillBehind(t.Context()))
		is.True(time.Since(told) <= 300*time.Millisecond)
	})
}

// One router reads the store in each period: the others are told of it.
func TestReadOfAnotherRouterCounts(t *testing.T) {
	f := newFixture(t)
	e := f.edge
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.readAt(now)
	e.readAt(now.Add(-time.Second))
	f.is.Equal(e.lastRead, now) // the newest counts
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	f := newFixture(t)
	f.edge.apply(testTable(7), 2)
	f.edge.apply(testTable(5), 3)
	f.is.Equal(f.edge.table.Load().Version, uint64(7))
}
