package edge

import (
	"testing"

	"github.com/matryer/is"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
)

// A request has a span in its caller's trace, and each attempt a child span, which the target
// receives in traceparent.
func TestRequestSpans(t *testing.T) {
	is := is.New(t)
	target := newTestTarget(t, "t1", echo)
	f := newFixture(t, target)
	recorder := tracetest.NewSpanRecorder()
	f.edge.tracer = sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(recorder)).Tracer("test")
	const caller = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	c := f.client()
	c.send("GET", "/idempotent/", "traceparent: "+caller+"\r\n", "")
	_, _, err := c.receive("GET")
	is.NoErr(err)
	f.await(func() bool { return len(recorder.Ended()) == 2 })
	attempt, request := recorder.Ended()[0], recorder.Ended()[1]
	is.Equal(attempt.Name(), "attempt")
	is.Equal(request.Name(), "request")
	is.Equal(request.SpanContext().TraceID().String(), caller[3:35])
	is.Equal(attempt.Parent().SpanID(), request.SpanContext().SpanID())
	traceparent := target.requests()[0].Header.Get("Traceparent")
	is.Equal(traceparent[36:52], attempt.SpanContext().SpanID().String())
}
