package soak

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/chiveseam/chiveseam/internal/standin/fault"
)

// relayMode is what a relay does to the bytes that pass it.
type relayMode int

const (
	pass relayMode = iota
	// delay holds each piece for relayDelay.
	delay
	// cutBack holds what the server sends.
	cutBack
	// silence holds all bytes and takes new connections without serving them.
	silence
)

const (
	relayDelay = 150 * time.Millisecond
	// relayPoll is how often held bytes look for the end of the fault.
	relayPoll = 10 * time.Millisecond
	relayDial = time.Second
)

// relay is a loopback proxy in front of one address. It is safe for concurrent use.
type relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  relayMode
	conns map[net.Conn]bool
}

func newRelay(target string) (*relay, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{listener: l, target: target, conns: make(map[net.Conn]bool)}
	go r.accept()
	return r, nil
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) setMode(m relayMode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = m
}

func (r *relay) current() relayMode {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mode
}

// reset closes all connections with a reset.
func (r *relay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		fault.ResetConn(conn)
	}
}

func (r *relay) close() {
	r.listener.Close()
	r.reset()
}

func (r *relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(relayPoll)
			continue
		}
		go r.serve(conn)
	}
}

func (r *relay) keep(conn net.Conn, open bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if open {
		r.conns[conn] = true
		return
	}
	delete(r.conns, conn)
}

func (r *relay) serve(front net.Conn) {
	r.keep(front, true)
	defer r.keep(front, false)
	back, err := net.DialTimeout("tcp4", r.target, relayDial)
	if err != nil {
		// The caller of a process that is gone sees a reset, as it would without a relay.
		fault.ResetConn(front)
		return
	}
	r.keep(back, true)
	defer r.keep(back, false)
	var ends sync.WaitGroup
	ends.Go(func() { r.copy(back, front, false) })
	ends.Go(func() { r.copy(front, back, true) })
	ends.Wait()
}

// copy passes bytes on until one side ends.
func (r *relay) copy(to, from net.Conn, backwards bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		r.hold(backwards)
		if n > 0 {
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				fault.ResetConn(from)
				return
			}
		}
		if err != nil {
			closeLike(to, err)
			return
		}
	}
}

// closeLike ends a connection as its other half ended: in order, or with a reset.
func closeLike(conn net.Conn, err error) {
	var op *net.OpError
	if errors.As(err, &op) {
		fault.ResetConn(conn)
		return
	}
	conn.Close()
}

// hold waits while the relay's mode keeps bytes of a direction back.
func (r *relay) hold(backwards bool) {
	if r.current() == delay {
		time.Sleep(relayDelay)
	}
	for {
		m := r.current()
		if m != silence && (m != cutBack || !backwards) {
			return
		}
		time.Sleep(relayPoll)
	}
}
