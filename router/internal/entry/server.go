// Package entry serves callers over HTTP: it authenticates requests, bounds
// them, reads them in full, and answers with the result's code and whether
// the request ran.
package entry

import (
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/uptrace/bunrouter"
	"go.opentelemetry.io/contrib/instrumentation/net/http/otelhttp"
	"go.opentelemetry.io/otel/trace"

	"github.com/chiveseam/chiveseam/config"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/result"
	"github.com/chiveseam/chiveseam/router/internal/dispatch"
	"github.com/chiveseam/chiveseam/router/internal/state"
)

// entrySpan is the name of the span of a caller's request.
const entrySpan = "entry"

// Options bound what the entry accepts.
type Options struct {
	MaxOpenRequests int
	MaxBodyBytes    int64
	MaxBodiesBytes  int64
	// BodyTimeout bounds the time a caller takes to send its body.
	BodyTimeout time.Duration
	// WriteTimeout bounds the time a caller takes to accept a part of the answer.
	WriteTimeout time.Duration
}

// Executor executes a request that was read in full.
type Executor interface {
	Execute(call *Call, sink dispatch.Sink) *result.Result
}

// Observer is told how requests ended.
type Observer interface {
	Ended(code v1.Code, workspace string, elapsed time.Duration)
	Refused(code v1.Code)
}

// Server handles callers' requests. It is an http.Handler.
type Server struct {
	opts     Options
	store    *state.Store
	executor Executor
	keys     KeyIssuer
	observer Observer
	logger   log.Logger
	tracer   trace.Tracer
	open     openRequests
	bodies   byteBudget
	stopping chan struct{}
	ready    func() bool
	handler  http.Handler
	// forwarded counts the open requests that other routers passed on.
	forwarded atomic.Int64
}

// KeyIssuer issues request keys.
type KeyIssuer interface {
	Issue() (string, *result.Result)
}

// New returns a server.
func New(opts Options, store *state.Store, executor Executor, keys KeyIssuer, observer Observer, ready func() bool, logger log.Logger, tracer trace.Tracer) *Server {
	s := &Server{
		opts:     opts,
		store:    store,
		executor: executor,
		keys:     keys,
		observer: observer,
		logger:   log.With(logger, "duty", "entry"),
		tracer:   tracer,
		open:     openRequests{byWorkspace: map[string]int{}},
		stopping: make(chan struct{}),
		ready:    ready,
	}
	router := bunrouter.New(
		bunrouter.WithNotFoundHandler(s.notFound),
		bunrouter.WithMethodNotAllowedHandler(s.notFound),
	)
	router.POST("/v1/chat/completions", s.guarded(s.completion))
	router.POST("/v1/completions", s.guarded(s.completion))
	router.POST("/v1/request-keys", s.guarded(s.issueKey))
	s.handleServices(router)
	s.handler = otelhttp.NewHandler(router, entrySpan, otelhttp.WithSpanNameFormatter(
		func(operation string, _ *http.Request) string { return operation }))
	return s
}

// handleServices routes every method of /services/{service}/... .
func (s *Server) handleServices(router *bunrouter.Router) {
	methods := []string{
		http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
		http.MethodPatch, http.MethodDelete, http.MethodOptions,
	}
	for _, method := range methods {
		router.Handle(method, servicesPrefix+":service/*path", s.guarded(s.service))
	}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.handler.ServeHTTP(w, r)
}

// Stop makes the server refuse new requests.
func (s *Server) Stop() { close(s.stopping) }

// OpenRequests returns the number of requests in progress.
func (s *Server) OpenRequests() int { return s.open.total() + int(s.forwarded.Load()) }

// BodyBytes returns the bytes of bodies held in memory.
func (s *Server) BodyBytes() int64 { return s.bodies.used() }

// caller is what is known of a request once its token was accepted.
type caller struct {
	config    *config.Accepted
	workspace *v1.Workspace
	arrived   time.Time
	sink      dispatch.Sink
	forwarded bool
	// unread is set while the body was not read to its end.
	unread bool
	// decided is set once the request reached the executor, whose results
	// respect the request's key.
	decided bool
}

type handler func(w http.ResponseWriter, r *http.Request, c *caller) *result.Result

// guarded checks readiness and the token, bounds the open requests, and
// answers with the result of h where h has written nothing.
func (s *Server) guarded(h handler) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		c, refusal := s.authenticate(r.Request)
		if refusal != nil {
			s.refuse(w, r.Request, refusal)
			return nil
		}
		if refusal := s.enter(c); refusal != nil {
			s.refuse(w, r.Request, refusal)
			return nil
		}
		defer s.leave(c)
		c.unread = hasBody(r.Request)
		tracked := &trackedWriter{ResponseWriter: w}
		c.sink = newCallerSink(tracked, s.opts.WriteTimeout)
		end := h(tracked, r.Request, c)
		if !c.decided {
			end.Ran = ranBeforeKeys(r.Request, end.Ran)
		}
		s.observer.Ended(end.Code, c.workspace.Name, time.Since(c.arrived))
		s.finish(tracked, r.Request, c, end)
		return nil
	}
}

// refuse answers a request before it is opened.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, refusal *result.Result) {
	refusal.Ran = ranBeforeKeys(r, refusal.Ran)
	s.observer.Refused(refusal.Code)
	if hasBody(r) {
		writeResultBeforeBody(w, r, refusal, lingerBytes)
		return
	}
	writeResult(w, refusal)
}

func hasBody(r *http.Request) bool { return r.ContentLength != 0 }

// ranBeforeKeys returns what may be said of a request whose key was not looked
// up: an earlier request with the key may have run.
func ranBeforeKeys(r *http.Request, ran v1.Ran) v1.Ran {
	keyed := r.Header.Get(HeaderRequestKey) != "" || r.Header.Get(HeaderIdempotencyKey) != ""
	if keyed && ran == v1.Ran_NO {
		return v1.Ran_UNKNOWN
	}
	return ran
}

func busy(format string, args ...any) *result.Result {
	r := result.New(v1.Code_ROUTER_BUSY, v1.Ran_NO, format, args...)
	r.RetryAfter = time.Second
	return r
}

// authenticate finds the workspace of the bearer token.
func (s *Server) authenticate(r *http.Request) (*caller, *result.Result) {
	select {
	case <-s.stopping:
		refusal := result.New(v1.Code_STOPPING, v1.Ran_NO, "the router is stopping")
		refusal.RetryAfter = time.Second
		return nil, refusal
	default:
	}
	accepted := s.store.Config()
	if accepted == nil || !s.ready() {
		refusal := result.New(v1.Code_NOT_READY, v1.Ran_NO, "no configuration is in force")
		refusal.RetryAfter = time.Second
		return nil, refusal
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return nil, result.New(v1.Code_UNKNOWN_TOKEN, v1.Ran_NO, "the Authorization header has no bearer token")
	}
	workspace, ok := accepted.WorkspaceByToken(token)
	if !ok {
		return nil, result.New(v1.Code_UNKNOWN_TOKEN, v1.Ran_NO, "the bearer token belongs to no workspace")
	}
	return &caller{config: accepted, workspace: workspace, arrived: time.Now()}, nil
}

func (s *Server) notFound(w http.ResponseWriter, r bunrouter.Request) error {
	s.refuse(w, r.Request, result.New(v1.Code_UNKNOWN_POOL, v1.Ran_NO, "%s %s is no route", r.Method, r.URL.Path))
	return nil
}

// issueKey answers with a new request key of this router.
func (s *Server) issueKey(w http.ResponseWriter, _ *http.Request, _ *caller) *result.Result {
	key, refusal := s.keys.Issue()
	if refusal != nil {
		return refusal
	}
	end := result.New(v1.Code_OK, v1.Ran_YES, "key issued")
	setResultHeaders(w.Header(), end)
	writeJSON(w, http.StatusCreated, issuedKey{Key: key})
	return end
}

type issuedKey struct {
	Key string `json:"key"`
}
