package dispatch

import (
	"context"
	"net/http"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// pending is a request that was sent to a target and may have no answer yet.
// It goes on when the attempt that sent it is given up, until cancel is called.
type pending struct {
	cancel context.CancelCauseFunc
	// done is closed when resp or err is set.
	done chan struct{}
	resp *http.Response
	err  error
	// sent is set before a byte of the request can leave the router.
	sent func() bool
}

// begin starts a round trip. Of ctx only the values are used: its end does not
// end the round trip.
func (t *transports) begin(ctx context.Context, target *v1.Target, req *Request) *pending {
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	p := &pending{cancel: cancel, done: make(chan struct{})}
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

// wait returns when the round trip has ended or ctx is done. It reports whether
// the round trip has ended.
func (p *pending) wait(ctx context.Context) bool {
	select {
	case <-p.done:
		return true
	case <-ctx.Done():
		return false
	}
}

// close cancels the round trip and drops its answer.
func (p *pending) close() {
	p.cancel(nil)
	<-p.done
	if p.resp != nil {
		p.resp.Body.Close()
	}
}
