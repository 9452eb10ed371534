// Package edge implements a router: an HTTP/1 proxy that accepts requests from callers, chooses a
// target for each and forwards the target's answer.
//
// Each router decides on its own. It uses the configuration and the target registrations that the
// platform's store publishes, its own requests in flight and the load reports of the other
// routers. No request waits for a message between routers. All state is in memory and ends with
// the process.
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
	"golang.org/x/sync/singleflight"
	"gopkg.in/tomb.v2"

	"github.com/chiveseam/chiveseam/evacuation"
	"github.com/chiveseam/chiveseam/exchange"
	"github.com/chiveseam/chiveseam/linkbudget"
	"github.com/chiveseam/chiveseam/placement"
	"github.com/chiveseam/chiveseam/poison"
	"github.com/chiveseam/chiveseam/retry"
	"github.com/chiveseam/chiveseam/routing"
	"github.com/chiveseam/chiveseam/streams"
)

// Options configure New and connect an Edge to its platform.
type Options struct {
	Settings *Settings
	Headers  Headers
	Source   Source
	// Inspector reads the cache contents of model engines; nil if the engines do not publish them.
	Inspector Inspector
	// ReadyPath is the HTTP path at which the load balancer checks readiness.
	ReadyPath string
	Logger    log.Logger
	// Tracer creates the spans of requests and attempts; nil disables tracing.
	Tracer  trace.Tracer
	Version string
}

// Edge is one router. New creates it and Run serves; all methods are safe for concurrent use.
type Edge struct {
	// settings is read-only, except that Reload changes RetryRatio, RetryMin and RetryWindow while
	// it holds mu.
	settings    *Settings
	headers     Headers
	source      Source
	inspector   Inspector
	readyPath   string
	logger      log.Logger
	tracer      trace.Tracer
	version     string
	tomb        *tomb.Tomb
	metrics     *routerMetrics
	targetConns *connPool
	witnesses   *witnesses
	// crashChecks joins concurrent checks of one target.
	crashChecks singleflight.Group
	callers     callerConns
	// maxCallerConns is the largest number of open connections from callers.
	maxCallerConns int
	table          atomic.Pointer[routing.Table]
	// evacuatedZones holds the zones that are evacuated; nil before the first one.
	evacuatedZones atomic.Pointer[map[string]bool]
	// targetsRevision is the highest revision of a target registration that this router has read.
	targetsRevision latestRevision
	// peerTargetsRevision is the highest targets revision in the reports of other routers.
	// coveredTargetsRevision is the highest one that was reported before this router last began a
	// complete read of the targets: the read includes all changes up to it.
	peerTargetsRevision, coveredTargetsRevision latestRevision
	// storeEpoch is the epoch of the store, which changes when it is restored from a copy.
	storeEpoch storeEpoch
	// wakeHistory wakes recoverVersions when this router may have missed versions. It holds one signal.
	wakeHistory chan struct{}
	// olderPeer is set after a report of a router that was running before this one started.
	olderPeer atomic.Bool
	// peerConfigurationVersion is the highest configuration version that another router reports
	// as applied.
	peerConfigurationVersion atomic.Uint64
	// wakeProbe wakes probeStore when another router reports a newer configuration or newer
	// targets. It holds one signal.
	wakeProbe chan struct{}
	// configurationPausedUntil and targetsPausedUntil are Unix times in nanoseconds. Until then
	// the watch of the configuration or of the targets pauses to batch changes.
	configurationPausedUntil, targetsPausedUntil atomic.Int64
	// targetsRead is set after the first read of the target registrations.
	targetsRead atomic.Bool
	// numberings holds what is learned of the IDs of events.
	numberings numberings
	// forms holds what is learned of the form of streams.
	forms forms
	// answerMemory bounds what is held of answers of all targets: heads, events that have not ended, and answers that
	// are held until they are complete. requestMemory does so for the bodies of requests.
	answerMemory, requestMemory *memoryBudget
	// stopping is set at the stop signal; refuseNew is set later, when the load balancer has had
	// time to react, and makes the router refuse new requests.
	stopping  atomic.Bool
	refuseNew atomic.Bool
	// requestCtx is the parent context of all requests; abortRequests cancels it.
	requestCtx    context.Context
	abortRequests context.CancelCauseFunc
	started       time.Time
	overload      overload
	backlog       acceptBacklog
	// linkBusy is set while the network link is nearly full; see updateLinkBusy.
	linkBusy atomic.Bool
	outage   outage
	// confirmations are reads of the store by which requests find out which versions there were.
	confirmations confirmations
	// refusalLog and connectionLog limit the log lines of refused requests and connections, loadLog
	// those of loads of targets that cannot be read.
	refusalLog, connectionLog, loadLog *logLimiter

	// mu guards the fields up to lastStoreRead.
	mu sync.Mutex
	// link bounds what this router takes in by its network link, answers holds the usual sizes of
	// answers.
	link    *linkbudget.Budget
	answers answerSizes
	// balancer chooses targets from the load of the whole fleet as this router sees it. It is not the
	// load balancer in front of the routers.
	balancer     *placement.Balancer
	directory    *directory
	retryBudgets map[string]*retry.Window
	poison       *poison.Tracker
	members      *exchange.Members
	// reportSequence is the sequence number of the latest report, answerCount the number of answers to routers
	// that asked for one.
	reportSequence uint64
	answerCount    uint32
	// reportedAt is when the latest report was created; zero before the first.
	reportedAt  time.Time
	origins     *streams.Origins
	streamAges  streamAges
	evacuations *evacuation.Zones
	// originWaiters holds a channel for each stream whose origin other routers were asked for.
	originWaiters map[streams.ID]chan struct{}
	// takeUps holds by their numbers the questions whether other routers have gone on with streams, and takeUpCount is the number of the
	// latest one. Those of an earlier start of this router are lower.
	takeUps map[uint64]*takeUpQuestion
	// takeUpAskers holds the other routers that have asked for streams.
	takeUpAskers streams.Askers
	takeUpCount  uint64
	// readers says which routers of the zone watch the registrations of targets.
	readers targetReaders
	// stopDeadline is when a planned stop ends the requests in progress; zero before the stop signal.
	stopDeadline time.Time
	// lastStoreRead is when this or another router last read the complete store.
	lastStoreRead time.Time

	listener    net.Listener
	readyHTTP   *http.Server
	metricsHTTP *http.Server
	reportConn  datagramConn
}

const (
	// peerTimeout is the time without reports after which another router's loads are dropped. It is
	// long enough that they stay if all reports of a second are lost in a large fleet, where routers
	// report less often.
	peerTimeout = 3 * time.Second
	// callerFileShare is the fraction of the file descriptors, less reservedFiles, that
	// connections from callers may use. The rest of them is for connections to targets, and
	// reservedFiles is for everything else.
	callerFileShare = 0.6
	reservedFiles   = 300
	// callerMemoryShare is the fraction of the process's memory that connections from callers may
	// use. callerMemoryBytes is the memory of one connection: buffers, stacks and unread bytes.
	callerMemoryShare = 0.4
	callerMemoryBytes = 40 << 10
	// answerMemoryShare and requestMemoryShare are the fractions of the process's memory for answerMemory and
	// requestMemory.
	answerMemoryShare  = 0.15
	requestMemoryShare = 0.2
)

// New creates a router and opens its listener for callers and its UDP socket for reports. Nothing
// is served before Run. The error names an address in the settings that is invalid or cannot be
// bound.
func New(o Options) (*Edge, error) {
	s := o.Settings
	e := &Edge{
		settings: s, headers: o.Headers, source: o.Source, inspector: o.Inspector, readyPath: o.ReadyPath,
		logger:  log.With(o.Logger, "router", s.Name),
		tracer:  o.Tracer,
		version: o.Version,
		tomb:    &tomb.Tomb{},
		metrics: newMetrics(),
		callers: callerConns{open: make(map[*callerConn]bool)},
		started: time.Now(),
		balancer: placement.New(placement.Options{
			Router: s.Name, Zone: s.Zone, ShareWindow: s.ShareWindow, PeerTimeout: peerTimeout, ZoneRegions: s.ZoneRegions,
			Started: time.Now(), Seeded: s.hasOtherSeeds(), ColdOverage: s.ColdOverage, ColdSlack: s.ColdSlack,
			PrefixWeighing: s.PrefixWeighing,
		}),
		directory:     newDirectory(s.LapsedGrace),
		retryBudgets:  make(map[string]*retry.Window),
		poison:        poison.New(time.Now()),
		origins:       streams.New(time.Now()),
		numberings:    numberings{byVersion: make(streams.Numberings)},
		forms:         forms{byVersion: make(streams.Forms)},
		evacuations:   evacuation.New(),
		originWaiters: make(map[streams.ID]chan struct{}),
		takeUps:       make(map[uint64]*takeUpQuestion),
		takeUpCount:   uint64(time.Now().UnixNano()),
		link:          linkbudget.New(s.LinkMbps),
		answers:       make(answerSizes),
		wakeProbe:     make(chan struct{}, 1),
		wakeHistory:   make(chan struct{}, 1),
	}
	e.refusalLog = &logLimiter{logger: e.logger, event: "refusals_not_logged"}
	e.connectionLog = &logLimiter{logger: e.logger, event: "refused_connections_not_logged"}
	e.loadLog = &logLimiter{logger: e.logger, event: "unreadable_loads_not_logged"}
	e.maxCallerConns = min(
		int(callerFileShare*float64(max(s.MaxOpenFiles-reservedFiles, reservedFiles))),
		int(callerMemoryShare*float64(s.MemoryMB<<20)/callerMemoryBytes))
	e.targetConns = newConnPool(e.maxCallerConns)
	e.witnesses = newWitnesses(e.targetConns)
	e.answerMemory = newMemoryBudget(int64(answerMemoryShare*float64(s.MemoryMB<<20)), e.metrics.givenUp.WithLabelValues("answer"))
	e.requestMemory = newMemoryBudget(int64(requestMemoryShare*float64(s.MemoryMB<<20)), e.metrics.givenUp.WithLabelValues("request"))
	e.requestCtx, e.abortRequests = context.WithCancelCause(context.Background())
	if err := e.listen(); err != nil {
		return nil, err
	}
	return e, nil
}

// listen opens the sockets of New and creates the HTTP servers for readiness and metrics.
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
	e.members = exchange.New(peer, s.Zone, e.started, peerTimeout, uint64(e.started.UnixNano()))
	e.members.SetSeeds(seeds)
	if e.reportConn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(peer)); err != nil {
		return fmt.Errorf("edge: peer: %w", err)
	}
	if e.listener, err = net.Listen("tcp4", s.Listen); err != nil {
		return fmt.Errorf("edge: listen: %w", err)
	}
	e.readyHTTP = e.readyServer()
	e.metricsHTTP = e.metricsServer()
	return nil
}

// Run serves until ctx ends, then stops gracefully (see stop) and tells the other routers that it
// has left. It returns the error of the first task that failed, nil after a normal stop. It is
// called once.
func (e *Edge) Run(ctx context.Context) error {
	s := e.settings
	level.Info(e.logger).Log("event", "started", "version", e.version, "zone", s.Zone, "listen", s.Listen,
		"peer", s.Peer, "store", s.Store, "seeds", s.Seeds, "defaulted", s.Defaulted)
	e.startTasks()
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

// startTasks starts the goroutines of the router. The first one that returns an error ends Run.
func (e *Edge) startTasks() {
	ctx := e.tomb.Context(context.Background())
	tasks := []func() error{
		func() error { return e.serveCallers(e.listener) },
		func() error { return serveHTTP(e.readyHTTP, e.settings.Ready) },
		func() error { return serveHTTP(e.metricsHTTP, e.settings.Metrics) },
		func() error { return e.watchConfiguration(ctx) },
		func() error { return e.watchTargets(ctx) },
		func() error { return e.probeStore(ctx) },
		func() error { return e.chooseReaders(ctx) },
		func() error { return e.recoverVersions(ctx) },
		func() error { return e.sendReports(ctx) },
		e.receiveReports,
		func() error { return e.watchSettings(ctx) },
		func() error { return e.sweep(ctx) },
		func() error { return e.watchLag(ctx) },
		func() error { return e.monitorShares(ctx) },
	}
	if e.inspector != nil {
		tasks = append(tasks, func() error { return e.recoverCachedParts(ctx) })
	}
	for _, task := range tasks {
		e.tomb.Go(task)
	}
}

// serveHTTP serves on address until the server is closed. An empty address serves nothing.
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

// sweepInterval is the largest delay with which expired connections and targets are removed.
const sweepInterval = 250 * time.Millisecond

// sweep periodically closes connections to targets that were idle for too long, and removes targets
// whose registration has been missing for longer than the grace time.
func (e *Edge) sweep(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			e.targetConns.sweep(now)
			e.witnesses.sweep(now)
			e.expireTargets()
			e.metrics.callers.Set(float64(e.callers.count()))
		}
	}
}

// close closes the listeners and sockets and ends all requests.
func (e *Edge) close() {
	e.listener.Close()
	e.endRequests()
	e.readyHTTP.Close()
	e.metricsHTTP.Close()
	e.reportConn.Close()
	e.witnesses.close()
	e.targetConns.dropAll()
}

// retryBudget returns the retry budget of a service. It allows RetryRatio retries for each request
// that this router accepted, and this router's part of the fleet's fixed number RetryMin. The caller holds e.mu.
func (e *Edge) retryBudget(service string) *retry.Window {
	s := e.settings
	floor := s.RetryMin * e.members.Part()
	w, ok := e.retryBudgets[service]
	if !ok {
		w = retry.NewWindow(s.RetryWindow, s.RetryRatio, floor)
		e.retryBudgets[service] = w
	}
	w.SetLimits(s.RetryWindow, s.RetryRatio, floor)
	return w
}

// recordFirstBytes records that bytes of the answer's body have come. It is called for each read of
// a stream; only the first call for a request sets the request's latency.
func (e *Edge) recordFirstBytes(a *attempt) {
	if a.firstByteAt.IsZero() {
		a.firstByteAt = time.Now()
	}
	if a.call.firstByteLatency == 0 {
		a.call.firstByteLatency = time.Since(a.call.arrived)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.balancer.FirstToken(time.Now(), a.ticket)
}

// recordEnd records the outcome of an attempt in the placement balancer, the record of requests that
// crash targets and the connection pool.
func (e *Edge) recordEnd(a *attempt, outcome attemptOutcome) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.balancer.End(now, a.ticket, e.placementOutcome(now, a, outcome))
	e.recordPoison(now, a, outcome)
	if errors.Is(a.err, syscall.ECONNREFUSED) || a.targetGone {
		// Nothing listens on the port: the target has crashed and lost its KV cache.
		e.balancer.ClearCache(a.target.ID)
		e.recordRefused(now, a.target.ID)
	}
	if outcome == notSent || a.crashed {
		e.targetConns.drop(a.target.Address)
	}
}

// placementOutcome returns what an attempt shows of its target. The caller holds e.mu.
func (e *Edge) placementOutcome(now time.Time, a *attempt, outcome attemptOutcome) placement.Outcome {
	if outcome == notSent && isTimeout(a.err) && e.link.Busy(now) {
		// The packets may wait at this router's own link.
		return placement.Unsent
	}
	if errors.Is(a.err, errEvacuated) || errors.Is(a.err, errProcessUnknown) || errors.Is(a.err, syscall.EMFILE) || outcome == abandoned && !a.sent {
		return placement.Unsent
	}
	switch outcome {
	case abandoned:
		if a.stalled(now) && !e.link.Busy(now) {
			return placement.Failed
		}
	case answered:
		return placement.Succeeded
	case rejected:
		return placement.Rejected
	case failing:
		return placement.Failed
	case notSent:
		return placement.Unreachable
	case lost:
		if !errors.Is(a.err, streams.ErrGap) && !errors.Is(a.err, streams.ErrForm) {
			return placement.Failed
		}
		// The service may have begun to number or to write its events otherwise.
	}
	return placement.Unknown
}
