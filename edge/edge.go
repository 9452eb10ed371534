// Package edge is the router in front of the targets: it takes requests of
// callers, chooses a target for each and passes the answer on.
//
// Each router decides by itself, from the platform's publications, its own
// requests and what the other routers report of theirs; no request waits for a
// message between routers, and nothing outlives a process.
package edge

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"go.opentelemetry.io/otel/trace"
	"gopkg.in/tomb.v2"

	"github.com/chiveseam/chiveseam/exchange"
	"github.com/chiveseam/chiveseam/placement"
	"github.com/chiveseam/chiveseam/retry"
	"github.com/chiveseam/chiveseam/routing"
)

// Options join an Edge with its platform.
type Options struct {
	Settings *Settings
	Headers  Headers
	Source   Source
	// Inspector may be nil if engines tell nothing of themselves.
	Inspector Inspector
	// ReadyPath is where the balancer asks for readiness.
	ReadyPath string
	Logger    log.Logger
	// Tracer makes the spans of requests and attempts; nil makes none.
	Tracer  trace.Tracer
	Version string
}

// Edge is one router. Its methods are safe for concurrent use.
type Edge struct {
	settings  *Settings
	headers   Headers
	source    Source
	inspector Inspector
	readyPath string
	logger    log.Logger
	tracer    trace.Tracer
	version   string
	tomb      *tomb.Tomb
	metrics   *counters
	pool      *pool
	callers   callers
	// maxCallers bounds the connections of callers.
	maxCallers int
	table      atomic.Pointer[routing.Table]
	// newest is the newest revision of a target's registration that was seen.
	newest atomic.Uint64
	// told is the newest one that another router has seen, checked the newest of
	// these that was told before the last read of all targets.
	told, checked atomic.Uint64
	// elder is set once a router was heard of that ran before this one.
	elder atomic.Bool
	// toldVersion is the newest configuration that another router has in force.
	toldVersion atomic.Uint64
	// ahead wakes the probe when another router has seen something newer.
	ahead chan struct{}
	// configurationRests and targetsRest are the Unix times in nanoseconds until which
	// the watches let changes gather.
	configurationRests, targetsRest atomic.Int64
	// targetsRead is set once the registrations were read.
	targetsRead atomic.Bool
	// stopping is set from the stop signal on, late once new requests are refused.
	stopping atomic.Bool
	late     atomic.Bool
	// requests is the context of all requests; its end aborts them.
	requests context.Context
	abort    context.CancelFunc
	started  time.Time
	overload overload
	outage   outage
	refusals *lineBudget

	mu        sync.Mutex
	book      *placement.Balancer
	directory *directory
	budgets   map[string]*retry.Window
	suspects  *suspects
	members   *exchange.Members
	// lastRead is when some router last read the whole store.
	lastRead time.Time

	listener net.Listener
	ready    *http.Server
	metricsS *http.Server
	reports  *net.UDPConn
}

const (
	// peerTimeout is the silence after which another router's loads are forgotten:
	// longer than a second of lost reports in a large fleet.
	peerTimeout = 3 * time.Second
	// callerShare and reservedFiles divide the descriptors between callers,
	// connections to targets and the rest.
	callerShare   = 0.6
	reservedFiles = 300
	// callerMemoryShare is the part of the memory for connections of callers, and
	// callerMemory what one takes in bytes: buffers, stacks and bytes not yet read.
	callerMemoryShare = 0.4
	callerMemory      = 40 << 10
)

// New opens the listeners of a router. It serves nothing before Run.
func New(o Options) (*Edge, error) {
	s := o.Settings
	e := &Edge{
		settings: s, headers: o.Headers, source: o.Source, inspector: o.Inspector, readyPath: o.ReadyPath,
		logger:  log.With(o.Logger, "router", s.Name),
		tracer:  o.Tracer,
		version: o.Version,
		tomb:    &tomb.Tomb{},
		metrics: newMetrics(),
		pool:    newPool(),
		callers: callers{open: make(map[*caller]bool)},
		started: time.Now(),
		book: placement.New(placement.Options{
			Router: s.Name, Zone: s.Zone, ShareWindow: s.ShareWindow, PeerTimeout: peerTimeout,
		}),
		directory: newDirectory(s.LapsedGrace),
		budgets:   make(map[string]*retry.Window),
		suspects:  newSuspects(),
		ahead:     make(chan struct{}, 1),
	}
	e.refusals = &lineBudget{logger: e.logger}
	e.maxCallers = min(
		int(callerShare*float64(max(s.MaxOpenFiles-reservedFiles, reservedFiles))),
		int(callerMemoryShare*float64(s.MemoryMB<<20)/callerMemory))
	e.requests, e.abort = context.WithCancel(context.Background())
	if err := e.listen(); err != nil {
		return nil, err
	}
	return e, nil
}

func (e *Edge) listen() error {
	s := e.settings
	peer, err := netip.ParseAddrPort(s.Peer)
	if err != nil {
		return fmt.Errorf("edge: peer: %w", err)
	}
	seeds, err := s.SeedAddresses()
	if err != nil {
		return err
	}
	e.members = exchange.New(peer, peerTimeout, uint64(e.started.UnixNano()))
	e.members.SetSeeds(seeds)
	if e.reports, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(peer)); err != nil {
		return fmt.Errorf("edge: peer: %w", err)
	}
	if e.listener, err = net.Listen("tcp4", s.Listen); err != nil {
		return fmt.Errorf("edge: listen: %w", err)
	}
	e.ready = e.readyServer()
	e.metricsS = e.metricsServer()
	return nil
}

// Run serves until ctx ends, then stops in the planned way.
func (e *Edge) Run(ctx context.Context) error {
	s := e.settings
	level.Info(e.logger).Log("event", "started", "version", e.version, "zone", s.Zone, "listen", s.Listen,
		"peer", s.Peer, "store", s.Store, "seeds", s.Seeds)
	e.startDuties()
	select {
	case <-ctx.Done():
		e.stop()
		e.sendLeaving()
	case <-e.tomb.Dying():
	}
	e.tomb.Kill(nil)
	e.close()
	err := e.tomb.Wait()
	level.Info(e.logger).Log("event", "stopped", "error", err)
	return err
}

func (e *Edge) startDuties() {
	ctx := e.tomb.Context(context.Background())
	duties := []func() error{
		func() error { return e.serveCallers(e.listener) },
		func() error { return serveHTTP(e.ready, e.settings.Ready) },
		func() error { return serveHTTP(e.metricsS, e.settings.Metrics) },
		func() error { return e.watchConfiguration(ctx) },
		func() error { return e.watchTargets(ctx) },
		func() error { return e.probeStore(ctx) },
		func() error { return e.sendReports(ctx) },
		e.receiveReports,
		func() error { return e.watchSettings(ctx) },
		func() error { return e.sweep(ctx) },
		func() error { return e.watchLag(ctx) },
		func() error { return e.watchShares(ctx) },
	}
	if e.inspector != nil {
		duties = append(duties, func() error { return e.recoverKept(ctx) })
	}
	for _, duty := range duties {
		e.tomb.Go(duty)
	}
}

func serveHTTP(s *http.Server, address string) error {
	if address == "" {
		return nil
	}
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return fmt.Errorf("edge: %w", err)
	}
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// sweepInterval bounds how late what has expired is given up.
const sweepInterval = 250 * time.Millisecond

// sweep closes connections to targets that were idle for too long, and gives up
// targets that are missing for too long.
func (e *Edge) sweep(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			e.pool.sweep(now)
			e.expireTargets()
			e.metrics.callers.Set(float64(e.callers.count()))
		}
	}
}

func (e *Edge) close() {
	e.abort()
	e.listener.Close()
	e.ready.Close()
	e.metricsS.Close()
	e.reports.Close()
}

// budget returns the retry budget of a service: the share of the requests that
// this router took in, and its part of the fixed number. One more router than
// was ever seen is counted, for those that cannot be seen now.
func (e *Edge) budget(service string) *retry.Window {
	s := e.settings
	floor := float64(s.RetryMin) / float64(e.members.PeakRouters()+1)
	w, ok := e.budgets[service]
	if !ok {
		w = retry.NewWindow(s.RetryWindow, s.RetryRatio, floor)
		e.budgets[service] = w
	}
	w.SetLimits(s.RetryWindow, s.RetryRatio, floor)
	return w
}

// first records the first bytes of an answer's body.
func (e *Edge) first(a *attempt) {
	if a.call.firstAfter == 0 {
		a.call.firstAfter = time.Since(a.call.arrived)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.book.FirstToken(time.Now(), a.ticket)
}

// ended records the end of an attempt.
func (e *Edge) ended(a *attempt, f fate) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.book.End(now, a.ticket, outcomeOf(a, f))
	switch {
	case f == answered:
		e.suspects.cleared(a.call.digest)
	case a.crashed:
		e.suspects.lost(now, a.call.digest, placement.Hash(a.target.ID))
	}
	if errors.Is(a.err, syscall.ECONNREFUSED) {
		// Nothing listens: the target has crashed, and its memory is gone.
		e.book.ClearCache(a.target.ID)
	}
	if f == notSent || a.crashed {
		e.pool.drop(a.target.Address)
	}
}

func outcomeOf(a *attempt, f fate) placement.Outcome {
	switch f {
	case answered:
		return placement.Succeeded
	case rejected:
		return placement.Rejected
	case failing:
		return placement.Failed
	case notSent:
		return placement.Unreachable
	case lost:
		return placement.Failed
	}
	return placement.Unknown
}
