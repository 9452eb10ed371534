package scheduling

import (
	"testing"

	"github.com/matryer/is"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/chiveseam/chiveseam/config"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// A grant must be traced as a child of the span that the demand carries. The span of a
// demand that still waits must end with its session, or it would never be exported.
func TestGrantSpanIsChildOfTheDemandsSpan(t *testing.T) {
	is := is.New(t)
	recorder := tracetest.NewSpanRecorder()
	provider := sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(recorder))
	f := newFixture(t)
	f.opts.Tracer = provider.Tracer("test")
	_, caller := provider.Tracer("test").Start(t.Context(), "wait")
	for seq := uint64(1); seq <= 2; seq++ {
		f.receive(f.session, &v1.EntryBatch{Demands: []*v1.Demand{{
			Seq:       seq,
			Pool:      uint32(poolID),
			Workspace: uint32(config.IDOf("large")),
			WaitMs:    minuteMs,
			Trace:     EncodeTrace(caller.SpanContext()),
		}}}, f.now)
	}
	is.Equal(len(recorder.Ended()), 1) // only one slot: the second demand waits
	span := recorder.Ended()[0]
	is.Equal(span.Name(), "grant")
	is.Equal(span.SpanContext().TraceID(), caller.SpanContext().TraceID())
	is.Equal(span.Parent().SpanID(), caller.SpanContext().SpanID())
	f.close(f.session, f.now)
	is.Equal(len(recorder.Ended()), 2)
	is.Equal(len(f.session.spans), 0)
}
