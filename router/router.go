// Package router runs one router process: it creates its components, connects
// them, and runs them until the process stops.
//
// The entry server reads callers' requests, the keys executor applies their
// request keys, and the dispatcher sends them to targets. The broker gets the
// slots for them from the routers that hold the scheduler roles. The scheduling host
// runs the scheduler roles of this router, and the dealing component its dealer
// roles. The control component keeps the configuration and the view of the fleet up
// to date.
package router

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/net/netutil"
	"gopkg.in/tomb.v2"

	"github.com/chiveseam/chiveseam/fleet"
	"github.com/chiveseam/chiveseam/internal/tracing"
	"github.com/chiveseam/chiveseam/publisher"
	"github.com/chiveseam/chiveseam/requestkey"
	"github.com/chiveseam/chiveseam/router/internal/broker"
	"github.com/chiveseam/chiveseam/router/internal/control"
	"github.com/chiveseam/chiveseam/router/internal/dealing"
	"github.com/chiveseam/chiveseam/router/internal/dispatch"
	"github.com/chiveseam/chiveseam/router/internal/entry"
	"github.com/chiveseam/chiveseam/router/internal/guard"
	"github.com/chiveseam/chiveseam/router/internal/keys"
	"github.com/chiveseam/chiveseam/router/internal/peer"
	"github.com/chiveseam/chiveseam/router/internal/scheduling"
	"github.com/chiveseam/chiveseam/router/internal/state"
	"github.com/chiveseam/chiveseam/router/internal/telemetry"
	"github.com/chiveseam/chiveseam/settings"
)

// Router is one router of the fleet. Its methods are safe for concurrent use,
// but Run may be called only once.
type Router struct {
	settings settings.Router
	// version is the version of the program, for logs and the status.
	version string
	// started is the time of New.
	started time.Time
	logger  log.Logger
	// tomb supervises the goroutines of all components.
	tomb *tomb.Tomb

	store      *state.Store
	metrics    *telemetry.Metrics
	tracing    *tracing.Tracing
	schedulers *scheduling.Host
	broker     *broker.Broker
	dealing    *dealing.Host
	peerClient *peer.Client
	peerServer *peer.Server
	guard      *guard.Guard
	dispatcher *dispatch.Dispatcher
	keys       *keys.Executor
	entry      *entry.Server
	control    *control.Control

	entryServer *http.Server
	adminServer *http.Server
	listeners   listeners
	// stopping is closed when the planned stop begins.
	stopping chan struct{}
}

// listeners are the open TCP listeners: for callers, for other routers and for
// operators.
type listeners struct {
	entry net.Listener
	peer  net.Listener
	admin net.Listener
}

// New creates a router and opens its listeners. It serves nothing before Run.
// If the settings have no incarnation, New uses the current Unix time in
// milliseconds.
func New(s settings.Router, version string, logger log.Logger) (*Router, error) {
	started := time.Now()
	if s.Incarnation == 0 {
		s.Incarnation = uint64(started.UnixMilli())
	}
	r := &Router{
		settings: s,
		version:  version,
		started:  started,
		logger:   log.With(logger, "router", s.Name, "zone", s.Zone),
		tomb:     &tomb.Tomb{},
		metrics:  telemetry.NewMetrics(),
		stopping: make(chan struct{}),
	}
	if err := r.buildComponents(); err != nil {
		return nil, err
	}
	if err := r.listen(); err != nil {
		return nil, err
	}
	return r, nil
}

// self returns this router as a member of the fleet.
func (r *Router) self() state.Member {
	s := r.settings
	return state.Member{
		Name:         s.Name,
		Incarnation:  s.Incarnation,
		Zone:         s.Zone,
		Region:       s.Region,
		PeerAddress:  s.PeerAdvertise.String(),
		EntryAddress: s.EntryAdvertise.String(),
		AdminAddress: s.AdminListen.String(),
	}
}

func (r *Router) timing() peer.Timing {
	return peer.Timing{
		HeartbeatInterval: r.settings.PeerHeartbeatInterval,
		SuspectAfter:      r.settings.PeerSuspectAfter,
		CoalesceInterval:  r.settings.CoalesceInterval,
		DialTimeout:       r.settings.DialTimeout,
	}
}

// buildComponents creates the components in the order of their dependencies. The
// closures that refer to r.control run after it is set.
func (r *Router) buildComponents() error {
	s := r.settings
	var err error
	if r.tracing, err = tracing.New(context.Background(), s.OTLPURL, "chiveseam-router", s.Name, s.Zone); err != nil {
		return err
	}
	r.store = state.NewStore(r.self())
	r.schedulers = scheduling.New(r.tomb, r.store, scheduling.Options{
		HoldTime:  s.GrantHold,
		MaxSpares: maxSpareSlots,
		Seed:      s.Incarnation,
		Tracer:    r.tracing.Tracer(),
	})
	r.broker = broker.New(r.tomb, r.store, &peer.Dialer{
		Self: r.self(), Tomb: r.tomb, Host: r.schedulers, Timing: r.timing(), Traffic: r.metrics,
	}, r.logger)
	r.peerClient = peer.NewClient(r.store, r.timing(), r.metrics)
	r.dealing = dealing.New(r.tomb, r.store, r.schedulers, r.peerClient, r.logger)
	r.guard = guard.New(s.Name, r.store, func(ctx context.Context) bool { return r.control.Announce(ctx) })
	r.dispatcher = dispatch.New(dispatch.Options{
		Store:                r.store,
		Acquirer:             r.broker,
		Guard:                r.guard,
		Usage:                r.metrics,
		Tracer:               r.tracing.Tracer(),
		DialTimeout:          s.DialTimeout,
		FirstByteTimeout:     s.FirstByteTimeout,
		BetweenTokensTimeout: s.BetweenTokensTimeout,
	})
	if err := r.buildKeys(); err != nil {
		return err
	}
	r.buildEntry()
	r.buildControl()
	r.peerServer = peer.NewServer(peer.ServerOptions{
		Host: r.schedulers, Exchanger: r.control, Keys: r.keys, Entry: r.entry, Dealer: r.dealing,
		Timing: r.timing(), Traffic: r.metrics, Logger: r.logger,
		MaxForwardBytes: int(s.MaxBodyBytes),
	})
	r.registerGauges()
	return nil
}

func (r *Router) buildKeys() error {
	s := r.settings
	self := requestkey.Member{Name: s.Name, Incarnation: s.Incarnation}
	executor, err := keys.New(self, requestkey.Options{
		Lifetime:   s.KeyLifetime,
		Right:      s.KeyRight,
		ClockError: s.ClockMargin,
	}, r.dispatcher, r.peerClient, r.logger)
	if err != nil {
		return fmt.Errorf("request keys: %w", err)
	}
	r.keys = executor
	return nil
}

func (r *Router) buildEntry() {
	s := r.settings
	r.entry = entry.New(entry.Options{
		MaxOpenRequests: s.MaxOpenRequests,
		MaxBodyBytes:    s.MaxBodyBytes,
		MaxBodiesBytes:  s.MaxBodiesBytes,
		BodyTimeout:     s.RequestBodyTimeout,
		WriteTimeout:    writeTimeout,
	}, r.store, r.keys, r.keys, r.metrics, func() bool { return r.control.Ready() }, r.logger, r.tracing.Tracer())
}

func (r *Router) buildControl() {
	s := r.settings
	opts := fleet.DefaultOptions()
	opts.HeartbeatInterval = s.PeerHeartbeatInterval
	opts.SuspectAfter = s.PeerSuspectAfter
	r.control = control.New(control.Options{
		Self:         r.self(),
		Store:        r.store,
		Platform:     publisher.NewHTTP(s.PlatformURL, publisher.NewClient(s.DialTimeout)),
		Caller:       r.peerClient,
		Keys:         r.keys,
		Gossip:       []control.Gossip{r.guard},
		Observer:     r.metrics,
		Logger:       r.logger,
		Fleet:        opts,
		WatchWait:    s.PlatformWatchWait,
		FallbackPoll: s.PlatformFallbackPoll,
		ListPoll:     s.KeyRight / listPollsPerKeyRight,
	})
}

const (
	// writeTimeout bounds the time a caller takes to accept one part of a response.
	writeTimeout = 30 * time.Second
	// maxSpareSlots is the greatest number of slots of a shard that a scheduler
	// grants to one router ahead of demand.
	maxSpareSlots = 4
	// listPollsPerKeyRight is how many times the instance list is read, on average,
	// within the key-right setting. One read lets this router begin keys chosen by
	// callers for that time.
	listPollsPerKeyRight = 4
)

// listen opens the TCP listeners and creates the HTTP servers.
func (r *Router) listen() error {
	var err error
	if r.listeners.entry, err = net.Listen("tcp", r.settings.EntryListen.String()); err != nil {
		return fmt.Errorf("entry-listen: %w", err)
	}
	if r.listeners.peer, err = net.Listen("tcp", r.settings.PeerListen.String()); err != nil {
		return fmt.Errorf("peer-listen: %w", err)
	}
	if r.listeners.admin, err = net.Listen("tcp", r.settings.AdminListen.String()); err != nil {
		return fmt.Errorf("admin-listen: %w", err)
	}
	r.entryServer = &http.Server{
		Handler:           r.entry,
		ReadHeaderTimeout: r.settings.RequestHeaderTimeout,
		IdleTimeout:       r.settings.IdleTimeout,
		MaxHeaderBytes:    r.settings.MaxHeaderBytes,
		ErrorLog:          stdLogger(r.logger, "entry"),
	}
	r.adminServer = &http.Server{
		Handler:           r.adminHandler(),
		ReadHeaderTimeout: r.settings.RequestHeaderTimeout,
		ErrorLog:          stdLogger(r.logger, "admin"),
	}
	return nil
}

// Run serves until ctx ends and then makes a planned stop: it gives up the roles,
// refuses new requests, lets the requests in progress finish, and hands the
// request keys over to other routers. It returns an error if a component failed,
// which ends the router without a planned stop.
func (r *Router) Run(ctx context.Context) error {
	level.Info(r.logger).Log("event", "started", "incarnation", r.settings.Incarnation, "version", r.version,
		"entry", r.listeners.entry.Addr(), "peer", r.listeners.peer.Addr(), "admin", r.listeners.admin.Addr())
	r.startTasks()
	select {
	case <-ctx.Done():
		r.drain()
	case <-r.tomb.Dying():
	}
	r.tomb.Kill(nil)
	r.entryServer.Close()
	r.adminServer.Close()
	err := r.tomb.Wait()
	r.closeTracing()
	level.Info(r.logger).Log("event", "stopped", "error", err)
	return err
}

// startTasks starts the goroutines of the components under the tomb. The first
// error of a task stops all of them.
func (r *Router) startTasks() {
	ctx := r.tomb.Context(context.Background())
	entryListener := entry.NewListener(netutil.LimitListener(r.listeners.entry, r.settings.MaxConnections))
	tasks := []func() error{
		r.schedulers.Run,
		r.broker.Run,
		r.dealing.Run,
		func() error { return r.control.RunExchange(ctx) },
		func() error { return r.control.RunConfiguration(ctx) },
		func() error { return r.control.RunInstances(ctx) },
		func() error { return r.schedulers.RunRegionExchange(ctx, r.peerClient) },
		func() error { return r.control.RunListRenewal(ctx) },
		func() error { return r.control.RunKeyViews(ctx) },
		func() error { return r.peerServer.Serve(ctx, r.listeners.peer) },
		func() error { return serveHTTP(r.entryServer, entryListener) },
		func() error { return serveHTTP(r.adminServer, r.listeners.admin) },
	}
	for _, task := range tasks {
		r.tomb.Go(task)
	}
}

// serveHTTP serves on the listener until the server is closed.
func serveHTTP(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); err != http.ErrServerClosed {
		return err
	}
	return nil
}

// closeTracing exports the spans that are still buffered.
func (r *Router) closeTracing() {
	ctx, cancel := context.WithTimeout(context.Background(), tracingCloseTimeout)
	defer cancel()
	if err := r.tracing.Close(ctx); err != nil {
		level.Warn(r.logger).Log("event", "traces_lost", "error", err)
	}
}

// tracingCloseTimeout bounds the time to export the last spans.
const tracingCloseTimeout = 2 * time.Second
