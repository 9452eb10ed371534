package edge

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// traceParent is the W3C Trace Context field with the sender's trace and span.
const traceParent = "traceparent"

// span starts the span of a request, as a child of the caller's span if the caller sent one.
func (c *call) span(ctx context.Context) (context.Context, trace.Span) {
	if c.edge.tracer == nil {
		return ctx, trace.SpanFromContext(ctx)
	}
	carrier := propagation.MapCarrier{traceParent: c.req.Header.Get(traceParent)}
	ctx = propagation.TraceContext{}.Extract(ctx, carrier)
	return c.edge.tracer.Start(ctx, "request", trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(
		attribute.String("request.id", c.id),
		attribute.String("route", c.route.Name),
		attribute.String("workspace", c.workspace),
		attribute.Int64("configuration.version", int64(c.table.Version)),
	))
}

// span starts the span of an attempt and sets the traceparent field for its target.
func (a *attempt) span(ctx context.Context) (context.Context, trace.Span) {
	if a.call.edge.tracer == nil {
		return ctx, trace.SpanFromContext(ctx)
	}
	ctx, span := a.call.edge.tracer.Start(ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		attribute.String("target", a.target.ID),
		attribute.Int("attempt", a.number),
	))
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	a.traceParent = carrier.Get(traceParent)
	return ctx, span
}
