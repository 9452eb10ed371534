// Package tracing makes spans and sends them to a collector.
package tracing

import (
	"context"
	"fmt"
	"net/url"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// tracesPath is the path of the collector's OTLP endpoint for traces.
const tracesPath = "v1/traces"

// Tracing makes spans and sends them by OTLP over HTTP. It is safe for concurrent use.
type Tracing struct {
	service  string
	provider trace.TracerProvider
	// close is nil if no spans are sent.
	close func(context.Context) error
}

// New sets the process's tracer provider and W3C propagation. base is the
// collector's base URL. With an empty one no spans are made, and a caller's trace
// context is passed on unchanged. service names the program, instance and zone the
// process.
func New(ctx context.Context, base, service, instance, zone string) (*Tracing, error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	t := &Tracing{service: service, provider: noop.NewTracerProvider()}
	if base != "" {
		provider, err := newProvider(ctx, base, service, instance, zone)
		if err != nil {
			return nil, err
		}
		t.provider = provider
		t.close = provider.Shutdown
	}
	otel.SetTracerProvider(t.provider)
	return t, nil
}

func newProvider(ctx context.Context, base, service, instance, zone string) (*sdktrace.TracerProvider, error) {
	endpoint, err := url.JoinPath(base, tracesPath)
	if err != nil {
		return nil, fmt.Errorf("trace collector: %w", err)
	}
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(endpoint))
	if err != nil {
		return nil, fmt.Errorf("trace exporter: %w", err)
	}
	return sdktrace.NewTracerProvider(
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", service),
			attribute.String("service.instance.id", instance),
			attribute.String("chiveseam.zone", zone),
		)),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.AlwaysSample())),
		sdktrace.WithBatcher(exporter),
	), nil
}

// Tracer returns the program's tracer.
func (t *Tracing) Tracer() trace.Tracer {
	return t.provider.Tracer("github.com/chiveseam/chiveseam/" + t.service)
}

// Close sends the spans that are left.
func (t *Tracing) Close(ctx context.Context) error {
	if t.close == nil {
		return nil
	}
	return t.close(ctx)
}
