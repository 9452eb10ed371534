// Package router is the daemon as a library: it joins the duties of one router
// and runs them until it is told to stop.
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

// Router is one instance of the fleet. Its methods are safe for concurrent use.
type Router struct {
	settings settings.Router
	version  string
	started  time.Time
	logger   log.Logger
	tomb     *tomb.Tomb

	store      *state.Store
	metrics    *telemetry.Metrics
	tracing    *tracing.Tracing
	host       *scheduling.Host
	broker     *broker.Broker
	dealing    *dealing.Duty
	client     *peer.Client
	peers      *peer.Server
	guard      *guard.Guard
	dispatcher *dispatch.Dispatcher
	keys       *keys.Executor
	entry      *entry.Server
	control    *control.Control

	entryServer *http.Server
	adminServer *http.Server
	listeners   listeners
	stopping    chan struct{}
}

type listeners struct {
	entry net.Listener
	peer  net.Listener
	admin net.Listener
}

// New joins the parts of a router and opens its listeners. It serves nothing
// before Run.
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
	if err := r.build(); err != nil {
		return nil, err
	}
	if err := r.listen(); err != nil {
		return nil, err
	}
	return r, nil
}

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
		Heartbeat:    r.settings.PeerHeartbeatInterval,
		SuspectAfter: r.settings.PeerSuspectAfter,
		Coalesce:     r.settings.CoalesceInterval,
		Dial:         r.settings.DialTimeout,
	}
}

func (r *Router) build() error {
	s := r.settings
	var err error
	if r.tracing, err = tracing.New(context.Background(), s.OTLPURL, "chiveseam-router", s.Name, s.Zone); err != nil {
		return err
	}
	r.store = state.NewStore(r.self())
	r.host = scheduling.New(r.tomb, r.store, scheduling.Options{
		HoldTime:  s.GrantHold,
		MaxSpares: maxSpares,
		Seed:      s.Incarnation,
		Tracer:    r.tracing.Tracer(),
	})
	r.broker = broker.New(r.tomb, r.store, &peer.Dialer{
		Self: r.self(), Tomb: r.tomb, Host: r.host, Timing: r.timing(), Traffic: r.metrics,
	}, r.logger)
	r.client = peer.NewClient(r.store, r.timing(), r.metrics)
	r.dealing = dealing.New(r.tomb, r.store, r.host, r.client, r.logger)
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
	r.peers = peer.NewServer(peer.ServerOptions{
		Host: r.host, Exchanger: r.control, Keys: r.keys, Entry: r.entry, Dealer: r.dealing,
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
	}, r.dispatcher, r.client, r.logger)
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
		Caller:       r.client,
		Keys:         r.keys,
		Gossip:       []control.Gossip{r.guard},
		Observer:     r.metrics,
		Logger:       r.logger,
		Fleet:        opts,
		WatchWait:    s.PlatformWatchWait,
		FallbackPoll: s.PlatformFallbackPoll,
		ListPoll:     s.KeyRight / listPollsPerRight,
	})
}

const (
	writeTimeout = 30 * time.Second
	// maxSpares is the number of slots of a pool that a router may hold ahead
	// of demand.
	maxSpares = 4
	// listPollsPerRight is how often the instance list is read within the time
	// that one reading gives the right to execute keys.
	listPollsPerRight = 4
)

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

// Run serves until ctx ends, then stops in the planned way: new requests are
// refused, roles and keys handed over, and requests in progress finished.
func (r *Router) Run(ctx context.Context) error {
	level.Info(r.logger).Log("event", "started", "incarnation", r.settings.Incarnation, "version", r.version,
		"entry", r.listeners.entry.Addr(), "peer", r.listeners.peer.Addr(), "admin", r.listeners.admin.Addr())
	r.startDuties()
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

func (r *Router) startDuties() {
	ctx := r.tomb.Context(context.Background())
	limited := entry.NewListener(netutil.LimitListener(r.listeners.entry, r.settings.MaxConnections))
	duties := []func() error{
		r.host.Run,
		r.broker.Run,
		r.dealing.Run,
		func() error { return r.control.RunExchange(ctx) },
		func() error { return r.control.RunConfiguration(ctx) },
		func() error { return r.control.RunInstances(ctx) },
		func() error { return r.host.RunRegions(ctx, r.client) },
		func() error { return r.control.RunRenewal(ctx) },
		func() error { return r.control.RunKeyViews(ctx) },
		func() error { return r.peers.Serve(ctx, r.listeners.peer) },
		func() error { return serveHTTP(r.entryServer, limited) },
		func() error { return serveHTTP(r.adminServer, r.listeners.admin) },
	}
	for _, duty := range duties {
		r.tomb.Go(duty)
	}
}

func serveHTTP(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); err != http.ErrServerClosed {
		return err
	}
	return nil
}

func (r *Router) closeTracing() {
	ctx, cancel := context.WithTimeout(context.Background(), tracingCloseTime)
	defer cancel()
	if err := r.tracing.Close(ctx); err != nil {
		level.Warn(r.logger).Log("event", "traces_lost", "error", err)
	}
}

const tracingCloseTime = 2 * time.Second
