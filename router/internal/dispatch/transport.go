package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"github.com/chiveseam/chiveseam/config"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const (
	maxIdleConnsPerTarget = 64
	// idleConnTimeout bounds how long an unused connection is kept. A connection whose
	// state was lost between the two ends cannot be distinguished from an idle one.
	idleConnTimeout    = 10 * time.Second
	maxAnswerHeadBytes = 64 << 10
	writeBufferLen     = 16 << 10
)

// errNotSent marks a failure before any byte of the request left the router. It proves
// that the request did not run.
var errNotSent = errors.New("no byte of the request was sent")

// transports holds one HTTP transport with keep-alive connections for each target. A
// request that must not be repeated uses a new connection instead. Otherwise it could
// fail on a connection that the target closed while it was idle, and its outcome would
// be unknown.
type transports struct {
	dialTimeout time.Duration

	// mu guards pooled.
	mu sync.Mutex
	// pooled holds the transports with keep-alive connections by target ID.
	pooled map[config.ID]*pooledTransport
}

type pooledTransport struct {
	address   string
	transport *http.Transport
}

func newTransports(dialTimeout time.Duration) *transports {
	return &transports{dialTimeout: dialTimeout, pooled: map[config.ID]*pooledTransport{}}
}

func (t *transports) newTransport(keepAlive bool) *http.Transport {
	dialer := &net.Dialer{Timeout: t.dialTimeout, KeepAlive: idleConnTimeout}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		DisableKeepAlives:      !keepAlive,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdleConnsPerTarget,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxAnswerHeadBytes,
		WriteBufferSize:        writeBufferLen,
	}
}

// keepAliveTransport returns the target's transport with keep-alive connections. A
// changed address of the target replaces the transport.
func (t *transports) keepAliveTransport(target *v1.Target) *http.Transport {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := config.IDOf(target.Name)
	p, ok := t.pooled[id]
	if ok && p.address == target.Address {
		return p.transport
	}
	if ok {
		p.transport.CloseIdleConnections()
	}
	p = &pooledTransport{address: target.Address, transport: t.newTransport(true)}
	t.pooled[id] = p
	return p.transport
}

// closeIdle closes the idle connections to a target after one of them failed.
func (t *transports) closeIdle(target *v1.Target) {
	t.keepAliveTransport(target).CloseIdleConnections()
}

// roundTrip sends the request once. An error that wraps errNotSent proves that the
// target received nothing of the request.
func (t *transports) roundTrip(ctx context.Context, target *v1.Target, req *Request) (*http.Response, error) {
	out, sent, err := buildRequest(ctx, target, req)
	if err != nil {
		return nil, notSent(err)
	}
	return roundTrip(t.transportFor(target, req), out, sent)
}

// transportFor returns a transport with keep-alive connections for an idempotent
// request, and a new transport with a single connection for others.
func (t *transports) transportFor(target *v1.Target, req *Request) *http.Transport {
	if !req.Idempotent {
		return t.newTransport(false)
	}
	return t.keepAliveTransport(target)
}

// roundTrip executes the request and marks an error as errNotSent if no connection was
// obtained.
func roundTrip(transport *http.Transport, out *http.Request, sent *atomic.Bool) (*http.Response, error) {
	resp, err := transport.RoundTrip(out)
	if err != nil && !sent.Load() {
		return nil, notSent(err)
	}
	return resp, err
}

func notSent(err error) error {
	return fmt.Errorf("%w: %w", errNotSent, err)
}

// buildRequest returns the HTTP request to the target and a flag that is set before its
// first byte can leave the router.
//
// net/http sends a request a second time by itself when a kept connection fails, if two
// conditions hold: the request has no body or its body can be read again (GetBody), and
// its method or an Idempotency-Key header marks it as repeatable. The body set here is
// never absent and has no GetBody, so no request is sent twice.
func buildRequest(ctx context.Context, target *v1.Target, req *Request) (*http.Request, *atomic.Bool, error) {
	sent := &atomic.Bool{}
	ctx = withSentTrace(ctx, sent)
	out, err := http.NewRequestWithContext(ctx, req.Method, "http://"+target.Address+req.TargetURI, nil)
	if err != nil {
		return nil, nil, err
	}
	out.Header = req.Header.Clone()
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(out.Header))
	out.Body = &singleReadBody{data: req.Body}
	out.ContentLength = int64(len(req.Body))
	out.GetBody = nil
	return out, sent, nil
}

// singleReadBody is a request body without GetBody, so that net/http cannot send it a
// second time.
type singleReadBody struct {
	data []byte
}

func (b *singleReadBody) Read(p []byte) (int, error) {
	if len(b.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.data)
	b.data = b.data[n:]
	if len(b.data) == 0 {
		b.data = nil // A kept connection must not keep the body in memory.
	}
	return n, nil
}

func (b *singleReadBody) Close() error { return nil }
