package soak

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/chiveseam/chiveseam/internal/standin/fault"
)

// relayMode is what a relay does to the bytes that it forwards.
type relayMode int

const (
	forward relayMode = iota
	// delay holds each chunk of bytes for relayDelay.
	delay
	// holdAnswers holds the bytes that the server sends.
	holdAnswers
	// holdAll holds the bytes of both directions. New connections are still accepted.
	holdAll
	// lateAnswers holds each chunk of bytes that the server sends for lateAnswerDelay.
	lateAnswers
)

const (
	relayDelay      = 150 * time.Millisecond
	lateAnswerDelay = 900 * time.Millisecond
	// pollInterval is how often a relay that holds bytes checks whether its mode has changed.
	// Other waits of the soak poll at the same interval.
	pollInterval     = 10 * time.Millisecond
	relayDialTimeout = time.Second
)

// relay is a TCP proxy on loopback in front of one server, which injects network faults. It is
// safe for concurrent use.
type relay struct {
	// listenAddress is the IP:port at which the relay listens, and server that of the server.
	listenAddress, server string

	// mu guards the fields below. listener is nil while connections are refused. conns holds the
	// open connections to clients and to the server.
	mu       sync.Mutex
	listener net.Listener
	// accepting is closed when the last listener's connections are no longer accepted.
	accepting chan struct{}
	// filler fills the queue of a listener that stopAccepting has made dark.
	filler net.Conn
	mode   relayMode
	conns  map[net.Conn]bool
}

// newRelay starts a relay on a free port in front of server.
func newRelay(server string) (*relay, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{listenAddress: l.Addr().String(), listener: l, server: server, conns: make(map[net.Conn]bool), accepting: make(chan struct{})}
	go r.accept(l, r.accepting)
	return r, nil
}

// address returns the IP:port at which the relay listens.
func (r *relay) address() string { return r.listenAddress }

// refuse makes the relay refuse connections, as the machine of a process that has ended does.
func (r *relay) refuse() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener != nil {
		r.listener.Close()
		r.listener = nil
	}
	if r.filler != nil {
		r.filler.Close()
		r.filler = nil
	}
}

// stopAccepting leaves new connections to the kernel: they open, and nobody reads from them. If dark is set,
// the kernel answers them as little as a machine that is gone: it drops the first packet of each. Open
// connections go on. refuse ends this.
func (r *relay) stopAccepting(dark bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	l, ok := r.listener.(*net.TCPListener)
	if !ok {
		return nil
	}
	if err := l.SetDeadline(time.Unix(1, 0)); err != nil {
		return err
	}
	<-r.accepting
	if !dark {
		return nil
	}
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	err = raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), 0) })
	// A queue of length 0 takes one connection. The dial fails if another one is in it already.
	r.filler, _ = net.DialTimeout("tcp4", r.listenAddress, pollInterval)
	return errors.Join(err, listenErr)
}

// listenAgain ends refuse. Another socket may have the port for a moment.
func (r *relay) listenAgain() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener != nil {
		return nil
	}
	var err error
	for end := time.Now().Add(relayDialTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if r.listener, err = net.Listen("tcp4", r.listenAddress); err == nil {
			r.accepting = make(chan struct{})
			go r.accept(r.listener, r.accepting)
			return nil
		}
	}
	r.listener = nil
	return err
}

// refuseFor resets all connections and refuses others for the duration d.
func (r *relay) refuseFor(d time.Duration) error {
	r.refuse()
	r.reset()
	time.Sleep(d)
	return r.listenAgain()
}

func (r *relay) setMode(m relayMode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = m
}

func (r *relay) currentMode() relayMode {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mode
}

// reset aborts all open connections with a TCP reset.
func (r *relay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		fault.ResetConn(conn)
	}
}

// close stops the listener and resets all open connections.
func (r *relay) close() {
	r.refuse()
	r.reset()
}

// accept serves new connections until the listener is closed or its deadline is over, and then closes done.
func (r *relay) accept(l net.Listener, done chan<- struct{}) {
	defer close(done)
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if err != nil {
			time.Sleep(pollInterval)
			continue
		}
		go r.serve(conn)
	}
}

// track adds a connection to those that reset aborts, or removes it if open is false.
func (r *relay) track(conn net.Conn, open bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if open {
		r.conns[conn] = true
		return
	}
	delete(r.conns, conn)
}

// serve connects to the server and forwards bytes in both directions until both have ended.
func (r *relay) serve(client net.Conn) {
	r.track(client, true)
	defer r.track(client, false)
	server, err := net.DialTimeout("tcp4", r.server, relayDialTimeout)
	if err != nil {
		// If the server's process is gone, the client sees a reset, as it would without a
		// relay.
		fault.ResetConn(client)
		return
	}
	r.track(server, true)
	defer r.track(server, false)
	var copies sync.WaitGroup
	copies.Go(func() { r.copy(server, client, false) })
	copies.Go(func() { r.copy(client, server, true) })
	copies.Wait()
}

// copy forwards bytes in one direction until a side closes or fails. fromServer is set for the
// direction from the server to the client.
func (r *relay) copy(to, from net.Conn, fromServer bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		r.waitWhileHeld(fromServer)
		if n > 0 {
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				fault.ResetConn(from)
				return
			}
		}
		if err != nil {
			propagateClose(to, err)
			return
		}
	}
}

// propagateClose closes conn in the way in which the connection on the other side of the relay
// ended: with a TCP reset if err is a network error, and with a normal close otherwise.
func propagateClose(conn net.Conn, err error) {
	var op *net.OpError
	if errors.As(err, &op) {
		fault.ResetConn(conn)
		return
	}
	conn.Close()
}

// waitWhileHeld delays one chunk of bytes as the mode says: once by relayDelay or lateAnswerDelay, or for as long
// as the mode holds this direction.
func (r *relay) waitWhileHeld(fromServer bool) {
	switch m := r.currentMode(); {
	case m == delay:
		time.Sleep(relayDelay)
	case m == lateAnswers && fromServer:
		time.Sleep(lateAnswerDelay)
	}
	for {
		m := r.currentMode()
		if m != holdAll && (m != holdAnswers || !fromServer) {
			return
		}
		time.Sleep(pollInterval)
	}
}
