package edge

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chiveseam/chiveseam/h1"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/result"
)

const (
	// callerBuffer is the size of the read buffer of a caller's connection.
	callerBuffer = 4096
	// maxKeepAlive is the longest time for which callers are told to keep an idle
	// connection: callers that come again do so within seconds.
	maxKeepAlive = 6 * time.Second
	// keepAliveMargin is how much longer the router keeps it.
	keepAliveMargin = 2 * time.Second
	// evictShare is the part of the longest idle connections that is closed when
	// there is no room for another.
	evictShare = 0.05
	// bodyTimeout bounds the reading of one body.
	bodyTimeout = 10 * time.Second
	// Defaults before a configuration is read.
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 4 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
)

// caller is one connection of a caller. Its requests are served one after the
// other.
type caller struct {
	edge *Edge
	conn net.Conn
	br   *bufio.Reader
	// state keeps the connection from being closed while a request is served.
	state atomic.Int32
	// idleSince is the Unix time in nanoseconds at which it was last idle.
	idleSince atomic.Int64
}

// States of a caller's connection.
const (
	idle int32 = iota
	busy
	closing
)

// callers are the open connections of callers. It is safe for concurrent use.
type callers struct {
	mu   sync.Mutex
	open map[*caller]bool
}

func (s *callers) add(c *caller) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[c] = true
}

func (s *callers) remove(c *caller) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

// closeIdle closes connections on which no request is served.
func (s *callers) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.closeIfIdle()
	}
}

// closeIfIdle closes the connection unless a request is served on it or has come and
// waits for its turn.
func (c *caller) closeIfIdle() bool {
	if !quiet(c.conn) || !c.state.CompareAndSwap(idle, closing) {
		return false
	}
	c.conn.Close()
	return true
}

// evict closes the connections that are idle for longest, so that there is room
// for new ones.
func (s *callers) evict() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	var waiting []*caller
	for c := range s.open {
		if c.state.Load() == idle {
			waiting = append(waiting, c)
		}
	}
	slices.SortFunc(waiting, func(a, b *caller) int { return cmp.Compare(a.idleSince.Load(), b.idleSince.Load()) })
	wanted := 1 + int(evictShare*float64(len(s.open)))
	closed := 0
	for _, c := range waiting {
		if closed == wanted {
			break
		}
		if c.closeIfIdle() {
			delete(s.open, c)
			closed++
		}
	}
	return closed
}

func (s *callers) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// serveCallers accepts connections until the listener is closed.
func (e *Edge) serveCallers(l net.Listener) error {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			level.Warn(e.logger).Log("event", "accept_failed", "error", err)
			time.Sleep(acceptPause)
			continue
		}
		if e.callers.count() >= e.maxCallers && e.callers.evict() == 0 {
			e.metrics.refusedConnections.Inc()
			level.Warn(e.logger).Log("event", "connection_refused", "caller", conn.RemoteAddr(), "limit", e.maxCallers)
			conn.Close()
			continue
		}
		c := &caller{edge: e, conn: conn, br: bufio.NewReaderSize(conn, callerBuffer)}
		c.idleSince.Store(time.Now().UnixNano())
		e.callers.add(c)
		go c.serve()
	}
}

// acceptPause follows a failure to accept, such as a lack of descriptors.
const acceptPause = 20 * time.Millisecond

type callerLimits struct {
	headerBytes   int
	bodyBytes     int64
	headerTimeout time.Duration
	idleTimeout   time.Duration
}

// keepAlive is how long callers are told to keep an idle connection.
func (l callerLimits) keepAlive() time.Duration { return min(l.idleTimeout, maxKeepAlive) }

func (e *Edge) callerLimits() callerLimits {
	l := callerLimits{defaultHeaderBytes, defaultBodyBytes, defaultHeaderTimeout, defaultIdleTimeout}
	t := e.table.Load()
	if t == nil {
		return l
	}
	if t.Limits.HeaderBytes > 0 {
		l.headerBytes = t.Limits.HeaderBytes
	}
	if t.Limits.BodyBytes > 0 {
		l.bodyBytes = t.Limits.BodyBytes
	}
	if t.Limits.HeaderTimeout > 0 {
		l.headerTimeout = t.Limits.HeaderTimeout
	}
	if t.Limits.IdleTimeout > 0 {
		l.idleTimeout = t.Limits.IdleTimeout
	}
	return l
}

func (c *caller) serve() {
	defer c.edge.callers.remove(c)
	defer c.conn.Close()
	for c.next() {
	}
}

// next serves one request and reports whether another one may follow.
func (c *caller) next() bool {
	limits := c.edge.callerLimits()
	c.conn.SetReadDeadline(time.Now().Add(limits.idleTimeout + keepAliveMargin))
	if _, err := c.br.Peek(1); err != nil {
		return false
	}
	if !c.state.CompareAndSwap(idle, busy) {
		return false
	}
	arrived := time.Now()
	c.conn.SetReadDeadline(arrived.Add(limits.headerTimeout))
	req, err := h1.ReadRequest(c.br, limits.headerBytes)
	if err != nil {
		c.unreadable(err)
		return false
	}
	r := c.reply(req)
	call, accepted := c.edge.newCall(req, r, arrived)
	if !accepted {
		return c.passOver(req, r, limits)
	}
	if !c.readBody(req, limits) {
		return false
	}
	c.conn.SetReadDeadline(time.Time{})
	return c.handle(call, r)
}

// passOver reads on past the body of a request that was refused.
func (c *caller) passOver(req *h1.Request, r *reply, limits callerLimits) bool {
	if !r.ended {
		return false
	}
	c.conn.SetReadDeadline(time.Now().Add(bodyTimeout))
	if err := req.SkipBody(c.br, limits.bodyBytes); err != nil {
		return false
	}
	c.state.Store(idle)
	c.idleSince.Store(time.Now().UnixNano())
	return !r.close
}

func (c *caller) readBody(req *h1.Request, limits callerLimits) bool {
	if !req.HasBody() {
		return true
	}
	if req.Header.HasToken("Expect", "100-continue") {
		if _, err := c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return false
		}
	}
	c.conn.SetReadDeadline(time.Now().Add(bodyTimeout))
	if err := req.ReadBody(c.br, limits.bodyBytes); err != nil {
		c.unreadable(err)
		return false
	}
	return true
}

// unreadable answers a request that cannot be read, and ends the connection.
func (c *caller) unreadable(err error) {
	status, code := 0, v1.Code_BAD_REQUEST
	switch {
	case errors.Is(err, h1.ErrBodyTooLarge):
		status, code = 413, v1.Code_BODY_TOO_LARGE
	case errors.Is(err, h1.ErrHeaderTooLarge):
		status = 431
	case errors.Is(err, h1.ErrSyntax), errors.Is(err, h1.ErrFraming):
		status = 400
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return
	}
	level.Info(c.edge.logger).Log("event", "request_unreadable", "caller", c.conn.RemoteAddr(), "status", status, "error", err)
	if status == 0 {
		return
	}
	r := c.reply(nil)
	r.close = true
	if err := r.result(result.New(code, v1.Ran_NO, "%v", err), status); err != nil {
		level.Debug(c.edge.logger).Log("event", "reply_failed", "error", err)
	}
}

func (c *caller) reply(req *h1.Request) *reply {
	r := &reply{conn: c.conn, idName: c.edge.headers.RequestID, minor: 1, keepAlive: c.edge.callerLimits().keepAlive()}
	if req != nil {
		r.id = req.Header.Get(r.idName)
		r.minor = req.Minor
		r.close = !req.KeepAlive() || c.edge.stopping.Load()
	}
	return r
}

// handle serves a request that was read. While it runs, the caller's connection
// is watched, so that a caller that leaves is noticed at once.
func (c *caller) handle(call *call, r *reply) bool {
	ctx, cancel := context.WithCancel(c.edge.requests)
	defer cancel()
	watched := make(chan error, 1)
	go func() {
		_, err := c.br.Peek(1)
		if err != nil {
			cancel()
		}
		watched <- err
	}()
	call.serve(ctx)
	if r.close || !r.ended {
		return false
	}
	return c.awaitNext(watched)
}

// awaitNext waits for the next request's first byte, which the watch of this
// request sees.
func (c *caller) awaitNext(watched <-chan error) bool {
	c.idleSince.Store(time.Now().UnixNano())
	c.state.Store(idle)
	c.conn.SetReadDeadline(time.Now().Add(c.edge.callerLimits().keepAlive() + keepAliveMargin))
	return <-watched == nil
}
