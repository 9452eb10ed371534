// Package tracing sets up OpenTelemetry tracing and exports spans to a collector.
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

// tracesPath is the path of OTLP traces below the collector's base URL.
const tracesPath = "v1/traces"

// Tracing holds the tracer provider of a program. Spans are exported in batches by OTLP over
// HTTP. It is safe for concurrent use.
type Tracing struct {
	service  string
	provider trace.TracerProvider
	// shutdown is nil if spans aren't exported.
	shutdown func(context.Context) error
}

// New sets the tracer provider and W3C trace context propagation of the whole process. base is
// the collector's base URL; if it is empty, no spans are recorded and a caller's trace context
// is passed on unchanged. service is the name of the program, instance that of the process's
// instance and zone its availability zone. New doesn't connect to the collector; an error means
// that the exporter can't be set up for base.
func New(ctx context.Context, base, service, instance, zone string) (*Tracing, error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	t := &Tracing{service: service, provider: noop.NewTracerProvider()}
	if base != "" {
		provider, err := newProvider(ctx, base, service, instance, zone)
		if err != nil {
			return nil, err
		}
		t.provider = provider
		t.shutdown = provider.Shutdown
	}
	otel.SetTracerProvider(t.provider)
	return t, nil
}

// newProvider returns a provider that records a trace unless the caller's trace context says
// that it is not sampled.
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

// Close exports the spans that are left and stops the exporter. An error means that spans may
// be lost. Close is called once, after the last span has ended.
func (t *Tracing) Close(ctx context.Context) error {
	if t.shutdown == nil {
		return nil
	}
	return t.shutdown(ctx)
}
