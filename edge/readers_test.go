package edge

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"google.golang.org/protobuf/proto"

	"github.com/chiveseam/chiveseam/evacuation"
	"github.com/chiveseam/chiveseam/exchange"
	"github.com/chiveseam/chiveseam/linkbudget"
	"github.com/chiveseam/chiveseam/placement"
	"github.com/chiveseam/chiveseam/poison"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/routing"
	"github.com/chiveseam/chiveseam/streams"
)

const (
	// obeyTime is the time after the store's acknowledgement within which all routers in contact obey a
	// registration that says draining or is removed; contactTime is contact_ms of the deployments.
	obeyTime    = 2 * time.Second
	contactTime = 4 * time.Second
	// lapsedTime is the time after the store's return within which lapsed registrations are made again.
	lapsedTime    = 2 * time.Second
	readerZones   = 3
	readerTargets = 60
)

// readersFleet is a fleet of routers in zones, whose datagrams the test delivers.
type readersFleet struct {
	store *sharedStore
	// mu guards random, running and awayNow.
	mu     sync.Mutex
	random *rand.Rand
	// running holds the routers, as datagrams find them; only the test uses routers and stop.
	running []*Edge
	routers []*Edge
	stop    []context.CancelFunc
	index   map[netip.AddrPort]int
	// undisturbed is when each router last came into contact.
	undisturbed []time.Time
	// refused says of a router that the store refuses its calls, silent that they get no answer, dead that
	// it does not run.
	refused, silent, dead []atomic.Bool
	// cutB is set while zone b is cut off from the others.
	cutB atomic.Bool
	// away is set while the store does not answer; awayNow is closed when that begins.
	away      atomic.Bool
	awayNow   chan struct{}
	compacted atomic.Uint64
	// calls counts the calls for registrations.
	calls atomic.Int64
	// shared is set if the routers share the reading.
	shared  bool
	pending []pendingChange
	// slowest is the longest time after which a router obeyed a change.
	slowest  time.Duration
	sequence uint64
}

// draw returns a random number below n.
func (f *readersFleet) draw(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

// pendingChange is a change that not all routers obey yet.
type pendingChange struct {
	id string
	at time.Time
}

// zonedSource is the store as a router of the fleet calls it.
type zonedSource struct {
	routerSource
	f *readersFleet
}

// allow waits for an answer and returns the error of a call.
func (s zonedSource) allow(ctx context.Context, wait time.Duration) error {
	switch {
	case s.f.refused[s.router].Load():
		sleep(ctx, 2*time.Millisecond)
		return ErrStoreBusy
	case s.f.silent[s.router].Load():
		sleep(ctx, wait+700*time.Millisecond)
		return errStoreAway
	case s.f.away.Load():
		sleep(ctx, 2*time.Millisecond)
		return errStoreAway
	}
	return ctx.Err()
}

// guarded makes a call that a fault may stop before or after it.
func guarded[T any](ctx context.Context, s zonedSource, wait time.Duration, call func(context.Context) (T, Revision, error)) (T, Revision, error) {
	ctx, cancel := s.f.untilAway(ctx)
	defer cancel()
	if err := s.allow(ctx, wait); err != nil {
		var none T
		return none, Revision{}, err
	}
	value, revision, err := call(ctx)
	return value, revision, errors.Join(err, s.allow(ctx, wait))
}

func (s zonedSource) Configuration(ctx context.Context) (Publication, Revision, error) {
	return guarded(ctx, s, 0, s.routerSource.Configuration)
}

func (s zonedSource) Targets(ctx context.Context) ([]TargetChange, Revision, error) {
	s.f.calls.Add(1)
	return guarded(ctx, s, 0, s.routerSource.Targets)
}

func (s zonedSource) WatchConfiguration(ctx context.Context, after Revision, wait time.Duration) (Publication, Revision, error) {
	return guarded(ctx, s, wait, func(ctx context.Context) (Publication, Revision, error) {
		return s.routerSource.WatchConfiguration(ctx, after, wait)
	})
}

func (s zonedSource) WatchTargets(ctx context.Context, after Revision, wait time.Duration) ([]TargetChange, Revision, error) {
	s.f.calls.Add(1)
	return guarded(ctx, s, wait, func(ctx context.Context) ([]TargetChange, Revision, error) {
		if after.Number < s.f.compacted.Load() {
			return nil, Revision{}, ErrHistoryLost
		}
		return s.routerSource.WatchTargets(ctx, after, wait)
	})
}

// untilAway returns a context that ends with ctx or when the store goes away.
func (f *readersFleet) untilAway(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	f.mu.Lock()
	awayNow := f.awayNow
	f.mu.Unlock()
	go func() {
		select {
		case <-ctx.Done():
		case <-awayNow:
			cancel()
		}
	}()
	return ctx, cancel
}

// readersConn is the socket of a router of the fleet.
type readersConn struct {
	f    *readersFleet
	from int
	last *decodedReport
}

// decodedReport is the last report that was sent, which is decoded once for all receivers.
type decodedReport struct {
	mu      sync.Mutex
	message []byte
	report  *v1.LoadReport
}

func (c readersConn) decode(b []byte) *v1.LoadReport {
	c.last.mu.Lock()
	defer c.last.mu.Unlock()
	if len(b) != len(c.last.message) || &b[0] != &c.last.message[0] {
		c.last.message, c.last.report = b, &v1.LoadReport{}
		if err := proto.Unmarshal(b, c.last.report); err != nil {
			panic(err)
		}
	}
	return c.last.report
}

func (c readersConn) ReadFromUDPAddrPort([]byte) (int, netip.AddrPort, error) {
	return 0, netip.AddrPort{}, nil
}
func (c readersConn) Close() error { return nil }

func (c readersConn) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	f := c.f
	k := f.index[to]
	cut := f.cutB.Load() && (zoneOf(c.from) == "b") != (zoneOf(k) == "b")
	if f.draw(100) < 3 || cut || f.dead[k].Load() || f.dead[c.from].Load() {
		return len(b), nil
	}
	report := c.decode(b)
	time.AfterFunc(time.Duration(1+f.draw(3))*time.Millisecond, func() {
		f.mu.Lock()
		receiver := f.running[k]
		f.mu.Unlock()
		if !f.dead[k].Load() {
			origin := reportOrigin(report, fleetAddress(c.from))
			if report.Forward {
				receiver.forwardReport(b, origin)
			}
			receiver.mergeReport(origin, report, len(b))
		}
	})
	return len(b), nil
}

// zoneOf returns the zone of router i.
func zoneOf(i int) string { return string(rune('a' + i%readerZones)) }

// start starts router i, which knows nothing.
func (f *readersFleet) start(ctx context.Context, i int) {
	now, zone, name := time.Now(), zoneOf(i), fmt.Sprint("r", i)
	e := &Edge{
		settings: &Settings{Name: name, Zone: zone, Peer: fleetAddress(i).String()}, logger: log.NewNopLogger(), metrics: newMetrics(),
		source: zonedSource{routerSource{f.store, i}, f}, started: now, directory: newDirectory(lapsedTime), targetConns: newConnPool(0),
		balancer: placement.New(placement.Options{Router: name, Zone: zone, ShareWindow: 4 * time.Second, PeerTimeout: peerTimeout}),
		poison:   poison.New(now), origins: streams.New(now), evacuations: evacuation.New(), originWaiters: map[streams.ID]chan struct{}{},
		link: linkbudget.New(1000), members: exchange.New(fleetAddress(i), zone, now, peerTimeout, uint64(i+1)), wakeProbe: make(chan struct{}, 1),
		reportConn: readersConn{f, i, &decodedReport{}},
	}
	e.members.SetSeeds([]netip.AddrPort{fleetAddress(0), fleetAddress(1), fleetAddress(2), fleetAddress(3)})
	ctx, cancel := context.WithCancel(ctx)
	f.routers[i], f.stop[i], f.undisturbed[i] = e, cancel, now
	f.mu.Lock()
	f.running[i] = e
	f.mu.Unlock()
	f.dead[i].Store(false)
	tasks := []func(context.Context) error{e.watchConfiguration, e.watchTargets, e.probeStore, e.sendReports}
	if f.shared {
		tasks = append(tasks, e.chooseReaders)
	}
	for _, task := range tasks {
		go task(ctx)
	}
	go func() {
		for ctx.Err() == nil {
			sleep(ctx, sweepInterval)
			e.expireTargets()
		}
	}()
}

// newReadersFleet starts a fleet with n routers in each zone.
func newReadersFleet(ctx context.Context, n int, seed uint64, shared bool) *readersFleet {
	total := n * readerZones
	f := &readersFleet{
		store: newSharedStore(seed), random: rand.New(rand.NewPCG(seed, 3)), routers: make([]*Edge, total), running: make([]*Edge, total), stop: make([]context.CancelFunc, total),
		undisturbed: make([]time.Time, total), index: map[netip.AddrPort]int{}, refused: make([]atomic.Bool, total), silent: make([]atomic.Bool, total),
		dead: make([]atomic.Bool, total), awayNow: make(chan struct{}), shared: shared,
	}
	f.store.setTable(1)
	for i := range readerTargets {
		f.register(fmt.Sprint("t", i), false)
	}
	for i := range total {
		f.index[fleetAddress(i)] = i
	}
	for i := range total {
		f.start(ctx, i)
	}
	return f
}

func (f *readersFleet) register(id string, draining bool) {
	f.sequence++
	f.store.setTarget(routing.Target{ID: id, Service: "s", Address: "10.9.0.1:80", Zone: "a", StartedUnixMs: 1, Sequence: f.sequence, Draining: draining})
}

// retire makes a registration say draining, or removes it. The target comes back after obeyTime.
func (f *readersFleet) retire() {
	id := fmt.Sprint("t", f.draw(readerTargets))
	if slices.ContainsFunc(f.pending, func(p pendingChange) bool { return p.id == id }) {
		return
	}
	f.pending = append(f.pending, pendingChange{id, time.Now()})
	if f.draw(2) == 0 {
		f.store.removeTarget(id)
		return
	}
	f.register(id, true)
}

// uses reports whether a router sends requests to a target.
func uses(e *Edge, id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	t, ok := e.directory.targets[id]
	return ok && !t.Draining
}

// inContact reports whether a router ran and had the store for contactTime.
func (f *readersFleet) inContact(i int) bool {
	if f.dead[i].Load() || f.refused[i].Load() || f.silent[i].Load() || f.away.Load() {
		f.undisturbed[i] = time.Now()
	}
	return time.Since(f.undisturbed[i]) >= contactTime
}

// play lets the fleet run for a time with a retired target every so often (0: none), and checks that all
// routers in contact obey in time.
func (f *readersFleet) play(t *testing.T, d, every time.Duration) {
	t.Helper()
	const step = 50 * time.Millisecond
	next := time.Now().Add(every)
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(step) {
		if every > 0 && !time.Now().Before(next) {
			next = next.Add(every)
			f.retire()
		}
		f.check(t)
	}
}

func (f *readersFleet) check(t *testing.T) {
	t.Helper()
	contact := make([]bool, len(f.routers))
	for i := range f.routers {
		contact[i] = f.inContact(i)
	}
	var left []pendingChange
	for _, p := range f.pending {
		age := time.Since(p.at)
		for i, e := range f.routers {
			if contact[i] && uses(e, p.id) {
				f.slowest = max(f.slowest, age)
				if age > obeyTime {
					t.Errorf("router %d uses %s %v after it left", i, p.id, age)
				}
			}
		}
		if age <= obeyTime {
			left = append(left, p)
			continue
		}
		f.register(p.id, false)
	}
	f.pending = left
}

// disturb plays 5 s in which the routers that which selects are marked.
func (f *readersFleet) disturb(t *testing.T, marks []atomic.Bool, which func(i int, e *Edge) bool) {
	for i, e := range f.routers {
		marks[i].Store(which(i, e))
	}
	f.play(t, 5*time.Second, 400*time.Millisecond)
	for i := range marks {
		marks[i].Store(false)
	}
}

// isReader reports whether a router passes changes on.
func isReader(_ int, e *Edge) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.readers.passOn
}

func (f *readersFleet) followers() int {
	n := 0
	for _, e := range f.routers {
		if follows, _ := e.followsReaders(); follows {
			n++
		}
	}
	return n
}

// readerFaults are the faults of the readers, the store and the links.
var readerFaults = map[string]func(t *testing.T, ctx context.Context, f *readersFleet){
	"both readers killed": func(t *testing.T, ctx context.Context, f *readersFleet) {
		var killed []int
		f.disturb(t, f.dead, func(i int, e *Edge) bool {
			if isReader(i, e) {
				killed = append(killed, i)
				f.stop[i]()
			}
			return isReader(i, e)
		})
		for _, i := range killed {
			f.start(ctx, i)
		}
	},
	"readers cut off silently": func(t *testing.T, _ context.Context, f *readersFleet) { f.disturb(t, f.silent, isReader) },
	"a reader cut off": func(t *testing.T, _ context.Context, f *readersFleet) {
		zones := map[string]bool{}
		f.disturb(t, f.silent, func(i int, e *Edge) bool {
			first := isReader(i, e) && !zones[zoneOf(i)]
			zones[zoneOf(i)] = zones[zoneOf(i)] || first
			return first
		})
	},
	"a third refused": func(t *testing.T, _ context.Context, f *readersFleet) {
		f.disturb(t, f.refused, func(i int, e *Edge) bool { return isReader(i, e) || i/readerZones%3 == 0 })
	},
	"history compacted": func(t *testing.T, _ context.Context, f *readersFleet) {
		for range 5 {
			f.compacted.Store(f.store.copy().number)
			f.play(t, time.Second, 300*time.Millisecond)
		}
	},
	"a zone cut off": func(t *testing.T, _ context.Context, f *readersFleet) {
		f.cutB.Store(true)
		f.disturb(t, f.silent, func(i int, _ *Edge) bool { return zoneOf(i) == "b" })
		f.cutB.Store(false)
	},
	"all restarted": func(t *testing.T, ctx context.Context, f *readersFleet) {
		for i := range f.routers {
			f.stop[i]()
			f.start(ctx, i)
		}
		f.play(t, 5*time.Second, 400*time.Millisecond)
	},
	"store away":     playStoreAway,
	"store restored": playRestoredStore,
}

// playStoreAway takes the store away for 4.5 s. A third of the registrations has lapsed at its return and is
// made again within lapsedTime; no router may drop a target meanwhile.
func playStoreAway(t *testing.T, _ context.Context, f *readersFleet) {
	f.play(t, 3*time.Second, 0)
	f.away.Store(true)
	close(f.awayNow)
	time.Sleep(4500 * time.Millisecond)
	f.mu.Lock()
	f.awayNow = make(chan struct{})
	f.mu.Unlock()
	f.away.Store(false)
	returned := time.Now()
	for i := 0; i < readerTargets; i += 3 {
		f.store.removeTarget(fmt.Sprint("t", i))
	}
	back := 0
	for ; time.Since(returned) < 4*time.Second; time.Sleep(50 * time.Millisecond) {
		for ; back < readerTargets && time.Since(returned) >= time.Duration(back)*1900*time.Millisecond/readerTargets; back += 3 {
			f.register(fmt.Sprint("t", back), false)
		}
		for i, e := range f.routers {
			for k := 0; k < readerTargets; k += 3 {
				if !uses(e, fmt.Sprint("t", k)) {
					t.Fatalf("router %d has dropped t%d %v after the store's return", i, k, time.Since(returned))
				}
			}
		}
		for i := range f.routers {
			f.inContact(i)
		}
	}
}

// playRestoredStore restores the store from a copy two seconds old. No router may take back a target that
// has left, or drop one that had registered and registers again.
func playRestoredStore(t *testing.T, _ context.Context, f *readersFleet) {
	f.play(t, 3*time.Second, 0)
	older := f.store.copy()
	f.register("comes", false)
	f.store.removeTarget("t0")
	time.Sleep(2 * time.Second)
	f.store.restore(older)
	restored := time.Now()
	for ; time.Since(restored) < 5*time.Second; time.Sleep(50 * time.Millisecond) {
		if since := time.Since(restored); since >= 700*time.Millisecond && since < 750*time.Millisecond {
			f.register("comes", false)
		} else if since >= 1500*time.Millisecond && since < 1550*time.Millisecond {
			f.store.removeTarget("t0")
		}
		for i, e := range f.routers {
			if !uses(e, "comes") || uses(e, "t0") {
				t.Fatalf("router %d: comes %v, t0 %v, %v after the restore", i, uses(e, "comes"), uses(e, "t0"), time.Since(restored))
			}
		}
	}
}

// readersSeed is the seed of the faults of readers.
var readersSeed uint64 = 1

func init() {
	flag.Uint64Var(&readersSeed, "readers.seed", 1, "seed of the faults of readers of the store")
}

// Guards against followers that learn of a change late or never, or drop a target too early: a registration
// that says draining or is removed must be obeyed within 2,000 ms by all routers in contact, with 3% of the
// datagrams lost and through each fault, while a registration changes every 0.3 to 0.4 s.
func TestFollowersObeyInTime(t *testing.T) {
	for _, n := range []int{28, 65} {
		for name, fault := range readerFaults {
			t.Run(fmt.Sprintf("%d/%s", n, name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					defer synctest.Wait()
					defer cancel()
					f := newReadersFleet(ctx, n, readersSeed, true)
					f.play(t, 4500*time.Millisecond, 400*time.Millisecond)
					before := f.followers()
					if before < readerZones*(n-3) {
						t.Errorf("%d routers follow", before)
					}
					f.calls.Store(0)
					fault(t, ctx, f)
					during := f.followers()
					f.play(t, 6*time.Second, 400*time.Millisecond)
					t.Logf("followers: %d before, %d at the end of the fault, %d after; %d calls for registrations; slowest %v", before, during, f.followers(), f.calls.Load(), f.slowest)
				})
			})
		}
	}
}

// Guards against calls of the store that each router makes for itself: on a calm day of 48 s, in which a
// registration changes about every three seconds, and while heartbeats change one every 20 ms, the routers
// make less than a third of the calls for registrations that they make when each watches by itself.
func TestFewCallsForRegistrations(t *testing.T) {
	calm := func(t *testing.T, f *readersFleet) { f.play(t, 48*time.Second, 6*time.Second) }
	heartbeats := func(t *testing.T, f *readersFleet) {
		f.play(t, 5*time.Second, 0) // followers begin to follow
		f.calls.Store(0)
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			f.register("t1", false)
		}
	}
	for name, day := range map[string]func(*testing.T, *readersFleet){"calm": calm, "heartbeats": heartbeats} {
		calls := func(shared bool) (n int) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer synctest.Wait()
				defer cancel()
				f := newReadersFleet(ctx, 28, readersSeed, shared)
				day(t, f)
				n = int(f.calls.Load())
			})
			return n
		}
		own, shared := calls(false), calls(true)
		t.Logf("%s: %d calls, %d if each router watches by itself", name, shared, own)
		if 3*shared >= own {
			t.Errorf("%s: too many calls", name)
		}
	}
}
