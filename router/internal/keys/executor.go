// Package keys executes requests under request keys: it asks the router's
// ledger before each dispatch, passes requests on to the router that may
// execute their key, and records the answers.
package keys

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/requestkey"
	"github.com/chiveseam/chiveseam/result"
	"github.com/chiveseam/chiveseam/router/internal/dispatch"
	"github.com/chiveseam/chiveseam/router/internal/entry"
)

const (
	// maxClaimRounds bounds how often earlier owners are asked for one request.
	maxClaimRounds = 3
	// claimTimeout bounds one question to an earlier owner.
	claimTimeout = time.Second
	// maxRunPercent is the part of a key's lifetime that its request may take.
	maxRunPercent = 90
	// retryAfterUnreachable is told when the owner of a key does not answer.
	retryAfterUnreachable = time.Second
)

// Doer executes a request without regard to keys.
type Doer interface {
	Do(ctx context.Context, req *dispatch.Request, sink dispatch.Sink) *result.Result
}

// Peers reaches the routers that own keys.
type Peers interface {
	// Forward passes a request on. A failure before the owner had the request is
	// reported as false.
	Forward(ctx context.Context, owner requestkey.Member, head *v1.ForwardHead, body []byte, sink dispatch.Sink) (*result.Result, bool)
	ClaimKey(ctx context.Context, owner requestkey.Member, req *v1.ClaimKeyRequest) (*v1.ClaimKeyReply, error)
}

// Executor executes requests under keys. It is safe for concurrent use.
type Executor struct {
	self   requestkey.Member
	doer   Doer
	peers  Peers
	logger log.Logger
	// maxRun is the longest time that a request under a key may take.
	maxRun time.Duration

	mu     sync.Mutex
	ledger *requestkey.Ledger
}

// New returns an executor with an empty ledger.
func New(self requestkey.Member, opts requestkey.Options, doer Doer, peers Peers, logger log.Logger) (*Executor, error) {
	ledger, err := requestkey.New(self, opts)
	if err != nil {
		return nil, err
	}
	return &Executor{
		self:   self,
		doer:   doer,
		peers:  peers,
		logger: log.With(logger, "duty", "keys"),
		maxRun: opts.Lifetime / 100 * maxRunPercent,
		ledger: ledger,
	}, nil
}

// Issue implements entry.KeyIssuer.
func (e *Executor) Issue() (string, *result.Result) {
	var random [requestkey.RandomBytes]byte
	if _, err := rand.Read(random[:]); err != nil {
		return "", result.New(v1.Code_INTERNAL, v1.Ran_NO, "no random bytes: %v", err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ledger.Issue(time.Now(), random), nil
}

// Execute implements entry.Executor.
func (e *Executor) Execute(call *entry.Call, sink dispatch.Sink) *result.Result {
	key, refusal := keyOf(call)
	if refusal != nil {
		return refusal
	}
	if key == "" {
		return e.doer.Do(call.Context, call.Request, sink)
	}
	request := requestkey.Request{
		ID:        requestkey.ID{Workspace: call.Request.Workspace.Name, Key: key},
		Digest:    requestkey.Digest(call.Request.Digest),
		Forwarded: call.Forwarded,
	}
	return e.executeKeyed(call, request, sink)
}

// keyOf returns the request's key, empty if it has none.
func keyOf(call *entry.Call) (string, *result.Result) {
	if call.IssuedKey != "" && call.CallerKey != "" {
		return "", result.New(v1.Code_BAD_REQUEST, v1.Ran_UNKNOWN,
			"%s and %s exclude each other", entry.HeaderRequestKey, entry.HeaderIdempotencyKey)
	}
	if call.IssuedKey != "" {
		if _, err := requestkey.ParseIssued(call.IssuedKey); err != nil {
			return "", result.New(v1.Code_BAD_REQUEST, v1.Ran_NO, "%s: %v", entry.HeaderRequestKey, err)
		}
		return call.IssuedKey, nil
	}
	if requestkey.IsIssued(call.CallerKey) {
		return "", result.New(v1.Code_BAD_REQUEST, v1.Ran_UNKNOWN,
			"a key issued by a router goes into %s", entry.HeaderRequestKey)
	}
	return call.CallerKey, nil
}

func (e *Executor) executeKeyed(call *entry.Call, request requestkey.Request, sink dispatch.Sink) *result.Result {
	var decision requestkey.Decision
	for range maxClaimRounds {
		decision = e.begin(request)
		if decision.Action != requestkey.Claim {
			break
		}
		e.claim(call.Context, request.ID, decision)
	}
	switch decision.Action {
	case requestkey.Dispatch:
		return e.dispatch(call, request.ID, sink)
	case requestkey.Replay:
		return replay(decision.Answer, sink)
	case requestkey.Forward:
		return e.forward(call, request, decision.Owner, sink)
	case requestkey.Claim:
		return result.New(v1.Code_KEY_HISTORY_UNKNOWN, v1.Ran_UNKNOWN, "earlier owners of the key could not all be asked")
	}
	refusal := result.New(decision.Code, decision.Ran, "refused by router %s", e.self.Name)
	refusal.RetryAfter = decision.RetryAfter
	return refusal
}

func (e *Executor) begin(request requestkey.Request) requestkey.Decision {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ledger.Begin(time.Now(), request)
}

// dispatch executes a key that was begun here and records how it ended, also
// when the caller went away. A whole answer is recorded before the caller gets its
// last part, so that a request that is sent again after it finds the record.
func (e *Executor) dispatch(call *entry.Call, id requestkey.ID, sink dispatch.Sink) *result.Result {
	recorder := &recorder{sink: sink}
	ran := v1.Ran_UNKNOWN
	defer func() { e.finish(id, ran, recorder.answer()) }()
	call.Request.MayStart = func() bool { return e.mayStart(id) }
	call.Request.BeforeEnd = func(end *result.Result, last []byte) {
		recorder.end(end, last)
		e.finish(id, end.Ran, recorder.answer())
	}
	e.boundRun(call.Request)
	end := e.doer.Do(context.WithoutCancel(call.Context), call.Request, recorder)
	recorder.end(end, nil)
	ran = end.Ran
	return end
}

// boundRun ends a request before its key is forgotten: after that the key would
// be executed anew beside the first request.
func (e *Executor) boundRun(req *dispatch.Request) {
	latest := time.Now().Add(e.maxRun)
	if req.EndBy.After(latest) {
		req.EndBy = latest
	}
	if req.StartBy.After(latest) {
		req.StartBy = latest
	}
}

func (e *Executor) mayStart(id requestkey.ID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ledger.MayStart(time.Now(), id)
}

func (e *Executor) finish(id requestkey.ID, ran v1.Ran, answer *requestkey.Answer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ledger.Finish(time.Now(), id, ran, answer)
}

// claim asks the earlier owners at the same time.
func (e *Executor) claim(ctx context.Context, id requestkey.ID, decision requestkey.Decision) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, owner := range decision.Claims {
		wg.Go(func() { e.claimFrom(ctx, id, decision.Revision, owner) })
	}
	wg.Wait()
}

func (e *Executor) claimFrom(ctx context.Context, id requestkey.ID, revision uint64, owner requestkey.Member) {
	reply, err := e.peers.ClaimKey(ctx, owner, &v1.ClaimKeyRequest{
		Workspace: id.Workspace,
		Key:       id.Key,
		Claimant:  e.self.Name,
		Revision:  revision,
	})
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil {
		level.Warn(e.logger).Log("event", "claim_failed", "owner", owner.Name, "error", err)
		e.ledger.ClaimFailed(time.Now(), id, owner)
		return
	}
	request := requestkey.ClaimRequest{ID: id, Revision: revision}
	e.ledger.ClaimAnswered(time.Now(), request, owner, claimReply(reply))
}

// forward passes the request on to the owner of its key.
func (e *Executor) forward(call *entry.Call, request requestkey.Request, owner requestkey.Member, sink dispatch.Sink) *result.Result {
	end, reached := e.peers.Forward(call.Context, owner, forwardHead(call, request), call.Request.Body, sink)
	if reached {
		return end
	}
	refusal := result.New(v1.Code_KEY_OWNER_UNREACHABLE, v1.Ran_UNKNOWN, "router %s does not answer", owner.Name)
	refusal.RetryAfter = retryAfterUnreachable
	return refusal
}

func forwardHead(call *entry.Call, request requestkey.Request) *v1.ForwardHead {
	head := &v1.ForwardHead{
		Method:     call.Request.Method,
		TargetUri:  call.URI,
		Workspace:  request.ID.Workspace,
		Key:        request.ID.Key,
		DeadlineMs: uint32(max(time.Until(call.Request.StartBy), 0).Milliseconds()),
		BodyBytes:  uint64(len(call.Request.Body)),
	}
	header := call.Request.Header.Clone()
	otel.GetTextMapPropagator().Inject(call.Context, propagation.HeaderCarrier(header))
	for name, values := range header {
		for _, value := range values {
			head.Headers = append(head.Headers, &v1.Header{Name: name, Value: value})
		}
	}
	return head
}
