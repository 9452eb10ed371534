package telemetry

import (
	"context"
	"fmt"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// Tracing makes spans and sends them by OTLP over HTTP.
type Tracing struct {
	provider *sdktrace.TracerProvider
}

// NewTracing sets the process's tracer provider and W3C propagation. With an
// empty url spans are neither recorded nor sent, and a caller's trace context
// is passed on.
func NewTracing(ctx context.Context, url, router, zone string) (*Tracing, error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	opts := []sdktrace.TracerProviderOption{
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "chiveseam-router"),
			attribute.String("service.instance.id", router),
			attribute.String("chiveseam.zone", zone),
		)),
		sdktrace.WithSampler(sdktrace.NeverSample()),
	}
	if url != "" {
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(url))
		if err != nil {
			return nil, fmt.Errorf("trace exporter: %w", err)
		}
		opts = append(opts, sdktrace.WithSampler(sdktrace.AlwaysSample()), sdktrace.WithBatcher(exporter))
	}
	provider := sdktrace.NewTracerProvider(opts...)
	otel.SetTracerProvider(provider)
	return &Tracing{provider: provider}, nil
}

// Tracer returns the router's tracer.
func (t *Tracing) Tracer() trace.Tracer {
	return t.provider.Tracer("github.com/chiveseam/chiveseam/router")
}

// Close sends the spans that are left.
func (t *Tracing) Close(ctx context.Context) error { return t.provider.Shutdown(ctx) }
