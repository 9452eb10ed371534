package peer

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/result"
	"github.com/chiveseam/chiveseam/router/internal/dispatch"
	"github.com/chiveseam/chiveseam/router/internal/scheduling"
)

// Exchanger handles the exchanges of state with other routers and serves the
// configuration to them. Its methods are called concurrently.
type Exchanger interface {
	// Exchange takes in the state of another router and returns that of this one.
	Exchange(*v1.PeerState) *v1.PeerState
	// Configuration returns the configuration in force. It returns false if there
	// is none of minRevision or a later revision.
	Configuration(minRevision uint64) (*v1.PublishedConfiguration, bool)
}

// KeyHandler handles the calls of other routers about request keys. Its methods
// are called concurrently.
type KeyHandler interface {
	// AnswerClaim answers a router that claims a key which this one may have owned.
	AnswerClaim(*v1.ClaimKeyRequest) *v1.ClaimKeyReply
	// AcceptHandOver takes in a part of a stopping router's ledger. It reports
	// whether all records were accepted.
	AcceptHandOver(*v1.HandOverRequest) bool
	// Views returns the instance lists that decide who owns a key.
	Views() *v1.KeyViewsReply
}

// ForwardedExecutor executes requests that another router forwarded. It writes the
// response to sink and is called concurrently.
type ForwardedExecutor interface {
	ExecuteForwarded(ctx context.Context, head *v1.ForwardHead, body []byte, sink dispatch.Sink) *result.Result
}

// Dealer takes in shard reports and allotments of another router and returns those
// for that router. It is called concurrently.
type Dealer interface {
	Deal(ctx context.Context, in *v1.DealBatch) (*v1.DealBatch, error)
}

// ServerOptions are the components that handle the calls of other routers, and the
// limits of a Server.
type ServerOptions struct {
	Host      *scheduling.Host
	Exchanger Exchanger
	Keys      KeyHandler
	Entry     ForwardedExecutor
	Dealer    Dealer
	Timing    Timing
	Traffic   Traffic
	Logger    log.Logger
	// MaxForwardBytes bounds the body of a forwarded request.
	MaxForwardBytes int
}

// Server serves the calls of other routers. It is safe for concurrent use.
type Server struct {
	opts ServerOptions
}

// NewServer returns a server that listens on nothing before Serve.
func NewServer(opts ServerOptions) *Server {
	opts.Logger = log.With(opts.Logger, "duty", "peer")
	return &Server{opts: opts}
}

// Serve accepts connections on the listener and serves calls until ctx ends or
// the listener fails.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	mux := drpcmux.New()
	if err := v1.DRPCRegisterScheduling(mux, s); err != nil {
		return err
	}
	if err := v1.DRPCRegisterPeering(mux, s); err != nil {
		return err
	}
	server := drpcserver.NewWithOptions(connKindHandler{mux}, drpcserver.Options{
		Manager: managerOptions(),
		Log: func(err error) {
			level.Debug(s.opts.Logger).Log("event", "peer_connection_failed", "error", err)
		},
	})
	return server.Serve(ctx, &meteredListener{Listener: listener, traffic: s.opts.Traffic})
}

// meteredListener wraps the connections that it accepts in a meteredConn.
type meteredListener struct {
	net.Listener
	traffic Traffic
}

func (l *meteredListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: conn, traffic: l.traffic}, nil
}

// Exchange implements the Peering service.
func (s *Server) Exchange(_ context.Context, in *v1.PeerState) (*v1.PeerState, error) {
	s.opts.Traffic.AddMessage("peer_state", Received, proto.Size(in))
	out := s.opts.Exchanger.Exchange(in)
	s.opts.Traffic.AddMessage("peer_state", Sent, proto.Size(out))
	return out, nil
}

// FetchConfiguration implements the Peering service.
func (s *Server) FetchConfiguration(_ context.Context, in *v1.FetchConfigurationRequest) (*v1.PublishedConfiguration, error) {
	published, ok := s.opts.Exchanger.Configuration(in.MinRevision)
	if !ok {
		return nil, errors.New("no configuration of that revision is accepted here")
	}
	s.opts.Traffic.AddMessage("configuration", Sent, proto.Size(published))
	return published, nil
}

// ClaimKey implements the Peering service.
func (s *Server) ClaimKey(_ context.Context, in *v1.ClaimKeyRequest) (*v1.ClaimKeyReply, error) {
	return s.opts.Keys.AnswerClaim(in), nil
}

// HandOver implements the Peering service.
func (s *Server) HandOver(_ context.Context, in *v1.HandOverRequest) (*v1.HandOverReply, error) {
	return &v1.HandOverReply{Accepted: s.opts.Keys.AcceptHandOver(in)}, nil
}

// KeyViews implements the Peering service.
func (s *Server) KeyViews(context.Context, *v1.KeyViewsRequest) (*v1.KeyViewsReply, error) {
	return s.opts.Keys.Views(), nil
}

// unaryTimeout bounds each unary call, with the time to connect. The called router
// answers from memory.
const unaryTimeout = time.Second
