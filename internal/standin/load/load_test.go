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

// routerStub takes the place of a router. It passes each request to one engine or one
// service in the same process.
type routerStub struct {
	engine, service http.Handler
	keys            atomic.Uint64
	// serveService handles service calls.
	serveService func(s *routerStub, w http.ResponseWriter, r *http.Request)
	// wrap returns the writer that model answers are written to.
	wrap func(http.ResponseWriter) http.ResponseWriter
}

func (s *routerStub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/v1/request-keys":
		fmt.Fprintf(w, `{"key":"k%d"}`, s.keys.Add(1))
	case strings.HasPrefix(r.URL.Path, "/services/"):
		s.serveService(s, w, r)
	default:
		s.serveModel(w, r)
	}
}

// serveModel states the result in the trailer of streams and in the headers of other
// answers, as routers do.
func (s *routerStub) serveModel(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	prefix := ""
	if bytes.Contains(body, []byte(`"stream":true`)) {
		prefix = http.TrailerPrefix
	}
	w.Header().Set(prefix+"Chiveseam-Code", "100 OK")
	w.Header().Set(prefix+"Chiveseam-Ran", "YES")
	s.engine.ServeHTTP(s.wrap(w), r)
}

func writeCode(w http.ResponseWriter, code, ran string) {
	w.Header().Set("Chiveseam-Code", code)
	w.Header().Set("Chiveseam-Ran", ran)
}

// forward runs calls without a key and refuses calls with one as not run.
func forward(s *routerStub, w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Idempotency-Key") != "" || r.Header.Get("Chiveseam-Request-Key") != "" {
		writeCode(w, "300 QUEUE_FULL", "NO")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writeCode(w, "100 OK", "YES")
	s.service.ServeHTTP(w, r)
}

// forwardTwice runs each call once without answering, and then handles it as forward does.
func forwardTwice(s *routerStub, w http.ResponseWriter, r *http.Request) {
	s.service.ServeHTTP(httptest.NewRecorder(), r.Clone(r.Context()))
	forward(s, w, r)
}

// forwardAndReportNotRun runs each call and answers that it did not run.
func forwardAndReportNotRun(s *routerStub, w http.ResponseWriter, r *http.Request) {
	s.service.ServeHTTP(httptest.NewRecorder(), r)
	writeCode(w, "304 ROUTER_BUSY", "NO")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// doneDroppingWriter drops the [DONE] event of each stream.
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

// run sends load to the stub for a second and returns the report and its printed text.
func run(t *testing.T, stub *routerStub) (*load.Report, string) {
	t.Helper()
	stub.engine = engine.New(engine.Settings{Slots: engineSlots, TokensPerSecond: 2000}).Handler()
	stub.service = service.New(service.Settings{}, service.NewLedger()).Handler()
	router := httptest.NewServer(stub)
	defer router.Close()
	engines := httptest.NewServer(stub.engine)
	defer engines.Close()
	services := httptest.NewServer(stub.service)
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

// configuration has one engine and one service, two workspaces with equal shares that
// are backlogged, and a light one.
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

// The generator must accept complete answers, streamed or not, and answers that refuse a
// call. It must take the result of a stream from the trailer.
func TestCorrectAnswersCauseNoViolation(t *testing.T) {
	is := is.New(t)
	report, text := run(t, &routerStub{serveService: forward, wrap: unchanged})
	t.Log(text)
	is.NoErr(report.Err())
	is.True(strings.Contains(text, "violations: none"))
	is.True(!strings.Contains(text, "HTTP 200")) // the result comes from the trailer
	is.True(strings.Contains(text, "utilisation of slots"))
}

// Each kind of wrong answer must fail the run: the system tests rely on Report.Err to
// find calls that ran twice, calls falsely reported as not run, and truncated streams.
func TestViolationsAreReported(t *testing.T) {
	for name, test := range map[string]struct {
		stub *routerStub
		want string
	}{
		"double run":   {&routerStub{serveService: forwardTwice, wrap: unchanged}, "ran more than once"},
		"false no":     {&routerStub{serveService: forwardAndReportNotRun, wrap: unchanged}, "told not run, but ran"},
		"short stream": {&routerStub{serveService: forward, wrap: withoutDone}, "ended cleanly but is short"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			report, text := run(t, test.stub)
			is.True(report.Err() != nil)
			is.True(strings.Contains(text, test.want))
		})
	}
}
