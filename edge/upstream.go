package edge

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/chiveseam/chiveseam/h1"
	"github.com/chiveseam/chiveseam/internal/deadpeer"
)

const (
	// dialTimeout limits the time to connect to a target. Availability zones are a few milliseconds
	// apart, and a lost packet is sent again after 200 ms.
	dialTimeout = 300 * time.Millisecond
	// defaultIdleLifetime is how long a connection is kept idle if the target does not state a time.
	defaultIdleLifetime = 4 * time.Second
	// idleLifetimeMargin is subtracted from the time that a target states, so that the router does
	// not use a connection that the target is about to close.
	idleLifetimeMargin = time.Second
	// maxIdlePerTarget is the largest number of idle connections to one target.
	maxIdlePerTarget = 64
	// upstreamBufferBytes is the size of the read buffer of a connection to a target.
	upstreamBufferBytes = 4096
	// maxAnswerHeadBytes is the largest head of a target's answer.
	maxAnswerHeadBytes = 32 << 10
)

// upstream is one connection to a target. One attempt at a time uses it.
type upstream struct {
	net.Conn
	br      *bufio.Reader
	address string
	// openedAt is when the connection was established, and endedAt when the end of an answer was read that ends with it.
	openedAt, endedAt time.Time
	// outlivedByWitness is set if the witness was open for a short time after endedAt.
	outlivedByWitness bool
	// witness is the witness of the answer on the connection, if it needs one; nil otherwise. Only the attempt that uses
	// the connection reads it.
	witness *witness
	// expires is when the pool closes the idle connection; the target may do so soon after.
	expires time.Time
	// sentIDs holds the IDs of the last requests that were sent on the connection.
	sentIDs []string
	// reused is set if an earlier attempt has used the connection.
	reused bool
	// startAsked is set once the process at the other end was asked for its start, and started is the Unix time in
	// ms that it stated; 0 if none.
	startAsked bool
	started    int64
	// questioned is set once the router has asked something of its own on the connection.
	questioned bool
	// head is charged with the bytes that come while the head of an answer is read; nil otherwise.
	head *hold
	// partialSince is when the first part of a message came that is not complete; zero if there is none.
	partialSince time.Time
	// headDeadline is when the first byte of the head must have come.
	headDeadline time.Time
	// answering is set while the target answers the current request.
	answering atomic.Bool
}

// abandon closes the connection before the end of the answer to the current request. If the answer has
// not begun, the request may still be on its way: a reset keeps a link that was cut from delivering it
// later.
func (u *upstream) abandon() {
	if conn, ok := u.Conn.(*net.TCPConn); ok && !u.answering.Load() {
		// Without the reset, the connection is closed all the same.
		_ = conn.SetLinger(0)
	}
	u.Close()
}

// connPool holds idle connections to targets. The most recently used one is taken first. It is safe
// for concurrent use.
type connPool struct {
	dialer *net.Dialer
	// maxIdle is the largest number of idle connections to all targets.
	maxIdle int

	mu sync.Mutex
	// idle holds the idle connections by target address, the most recently used last, and idleCount their number. mu
	// guards both.
	idle      map[string][]*upstream
	idleCount int
}

func newConnPool(maxIdle int) *connPool {
	return &connPool{dialer: deadpeer.Dialer(dialTimeout), maxIdle: maxIdle, idle: make(map[string][]*upstream)}
}

// get returns an idle connection to address that is still open and may be used, or a new one.
func (p *connPool) get(ctx context.Context, address string, mayUse func(*upstream) bool) (*upstream, error) {
	for {
		u := p.takeIdle(address, mayUse)
		if u == nil {
			return p.dial(ctx, address)
		}
		if time.Now().Before(u.expires) && u.isReusable() {
			u.reused = true
			return u, nil
		}
		u.Close()
	}
}

// anyConnection lets connPool.get return any idle connection.
func anyConnection(*upstream) bool { return true }

// takeIdle removes the most recently used idle connection that may be used from the pool; nil if there is none.
func (p *connPool) takeIdle(address string, mayUse func(*upstream) bool) *upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for i := len(list) - 1; i >= 0; i-- {
		if u := list[i]; mayUse(u) {
			p.idle[address] = slices.Delete(list, i, i+1)
			p.idleCount--
			return u
		}
	}
	return nil
}

func (p *connPool) dial(ctx context.Context, address string) (*upstream, error) {
	conn, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	u := &upstream{Conn: conn, address: address, openedAt: time.Now()}
	u.br = bufio.NewReaderSize(u, upstreamBufferBytes)
	return u, nil
}

// maxPartialTime limits the time from the first byte of a head, or of an event of a stream that another target may continue, to its
// last one: targets mostly write them at once, and a packet that is lost comes again within less.
const maxPartialTime = 2 * time.Second

// beginHead begins to count the bytes of a head, of which the first must come before a time, in h.
func (u *upstream) beginHead(h *hold, firstByte time.Time) {
	u.head, u.headDeadline = h, firstByte
	u.awaitHead()
}

// awaitHead waits for a head from its first byte on.
func (u *upstream) awaitHead() {
	u.partialSince = time.Time{}
	u.SetReadDeadline(u.headDeadline)
}

// endHead ends beginHead, after a complete head.
func (u *upstream) endHead() { u.head, u.partialSince = nil, time.Time{} }

// Read reads from the connection. Within a head it counts what comes, and limits the time to the head's end.
func (u *upstream) Read(p []byte) (int, error) {
	if u.witness != nil {
		u.witness.see(u)
	}
	n, err := u.Conn.Read(p)
	if u.head == nil || n == 0 {
		return n, err
	}
	if u.partialSince.IsZero() {
		u.partialSince = time.Now()
		if end := u.partialSince.Add(maxPartialTime); end.Before(u.headDeadline) {
			u.SetReadDeadline(end)
		}
	}
	if err := u.head.grow(int64(n)); err != nil {
		return 0, err
	}
	return n, err
}

// put returns a connection to the pool after a complete answer, or closes it if it cannot be used
// again.
func (p *connPool) put(u *upstream, resp *h1.Response) {
	idle := idleLifetime(resp.Header)
	if !resp.Reusable() || idle <= 0 || u.br.Buffered() > 0 {
		u.Close()
		return
	}
	p.keep(u, idle)
}

// putNew adds a connection to the pool that no request has used.
func (p *connPool) putNew(u *upstream) { p.keep(u, defaultIdleLifetime) }

// keep adds a connection to the pool for a time.
func (p *connPool) keep(u *upstream, idle time.Duration) {
	u.SetDeadline(time.Time{})
	u.expires = time.Now().Add(idle)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[u.address]) >= maxIdlePerTarget || p.idleCount >= p.maxIdle {
		u.Close()
		return
	}
	p.idleCount++
	p.idle[u.address] = append(p.idle[u.address], u)
}

// idleLifetime returns how long a connection may stay idle according to the target's Keep-Alive
// field.
func idleLifetime(h h1.Header) time.Duration {
	for param := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(param), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil {
			return time.Duration(seconds)*time.Second - idleLifetimeMargin
		}
	}
	return defaultIdleLifetime
}

// drop closes the idle connections to an address.
func (p *connPool) drop(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.idleCount -= len(list)
	p.mu.Unlock()
	for _, u := range list {
		u.Close()
	}
}

// dropAll closes all idle connections.
func (p *connPool) dropAll() {
	p.mu.Lock()
	addresses := slices.Collect(maps.Keys(p.idle))
	p.mu.Unlock()
	for _, address := range addresses {
		p.drop(address)
	}
}

// sweep closes expired idle connections.
func (p *connPool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, u := range list {
			if now.Before(u.expires) {
				kept = append(kept, u)
				continue
			}
			p.idleCount--
			u.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

// isReusable reports whether an idle connection is open and has received nothing: bytes that
// come without a request belong to no answer.
func (u *upstream) isReusable() bool { return u.br.Buffered() == 0 && openWithoutInput(u.Conn) }

// openWithoutInput reports whether a TCP connection is open and has no bytes to be read.
func openWithoutInput(conn net.Conn) bool { return peekSocket(conn) == unix.EAGAIN }

// closedByPeer reports whether the peer of a TCP connection has closed or reset it. It returns
// false as long as bytes received before that are unread.
func closedByPeer(conn net.Conn) bool {
	err := peekSocket(conn)
	return err != nil && err != unix.EAGAIN
}

// peekSocket checks what a TCP connection has received, without waiting and without reading it. It
// returns nil if there are bytes, EAGAIN if there are none, and io.EOF or another error if the
// connection has ended.
func peekSocket(conn net.Conn) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return net.ErrClosed
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var peekErr error
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if peekErr = err; err == nil && n == 0 {
			peekErr = io.EOF
		}
	})
	if err != nil {
		return err
	}
	return peekErr
}

// pollSocket returns which of some events have come on a TCP connection, without waiting and without reading it: those
// of poll(2).
func pollSocket(conn net.Conn, events int16) (int16, error) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return 0, net.ErrClosed
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0, err
	}
	var revents int16
	var pollErr error
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: events}}
		for pollErr = unix.EINTR; pollErr == unix.EINTR; {
			_, pollErr = unix.Poll(fds, 0)
		}
		revents = fds[0].Revents
	})
	return revents, errors.Join(err, pollErr)
}

// resetError returns why a connection can carry nothing more; nil if it can, also if the peer has ended its side. A read behind that
// end does not say so, nor does any after a write has taken the error.
func (u *upstream) resetError() error {
	revents, err := pollSocket(u.Conn, 0)
	if err != nil || revents&(unix.POLLHUP|unix.POLLERR|unix.POLLNVAL) == 0 {
		return err
	}
	return fmt.Errorf("connection to the target: %w", unix.ECONNRESET)
}

// unacknowledged returns the number of bytes sent that the peer's machine has not acknowledged. A reset leaves it as it was.
func (u *upstream) unacknowledged() (int, error) {
	tcp, ok := u.Conn.(*net.TCPConn)
	if !ok {
		return 0, net.ErrClosed
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0, err
	}
	var n int
	var ioctlErr error
	err = raw.Control(func(fd uintptr) { n, ioctlErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return n, errors.Join(err, ioctlErr)
}
