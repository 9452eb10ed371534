package entry

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"github.com/chiveseam/chiveseam/config"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/result"
	"github.com/chiveseam/chiveseam/router/internal/dispatch"
)

// ExecuteForwarded implements peer.ForwardedExecutor. It executes a request that
// another router forwarded because this router owns its request key, and writes
// the response to sink. The other router has authenticated the workspace and
// counted the request against its own limit on open requests. ExecuteForwarded is
// safe for concurrent use.
func (s *Server) ExecuteForwarded(ctx context.Context, head *v1.ForwardHead, data []byte, sink dispatch.Sink) *result.Result {
	in, refusal := s.newForwardedRequest(head, sink)
	if refusal != nil {
		return refusal
	}
	r, err := http.NewRequestWithContext(ctx, head.Method, head.TargetUri, bytes.NewReader(data))
	if err != nil {
		return result.New(v1.Code_BAD_REQUEST, v1.Ran_UNKNOWN, "forwarded request: %v", err)
	}
	for _, h := range head.Headers {
		r.Header.Add(h.Name, h.Value)
	}
	ctx, span := s.tracer.Start(
		otel.GetTextMapPropagator().Extract(ctx, propagation.HeaderCarrier(r.Header)), "forwarded")
	defer span.End()
	r = r.WithContext(ctx)
	r.Header.Set(HeaderDeadline, strconv.FormatUint(uint64(max(head.DeadlineMs, 1)), 10))
	s.openForwarded.Add(1)
	defer s.openForwarded.Add(-1)
	res := s.routeForwarded(r, in)
	if !in.reachedExecutor {
		res.Ran = ranWithoutKeyLookup(r, res.Ran)
	}
	s.observer.RequestEnded(res.Code, in.workspace.Name, time.Since(in.arrived))
	return res
}

func (s *Server) routeForwarded(r *http.Request, in *inboundRequest) *result.Result {
	w := discardWriter{}
	if strings.HasPrefix(r.URL.Path, servicesPrefix) {
		return s.service(w, r, in)
	}
	return s.completion(w, r, in)
}

// newForwardedRequest returns the state of a request that another router forwarded.
// A refusal has the Ran value UNKNOWN: the request has a key, and an earlier
// request with the same key may have run.
func (s *Server) newForwardedRequest(head *v1.ForwardHead, sink dispatch.Sink) (*inboundRequest, *result.Result) {
	accepted := s.store.Config()
	if accepted == nil {
		refusal := result.New(v1.Code_NOT_READY, v1.Ran_UNKNOWN, "the owner of the key has no configuration in force")
		refusal.RetryAfter = time.Second
		return nil, refusal
	}
	workspace, ok := accepted.Workspace(config.IDOf(head.Workspace))
	if !ok {
		return nil, result.New(v1.Code_UNKNOWN_TOKEN, v1.Ran_UNKNOWN, "workspace %q is not configured", head.Workspace)
	}
	return &inboundRequest{config: accepted, workspace: workspace, arrived: time.Now(), sink: sink, forwarded: true}, nil
}

// discardWriter is the ResponseWriter of a forwarded request. The caller's
// connection is at the other router, and the response goes to the sink instead.
type discardWriter struct{}

func (discardWriter) Header() http.Header         { return http.Header{} }
func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (discardWriter) WriteHeader(int)             {}
