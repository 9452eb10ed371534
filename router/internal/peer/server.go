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

// Exchanger answers what peers tell and ask of the fleet.
type Exchanger interface {
	Exchange(*v1.PeerState) *v1.PeerState
	Configuration(minRevision uint64) (*v1.PublishedConfiguration, bool)
}

// KeyOwner answers what peers ask of request keys.
type KeyOwner interface {
	AnswerClaim(*v1.ClaimKeyRequest) *v1.ClaimKeyReply
	AcceptHandOver(*v1.HandOverRequest) bool
	Views() *v1.KeyViewsReply
}

// Entry executes requests that another router passed on.
type Entry interface {
	Forwarded(ctx context.Context, head *v1.ForwardHead, body []byte, sink dispatch.Sink) *result.Result
}

// Dealer takes in reports and allotments of shards.
type Dealer interface {
	Deal(ctx context.Context, in *v1.DealBatch) (*v1.DealBatch, error)
}

// ServerOptions are the parts that answer peers.
type ServerOptions struct {
	Host      *scheduling.Host
	Exchanger Exchanger
	Keys      KeyOwner
	Entry     Entry
	Dealer    Dealer
	Timing    Timing
	Traffic   Traffic
	Logger    log.Logger
	// MaxForwardBytes bounds the body of a request that is passed on.
	MaxForwardBytes int
}

// Server answers other routers.
type Server struct {
	opts ServerOptions
}

// NewServer returns a server.
func NewServer(opts ServerOptions) *Server {
	opts.Logger = log.With(opts.Logger, "duty", "peer")
	return &Server{opts: opts}
}

// Serve answers on the listener until ctx ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	mux := drpcmux.New()
	if err := v1.DRPCRegisterScheduling(mux, s); err != nil {
		return err
	}
	if err := v1.DRPCRegisterPeering(mux, s); err != nil {
		return err
	}
	server := drpcserver.NewWithOptions(countingHandler{mux}, drpcserver.Options{
		Manager: managerOptions(),
		Log: func(err error) {
			level.Debug(s.opts.Logger).Log("event", "peer_connection_failed", "error", err)
		},
	})
	return server.Serve(ctx, &countedListener{Listener: listener, traffic: s.opts.Traffic})
}

type countedListener struct {
	net.Listener
	traffic Traffic
}

func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, traffic: l.traffic}, nil
}

// Exchange implements the Peering service.
func (s *Server) Exchange(_ context.Context, in *v1.PeerState) (*v1.PeerState, error) {
	s.opts.Traffic.Message("peer_state", Received, proto.Size(in))
	out := s.opts.Exchanger.Exchange(in)
	s.opts.Traffic.Message("peer_state", Sent, proto.Size(out))
	return out, nil
}

// FetchConfiguration implements the Peering service.
func (s *Server) FetchConfiguration(_ context.Context, in *v1.FetchConfigurationRequest) (*v1.PublishedConfiguration, error) {
	published, ok := s.opts.Exchanger.Configuration(in.MinRevision)
	if !ok {
		return nil, errors.New("no configuration of that revision is accepted here")
	}
	s.opts.Traffic.Message("configuration", Sent, proto.Size(published))
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

// unaryTimeout bounds a call that is answered from memory.
const unaryTimeout = time.Second
