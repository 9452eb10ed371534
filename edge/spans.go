package edge

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// traceParent is the W3C header field that names the span of the sender.
const traceParent = "traceparent"

// span begins the span of a request within the caller's trace, if it has one.
func (c *call) span(ctx context.Context) (context.Context, trace.Span) {
	if c.edge.tracer == nil {
		return ctx, trace.SpanFromContext(ctx)
	}
	caller := propagation.MapCarrier{traceParent: c.req.Header.Get(traceParent)}
	ctx = propagation.TraceContext{}.Extract(ctx, caller)
	return c.edge.tracer.Start(ctx, "request", trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(
		attribute.String("request.id", c.id),
		attribute.String("route", c.route.Name),
		attribute.String("workspace", c.workspace),
		attribute.Int64("configuration.version", int64(c.table.Version)),
	))
}

// span begins the span of an attempt, which its target is told of.
func (a *attempt) span(ctx context.Context) (context.Context, trace.Span) {
	if a.call.edge.tracer == nil {
		return ctx, trace.SpanFromContext(ctx)
	}
	ctx, span := a.call.edge.tracer.Start(ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		attribute.String("target", a.target.ID),
		attribute.Int("attempt", a.number),
	))
	told := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, told)
	a.traceParent = told.Get(traceParent)
	return ctx, span
}
