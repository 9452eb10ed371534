// Package entry serves callers over HTTP. It authenticates a request, enforces the
// limits on open requests and body sizes, reads the whole body, and passes the
// request to an Executor. Every response carries the result code and whether the
// request ran.
//
// The package also executes requests that another router forwarded because this
// router owns their request key.
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

// Options are the limits of a Server. The limits of the configuration apply too;
// of both, the lower one counts.
type Options struct {
	// MaxOpenRequests is the greatest number of callers' requests in progress.
	MaxOpenRequests int
	// MaxBodyBytes bounds the body of one request.
	MaxBodyBytes int64
	// MaxBodiesBytes bounds the memory for all bodies together.
	MaxBodiesBytes int64
	// BodyTimeout bounds the time a caller takes to send its body.
	BodyTimeout time.Duration
	// WriteTimeout bounds the time a caller takes to accept one part of a response.
	WriteTimeout time.Duration
}

// Executor executes a request whose body was read in full and writes the response
// to sink. It is called concurrently.
type Executor interface {
	Execute(call *Call, sink dispatch.Sink) *result.Result
}

// Observer counts the results of requests. It is called concurrently.
type Observer interface {
	// RequestEnded is called when an admitted request ends, elapsed after its
	// arrival.
	RequestEnded(code v1.Code, workspace string, elapsed time.Duration)
	// RequestRefused is called for a request that was not admitted.
	RequestRefused(code v1.Code)
}

// Server handles callers' requests. It implements http.Handler and is safe for
// concurrent use.
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
	// stopping is closed by Stop.
	stopping chan struct{}
	ready    func() bool
	handler  http.Handler
	// openForwarded counts the requests in progress that other routers forwarded.
	openForwarded atomic.Int64
}

// KeyIssuer issues request keys.
type KeyIssuer interface {
	// Issue returns a new request key of this router, or a refusal. It is called
	// concurrently.
	Issue() (string, *result.Result)
}

// New returns a server. Callers are refused while ready returns false; it is
// called concurrently.
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
	router.POST("/v1/chat/completions", s.withAdmission(s.completion))
	router.POST("/v1/completions", s.withAdmission(s.completion))
	router.POST("/v1/request-keys", s.withAdmission(s.issueKey))
	s.registerServiceRoutes(router)
	s.handler = otelhttp.NewHandler(router, entrySpan, otelhttp.WithSpanNameFormatter(
		func(operation string, _ *http.Request) string { return operation }))
	return s
}

// registerServiceRoutes registers /services/{service}/... for every method.
func (s *Server) registerServiceRoutes(router *bunrouter.Router) {
	methods := []string{
		http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
		http.MethodPatch, http.MethodDelete, http.MethodOptions,
	}
	for _, method := range methods {
		router.Handle(method, servicesPrefix+":service/*path", s.withAdmission(s.service))
	}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.handler.ServeHTTP(w, r)
}

// Stop makes the server refuse new requests of callers. Requests in progress go
// on, and requests that other routers forward are still accepted. Stop must be
// called only once.
func (s *Server) Stop() { close(s.stopping) }

// OpenRequests returns the number of requests in progress, of callers and of
// other routers.
func (s *Server) OpenRequests() int { return s.open.total() + int(s.openForwarded.Load()) }

// BodyBytes returns the memory reserved for bodies of callers' and forwarded
// requests, in bytes.
func (s *Server) BodyBytes() int64 { return s.bodies.reserved() }

// inboundRequest is the state of one authenticated request. It is used by the
// request's goroutine only.
type inboundRequest struct {
	// config is the configuration in force when the request arrived. It applies
	// until the request ends.
	config    *config.Accepted
	workspace *v1.Workspace
	arrived   time.Time
	// sink receives the response.
	sink dispatch.Sink
	// forwarded is set if another router forwarded the request.
	forwarded bool
	// bodyUnread is set while a part of the body may still be unread.
	bodyUnread bool
	// reachedExecutor is set once the request was passed to the executor. The
	// executor's results already consider earlier requests with the same key.
	reachedExecutor bool
}

// handler executes an admitted request. It returns the result and may already
// have written the response.
type handler func(w http.ResponseWriter, r *http.Request, in *inboundRequest) *result.Result

// withAdmission returns a handler that authenticates a request, refuses it over
// the limits on open requests, and otherwise calls h. If h wrote no response, the
// result of h is the response.
func (s *Server) withAdmission(h handler) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		in, refusal := s.authenticate(r.Request)
		if refusal != nil {
			s.refuse(w, r.Request, refusal)
			return nil
		}
		if refusal := s.admitRequest(in); refusal != nil {
			s.refuse(w, r.Request, refusal)
			return nil
		}
		defer s.releaseRequest(in)
		in.bodyUnread = hasBody(r.Request)
		tracked := &trackedWriter{ResponseWriter: w}
		in.sink = newCallerSink(tracked, s.opts.WriteTimeout)
		res := h(tracked, r.Request, in)
		if !in.reachedExecutor {
			res.Ran = ranWithoutKeyLookup(r.Request, res.Ran)
		}
		s.observer.RequestEnded(res.Code, in.workspace.Name, time.Since(in.arrived))
		s.finishResponse(tracked, r.Request, in, res)
		return nil
	}
}

// refuse answers a request that is not admitted. Of its body, up to maxLingerBytes
// are read and discarded.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, refusal *result.Result) {
	refusal.Ran = ranWithoutKeyLookup(r, refusal.Ran)
	s.observer.RequestRefused(refusal.Code)
	if hasBody(r) {
		writeResultAndDiscardBody(w, r, refusal, maxLingerBytes)
		return
	}
	writeResult(w, refusal)
}

// hasBody reports whether the request has a body. ContentLength is -1 for a body
// whose length the caller did not declare.
func hasBody(r *http.Request) bool { return r.ContentLength != 0 }

// ranWithoutKeyLookup returns the Ran value for a request that ended before its
// request key was looked up. For a request with a key it turns NO into UNKNOWN,
// because an earlier request with the same key may have run.
func ranWithoutKeyLookup(r *http.Request, ran v1.Ran) v1.Ran {
	keyed := r.Header.Get(HeaderRequestKey) != "" || r.Header.Get(HeaderIdempotencyKey) != ""
	if keyed && ran == v1.Ran_NO {
		return v1.Ran_UNKNOWN
	}
	return ran
}

// routerBusy returns a refusal because a limit of this router is reached.
func routerBusy(format string, args ...any) *result.Result {
	refusal := result.New(v1.Code_ROUTER_BUSY, v1.Ran_NO, format, args...)
	refusal.RetryAfter = time.Second
	return refusal
}

// authenticate returns the state of a request whose bearer token belongs to a
// workspace. It returns a refusal for another token, and while the router is
// stopping or not ready.
func (s *Server) authenticate(r *http.Request) (*inboundRequest, *result.Result) {
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
	return &inboundRequest{config: accepted, workspace: workspace, arrived: time.Now()}, nil
}

func (s *Server) notFound(w http.ResponseWriter, r bunrouter.Request) error {
	s.refuse(w, r.Request, result.New(v1.Code_UNKNOWN_POOL, v1.Ran_NO, "%s %s is no route", r.Method, r.URL.Path))
	return nil
}

// issueKey serves POST /v1/request-keys: it responds with a new request key.
func (s *Server) issueKey(w http.ResponseWriter, _ *http.Request, _ *inboundRequest) *result.Result {
	key, refusal := s.keys.Issue()
	if refusal != nil {
		return refusal
	}
	res := result.New(v1.Code_OK, v1.Ran_YES, "key issued")
	setResultHeaders(w.Header(), res)
	writeJSON(w, http.StatusCreated, issuedKey{Key: key})
	return res
}

// issuedKey is the response body of POST /v1/request-keys.
type issuedKey struct {
	Key string `json:"key"`
}
