package edge

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/chiveseam/chiveseam/h1"
	"github.com/chiveseam/chiveseam/internal/deadpeer"
)

const (
	// dialTimeout bounds a new connection to a target: two zones are a few
	// milliseconds apart, and a lost packet is sent again after 200 ms.
	dialTimeout = 300 * time.Millisecond
	// idleUnstated is how long a connection is kept idle if the target does not
	// state its own time.
	idleUnstated = 4 * time.Second
	// idleMargin is subtracted from the time that a target states.
	idleMargin = time.Second
	// maxIdle bounds the idle connections to one target.
	maxIdle = 64
	// upstreamBuffer is the size of the read buffer of a connection.
	upstreamBuffer = 4096
	// maxAnswerHead bounds the head of a target's answer.
	maxAnswerHead = 32 << 10
)

// upstream is one connection to a target.
type upstream struct {
	net.Conn
	br      *bufio.Reader
	address string
	// expires is when the target may close the connection if it stays idle.
	expires time.Time
	reused  bool
}

// pool keeps idle connections to targets, the last used first. It is safe for
// concurrent use.
type pool struct {
	dialer *net.Dialer

	mu   sync.Mutex
	idle map[string][]*upstream
}

func newPool() *pool {
	return &pool{dialer: deadpeer.Dialer(dialTimeout), idle: make(map[string][]*upstream)}
}

// get returns an idle connection or a new one.
func (p *pool) get(ctx context.Context, address string) (*upstream, error) {
	for {
		u := p.take(address)
		if u == nil {
			return p.dial(ctx, address)
		}
		if time.Now().Before(u.expires) && u.quiet() {
			u.reused = true
			return u, nil
		}
		u.Close()
	}
}

func (p *pool) take(address string) *upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	u := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return u
}

func (p *pool) dial(ctx context.Context, address string) (*upstream, error) {
	conn, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	return &upstream{Conn: conn, br: bufio.NewReaderSize(conn, upstreamBuffer), address: address}, nil
}

// put keeps a connection after a whole answer.
func (p *pool) put(u *upstream, resp *h1.Response) {
	idle := statedIdle(resp.Header)
	if !resp.Reusable() || idle <= 0 || u.br.Buffered() > 0 {
		u.Close()
		return
	}
	u.SetDeadline(time.Time{})
	u.expires = time.Now().Add(idle)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[u.address]) >= maxIdle {
		u.Close()
		return
	}
	p.idle[u.address] = append(p.idle[u.address], u)
}

// statedIdle returns how long a connection may stay idle.
func statedIdle(h h1.Header) time.Duration {
	for param := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(param), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return idleUnstated
}

// drop closes the idle connections to an address.
func (p *pool) drop(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, u := range list {
		u.Close()
	}
}

// sweep closes connections that were idle for too long.
func (p *pool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, u := range list {
			if now.Before(u.expires) {
				kept = append(kept, u)
				continue
			}
			u.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

// quiet reports whether nothing has come on an idle connection: neither its end
// nor bytes that belong to no request.
func (u *upstream) quiet() bool { return u.br.Buffered() == 0 && quiet(u.Conn) }

// quiet reports whether an open TCP connection has neither ended nor bytes to be
// read.
func quiet(conn net.Conn) bool { return peek(conn) == unix.EAGAIN }

// ended reports whether the peer of a TCP connection has closed or reset it. Bytes
// that come before the end hide it.
func ended(conn net.Conn) bool {
	err := peek(conn)
	return err != nil && err != unix.EAGAIN
}

// peek looks at what a TCP connection has received, without waiting. It returns nil
// if there are bytes, EAGAIN if there are none, and io.EOF or another error if the
// connection has ended.
func peek(conn net.Conn) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return net.ErrClosed
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var found error
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if found = err; err == nil && n == 0 {
			found = io.EOF
		}
	})
	if err != nil {
		return err
	}
	return found
}
