package dispatch

import (
	"context"
	"net/http"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// pendingRequest is a request that was sent to a target and may have no answer yet. It
// continues after the attempt that sent it was given up, until cancel is called.
type pendingRequest struct {
	cancel context.CancelCauseFunc
	// done is closed when resp or err is set.
	done chan struct{}
	resp *http.Response
	err  error
	// sent reports whether any byte of the request may have left the router. It turns
	// true before the first byte can be written.
	sent func() bool
}

// start begins a round trip. It uses only the values of ctx: the end of ctx does not
// end the round trip.
func (t *transports) start(ctx context.Context, target *v1.Target, req *Request) *pendingRequest {
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	p := &pendingRequest{cancel: cancel, done: make(chan struct{})}
	out, sent, err := buildRequest(ctx, target, req)
	if err != nil {
		p.err = notSent(err)
		p.sent = func() bool { return false }
		close(p.done)
		return p
	}
	p.sent = sent.Load
	transport := t.transportFor(target, req)
	go func() {
		defer close(p.done)
		p.resp, p.err = roundTrip(transport, out, sent)
	}()
	return p
}

// wait returns when the round trip has ended or ctx is done. It reports whether the
// round trip has ended.
func (p *pendingRequest) wait(ctx context.Context) bool {
	select {
	case <-p.done:
		return true
	case <-ctx.Done():
		return false
	}
}

// close cancels the round trip, waits for its end and closes the response body.
func (p *pendingRequest) close() {
	p.cancel(nil)
	<-p.done
	if p.resp != nil {
		p.resp.Body.Close()
	}
}
