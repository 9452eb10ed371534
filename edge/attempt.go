package edge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/go-kit/log/level"
	"go.opentelemetry.io/otel/attribute"

	"github.com/chiveseam/chiveseam/h1"
	"github.com/chiveseam/chiveseam/placement"
	"github.com/chiveseam/chiveseam/routing"
)

// attemptOutcome says what is known of the execution of an attempt. Metrics and logs name it
// "fate".
type attemptOutcome int

const (
	// answered: the caller has received the complete answer.
	answered attemptOutcome = iota
	// notSent: no complete request head reached the target, so the target cannot have run it.
	notSent
	// rejected: the target states that it did not run the request.
	rejected
	// lost: the target may have run the request, but no complete valid answer came.
	lost
	// failing: the target ran the request and answered with a server error.
	failing
	// abandoned: the caller has left or cannot be answered any more.
	abandoned
)

func (o attemptOutcome) String() string {
	return [...]string{"answered", "not_sent", "rejected", "lost", "failing", "abandoned"}[o]
}

// attempt is one try to send a call to one target.
type attempt struct {
	call   *call
	target routing.Target
	ticket *placement.Ticket
	// fetchFrom is the address of the target whose KV cache holds parts of the prompt; "" if the
	// target fetches none.
	fetchFrom string
	// fetchZone is the zone of that target.
	fetchZone string
	// number counts the attempts of the call that reached a target, from 1.
	number int
	began  time.Time
	// hasAlternative is set if the service had another target, when this one was chosen, at which a stream may go on.
	hasAlternative bool
	// traceParent is the value of the traceparent field for the target; "" without tracing.
	traceParent string
	// stopCancel unregisters the function that closes the connection when the request's context
	// ends. It returns false if that function has already started.
	stopCancel func() bool
	// closeDelimited is set if the end of the answer's body is the end of the connection, and end says then what is
	// known of the process that has closed it; "" before.
	closeDelimited bool
	end            endEvidence
	// upload is the sending of the request; nil before.
	upload *upload
	// firstByteAt is when the first bytes of the answer's body came; zero before.
	firstByteAt time.Time
	// events finds and checks the events of a stream.
	events eventGate
	// spoiled names what is wrong with the content of the answer; "" if nothing is known to be.
	spoiled string
	// statedStart is the Unix time in ms that the process stated as its start on the connection of the attempt; 0 if it
	// stated none or was not asked.
	statedStart int64
	// processUnknown is set if the process did not state its start although its registration does.
	processUnknown bool
	// hold is the memory of the answer, or of the parts of it that are held.
	hold *hold
	// partialSince is when a part of the answer came that had not become complete when the attempt ended; zero if
	// there was none.
	partialSince time.Time
	// answer is a complete answer that is held in memory; set for non-stream answers.
	answer *answer
	// sent is set once the target may have received the head of the request, and sentAt is just before that.
	sent   bool
	sentAt time.Time
	// crashed is set if the connection broke after the target had received the request, and
	// targetGone if the target's process is known to have ended.
	crashed    bool
	targetGone bool
	// proven is set once the target has been answering for provenAfter.
	proven bool
	err    error
}

// answer is a complete non-stream answer of a target.
type answer struct {
	status int
	header h1.Header
	body   []byte
}

var (
	errOtherAnswer   = errors.New("target sent answers to other requests instead")
	errUnsigned      = errors.New("answer has no signature")
	errTargetTimeout = errors.New("target is silent")
	errCallerLeft    = errors.New("caller left before the request was sent")
)

// maxOtherAnswers is the number of answers to other requests that are skipped on a connection.
const maxOtherAnswers = 2

// run sends the request to the target and delivers the answer, within a span of its own.
func (a *attempt) run(ctx context.Context) attemptOutcome {
	ctx, span := a.span(ctx)
	outcome := a.connectAndExchange(ctx)
	span.SetAttributes(attribute.Stringer("fate", outcome))
	span.End()
	return outcome
}

// connectAndExchange runs the attempt on a pooled or new connection to the target.
func (a *attempt) connectAndExchange(ctx context.Context) attemptOutcome {
	e := a.call.edge
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a.hold = e.answerMemory.open(a.target.ID, func() {
		cancel(errMemory)
		a.call.reply.interruptWrite()
	})
	u, err := e.targetConns.get(ctx, a.target.Address, a.call.maySendOn)
	if err != nil {
		a.err = err
		if ctx.Err() != nil {
			return abandoned
		}
		return notSent
	}
	if c := a.call; c.route.RetryPolicy == routing.Resumable || c.demand.Version != 0 || c.movedVersion != 0 {
		if a.err = a.checkProcess(u); a.err != nil {
			u.abandon()
			if ctx.Err() != nil {
				return abandoned
			}
			return notSent
		}
	}
	if e.isEvacuated(a.target.Zone) {
		u.Close()
		a.err = errEvacuated
		return notSent
	}
	if e.isEvacuated(a.fetchZone) {
		a.fetchFrom = ""
	}
	// On a busy processor, the goroutine that watches the caller's connection may not have run yet.
	if closedByPeer(a.call.reply.conn) {
		u.Close()
		a.err = errCallerLeft
		return abandoned
	}
	if !e.asksForStart(a.target) && (e.statusPath(a.target) == "" || e.witnesses.expectsUnframed(a.target.Service)) {
		e.witnesses.attach(u, time.Now(), a.targetLeaves)
	}
	u.answering.Store(false)
	a.stopCancel = context.AfterFunc(attemptCtx, u.abandon)
	defer a.stopCancel()
	outcome := a.exchange(ctx, u)
	if ctx.Err() != nil && outcome != answered {
		return abandoned
	}
	return outcome
}

// exchange sends the request on u, delivers the answer and then pools or closes u.
func (a *attempt) exchange(ctx context.Context, u *upstream) attemptOutcome {
	c := a.call
	head := h1.AppendRequestHead(make([]byte, 0, typicalHeadBytes), c.req.Method, c.req.Target, a.header(), len(c.req.Body))
	a.sent, a.sentAt = true, time.Now()
	u.noteSent(c.id)
	c.sentOn = append(c.sentOn, u)
	var sent int64
	var err error
	if a.upload, sent, err = send(u, head, c.req.Body); err != nil {
		c.edge.witnesses.detach(u)
		u.abandon()
		a.err = fmt.Errorf("send: %w", err)
		if sent < int64(len(head)) {
			return notSent
		}
		return lost
	}
	resp, err := a.readHead(u)
	if err != nil {
		a.partialSince = u.partialSince
		c.edge.witnesses.detach(u)
		u.abandon()
		return a.readFailed(err)
	}
	u.answering.Store(true)
	a.closeDelimited = resp.CloseDelimited()
	outcome, complete := a.deliver(ctx, u, resp)
	a.partialSince = u.partialSince
	a.release(u, resp, complete)
	return outcome
}

const (
	// typicalHeadBytes is the initial size of the buffer for a request's head.
	typicalHeadBytes = 1024
	// maxInlineBodyBytes is the largest body that is written before the answer is read. It fits
	// into the window of a connection, so that the write does not block.
	maxInlineBodyBytes = 16 << 10
	// sendTimeout limits the time to write a request.
	sendTimeout = 5 * time.Second
)

// upload is the sending of a request, which may go on while the answer is read.
type upload struct {
	// done is closed after the last write, and err is the error of that.
	done chan struct{}
	err  error
}

// send writes the request and returns the number of bytes written before it returns. A body longer
// than maxInlineBodyBytes is written by a goroutine while the answer is read, since a target may
// answer before it has read the whole body.
func send(u *upstream, head, body []byte) (*upload, int64, error) {
	up := &upload{done: make(chan struct{})}
	u.SetWriteDeadline(time.Now().Add(sendTimeout))
	if len(body) <= maxInlineBodyBytes {
		defer close(up.done)
		message := net.Buffers{head, body}
		n, err := message.WriteTo(u.Conn)
		up.err = err
		return up, n, err
	}
	n, err := u.Write(head)
	if err != nil {
		return up, int64(n), err
	}
	go func() {
		defer close(up.done)
		_, up.err = u.Write(body)
	}()
	return up, int64(n), nil
}

// release pools the connection if the request was written and the answer read completely, and
// closes it otherwise.
func (a *attempt) release(u *upstream, resp *h1.Response, complete bool) {
	// Another attempt may use the connection as soon as it is in the pool.
	a.call.edge.witnesses.detach(u)
	if !complete || !a.stopCancel() {
		u.Close()
		return
	}
	select {
	case <-a.upload.done:
		if a.upload.err != nil {
			u.Close()
			return
		}
		a.call.edge.targetConns.put(u, resp)
	default:
		// The body is still being written, so the connection cannot carry another request.
		u.Close()
	}
}

// header returns the fields that the target receives: those of the caller and the router's own.
func (a *attempt) header() h1.Header {
	c := a.call
	names := &c.edge.headers
	h := make(h1.Header, 0, len(c.forwardHeader)+4)
	for _, f := range c.forwardHeader {
		if c.lastEventID != "" && strings.EqualFold(f.Name, names.LastEventID) {
			continue
		}
		if a.traceParent != "" && strings.EqualFold(f.Name, traceParent) {
			continue
		}
		h = append(h, f)
	}
	if c.lastEventID != "" {
		h = append(h, h1.Field{Name: names.LastEventID, Value: c.lastEventID})
	}
	remainingMs := max(time.Until(c.deadline).Milliseconds(), 1)
	h = append(h,
		h1.Field{Name: names.Deadline, Value: strconv.FormatInt(remainingMs, 10)},
		h1.Field{Name: names.TargetID, Value: a.target.ID})
	if a.fetchFrom != "" {
		h = append(h, h1.Field{Name: names.FetchFrom, Value: a.fetchFrom})
	}
	if a.traceParent != "" {
		h = append(h, h1.Field{Name: traceParent, Value: a.traceParent})
	}
	if c.workspace != "" {
		h = append(h, h1.Field{Name: names.Workspace, Value: c.workspace})
	}
	return h
}

// firstByteDeadline returns the time by which the answer must begin. If the request cannot be
// retried, that is the request's deadline.
func (a *attempt) firstByteDeadline() time.Time {
	c := a.call
	if !c.mayRepeat() || a.number >= c.route.MaxAttempts {
		return c.deadline
	}
	timeout := firstEventTimeoutFactor * c.route.LatencyObjective
	if !c.route.Stream {
		timeout = c.route.LatencyObjective * idempotentTimeoutPercent / 100
	}
	if deadline := time.Now().Add(timeout); deadline.Before(c.deadline) {
		return deadline
	}
	return c.deadline
}

const (
	// firstEventTimeoutFactor times the route's LatencyObjective is the time that a target may take
	// to the first event of a stream before another target is tried.
	firstEventTimeoutFactor = 3
	// idempotentTimeoutPercent of the route's LatencyObjective is the time that a target may take
	// to answer an idempotent request; a second target has the rest.
	idempotentTimeoutPercent = 70
)

// readHead reads the head of the answer to this request. It skips late answers to other requests.
// An answer without a request ID is only accepted if it states that the target did not run the
// request, and is the first one on the connection: on one that was used it may repeat an earlier refusal.
func (a *attempt) readHead(u *upstream) (*h1.Response, error) {
	c := a.call
	firstByte := a.firstByteDeadline()
	for skipped := range maxOtherAnswers + 1 {
		u.beginHead(a.hold, firstByte)
		resp, err := h1.ReadResponseWithInterim(u.br, c.req.Method, maxAnswerHeadBytes, u.awaitHead)
		if err != nil {
			return nil, err
		}
		u.endHead()
		if c.edge.headers.joinsHeads(resp) {
			return nil, errJoinedHeads
		}
		a.heed(resp)
		id, echoed := resp.Header.Lookup(c.edge.headers.RequestID)
		first := !u.reused && !u.questioned && skipped == 0
		if id == c.id || (!echoed && first && a.saysNotRun(resp)) {
			return resp, nil
		}
		level.Info(c.log).Log("event", "answer_skipped", "target", a.target.ID, "status", resp.Status, "answers", id, "kept_connection", u.reused)
		if resp.Length() < 0 {
			return nil, errOtherAnswer
		}
		u.SetReadDeadline(firstByte)
		if err := a.discardAnswer(u, resp); err != nil {
			return nil, err
		}
	}
	return nil, errOtherAnswer
}

// maxDiscardedBytes limits the body of an answer that is not forwarded: one to another request, or
// one that rejects the request.
const maxDiscardedBytes = 256 << 10

// discardAnswer reads the body of an answer that is not forwarded, within the read deadline of u.
func (a *attempt) discardAnswer(u *upstream, resp *h1.Response) error {
	checked := a.newCheckedBody(u, resp)
	n, err := io.Copy(io.Discard, io.LimitReader(checked, maxDiscardedBytes+1))
	switch {
	case err != nil:
		return err
	case n > maxDiscardedBytes:
		return h1.ErrBodyTooLarge
	}
	return checked.end()
}

// rejectionTimeout limits the time to read the body of an answer that rejects the request: its head
// says all that is needed to try another target.
const rejectionTimeout = 100 * time.Millisecond

// saysNotRun reports whether the target states that it did not run the request.
func (a *attempt) saysNotRun(resp *h1.Response) bool {
	if resp.Status == http.StatusMisdirectedRequest {
		return true
	}
	_, marked := resp.Header.Lookup(a.call.edge.headers.NotRun)
	return marked && resp.Status >= 400
}

// impliesNotRun reports whether callers conclude from a status that their request has not run. Such
// an answer is forwarded only if the target states the same.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// readFailed sets err and crashed for an answer that could not be read.
func (a *attempt) readFailed(err error) attemptOutcome {
	a.err = err
	a.noteSpoiled(err)
	switch {
	case a.hold.revoked():
		a.err = errMemory
		return lost
	case errors.Is(err, os.ErrDeadlineExceeded):
		a.err = errTargetTimeout
	}
	a.crashed = showsCrash(err)
	if errors.Is(err, errTargetEnded) || errors.Is(err, errEndUnconfirmed) {
		a.crashed = a.processCrashed()
	}
	return lost
}

// showsCrash reports whether an answer that could not be read may be the end of its target. Neither a connection that
// timed out or that the router has closed nor bytes that are no answer are a sign of that.
func showsCrash(err error) bool {
	for _, other := range []error{
		os.ErrDeadlineExceeded, net.ErrClosed, syscall.ETIMEDOUT, errMemory, errOtherAnswer, errAnswerInBody, errJoinedHeads,
		h1.ErrSyntax, h1.ErrFraming, h1.ErrHeaderTooLarge, h1.ErrBodyTooLarge,
	} {
		if errors.Is(err, other) {
			return false
		}
	}
	return true
}

// stalledTime is the time without the end of a part of an answer after which the target is at fault, if the caller leaves.
const stalledTime = 500 * time.Millisecond

// stalled reports whether the attempt ended at a time when a part of the answer was overdue.
func (a *attempt) stalled(now time.Time) bool {
	return !a.partialSince.IsZero() && now.Sub(a.partialSince) >= stalledTime
}

// deliver forwards the answer to the caller. The second result is whether the body was read to its
// end, so that the connection can be reused.
func (a *attempt) deliver(ctx context.Context, u *upstream, resp *h1.Response) (attemptOutcome, bool) {
	names := &a.call.edge.headers
	if a.saysNotRun(resp) {
		u.SetReadDeadline(time.Now().Add(rejectionTimeout))
		err := a.discardAnswer(u, resp)
		a.noteSpoiled(err)
		a.err = fmt.Errorf("target answered %d", resp.Status)
		return rejected, err == nil
	}
	if !names.isSigned(resp) {
		a.err = errUnsigned
		return lost, false
	}
	if a.closeDelimited {
		a.watchEnd(u)
	}
	if a.call.route.Stream && resp.Status < 300 && resp.Status != http.StatusNoContent {
		return a.stream(ctx, u, resp)
	}
	if a.call.reply.begun {
		a.err = fmt.Errorf("target answered %d instead of continuing the stream", resp.Status)
		return failing, false
	}
	body, err := a.readBody(u, resp)
	if err != nil {
		return a.readFailed(err), false
	}
	if impliesNotRun(resp.Status) {
		a.err = fmt.Errorf("target answered %d without saying that it did not run the request", resp.Status)
		return lost, true
	}
	a.call.edge.recordFirstBytes(a)
	a.answer = &answer{status: resp.Status, header: resp.Header, body: body}
	if resp.Status >= 500 {
		a.err = fmt.Errorf("target answered %d", resp.Status)
		return failing, true
	}
	if a.call.sendHeld(a.answer, a.hold) != nil {
		return abandoned, true
	}
	return answered, true
}

// maxBufferedAnswerBytes limits a non-stream answer, which is held in memory until it is complete.
const maxBufferedAnswerBytes = 8 << 20

// readBody reads a complete body of at most maxBufferedAnswerBytes, within the request's deadline
// and the memory that the router has for answers. A body that ends with its connection is complete
// only if confirmEnd says so.
func (a *attempt) readBody(u *upstream, resp *h1.Response) ([]byte, error) {
	u.SetReadDeadline(a.call.deadline)
	u.partialSince = time.Now()
	buf := heldBuffer{hold: a.hold}
	checked := a.newCheckedBody(u, resp)
	more, err := buf.readAll(checked, resp.Length(), maxBufferedAnswerBytes)
	if err == nil && !more {
		err = checked.end()
	}
	switch {
	case err != nil:
		return nil, err
	case more:
		return nil, h1.ErrBodyTooLarge
	}
	if a.closeDelimited {
		if err := a.confirmEnd(u, a.call.deadline); err != nil {
			return nil, err
		}
	}
	u.partialSince = time.Time{}
	return buf.data, nil
}
