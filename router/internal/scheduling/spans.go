package scheduling

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// traceBytes is the length in bytes of Demand.trace: trace ID, span ID and flags.
const traceBytes = 16 + 8 + 1

// EncodeTrace returns the trace context of a sampled span for Demand.trace. It returns
// nil for any other span, so that requests that are not traced cost no bytes.
func EncodeTrace(sc trace.SpanContext) []byte {
	if !sc.IsValid() || !sc.IsSampled() {
		return nil
	}
	traceID, spanID := sc.TraceID(), sc.SpanID()
	encoded := make([]byte, 0, traceBytes)
	encoded = append(encoded, traceID[:]...)
	encoded = append(encoded, spanID[:]...)
	return append(encoded, byte(sc.TraceFlags()))
}

func decodeTrace(encoded []byte) (trace.SpanContext, bool) {
	if len(encoded) != traceBytes {
		return trace.SpanContext{}, false
	}
	c := trace.SpanContextConfig{TraceFlags: trace.TraceFlags(encoded[traceBytes-1]), Remote: true}
	copy(c.TraceID[:], encoded)
	copy(c.SpanID[:], encoded[len(c.TraceID):])
	sc := trace.NewSpanContext(c)
	return sc, sc.IsValid()
}

// beginSpan starts a span that lasts from the arrival of a sampled demand to its grant,
// refusal or withdrawal.
func (s *Session) beginSpan(d *v1.Demand) {
	sc, ok := decodeTrace(d.Trace)
	if _, open := s.spans[d.Seq]; open || !ok || s.host.opts.Tracer == nil {
		return
	}
	ctx := trace.ContextWithRemoteSpanContext(context.Background(), sc)
	_, span := s.host.opts.Tracer.Start(ctx, "grant")
	s.spans[d.Seq] = span
}

// endSpan ends the span of a demand, if it has one, with the decision: the grant, the
// code of the refusal or the withdrawal.
func (s *Session) endSpan(seq uint64, decision string) {
	span, ok := s.spans[seq]
	if !ok {
		return
	}
	delete(s.spans, seq)
	span.SetAttributes(attribute.String("chiveseam.decision", decision))
	span.End()
}

// endSpans ends the open spans when the session closes.
func (s *Session) endSpans() {
	for seq := range s.spans {
		s.endSpan(seq, "lost")
	}
}
