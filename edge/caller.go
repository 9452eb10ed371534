package edge

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
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
	// callerBufferBytes is the size of the read buffer of a caller's connection.
	callerBufferBytes = 4096
	// maxKeepAlive is the longest idle time of a connection that is announced to callers: callers
	// that send another request do so within seconds.
	maxKeepAlive = 6 * time.Second
	// keepAliveMargin is the time for which the router keeps an idle connection beyond the
	// announced time.
	keepAliveMargin = 2 * time.Second
	// evictShare is the fraction of all connections that is closed, the longest idle ones first,
	// when a new connection exceeds the limit.
	evictShare = 0.05
	// bodyTimeout limits the time to read the body of one request.
	bodyTimeout = 10 * time.Second
	// Limits in force until a configuration is read, and for those that it leaves unset.
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 4 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
)

// callerConn is one connection from a caller. Its requests are served one after the other.
type callerConn struct {
	edge *Edge
	conn net.Conn
	br   *bufio.Reader
	// state is idle, busy or closing. A connection is only closed by others while it is idle.
	state atomic.Int32
	// idleSince is the Unix time in nanoseconds at which the connection last became idle.
	idleSince atomic.Int64
}

// States of a callerConn.
const (
	idle int32 = iota
	busy
	closing
)

// callerConns is the set of open connections from callers. It is safe for concurrent use.
type callerConns struct {
	mu sync.Mutex
	// open is guarded by mu.
	open map[*callerConn]bool
}

func (s *callerConns) add(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[c] = true
}

func (s *callerConns) remove(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

// closeIdle closes all connections without a request in progress.
func (s *callerConns) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.closeIfIdle()
	}
}

// closeIfIdle has the connection closed and returns true, unless a request is in progress on it, bytes
// of the next one have arrived, or the caller has already ended the connection. The connection's goroutine closes
// it, unless it has read bytes of a request meanwhile. The caller holds the mu of the connection's callerConns.
func (c *callerConn) closeIfIdle() bool {
	if !openWithoutInput(c.conn) || !c.state.CompareAndSwap(idle, closing) {
		return false
	}
	c.conn.SetReadDeadline(time.Now())
	return true
}

// begin marks a connection as busy, also if it was about to be closed.
func (s *callerConns) begin(c *callerConn) {
	if c.state.CompareAndSwap(idle, busy) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c.state.Store(busy)
	s.open[c] = true
}

// interruptReads makes all reads from callers fail that wait for input.
func (s *callerConns) interruptReads() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.conn.SetReadDeadline(time.Now())
	}
}

// evictIdle closes the longest idle connections to make room for new ones, and returns their
// number.
func (s *callerConns) evictIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	var idleConns []*callerConn
	for c := range s.open {
		if c.state.Load() == idle {
			idleConns = append(idleConns, c)
		}
	}
	slices.SortFunc(idleConns, func(a, b *callerConn) int { return cmp.Compare(a.idleSince.Load(), b.idleSince.Load()) })
	toClose := 1 + int(evictShare*float64(len(s.open)))
	closed := 0
	for _, c := range idleConns {
		if closed == toClose {
			break
		}
		if c.closeIfIdle() {
			delete(s.open, c)
			closed++
		}
	}
	return closed
}

func (s *callerConns) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// serveCallers accepts connections until the listener is closed. A connection beyond the limit
// replaces idle ones, or is closed if there are none.
func (e *Edge) serveCallers(l net.Listener) error {
	for {
		e.backlog.check(time.Now(), l)
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			level.Warn(e.logger).Log("event", "accept_failed", "error", err)
			time.Sleep(acceptRetryPause)
			continue
		}
		if e.callers.count() >= e.maxCallerConns && e.callers.evictIdle() == 0 {
			e.metrics.refusedConnections.Inc()
			if e.connectionLog.allow(time.Now()) {
				level.Warn(e.logger).Log("event", "connection_refused", "caller", conn.RemoteAddr(), "limit", e.maxCallerConns)
			}
			conn.Close()
			continue
		}
		c := &callerConn{edge: e, conn: conn, br: bufio.NewReaderSize(conn, callerBufferBytes)}
		c.becomeIdle(e.callerLimits().idleTimeout)
		e.callers.add(c)
		go c.serve()
	}
}

// acceptRetryPause is the pause after a failed accept, for example for lack of file descriptors.
const acceptRetryPause = 20 * time.Millisecond

// callerLimits are the limits for requests and connections of callers.
type callerLimits struct {
	headerBytes   int
	bodyBytes     int64
	headerTimeout time.Duration
	idleTimeout   time.Duration
}

// keepAlive returns the idle time of a connection that is announced to callers.
func (l callerLimits) keepAlive() time.Duration { return min(l.idleTimeout, maxKeepAlive) }

// callerLimits returns the limits of the configuration in force, with defaults for unset ones.
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

func (c *callerConn) serve() {
	defer c.edge.callers.remove(c)
	defer c.conn.Close()
	for c.serveNext() {
	}
}

// serveNext reads and serves one request. It returns whether the connection may carry another one.
func (c *callerConn) serveNext() bool {
	limits := c.edge.callerLimits()
	if !c.awaitInput(limits) {
		return false
	}
	c.edge.callers.begin(c)
	now := time.Now()
	arrived := now.Add(-queuedTime(c.conn))
	c.conn.SetReadDeadline(now.Add(limits.headerTimeout))
	req, err := h1.ReadRequest(c.br, limits.headerBytes)
	if err != nil {
		c.answerUnreadable(nil, err)
		return false
	}
	r := c.reply(req)
	call, accepted := c.edge.newCall(req, r, arrived)
	if !accepted {
		return c.discardBody(req, r, limits)
	}
	if err := c.readBody(call, limits); err != nil || !call.bodyHold.pin() {
		call.refuseUnread(c, err)
		return false
	}
	c.conn.SetReadDeadline(time.Time{})
	return c.handle(call, r)
}

// becomeIdle marks the connection as idle for up to a time, and a margin.
func (c *callerConn) becomeIdle(limit time.Duration) {
	now := time.Now()
	c.idleSince.Store(now.UnixNano())
	c.conn.SetReadDeadline(now.Add(limit + keepAliveMargin))
	c.state.Store(idle)
}

// awaitInput waits for the first byte of a request. It returns false if the connection has ended or was
// idle for too long, but not if a request came at that moment.
func (c *callerConn) awaitInput(limits callerLimits) bool {
	_, err := c.br.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) && !openWithoutInput(c.conn) {
		c.conn.SetReadDeadline(time.Now().Add(limits.headerTimeout))
		_, err = c.br.Peek(1)
	}
	return err == nil
}

// discardBody reads and discards the body of a refused request. It returns whether the connection
// may carry another request.
func (c *callerConn) discardBody(req *h1.Request, r *reply, limits callerLimits) bool {
	if !r.ended {
		return false
	}
	c.conn.SetReadDeadline(time.Now().Add(bodyTimeout))
	if err := req.SkipBody(c.br, limits.bodyBytes); err != nil {
		return false
	}
	c.becomeIdle(limits.idleTimeout)
	return !r.close
}

// readBody reads the body, after asking for it if the caller expects that.
func (c *callerConn) readBody(call *call, limits callerLimits) error {
	req := call.req
	if !req.HasBody() {
		return nil
	}
	if req.Header.HasToken("Expect", "100-continue") {
		if _, err := c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return err
		}
	}
	c.conn.SetReadDeadline(time.Now().Add(bodyTimeout))
	call.bodyHold = c.edge.requestMemory.open(cmp.Or(call.workspace, c.conn.RemoteAddr().String()), c.interruptRead)
	body, err := req.OpenBody(c.br, limits.bodyBytes)
	if err != nil {
		return err
	}
	buf := heldBuffer{hold: call.bodyHold}
	more, err := buf.readAll(body, req.Length(), limits.bodyBytes)
	if more {
		return h1.ErrBodyTooLarge
	}
	req.Body = buf.data
	return err
}

// interruptRead ends a read from the caller that waits for input.
func (c *callerConn) interruptRead() { c.conn.SetReadDeadline(time.Now()) }

// answerUnreadable answers a request that cannot be parsed or is too large; req is nil if its head could not
// be parsed. The connection ends after that.
func (c *callerConn) answerUnreadable(req *h1.Request, err error) {
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
	r := c.reply(req)
	r.close = true
	if err := r.sendResult(result.New(code, v1.Ran_NO, "%v", err), status); err != nil {
		level.Debug(c.edge.logger).Log("event", "reply_failed", "error", err)
	}
}

// reply creates the answer to a request; req is nil if it could not be parsed.
func (c *callerConn) reply(req *h1.Request) *reply {
	r := &reply{
		conn: c.conn, idHeader: c.edge.headers.RequestID, minorVersion: 1, keepAlive: c.edge.callerLimits().keepAlive(),
		stopping: &c.edge.stopping,
	}
	if req != nil {
		r.id = req.Header.Get(r.idHeader)
		r.minorVersion = req.Minor
		r.headOnly = req.Method == http.MethodHead
		r.close = !req.KeepAlive() || c.edge.linkBusy.Load()
	}
	return r
}

// handle serves a request that was read. Meanwhile a goroutine waits for input on the caller's
// connection and cancels the request as soon as the caller disconnects. handle returns whether the
// connection may carry another request.
func (c *callerConn) handle(call *call, r *reply) bool {
	ctx, cancel := context.WithCancel(c.edge.requestCtx)
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

// awaitNext marks the connection as idle and waits for the first byte of the next request, which
// the goroutine of handle reads. It returns false if the connection ends instead.
func (c *callerConn) awaitNext(watched <-chan error) bool {
	c.becomeIdle(c.edge.callerLimits().keepAlive())
	err := <-watched
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}
