package tracing_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"github.com/chiveseam/chiveseam/internal/tracing"
)

// TestSpansReachTheCollector checks that Close exports spans to the OTLP path below the
// collector's URL.
func TestSpansReachTheCollector(t *testing.T) {
	is := is.New(t)
	paths := make(chan string, 1)
	collector := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		select {
		case paths <- r.URL.Path:
		default:
		}
	}))
	defer collector.Close()
	ctx := context.Background()
	spans, err := tracing.New(ctx, collector.URL, "router", "router-1", "zone-a")
	is.NoErr(err)
	_, span := spans.Tracer().Start(ctx, "wait")
	span.End()
	is.NoErr(spans.Close(ctx))
	is.Equal(<-paths, "/v1/traces")
}

// TestCallersTraceContextIsPassedOn guards against traces that break at a router without a
// collector: the target must get the caller's trace context.
func TestCallersTraceContextIsPassedOn(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	spans, err := tracing.New(ctx, "", "router", "router-1", "zone-a")
	is.NoErr(err)
	const parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	caller := propagation.MapCarrier{"traceparent": parent}
	ctx = otel.GetTextMapPropagator().Extract(ctx, caller)
	ctx, span := spans.Tracer().Start(ctx, "attempt")
	defer span.End()
	target := propagation.MapCarrier{}
	otel.GetTextMapPropagator().Inject(ctx, target)
	is.Equal(target["traceparent"], parent)
}
