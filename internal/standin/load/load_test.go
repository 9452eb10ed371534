package load_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/internal/standin/engine"
	"github.com/chiveseam/chiveseam/internal/standin/load"
	"github.com/chiveseam/chiveseam/internal/standin/service"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const (
	engineSlots  = 4
	serviceSlots = 4
)

// routerStub takes the place of a router: it hands each request to one engine or
// one service in the same process.
type routerStub struct {
	engine, service http.Handler
	keys            atomic.Uint64
	// serveService replaces the handling of service calls.
	serveService func(e *routerStub, w http.ResponseWriter, r *http.Request)
	// wrap replaces the writer of model answers.
	wrap func(http.ResponseWriter) http.ResponseWriter
}

func (e *routerStub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/v1/request-keys":
		fmt.Fprintf(w, `{"key":"k%d"}`, e.keys.Add(1))
	case strings.HasPrefix(r.URL.Path, "/services/"):
		e.serveService(e, w, r)
	default:
		e.serveModel(w, r)
	}
}

// serveModel tells the result in the trailer of streams and in the headers of
// other answers.
func (e *routerStub) serveModel(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	prefix := ""
	if bytes.Contains(body, []byte(`"stream":true`)) {
		prefix = http.TrailerPrefix
	}
	w.Header().Set(prefix+"Chiveseam-Code", "100 OK")
	w.Header().Set(prefix+"Chiveseam-Ran", "YES")
	e.engine.ServeHTTP(e.wrap(w), r)
}

func writeCode(w http.ResponseWriter, code, ran string) {
	w.Header().Set("Chiveseam-Code", code)
	w.Header().Set("Chiveseam-Ran", ran)
}

// forward runs the call unless its key was seen before.
func forward(e *routerStub, w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Idempotency-Key") != "" || r.Header.Get("Chiveseam-Request-Key") != "" {
		writeCode(w, "300 QUEUE_FULL", "NO")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writeCode(w, "100 OK", "YES")
	e.service.ServeHTTP(w, r)
}

// forwardTwice runs each call twice.
func forwardTwice(e *routerStub, w http.ResponseWriter, r *http.Request) {
	e.service.ServeHTTP(httptest.NewRecorder(), r.Clone(r.Context()))
	forward(e, w, r)
}

// forwardAndReportNotRun runs each call and tells that it did not run.
func forwardAndReportNotRun(e *routerStub, w http.ResponseWriter, r *http.Request) {
	e.service.ServeHTTP(httptest.NewRecorder(), r)
	writeCode(w, "304 ROUTER_BUSY", "NO")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// doneDroppingWriter drops the last event of each stream.
type doneDroppingWriter struct{ http.ResponseWriter }

func (w doneDroppingWriter) Write(p []byte) (int, error) {
	if bytes.Contains(p, []byte("[DONE]")) {
		return len(p), nil
	}
	return w.ResponseWriter.Write(p)
}

func (w doneDroppingWriter) Flush() { w.ResponseWriter.(http.Flusher).Flush() }

func unchanged(w http.ResponseWriter) http.ResponseWriter { return w }

func withoutDone(w http.ResponseWriter) http.ResponseWriter { return doneDroppingWriter{w} }

// run sends a short load to the entry and returns the report and its text.
func run(t *testing.T, e *routerStub) (*load.Report, string) {
	t.Helper()
	e.engine = engine.New(engine.Settings{Slots: engineSlots, TokensPerSecond: 2000}).Handler()
	e.service = service.New(service.Settings{}, service.NewLedger()).Handler()
	router := httptest.NewServer(e)
	defer router.Close()
	engines := httptest.NewServer(e.engine)
	defer engines.Close()
	services := httptest.NewServer(e.service)
	defer services.Close()
	report := load.Run(context.Background(), load.Options{
		Configuration: configuration(engines.Listener.Addr().String(), services.Listener.Addr().String()),
		Routers:       []string{router.Listener.Addr().String()},
		Duration:      time.Second,
		Drain:         time.Second,
		Backlogged:    2,
		LightInterval: 100 * time.Millisecond,
	})
	var text strings.Builder
	report.Print(&text)
	return report, text.String()
}

func configuration(engineAddress, serviceAddress string) *v1.Configuration {
	return &v1.Configuration{
		Deployment: "test",
		Pools: []*v1.Pool{
			{Name: "assistant", Kind: v1.PoolKind_ENGINE, InputWeight: 1, OutputWeight: 2},
			{Name: "desk", Kind: v1.PoolKind_SERVICE, Rules: []*v1.MethodRule{
				{Method: http.MethodGet, Idempotent: true},
				{Method: http.MethodPost, PathPrefix: "/bookings"},
			}},
		},
		Targets: []*v1.Target{
			{Name: "e1", Pool: "assistant", Address: engineAddress, Slots: engineSlots},
			{Name: "s1", Pool: "desk", Address: serviceAddress, Slots: serviceSlots},
		},
		Workspaces: []*v1.Workspace{
			{Name: "large", Share: 4}, {Name: "other", Share: 4}, {Name: "small", Share: 1},
		},
	}
}

func TestCorrectAnswersCauseNoViolation(t *testing.T) {
	is := is.New(t)
	report, text := run(t, &routerStub{serveService: forward, wrap: unchanged})
	t.Log(text)
	is.NoErr(report.Err())
	is.True(strings.Contains(text, "violations: none"))
	is.True(!strings.Contains(text, "HTTP 200")) // the trailer tells the result
	is.True(strings.Contains(text, "utilisation of slots"))
}

func TestViolationsAreReported(t *testing.T) {
	for name, test := range map[string]struct {
		entry *routerStub
		want  string
	}{
		"double run":   {&routerStub{serveService: forwardTwice, wrap: unchanged}, "ran more than once"},
		"false no":     {&routerStub{serveService: forwardAndReportNotRun, wrap: unchanged}, "told not run, but ran"},
		"short stream": {&routerStub{serveService: forward, wrap: withoutDone}, "ended cleanly but is short"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			report, text := run(t, test.entry)
			is.True(report.Err() != nil)
			is.True(strings.Contains(text, test.want))
		})
	}
}
