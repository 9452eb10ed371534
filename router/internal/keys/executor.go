// Package keys executes requests that have a request key, which a router issued or the
// caller chose. For each request, Executor asks the router's requestkey.Ledger whether to
// send the request to a target, to repeat a recorded answer or to forward the request to
// the router that owns the key. It records the answers of the requests that it executes.
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
	// maxClaimRounds is the greatest number of times that the earlier owners of a key are
	// asked for one request.
	maxClaimRounds = 3
	// claimTimeout bounds the time in which the earlier owners must answer a claim.
	claimTimeout = time.Second
	// maxRunPercent is the part of a key's lifetime that a request with the key may take.
	maxRunPercent = 90
	// retryAfterUnreachable is the delay that a caller is told if the owner of its key
	// cannot be reached.
	retryAfterUnreachable = time.Second
)

// Doer sends a request to a target and relays the answer to sink, without regard to
// request keys. It is called concurrently.
type Doer interface {
	Do(ctx context.Context, req *dispatch.Request, sink dispatch.Sink) *result.Result
}

// Peers calls the routers that own keys. Its methods are called concurrently.
type Peers interface {
	// Forward sends a request to owner and relays the answer to sink. It returns false
	// if it could not open a stream to owner and therefore has sent nothing.
	Forward(ctx context.Context, owner requestkey.Member, head *v1.ForwardHead, body []byte, sink dispatch.Sink) (*result.Result, bool)
	// ClaimKey sends a claim to owner. An error means that owner has not answered.
	ClaimKey(ctx context.Context, owner requestkey.Member, req *v1.ClaimKeyRequest) (*v1.ClaimKeyReply, error)
}

// Executor executes requests under their request keys, and handles the calls from other
// routers about keys. It is safe for concurrent use.
type Executor struct {
	self   requestkey.Member
	doer   Doer
	peers  Peers
	logger log.Logger
	// maxRunTime is the longest time that a request with a key may take.
	maxRunTime time.Duration

	mu sync.Mutex
	// ledger is guarded by mu.
	ledger *requestkey.Ledger
}

// New returns an executor with an empty ledger for the router self. It fails if opts are
// invalid.
func New(self requestkey.Member, opts requestkey.Options, doer Doer, peers Peers, logger log.Logger) (*Executor, error) {
	ledger, err := requestkey.New(self, opts)
	if err != nil {
		return nil, err
	}
	return &Executor{
		self:       self,
		doer:       doer,
		peers:      peers,
		logger:     log.With(logger, "duty", "keys"),
		maxRunTime: opts.Lifetime / 100 * maxRunPercent,
		ledger:     ledger,
	}, nil
}

// Issue returns a new key of this router. It implements entry.KeyIssuer.
func (e *Executor) Issue() (string, *result.Result) {
	var random [requestkey.RandomBytes]byte
	if _, err := rand.Read(random[:]); err != nil {
		return "", result.New(v1.Code_INTERNAL, v1.Ran_NO, "no random bytes: %v", err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ledger.Issue(time.Now(), random), nil
}

// Execute executes a request, under its key if it has one. It implements entry.Executor.
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
	return e.executeWithKey(call, request, sink)
}

// keyOf returns the request's key, empty if it has none. It returns a refusal if the
// request has two keys, or if its key is malformed or in the wrong header.
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

// executeWithKey does what the ledger decides about the request. While the decision is
// Claim, it asks the earlier owners of the key and then the ledger again.
func (e *Executor) executeWithKey(call *entry.Call, request requestkey.Request, sink dispatch.Sink) *result.Result {
	var decision requestkey.Decision
	for range maxClaimRounds {
		decision = e.begin(request)
		if decision.Action != requestkey.Claim {
			break
		}
		e.claimFromOwners(call.Context, request.ID, decision)
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

// dispatch executes a request whose key was begun here and records how it ended. It does
// so even if the caller disconnects. A complete answer is recorded before its last part
// is sent to the caller, so that a caller that has the whole answer and sends the request
// again gets the record.
func (e *Executor) dispatch(call *entry.Call, id requestkey.ID, sink dispatch.Sink) *result.Result {
	recorder := &recorder{sink: sink}
	ran := v1.Ran_UNKNOWN
	defer func() { e.finish(id, ran, recorder.answer()) }()
	call.Request.MayStart = func() bool { return e.mayStart(id) }
	call.Request.BeforeEnd = func(end *result.Result, last []byte) {
		recorder.recordEnd(end, last)
		e.finish(id, end.Ran, recorder.answer())
	}
	e.limitRunTime(call.Request)
	end := e.doer.Do(context.WithoutCancel(call.Context), call.Request, recorder)
	recorder.recordEnd(end, nil)
	ran = end.Ran
	return end
}

// limitRunTime makes the request end before the ledger forgets its key. After that, a
// request with the same key would be executed while this one still runs.
func (e *Executor) limitRunTime(req *dispatch.Request) {
	latest := time.Now().Add(e.maxRunTime)
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

// claimFromOwners sends a claim to all earlier owners in parallel and waits for the
// answers.
func (e *Executor) claimFromOwners(ctx context.Context, id requestkey.ID, decision requestkey.Decision) {
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
	e.ledger.ClaimAnswered(time.Now(), request, owner, claimReplyFromMessage(reply))
}

// forward sends the request to the owner of its key and relays the answer.
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
