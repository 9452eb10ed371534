package entry

import (
	"context"
	"encoding/json"
	"mime"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/result"
	"github.com/chiveseam/chiveseam/router/internal/dispatch"
)

// Headers that callers may set.
const (
	// HeaderDeadline is the time in milliseconds after which the response must have
	// started.
	HeaderDeadline = "Chiveseam-Deadline-Ms"
	// HeaderRequestKey is a request key that a router issued.
	HeaderRequestKey = "Chiveseam-Request-Key"
	// HeaderIdempotencyKey is a request key that the caller chose.
	HeaderIdempotencyKey = "Idempotency-Key"
)

const (
	// defaultStartTimeout and defaultTotalTimeout apply to a request whose deadline
	// class is not configured. They bound the time from its arrival to the start
	// and to the end of the response.
	defaultStartTimeout = 30 * time.Second
	defaultTotalTimeout = 10 * time.Minute
	// maxStartTimeout is the greatest value of HeaderDeadline.
	maxStartTimeout = time.Hour
	// maxKeyBytes is the greatest length of a request key.
	maxKeyBytes = 255
	// prefixBytes is how many bytes of the body, from its start, identify the
	// prompt prefix.
	prefixBytes = 512

	servicesPrefix = "/services/"
)

// Call is a caller's request for an Executor, together with its request key.
type Call struct {
	// Context ends when the caller, or the router that forwarded the request,
	// disconnects.
	Context context.Context
	Request *dispatch.Request
	// IssuedKey is the value of HeaderRequestKey and CallerKey that of
	// HeaderIdempotencyKey. They are empty if the caller sent none.
	IssuedKey string
	CallerKey string
	// Forwarded is set for a request that another router forwarded.
	Forwarded bool
	// URI is the path and query of the caller's request.
	URI string
}

// completionRequest holds the fields that the router reads of an OpenAI request.
type completionRequest struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens uint32 `json:"max_tokens"`
}

// completion serves a request to a pool of engines. The pool has the name of
// the model.
func (s *Server) completion(w http.ResponseWriter, r *http.Request, in *inboundRequest) *result.Result {
	b, refusal := s.readBody(w, r, in)
	if refusal != nil {
		return refusal
	}
	defer b.release()
	var message completionRequest
	if err := json.Unmarshal(b.data, &message); err != nil {
		return result.New(v1.Code_BAD_REQUEST, v1.Ran_NO, "the body is no JSON request: %v", err)
	}
	p, refusal := findPool(in, message.Model, v1.PoolKind_ENGINE)
	if refusal != nil {
		return refusal
	}
	req := newRequest(r, in, p, b.data)
	req.TargetURI = r.URL.RequestURI()
	req.Idempotent = true
	req.Prefix = uint32(xxhash.Sum64(b.data[:min(len(b.data), prefixBytes)]))
	req.Estimate = estimateCost(p, len(b.data), message.MaxTokens)
	return s.execute(r, in, req, p.Class)
}

// estimateCost returns an upper estimate of a completion's cost in cost units: the
// prompt at four bytes a token, and maxTokens tokens of output. It returns zero,
// which means unknown, if the caller set no max_tokens.
func estimateCost(p *v1.Pool, bodyBytes int, maxTokens uint32) uint32 {
	const bytesPerToken = 4
	if maxTokens == 0 {
		return 0
	}
	return uint32(bodyBytes/bytesPerToken)*p.InputWeight + maxTokens*p.OutputWeight
}

// service serves a request to a pool of services.
func (s *Server) service(w http.ResponseWriter, r *http.Request, in *inboundRequest) *result.Result {
	name, path := splitServicePath(r.URL.EscapedPath())
	p, refusal := findPool(in, name, v1.PoolKind_SERVICE)
	if refusal != nil {
		return refusal
	}
	b, refusal := s.readBody(w, r, in)
	if refusal != nil {
		return refusal
	}
	defer b.release()
	rule := matchRule(p, r.Method, path)
	req := newRequest(r, in, p, b.data)
	req.TargetURI = path
	if r.URL.RawQuery != "" {
		req.TargetURI += "?" + r.URL.RawQuery
	}
	req.Idempotent = rule.GetIdempotent()
	class := p.Class
	if rule.GetClass() != "" {
		class = rule.GetClass()
	}
	return s.execute(r, in, req, class)
}

// splitServicePath splits /services/{service}/{rest} into the service's name
// and the path at the target.
func splitServicePath(path string) (name, rest string) {
	name, rest, _ = strings.Cut(strings.TrimPrefix(path, servicesPrefix), "/")
	return name, "/" + rest
}

// matchRule returns the pool's first rule for the method and path, or nil if no
// rule matches.
func matchRule(p *v1.Pool, method, path string) *v1.MethodRule {
	for _, rule := range p.Rules {
		if (rule.Method == "" || rule.Method == method) && strings.HasPrefix(path, rule.PathPrefix) {
			return rule
		}
	}
	return nil
}

// findPool returns the pool with the name and kind. It returns a refusal if there
// is none or if the workspace may not use it.
func findPool(in *inboundRequest, name string, kind v1.PoolKind) (*v1.Pool, *result.Result) {
	p, ok := in.config.Pool(name)
	if !ok || p.Kind != kind {
		return nil, result.New(v1.Code_UNKNOWN_POOL, v1.Ran_NO, "%q is not configured", name)
	}
	if len(in.workspace.Pools) > 0 && !slices.Contains(in.workspace.Pools, name) {
		return nil, result.New(v1.Code_NOT_ALLOWED, v1.Ran_NO, "workspace %q may not use %q", in.workspace.Name, name)
	}
	return p, nil
}

func newRequest(r *http.Request, in *inboundRequest, p *v1.Pool, data []byte) *dispatch.Request {
	return &dispatch.Request{
		Config:    in.config,
		Workspace: in.workspace,
		Pool:      p,
		Method:    r.Method,
		Header:    targetHeader(r),
		Body:      data,
		Digest:    requestDigest(p.Name, r.Method, r.URL.RequestURI(), data),
	}
}

// targetHeader returns the headers of the caller's request that the target gets.
func targetHeader(r *http.Request) http.Header {
	h := r.Header.Clone()
	removeUnforwardedHeaders(h)
	for _, name := range []string{"Authorization", "Content-Length", HeaderDeadline} {
		h.Del(name)
	}
	return h
}

// requestDigest returns a hash of the request's content. Equal requests have the
// same digest, whoever sends them. The URI is the caller's path and query.
func requestDigest(pool, method, uri string, data []byte) uint64 {
	h := xxhash.New()
	for _, part := range []string{pool, method, uri} {
		// Writing to a hash does not fail.
		_, _ = h.WriteString(part + "\x00")
	}
	_, _ = h.Write(data)
	return h.Sum64()
}

// execute sets the deadlines and the request key and passes the request to the
// executor. class is the name of the request's deadline class.
func (s *Server) execute(r *http.Request, in *inboundRequest, req *dispatch.Request, class string) *result.Result {
	if refusal := setDeadlines(req, r, in, class); refusal != nil {
		return refusal
	}
	call := &Call{
		Context:   r.Context(),
		Request:   req,
		IssuedKey: r.Header.Get(HeaderRequestKey),
		CallerKey: r.Header.Get(HeaderIdempotencyKey),
		Forwarded: in.forwarded,
		URI:       r.URL.RequestURI(),
	}
	if len(call.IssuedKey) > maxKeyBytes || len(call.CallerKey) > maxKeyBytes {
		return result.New(v1.Code_BAD_REQUEST, v1.Ran_NO, "a key is longer than %d bytes", maxKeyBytes)
	}
	in.reachedExecutor = true
	return s.executor.Execute(call, in.sink)
}

// setDeadlines sets the times by which the response must start and end, from the
// deadline class. The caller's HeaderDeadline replaces the time to start, and
// moves the end if it lies before that.
func setDeadlines(req *dispatch.Request, r *http.Request, in *inboundRequest, className string) *result.Result {
	startTimeout, totalTimeout := defaultStartTimeout, defaultTotalTimeout
	if class, ok := in.config.Class(className); ok {
		startTimeout = time.Duration(class.DeadlineMs) * time.Millisecond
		totalTimeout = time.Duration(class.TotalMs) * time.Millisecond
	}
	if text := r.Header.Get(HeaderDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		limit := maxStartTimeout.Milliseconds()
		if err != nil || ms < 1 || ms > limit {
			return result.New(v1.Code_BAD_REQUEST, v1.Ran_NO, "%s is %q: want 1 to %d", HeaderDeadline, text, limit)
		}
		startTimeout = time.Duration(ms) * time.Millisecond
	}
	req.StartBy = in.arrived.Add(startTimeout)
	req.EndBy = in.arrived.Add(max(totalTimeout, startTimeout))
	return nil
}

func isEventStream(h http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream"
}
