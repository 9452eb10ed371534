package edge

import (
	"bytes"
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

	"go.opentelemetry.io/otel/attribute"

	"github.com/chiveseam/chiveseam/h1"
	"github.com/chiveseam/chiveseam/placement"
	"github.com/chiveseam/chiveseam/routing"
)

// fate says what is known of an attempt's execution.
type fate int

const (
	// answered: the caller has the whole answer.
	answered fate = iota
	// notSent: no byte of the request reached the target.
	notSent
	// rejected: the target says that it did not run the request.
	rejected
	// lost: the request may have run, and its answer did not come whole.
	lost
	// failing: the target ran the request and answered with an error of its own.
	failing
	// abandoned: the caller left, or cannot be answered any more.
	abandoned
)

func (f fate) String() string {
	return [...]string{"answered", "not_sent", "rejected", "lost", "failing", "abandoned"}[f]
}

// attempt is one try of a call at one target.
type attempt struct {
	call   *call
	target routing.Target
	ticket *placement.Ticket
	// fetchFrom is the address of the target that keeps parts of the prompt.
	fetchFrom string
	number    int
	began     time.Time
	// traceParent names the attempt's span to the target; "" if there is none.
	traceParent string
	// detach keeps the end of the request from closing the connection. It returns
	// false if that has happened.
	detach func() bool
	// answer is a whole answer that is not delivered yet; set with failing.
	answer *answer
	// crashed is set if the connection broke while the target had the request.
	crashed bool
	err     error
}

// answer is a whole plain answer of a target.
type answer struct {
	status int
	header h1.Header
	body   []byte
}

var (
	errForeignAnswer = errors.New("answers of other requests came")
	errUnsigned      = errors.New("answer without a signature")
	errSilent        = errors.New("target is silent")
	errCallerLeft    = errors.New("caller left before the request was sent")
)

// maxForeign is the number of answers of other requests that are passed over.
const maxForeign = 2

// run sends the request and delivers the answer.
func (a *attempt) run(ctx context.Context) fate {
	ctx, span := a.span(ctx)
	f := a.perform(ctx)
	span.SetAttributes(attribute.Stringer("fate", f))
	span.End()
	return f
}

func (a *attempt) perform(ctx context.Context) fate {
	e := a.call.edge
	u, err := e.pool.get(ctx, a.target.Address)
	if err != nil {
		a.err = err
		if ctx.Err() != nil {
			return abandoned
		}
		return notSent
	}
	// The watch of a caller's connection may not have had its turn on a busy
	// processor.
	if ended(a.call.reply.conn) {
		u.Close()
		a.err = errCallerLeft
		return abandoned
	}
	a.detach = context.AfterFunc(ctx, func() { u.Close() })
	defer a.detach()
	f := a.exchange(ctx, u)
	if ctx.Err() != nil && f != answered {
		return abandoned
	}
	return f
}

func (a *attempt) exchange(ctx context.Context, u *upstream) fate {
	c := a.call
	head := h1.AppendRequestHead(make([]byte, 0, headBytes), c.req.Method, c.req.Target, a.header(), len(c.req.Body))
	written := make(chan error, 1)
	if sent, err := send(u, head, c.req.Body, written); err != nil {
		u.Close()
		a.err = fmt.Errorf("send: %w", err)
		if sent < int64(len(head)) {
			return notSent
		}
		return lost
	}
	u.SetReadDeadline(a.firstDeadline())
	resp, err := a.readHead(u)
	if err != nil {
		u.Close()
		return a.broken(err)
	}
	f, whole := a.deliver(ctx, u, resp)
	a.release(u, resp, whole, written)
	return f
}

const (
	// headBytes is the usual size of a request's head.
	headBytes = 1024
	// inlineBytes is the size of a body that is written before the answer is read: it
	// fits the window of a connection.
	inlineBytes = 16 << 10
	// sendTimeout bounds the writing of a request.
	sendTimeout = 5 * time.Second
)

// send writes the request and returns the number of bytes that the connection
// took. Long bodies are written while the answer is read, since a target may answer
// before it has read all; written tells their end.
func send(u *upstream, head, body []byte, written chan<- error) (int64, error) {
	u.SetWriteDeadline(time.Now().Add(sendTimeout))
	if len(body) <= inlineBytes {
		message := net.Buffers{head, body}
		n, err := message.WriteTo(u.Conn)
		written <- err
		return n, err
	}
	n, err := u.Write(head)
	if err != nil {
		return int64(n), err
	}
	go func() {
		_, err := u.Write(body)
		written <- err
	}()
	return int64(n), nil
}

// release keeps the connection if the exchange is whole on both sides.
func (a *attempt) release(u *upstream, resp *h1.Response, whole bool, written <-chan error) {
	if !whole || !a.detach() {
		u.Close()
		return
	}
	select {
	case err := <-written:
		if err != nil {
			u.Close()
			return
		}
		a.call.edge.pool.put(u, resp)
	default:
		// The rest of the request is still due to the target.
		u.Close()
	}
}

func (a *attempt) header() h1.Header {
	c := a.call
	names := &c.edge.headers
	h := make(h1.Header, 0, len(c.forward)+4)
	for _, f := range c.forward {
		if c.lastEvent != "" && strings.EqualFold(f.Name, names.LastEventID) {
			continue
		}
		if a.traceParent != "" && strings.EqualFold(f.Name, traceParent) {
			continue
		}
		h = append(h, f)
	}
	if c.lastEvent != "" {
		h = append(h, h1.Field{Name: names.LastEventID, Value: c.lastEvent})
	}
	left := max(time.Until(c.giveUp).Milliseconds(), 1)
	h = append(h,
		h1.Field{Name: names.Deadline, Value: strconv.FormatInt(left, 10)},
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

// firstDeadline is when the target must have begun to answer. Requests that run
// once wait until the caller gives up.
func (a *attempt) firstDeadline() time.Time {
	c := a.call
	if !c.mayRepeat() || a.number >= c.route.MaxAttempts {
		return c.giveUp
	}
	patience := firstPatience * c.route.LatencyObjective
	if !c.route.Stream {
		patience = c.route.LatencyObjective * plainPatience / 100
	}
	if at := time.Now().Add(patience); at.Before(c.giveUp) {
		return at
	}
	return c.giveUp
}

const (
	// firstPatience is the multiple of the wanted time that a stream's target may
	// take to the first event before another one is tried.
	firstPatience = 3
	// plainPatience is the same for idempotent calls, in percent: the rest of the
	// wanted time is for a second target.
	plainPatience = 70
)

// readHead reads the head of the answer to this request and passes over late
// answers to others.
func (a *attempt) readHead(u *upstream) (*h1.Response, error) {
	c := a.call
	for range maxForeign + 1 {
		resp, err := h1.ReadResponse(u.br, c.req.Method, maxAnswerHead)
		if err != nil {
			return nil, err
		}
		id, echoed := resp.Header.Lookup(c.edge.headers.RequestID)
		if id == c.id || (!echoed && a.saysNotRun(resp)) {
			return resp, nil
		}
		if resp.Length() < 0 {
			return nil, errForeignAnswer
		}
		if _, err := io.Copy(io.Discard, resp.Body(u.br)); err != nil {
			return nil, err
		}
	}
	return nil, errForeignAnswer
}

// saysNotRun reports whether the target states that it did not run the request.
func (a *attempt) saysNotRun(resp *h1.Response) bool {
	if resp.Status == http.StatusMisdirectedRequest {
		return true
	}
	_, marked := resp.Header.Lookup(a.call.edge.headers.NotRun)
	return marked && resp.Status >= 400
}

// promisesNotRun reports statuses that tell a caller that its request has not run.
// They are passed on only with the target's word.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// broken classifies an answer that did not come.
func (a *attempt) broken(err error) fate {
	a.err = err
	if errors.Is(err, os.ErrDeadlineExceeded) {
		a.err = errSilent
	}
	// A connection that timed out says nothing of its target.
	a.crashed = !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, syscall.ETIMEDOUT)
	return lost
}

// deliver takes the answer's body. It reports whether the body was read to its
// end.
func (a *attempt) deliver(ctx context.Context, u *upstream, resp *h1.Response) (fate, bool) {
	names := &a.call.edge.headers
	if a.saysNotRun(resp) {
		_, err := a.readBody(u, resp)
		a.err = fmt.Errorf("target answered %d", resp.Status)
		return rejected, err == nil
	}
	if _, signed := resp.Header.Lookup(names.Signature); !signed {
		a.err = errUnsigned
		return lost, false
	}
	if a.call.route.Stream && resp.Status < 300 {
		return a.stream(ctx, u, resp)
	}
	body, err := a.readBody(u, resp)
	if err != nil {
		return a.broken(err), false
	}
	if promisesNotRun(resp.Status) {
		a.err = fmt.Errorf("target answered %d without saying that it did not run the request", resp.Status)
		return lost, true
	}
	a.call.edge.first(a)
	a.answer = &answer{status: resp.Status, header: resp.Header, body: body}
	if resp.Status >= 500 {
		a.err = fmt.Errorf("target answered %d", resp.Status)
		return failing, true
	}
	if a.call.reply.whole(a.answer) != nil {
		return abandoned, true
	}
	return answered, true
}

// maxPlainBytes bounds a plain answer, which is held until it is whole.
const maxPlainBytes = 8 << 20

func (a *attempt) readBody(u *upstream, resp *h1.Response) ([]byte, error) {
	u.SetReadDeadline(a.call.giveUp)
	var buf bytes.Buffer
	n, err := io.Copy(&buf, io.LimitReader(resp.Body(u.br), maxPlainBytes+1))
	if err == nil && n > maxPlainBytes {
		return nil, h1.ErrBodyTooLarge
	}
	return buf.Bytes(), err
}
