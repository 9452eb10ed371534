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
	// idleConnTime bounds how long an unused connection is kept: one that lost
	// its state between the two ends looks like an idle one.
	idleConnTime   = 10 * time.Second
	maxAnswerHead  = 64 << 10
	writeBufferLen = 16 << 10
)

// errNotSent marks a failure before any byte of the request left the router.
var errNotSent = errors.New("no byte of the request was sent")

// transports holds one HTTP transport for each target address. Requests that
// must not be repeated use a new connection each, so that a connection that
// the target closed while it was idle never makes their outcome unknown.
type transports struct {
	dialTimeout time.Duration

	mu     sync.Mutex
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
	dialer := &net.Dialer{Timeout: t.dialTimeout, KeepAlive: idleConnTime}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		DisableKeepAlives:      !keepAlive,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdleConnsPerTarget,
		IdleConnTimeout:        idleConnTime,
		MaxResponseHeaderBytes: maxAnswerHead,
		WriteBufferSize:        writeBufferLen,
	}
}

// get returns the transport with kept connections for the target.
func (t *transports) get(target *v1.Target) *http.Transport {
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

// reset closes the kept connections of a target after one of them failed.
func (t *transports) reset(target *v1.Target) {
	t.get(target).CloseIdleConnections()
}

// roundTrip sends the request once. An error that is errNotSent proves that
// the target received nothing of it.
func (t *transports) roundTrip(ctx context.Context, target *v1.Target, req *Request) (*http.Response, error) {
	out, sent, err := buildRequest(ctx, target, req)
	if err != nil {
		return nil, notSent(err)
	}
	return roundTrip(t.transportFor(target, req), out, sent)
}

// transportFor returns the transport of a request.
func (t *transports) transportFor(target *v1.Target, req *Request) *http.Transport {
	if !req.Idempotent {
		return t.newTransport(false)
	}
	return t.get(target)
}

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

// buildRequest returns the request to the target and a flag that is set
// before its first byte can leave the router.
//
// net/http sends a request again by itself when a kept connection fails and
// the request has no body, or its body can be read again (GetBody), and its
// method or an Idempotency-Key header lets it seem repeatable. The body given
// here is never absent and has no GetBody, so no request is sent twice.
func buildRequest(ctx context.Context, target *v1.Target, req *Request) (*http.Request, *atomic.Bool, error) {
	sent := &atomic.Bool{}
	ctx = withSentTrace(ctx, sent)
	out, err := http.NewRequestWithContext(ctx, req.Method, "http://"+target.Address+req.TargetURI, nil)
	if err != nil {
		return nil, nil, err
	}
	out.Header = req.Header.Clone()
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(out.Header))
	out.Body = &onceBody{data: req.Body}
	out.ContentLength = int64(len(req.Body))
	out.GetBody = nil
	return out, sent, nil
}

// onceBody is a request body that can be read once.
type onceBody struct {
	data []byte
}

func (b *onceBody) Read(p []byte) (int, error) {
	if len(b.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.data)
	b.data = b.data[n:]
	if len(b.data) == 0 {
		b.data = nil // A connection that is kept must not keep the body.
	}
	return n, nil
}

func (b *onceBody) Close() error { return nil }
