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
	// HeaderDeadline is the time in milliseconds until the answer must start.
	HeaderDeadline = "Chiveseam-Deadline-Ms"
	// HeaderRequestKey carries a key issued by a router.
	HeaderRequestKey = "Chiveseam-Request-Key"
	// HeaderIdempotencyKey carries a key chosen by the caller.
	HeaderIdempotencyKey = "Idempotency-Key"
)

const (
	defaultStartBy = 30 * time.Second
	defaultEndBy   = 10 * time.Minute
	maxDeadline    = time.Hour
	maxKeyBytes    = 255
	// prefixBytes is the part of a prompt that identifies its prefix.
	prefixBytes = 512

	servicesPrefix = "/services/"
)

// Call is a request with what concerns its identity.
type Call struct {
	Context context.Context
	Request *dispatch.Request
	// IssuedKey and CallerKey are empty if the caller sent none.
	IssuedKey string
	CallerKey string
	// Forwarded is set for a request that came from another router.
	Forwarded bool
	// URI is the path and query of the caller's request.
	URI string
}

// completionRequest is the part of the OpenAI request that is checked.
type completionRequest struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens uint32 `json:"max_tokens"`
}

// completion serves requests to model engines.
func (s *Server) completion(w http.ResponseWriter, r *http.Request, c *caller) *result.Result {
	b, refusal := s.readBody(w, r, c)
	if refusal != nil {
		return refusal
	}
	defer b.release()
	var message completionRequest
	if err := json.Unmarshal(b.data, &message); err != nil {
		return result.New(v1.Code_BAD_REQUEST, v1.Ran_NO, "the body is no JSON request: %v", err)
	}
	p, refusal := findPool(c, message.Model, v1.PoolKind_ENGINE)
	if refusal != nil {
		return refusal
	}
	req := newRequest(r, c, p, b.data)
	req.TargetURI = r.URL.RequestURI()
	req.Idempotent = true
	req.Prefix = uint32(xxhash.Sum64(b.data[:min(len(b.data), prefixBytes)]))
	req.Estimate = estimate(p, len(b.data), message.MaxTokens)
	return s.execute(r, c, req, p.Class)
}

// estimate bounds the cost of a completion by the caller's max_tokens. It is
// zero if the caller gave none.
func estimate(p *v1.Pool, bodyBytes int, maxTokens uint32) uint32 {
	const bytesPerToken = 4
	if maxTokens == 0 {
		return 0
	}
	return uint32(bodyBytes/bytesPerToken)*p.InputWeight + maxTokens*p.OutputWeight
}

// service serves calls of plain services.
func (s *Server) service(w http.ResponseWriter, r *http.Request, c *caller) *result.Result {
	name, path := splitServicePath(r.URL.EscapedPath())
	p, refusal := findPool(c, name, v1.PoolKind_SERVICE)
	if refusal != nil {
		return refusal
	}
	b, refusal := s.readBody(w, r, c)
	if refusal != nil {
		return refusal
	}
	defer b.release()
	rule := matchRule(p, r.Method, path)
	req := newRequest(r, c, p, b.data)
	req.TargetURI = path
	if r.URL.RawQuery != "" {
		req.TargetURI += "?" + r.URL.RawQuery
	}
	req.Idempotent = rule.GetIdempotent()
	class := p.Class
	if rule.GetClass() != "" {
		class = rule.GetClass()
	}
	return s.execute(r, c, req, class)
}

// splitServicePath splits /services/{service}/{rest} into the service's name
// and the path at the target.
func splitServicePath(path string) (name, rest string) {
	name, rest, _ = strings.Cut(strings.TrimPrefix(path, servicesPrefix), "/")
	return name, "/" + rest
}

// matchRule returns the first rule that matches, nil if none does.
func matchRule(p *v1.Pool, method, path string) *v1.MethodRule {
	for _, rule := range p.Rules {
		if (rule.Method == "" || rule.Method == method) && strings.HasPrefix(path, rule.PathPrefix) {
			return rule
		}
	}
	return nil
}

func findPool(c *caller, name string, kind v1.PoolKind) (*v1.Pool, *result.Result) {
	p, ok := c.config.Pool(name)
	if !ok || p.Kind != kind {
		return nil, result.New(v1.Code_UNKNOWN_POOL, v1.Ran_NO, "%q is not configured", name)
	}
	if len(c.workspace.Pools) > 0 && !slices.Contains(c.workspace.Pools, name) {
		return nil, result.New(v1.Code_NOT_ALLOWED, v1.Ran_NO, "workspace %q may not use %q", c.workspace.Name, name)
	}
	return p, nil
}

func newRequest(r *http.Request, c *caller, p *v1.Pool, data []byte) *dispatch.Request {
	return &dispatch.Request{
		Config:    c.config,
		Workspace: c.workspace,
		Pool:      p,
		Method:    r.Method,
		Header:    targetHeader(r),
		Body:      data,
		Digest:    digest(p.Name, r.Method, r.URL.RequestURI(), data),
	}
}

// targetHeader returns the headers that are passed on to the target.
func targetHeader(r *http.Request) http.Header {
	h := r.Header.Clone()
	removeHopHeaders(h)
	for _, name := range []string{"Authorization", "Content-Length", HeaderDeadline} {
		h.Del(name)
	}
	return h
}

// digest identifies the content of a request.
func digest(pool, method, uri string, data []byte) uint64 {
	h := xxhash.New()
	for _, part := range []string{pool, method, uri} {
		// Writing to a hash does not fail.
		_, _ = h.WriteString(part + "\x00")
	}
	_, _ = h.Write(data)
	return h.Sum64()
}

// execute sets the deadlines and the keys, and runs the request.
func (s *Server) execute(r *http.Request, c *caller, req *dispatch.Request, class string) *result.Result {
	if refusal := setDeadlines(req, r, c, class); refusal != nil {
		return refusal
	}
	call := &Call{
		Context:   r.Context(),
		Request:   req,
		IssuedKey: r.Header.Get(HeaderRequestKey),
		CallerKey: r.Header.Get(HeaderIdempotencyKey),
		Forwarded: c.forwarded,
		URI:       r.URL.RequestURI(),
	}
	if len(call.IssuedKey) > maxKeyBytes || len(call.CallerKey) > maxKeyBytes {
		return result.New(v1.Code_BAD_REQUEST, v1.Ran_NO, "a key is longer than %d bytes", maxKeyBytes)
	}
	c.decided = true
	return s.executor.Execute(call, c.sink)
}

// setDeadlines takes the deadline from the caller's header or the class.
func setDeadlines(req *dispatch.Request, r *http.Request, c *caller, className string) *result.Result {
	startBy, endBy := defaultStartBy, defaultEndBy
	if class, ok := c.config.Class(className); ok {
		startBy = time.Duration(class.DeadlineMs) * time.Millisecond
		endBy = time.Duration(class.TotalMs) * time.Millisecond
	}
	if text := r.Header.Get(HeaderDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		limit := maxDeadline.Milliseconds()
		if err != nil || ms < 1 || ms > limit {
			return result.New(v1.Code_BAD_REQUEST, v1.Ran_NO, "%s is %q: want 1 to %d", HeaderDeadline, text, limit)
		}
		startBy = time.Duration(ms) * time.Millisecond
	}
	req.StartBy = c.arrived.Add(startBy)
	req.EndBy = c.arrived.Add(max(endBy, startBy))
	return nil
}

func isEventStream(h http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream"
}
