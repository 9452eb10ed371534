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

// Forwarded executes a request that another router passed on because this one
// may execute its key. The other router has authenticated the workspace.
func (s *Server) Forwarded(ctx context.Context, head *v1.ForwardHead, data []byte, sink dispatch.Sink) *result.Result {
	c, refusal := s.forwardedCaller(head, sink)
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
	s.forwarded.Add(1)
	defer s.forwarded.Add(-1)
	end := s.routeForwarded(r, c)
	if !c.decided {
		end.Ran = ranBeforeKeys(r, end.Ran)
	}
	s.observer.Ended(end.Code, c.workspace.Name, time.Since(c.arrived))
	return end
}

func (s *Server) routeForwarded(r *http.Request, c *caller) *result.Result {
	w := noWriter{}
	if strings.HasPrefix(r.URL.Path, servicesPrefix) {
		return s.service(w, r, c)
	}
	return s.completion(w, r, c)
}

// forwardedCaller returns the caller at the other router. A refusal says
// UNKNOWN: the request has a key, under which an earlier one may have run.
func (s *Server) forwardedCaller(head *v1.ForwardHead, sink dispatch.Sink) (*caller, *result.Result) {
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
	return &caller{config: accepted, workspace: workspace, arrived: time.Now(), sink: sink, forwarded: true}, nil
}

// noWriter stands for the caller's connection, which the other router holds.
type noWriter struct{}

func (noWriter) Header() http.Header         { return http.Header{} }
func (noWriter) Write(p []byte) (int, error) { return len(p), nil }
func (noWriter) WriteHeader(int)             {}
